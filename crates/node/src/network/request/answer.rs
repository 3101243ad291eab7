//! Answers to requests and their encoding.

use doortrack_protocols::fastcgi::{self, ProtocolStatus};
use doortrack_protocols::{Protocol, ResponseHead};
use doortrack_time::{MILLISECOND, TenthMillis};

use super::Unreadable;

/// The content type of an answer without headers of an application server.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// The result of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunOutput<'a> {
    /// Header lines, each with its line end; empty for a run at the engine.
    pub headers: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

impl<'a> From<&'a [u8]> for RunOutput<'a> {
    fn from(body: &'a [u8]) -> RunOutput<'a> {
        RunOutput { headers: &[], body }
    }
}

/// Why a request is refused before it reaches admission. Each refusal tells the caller that nothing ran, so the
/// caller may have the request run at another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Nothing has run on this node yet, as its backend has never been up.
    NotStarted,
    /// [`ResourceLimits::open_requests`](doortrack_config::ResourceLimits::open_requests) are open.
    OpenRequests,
    /// [`MAX_PENDING_REQUESTS`](crate::network::bounds::MAX_PENDING_REQUESTS) are pending on the connection.
    PendingRequests,
    /// The table of results has no room for another idempotency key.
    ResultTable,
    /// The connection is being closed.
    ConnectionClosing,
    /// The request is still incomplete when its connection has to end.
    Incomplete,
}

impl RefusalReason {
    /// Returns the reason's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::NotStarted => "not_started",
            RefusalReason::OpenRequests => "open_requests",
            RefusalReason::PendingRequests => "pending_requests",
            RefusalReason::ResultTable => "result_table",
            RefusalReason::ConnectionClosing => "connection_closing",
            RefusalReason::Incomplete => "incomplete",
        }
    }
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer<'a> {
    /// The request has run.
    Completed(RunOutput<'a>),
    /// Admission rejected the request.
    Rejected {
        /// Another node would reject the request too.
        no_retry_elsewhere: bool,
        /// How long to wait at least before a retry; 0 if the answer does not say.
        retry_after: TenthMillis,
    },
    /// The request may have run, but has no result.
    Failed,
    /// The answer to a health check.
    Health {
        /// Whether the node takes requests.
        healthy: bool,
    },
    /// The request could not be decoded, so it did not reach admission.
    Unreadable(Unreadable),
    /// A resource bound of the sockets is reached or the connection is being closed, so the request did not reach
    /// admission.
    NoCapacity(RefusalReason),
    /// The request has a FastCGI role other than responder.
    UnknownRole,
}

impl<'a> Answer<'a> {
    /// The answer to a request whose rest can't be waited for. It does not tell whether the request repeats one that
    /// ran.
    pub const INCOMPLETE: Answer<'static> = Answer::Unreadable(Unreadable::Field("record"));

    /// Returns the FastCGI protocol status of a request that was not passed to the application.
    fn protocol_status(&self) -> Option<ProtocolStatus> {
        match self {
            Answer::NoCapacity(_) => Some(ProtocolStatus::Overloaded),
            Answer::UnknownRole => Some(ProtocolStatus::UnknownRole),
            _ => None,
        }
    }

    fn status_and_body(&self) -> (&'static str, &'a [u8]) {
        match *self {
            Answer::Completed(output) => ("200 OK", output.body),
            Answer::Health { healthy: true } => ("200 OK", b"good\n"),
            Answer::Health { healthy: false } | Answer::Rejected { .. } | Answer::NoCapacity(_) => {
                ("503 Service Unavailable", b"")
            }
            Answer::Unreadable(Unreadable::TooLong) => ("413 Content Too Large", b""),
            Answer::Unreadable(Unreadable::NoRule) => ("404 Not Found", b""),
            Answer::Unreadable(Unreadable::Field(name)) => ("400 Bad Request", name.as_bytes()),
            Answer::Failed | Answer::UnknownRole => ("500 Internal Server Error", b""),
        }
    }

    /// Returns the header lines of an application server.
    fn server_headers(&self) -> &'a [u8] {
        match self {
            Answer::Completed(output) => output.headers,
            _ => b"",
        }
    }

    /// Returns how long to wait before a retry, in ms, rounded up; never 0.
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

/// Encodes the answer to the request with this wire id, and the node's backpressure if it has one.
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
