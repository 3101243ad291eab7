//! Answers to requests, and their encoding.

use doortrack_protocols::fastcgi::{self, ProtocolStatus};
use doortrack_protocols::{Protocol, ResponseHead};
use doortrack_time::{MILLISECOND, TenthMillis};

use super::Unreadable;

/// The content type of an answer that no application server has given one.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// The result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunOutput<'a> {
    /// Header lines, each with its end of line; none from the engine.
    pub headers: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

impl<'a> From<&'a [u8]> for RunOutput<'a> {
    fn from(body: &'a [u8]) -> RunOutput<'a> {
        RunOutput { headers: &[], body }
    }
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer<'a> {
    /// It has run.
    Completed(RunOutput<'a>),
    /// Admission rejected it.
    Rejected {
        /// Another node would reject it too.
        no_retry_elsewhere: bool,
        /// When to retry at the earliest; 0 where nothing is said of it.
        retry_after: TenthMillis,
    },
    /// It may have run, and has no result.
    Failed,
    /// The answer to a health check.
    Health {
        /// Whether the node takes requests.
        healthy: bool,
    },
    /// It could not be read, so it did not reach admission.
    Unreadable(Unreadable),
    /// A bound of the sockets is met, so it did not reach admission.
    NoCapacity,
    /// It is in a role of FastCGI other than the responder's.
    UnknownRole,
}

impl<'a> Answer<'a> {
    /// FastCGI's own status of a request that was not handed to the application.
    fn protocol_status(&self) -> Option<ProtocolStatus> {
        match self {
            Answer::NoCapacity => Some(ProtocolStatus::Overloaded),
            Answer::UnknownRole => Some(ProtocolStatus::UnknownRole),
            _ => None,
        }
    }

    fn status_and_body(&self) -> (&'static str, &'a [u8]) {
        match *self {
            Answer::Completed(output) => ("200 OK", output.body),
            Answer::Health { healthy: true } => ("200 OK", b"good\n"),
            Answer::Health { healthy: false } | Answer::Rejected { .. } | Answer::NoCapacity => {
                ("503 Service Unavailable", b"")
            }
            Answer::Unreadable(Unreadable::TooLong) => ("413 Content Too Large", b""),
            Answer::Unreadable(Unreadable::NoRule) => ("404 Not Found", b""),
            Answer::Unreadable(Unreadable::Field(name)) => ("400 Bad Request", name.as_bytes()),
            Answer::Failed | Answer::UnknownRole => ("500 Internal Server Error", b""),
        }
    }

    /// Header lines of an application server.
    fn server_headers(&self) -> &'a [u8] {
        match self {
            Answer::Completed(output) => output.headers,
            _ => b"",
        }
    }

    /// How long to stay away, in ms, rounded up; never 0.
    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Answer::Rejected { retry_after: 0, .. } => None,
            Answer::Rejected { retry_after, .. } => Some(retry_after.div_ceil(MILLISECOND)),
            _ => None,
        }
    }

    fn forbids_retry_elsewhere(&self) -> bool {
        matches!(
            self,
            Answer::Rejected {
                no_retry_elsewhere: true,
                ..
            }
        )
    }
}

/// Encodes an answer to the request with this wire id, with the node's load signal if it has one.
pub fn write(
    out: &mut Vec<u8>,
    protocol: Protocol,
    wire_id: u16,
    answer: Answer,
    backpressure: Option<f32>,
) {
    if let (Some(status), Protocol::FastCgi) = (answer.protocol_status(), protocol) {
        return fastcgi::write_end_request(out, wire_id, status);
    }
    let (status, body) = answer.status_and_body();
    let header_lines = answer.server_headers();
    let backpressure = backpressure.map(|value| value.to_string());
    let retry_after = answer.retry_after_ms().map(|ms| ms.to_string());
    let mut headers = Vec::with_capacity(4);
    if header_lines.is_empty() {
        headers.push(("Content-Type", DEFAULT_CONTENT_TYPE));
    }
    if let Some(value) = &backpressure {
        headers.push(("X-Load-Signal", value));
    }
    if let Some(ms) = &retry_after {
        headers.push(("Retry-After-Ms", ms));
    }
    if answer.forbids_retry_elsewhere() {
        headers.push(("X-Dont-Retry", "1"));
    }
    let head = ResponseHead {
        status,
        headers: &headers,
        extra_lines: header_lines,
    };
    doortrack_protocols::write_response(protocol, out, wire_id, head, body);
}
