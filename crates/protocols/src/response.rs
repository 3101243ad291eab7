//! Responses: written from head and body, and read from the bytes that arrive, complete or not at
//! all.

mod head;
mod reader;

pub use self::reader::{ResponseOutcome, ResponseReader};
use crate::fastcgi::{self, ProtocolStatus};
use crate::{Protocol, ProtocolError};

/// Bytes that the head of a response may have.
const MAX_HEAD_BYTES: usize = 16 * 1024;

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

/// Writes a complete response to request `id`. A uwsgi response ends with its connection, so it
/// carries its length as well, by which a truncated one is recognized.
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
    /// More came than its head announced. The rest was skipped, and its connection must not carry
    /// another request.
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
