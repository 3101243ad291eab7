//! Responses: written from head and body, and read from the bytes that arrive, complete or not at all.

use crate::fastcgi::{self, ProtocolStatus, ResponseRecord, ResponseSplitter};
use crate::{Protocol, ProtocolError};

/// Bytes that the head of a response may have.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Headers that it may have.
const MAX_HEADERS: usize = 64;
/// The status of a CGI response that names none.
const DEFAULT_STATUS: u16 = 200;

const UNREADABLE_HEAD: ProtocolError = ProtocolError("a head that can't be read");

/// The head of a response to write: a status line and headers, each name and value as it is sent.
pub struct ResponseHead<'a> {
    /// Number and reason, as `200 OK`.
    pub status: &'a str,
    /// Names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Further header lines as they are sent, each with its end of line.
    pub extra_lines: &'a [u8],
}

impl ResponseHead<'_> {
    /// Writes the status without what precedes the number, the headers, and the empty line.
    fn write(&self, out: &mut Vec<u8>) {
        out.extend(self.status.bytes());
        out.extend(b"\r\n");
        for (name, value) in self.headers {
            for part in [name, ": ", value, "\r\n"] {
                out.extend(part.bytes());
            }
        }
        out.extend(self.extra_lines);
        out.extend(b"\r\n");
    }
}

/// Writes a complete response to request `id`. A uwsgi response ends with its connection, so it carries its
/// length as well, by which a truncated one is recognized.
pub fn write_response(
    protocol: Protocol,
    out: &mut Vec<u8>,
    id: u16,
    head: ResponseHead,
    body: &[u8],
) {
    match protocol {
        Protocol::FastCgi => {
            let mut content = Vec::with_capacity(160 + body.len());
            content.extend(b"Status: ");
            head.write(&mut content);
            content.extend(body);
            fastcgi::write_stdout(out, id, &content);
            fastcgi::write_end_request(out, id, ProtocolStatus::Complete);
        }
        Protocol::Uwsgi => {
            out.reserve(192 + body.len());
            out.extend(b"HTTP/1.1 ");
            let length = body.len().to_string();
            let headers = [head.headers, &[("Content-Length", &*length)]].concat();
            let head = ResponseHead {
                headers: &headers,
                ..head
            };
            head.write(out);
            out.extend(body);
        }
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The number of its status, 100 to 599.
    pub status: u16,
    /// Names as they came, values without spaces around them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its body.
    pub body: Vec<u8>,
    /// More came than its head announced. The rest was skipped, and its connection must not carry another
    /// request.
    pub excess: bool,
}

impl Response {
    /// The first value of a header, whose name may be written in any case.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| &value[..])
    }

    /// The body's length by `Content-Length`, if there is one.
    fn content_length(&self) -> Result<Option<usize>, ProtocolError> {
        const UNREADABLE: ProtocolError = ProtocolError("a Content-Length that can't be read");
        let mut lengths = self
            .headers
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
        let value = match (lengths.next(), lengths.next()) {
            (None, _) => return Ok(None),
            (Some((_, value)), None) => value,
            _ => return Err(UNREADABLE),
        };
        if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
            return Err(UNREADABLE);
        }
        let digits = std::str::from_utf8(value).map_err(|_| UNREADABLE)?;
        digits.parse().map(Some).map_err(|_| UNREADABLE)
    }
}

/// How a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// It is complete.
    Complete(Response),
    /// The peer says that it did not run the request.
    Refused(ProtocolStatus),
}

/// Reads the response to one request, which may arrive in parts of any length. A FastCGI response is complete
/// with its end record; a uwsgi one with as many bytes as its `Content-Length` says, or with the end of its
/// connection where it says none.
#[derive(Debug)]
pub struct ResponseReader {
    protocol: Protocol,
    /// The request, with FastCGI.
    id: u16,
    records: ResponseSplitter,
    /// Bytes of the head, until it is complete.
    raw_head: Vec<u8>,
    head_complete: bool,
    content_length: Option<usize>,
    max_body_bytes: usize,
    response: Response,
}

impl ResponseReader {
    /// A reader for the response to request `id`, whose body may have up to `max_body_bytes`.
    pub fn new(protocol: Protocol, id: u16, max_body_bytes: usize) -> ResponseReader {
        ResponseReader {
            protocol,
            id,
            records: ResponseSplitter::default(),
            raw_head: Vec::new(),
            head_complete: false,
            content_length: None,
            max_body_bytes,
            response: Response::default(),
        }
    }

    /// Whether any byte of a response was read.
    pub fn has_begun(&self) -> bool {
        self.head_complete || !self.raw_head.is_empty()
    }

    /// Reads `input` up to the end of the response; the response, once it is complete. Nothing more may be
    /// read after that.
    ///
    /// # Errors
    /// What is no response: a head that can't be read or is too long, a body longer than the bound, an end too
    /// soon.
    pub fn read(&mut self, input: &mut &[u8]) -> Result<Option<ResponseOutcome>, ProtocolError> {
        match self.protocol {
            Protocol::Uwsgi => {
                self.read_content(std::mem::take(input))?;
                let body_bytes = self.response.body.len();
                let complete = self.head_complete && self.content_length == Some(body_bytes);
                Ok(complete.then(|| ResponseOutcome::Complete(self.take_response())))
            }
            Protocol::FastCgi => self.read_records(input),
        }
    }

    fn read_records(
        &mut self,
        input: &mut &[u8],
    ) -> Result<Option<ResponseOutcome>, ProtocolError> {
        let mut records = std::mem::take(&mut self.records);
        let mut outcome = None;
        while outcome.is_none()
            && let Some(record) = records.next(input)?
        {
            match record {
                ResponseRecord::Stdout { id, bytes } if id == self.id => {
                    self.read_content(bytes)?
                }
                ResponseRecord::End { id, status } if id == self.id => {
                    outcome = Some(self.on_end(status)?);
                }
                // Of a request that was aborted.
                _ => {}
            }
        }
        self.records = records;
        Ok(outcome)
    }

    fn on_end(&mut self, status: Option<ProtocolStatus>) -> Result<ResponseOutcome, ProtocolError> {
        match status {
            Some(ProtocolStatus::Complete) => self.complete().map(ResponseOutcome::Complete),
            Some(status) if !self.has_begun() => Ok(ResponseOutcome::Refused(status)),
            _ => Err(ProtocolError("an end of no known kind")),
        }
    }

    /// The peer closed the connection in order: the response, if that completes it.
    ///
    /// # Errors
    /// The response is incomplete.
    pub fn on_close(&mut self) -> Result<Response, ProtocolError> {
        match self.protocol {
            Protocol::Uwsgi => self.complete(),
            Protocol::FastCgi => Err(ProtocolError("closed before its end record")),
        }
    }

    fn complete(&mut self) -> Result<Response, ProtocolError> {
        if !self.has_begun() {
            return Err(ProtocolError("nothing"));
        }
        if !self.head_complete {
            return Err(ProtocolError("a head cut short"));
        }
        let body_bytes = self.response.body.len();
        if self
            .content_length
            .is_some_and(|length| body_bytes < length)
        {
            return Err(ProtocolError("a body cut short"));
        }
        Ok(self.take_response())
    }

    fn take_response(&mut self) -> Response {
        std::mem::take(&mut self.response)
    }

    /// Reads bytes of head and body, whatever carried them.
    fn read_content(&mut self, mut bytes: &[u8]) -> Result<(), ProtocolError> {
        if !self.head_complete && !self.read_head(&mut bytes)? {
            return Ok(());
        }
        let remaining = self
            .content_length
            .map_or(usize::MAX, |length| length - self.response.body.len());
        self.response.excess |= bytes.len() > remaining;
        let bytes = &bytes[..bytes.len().min(remaining)];
        if self.response.body.len() + bytes.len() > self.max_body_bytes {
            return Err(ProtocolError("a body longer than any may be"));
        }
        self.response.body.extend(bytes);
        Ok(())
    }

    /// Reads bytes of the head, which `bytes` is advanced past; whether it is complete.
    fn read_head(&mut self, bytes: &mut &[u8]) -> Result<bool, ProtocolError> {
        let before = self.raw_head.len();
        let taken = bytes.len().min(MAX_HEAD_BYTES - before);
        self.raw_head.extend(&bytes[..taken]);
        let Some(end) = find_head_end(&self.raw_head, before) else {
            if self.raw_head.len() < MAX_HEAD_BYTES {
                return Ok(false);
            }
            return Err(ProtocolError("a head without end"));
        };
        *bytes = &bytes[end - before..];
        let raw = std::mem::take(&mut self.raw_head);
        self.response = parse_head(self.protocol, &raw[..end])?;
        self.content_length = self.response.content_length()?;
        self.head_complete = true;
        Ok(true)
    }
}

/// Where the head ends, if it does; the first `searched` bytes were searched before. Lines may end as CGI
/// programs write them, with or without a carriage return.
fn find_head_end(head: &[u8], searched: usize) -> Option<usize> {
    // The empty line may have begun among the bytes that were searched.
    let from = searched.saturating_sub(3);
    (from..head.len())
        .filter(|at| head[*at] == b'\n')
        .find_map(|at| match &head[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        })
}

/// Parses a head into a response without body. A uwsgi head begins with a status line, a CGI one has its
/// status among the headers, or means 200.
fn parse_head(protocol: Protocol, raw: &[u8]) -> Result<Response, ProtocolError> {
    let mut status = None;
    let mut lines = raw;
    if protocol == Protocol::Uwsgi || raw.starts_with(b"HTTP/") {
        let line_end = raw
            .iter()
            .position(|byte| *byte == b'\n')
            .ok_or(UNREADABLE_HEAD)?;
        status = Some(parse_status_line(&raw[..line_end])?);
        lines = &raw[line_end + 1..];
    }
    let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = match httparse::parse_headers(lines, &mut parsed) {
        Ok(httparse::Status::Complete((_, headers))) => headers,
        _ => return Err(UNREADABLE_HEAD),
    };
    let mut headers = Vec::with_capacity(parsed.len());
    for header in parsed {
        if status.is_none() && header.name.eq_ignore_ascii_case("Status") {
            let text = std::str::from_utf8(header.value).map_err(|_| UNREADABLE_HEAD)?;
            let number = text.split_ascii_whitespace().next().unwrap_or_default();
            status = Some(parse_status(number)?);
        } else {
            headers.push((header.name.to_string(), header.value.to_vec()));
        }
    }
    Ok(Response {
        status: status.unwrap_or(DEFAULT_STATUS),
        headers,
        ..Response::default()
    })
}

fn parse_status_line(line: &[u8]) -> Result<u16, ProtocolError> {
    const NO_STATUS_LINE: ProtocolError = ProtocolError("no status line");
    let line = std::str::from_utf8(line).map_err(|_| UNREADABLE_HEAD)?;
    let rest = line.strip_prefix("HTTP/").ok_or(NO_STATUS_LINE)?;
    let number = rest.split_ascii_whitespace().nth(1);
    parse_status(number.ok_or(NO_STATUS_LINE)?)
}

fn parse_status(number: &str) -> Result<u16, ProtocolError> {
    let three_digits = number.len() == 3 && number.bytes().all(|byte| byte.is_ascii_digit());
    number
        .parse()
        .ok()
        .filter(|status| three_digits && (100..600).contains(status))
        .ok_or(ProtocolError("a status that is no number of three digits"))
}
