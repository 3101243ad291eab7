//! A caller over either protocol, with one connection for each request, so that tests can run over both.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use doortrack_protocols::{Protocol, ResponseOutcome, ResponseReader, write_request};

use crate::fixture::connect;
use crate::{MAX_WAIT, attempt_id, unix_ms};

/// A request to send. Each field in `overrides` replaces the default of the same name; an empty value omits
/// the field, and a name that is given twice is sent twice.
#[derive(Clone, Debug)]
pub struct CallerRequest<'a> {
    pub attempt_number: u64,
    pub script: &'a str,
    pub overrides: Vec<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

impl<'a> CallerRequest<'a> {
    pub fn new(attempt_number: u64, script: &'a str, body: &'a [u8]) -> CallerRequest<'a> {
        CallerRequest {
            attempt_number,
            script,
            overrides: Vec::new(),
            body,
        }
    }

    pub fn with(mut self, name: &'a str, value: &'a str) -> CallerRequest<'a> {
        self.overrides.push((name, value));
        self
    }

    /// Encodes the whole request.
    pub fn bytes(&self, protocol: Protocol) -> Vec<u8> {
        let (id, now) = (attempt_id(self.attempt_number), unix_ms().to_string());
        let mut fields = vec![
            ("SCRIPT_NAME", self.script),
            ("REQUEST_METHOD", "POST"),
            ("HTTP_X_REQUEST_ID", &id),
            ("HTTP_X_REQUEST_START", &*now),
            ("HTTP_X_CALLER", "1"),
            ("HTTP_X_MEMORY_KB", "2.5"),
            ("HTTP_X_RANK", "0.5"),
        ];
        fields.retain(|(name, _)| self.overrides.iter().all(|(other, _)| other != name));
        fields.extend(self.overrides.iter().filter(|(_, value)| !value.is_empty()));
        let pairs: Vec<_> = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()))
            .collect();
        let mut out = Vec::new();
        write_request(protocol, &mut out, 1, false, &pairs, self.body).unwrap();
        out
    }

    /// As [`CallerRequest::send`], but returns an error if the node can't be reached.
    pub fn try_send(
        &self,
        address: SocketAddr,
        protocol: Protocol,
    ) -> std::io::Result<PendingAnswer> {
        let mut sock = TcpStream::connect(address)?;
        sock.set_read_timeout(Some(MAX_WAIT))?;
        sock.write_all(&self.bytes(protocol))?;
        Ok(PendingAnswer { sock, protocol })
    }

    /// Opens a connection and sends the whole request on it.
    pub fn send(&self, address: SocketAddr, protocol: Protocol) -> PendingAnswer {
        let mut sock = connect(address);
        sock.write_all(&self.bytes(protocol)).unwrap();
        PendingAnswer { sock, protocol }
    }
}

/// The outcome of a request, in the same form for every protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    Completed(Vec<u8>),
    /// The request was not run. `retry_after` is in ms; `no_retry_elsewhere` tells not to try another node.
    Rejected {
        retry_after: Option<u64>,
        no_retry_elsewhere: bool,
    },
    Failed,
    /// The node could not read the request: status and body of its answer.
    Unreadable(u16, String),
    /// The connection ended before a whole answer arrived.
    Nothing,
}

/// A sent request whose answer has not been read yet.
pub struct PendingAnswer {
    pub sock: TcpStream,
    pub protocol: Protocol,
}

impl PendingAnswer {
    /// Closes the sending side of the connection; the answer can still be read.
    pub fn half_close(&self) {
        self.sock.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let sock = socket2::Socket::from(self.sock);
        sock.set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }

    /// Reads until the connection ends, and returns the outcome.
    pub fn outcome(self) -> CallerOutcome {
        self.outcome_with_headers().0
    }

    /// As [`PendingAnswer::outcome`], with the headers of the answer.
    pub fn outcome_with_headers(mut self) -> (CallerOutcome, BTreeMap<String, String>) {
        let mut bytes = Vec::new();
        match self.sock.read_to_end(&mut bytes) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            Err(e) => panic!("reading the answer failed: {e}"),
        }
        parse_response(self.protocol, &bytes)
    }
}

/// Parses all bytes that a node sent on one connection, which hold at most one answer.
pub fn parse_response(
    protocol: Protocol,
    bytes: &[u8],
) -> (CallerOutcome, BTreeMap<String, String>) {
    let mut reader = ResponseReader::new(protocol, 1, usize::MAX);
    let mut unread = bytes;
    let response = match reader.read(&mut unread) {
        Ok(Some(response)) => response,
        Ok(None) | Err(_) => return (CallerOutcome::Nothing, BTreeMap::new()),
    };
    assert!(unread.is_empty(), "{} bytes after the answer", unread.len());
    let answer = match response {
        ResponseOutcome::Refused(_) => {
            return (
                CallerOutcome::Rejected {
                    retry_after: None,
                    no_retry_elsewhere: false,
                },
                BTreeMap::new(),
            );
        }
        ResponseOutcome::Complete(answer) => answer,
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers: BTreeMap<_, _> = answer
        .headers
        .iter()
        .map(|(name, value)| (name.clone(), text(value)))
        .collect();
    let outcome = match answer.status {
        200 => CallerOutcome::Completed(answer.body),
        429 | 503 => CallerOutcome::Rejected {
            retry_after: headers.get("Retry-After-Ms").map(|ms| ms.parse().unwrap()),
            no_retry_elsewhere: headers
                .get("X-Dont-Retry")
                .is_some_and(|value| value == "1"),
        },
        500 => CallerOutcome::Failed,
        status => CallerOutcome::Unreadable(status, text(&answer.body)),
    };
    (outcome, headers)
}
