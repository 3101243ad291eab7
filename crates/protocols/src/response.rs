//! Responses: written from a head and a body, and read as a whole from bytes that arrive in parts.

mod head;
mod reader;

pub use self::reader::{ResponseOutcome, ResponseReader};
use crate::fastcgi::{self, ProtocolStatus};
use crate::{Protocol, ProtocolError};

/// Maximum size of the head of a response in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Status and headers of a response to write, as they are sent.
pub struct ResponseHead<'a> {
    /// Status code and reason, such as `200 OK`.
    pub status: &'a str,
    /// Names and values of headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Further complete header lines, each with its line end.
    pub extra_lines: &'a [u8],
}

impl ResponseHead<'_> {
    /// Writes the status, the headers and the empty line. The caller has written `Status: ` or the
    /// HTTP version before.
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

/// Writes a complete response to request `id`. A uwsgi response gets a `Content-Length` header, by
/// which the peer detects a truncated response: it would otherwise end with the connection.
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
    /// Status code, 100 to 599.
    pub status: u16,
    /// Names as received, and values without surrounding spaces.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body, without bytes beyond its announced length.
    pub body: Vec<u8>,
    /// Whether more bytes arrived than `Content-Length` announced. They were skipped, and the
    /// connection must not carry another request.
    pub excess: bool,
}

impl Response {
    /// Returns the first value of a header. The name is not case-sensitive.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| &value[..])
    }

    /// Returns the value of `Content-Length`, if there is one.
    fn content_length(&self) -> Result<Option<usize>, ProtocolError> {
        const INVALID: ProtocolError = ProtocolError("invalid Content-Length");
        let mut lengths = self
            .headers
            .iter()
            .filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
        let value = match (lengths.next(), lengths.next()) {
            (None, _) => return Ok(None),
            (Some((_, value)), None) => value,
            _ => return Err(INVALID),
        };
        if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
            return Err(INVALID);
        }
        let digits = std::str::from_utf8(value).map_err(|_| INVALID)?;
        digits.parse().map(Some).map_err(|_| INVALID)
    }
}
