//! A caller over either protocol, one connection for each request: the same test body serves both.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use doortrack_protocols::{Protocol, ResponseOutcome, ResponseReader, write_request};

use crate::fixture::connect;
use crate::{MAX_WAIT, attempt_id, unix_ms};

/// One request as a caller writes it. Fields in `more` replace those of the same name; with an empty value a
/// field is left out, and what is named twice is sent twice.
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

    /// The bytes of the whole request.
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

    /// The same where the node may be gone.
    pub fn try_send(&self, at: SocketAddr, protocol: Protocol) -> std::io::Result<PendingAnswer> {
        let mut sock = TcpStream::connect(at)?;
        sock.set_read_timeout(Some(MAX_WAIT))?;
        sock.write_all(&self.bytes(protocol))?;
        Ok(PendingAnswer { sock, protocol })
    }

    /// Sends it whole on a connection of its own.
    pub fn send(&self, at: SocketAddr, protocol: Protocol) -> PendingAnswer {
        let mut sock = connect(at);
        sock.write_all(&self.bytes(protocol)).unwrap();
        PendingAnswer { sock, protocol }
    }
}

/// What a request came to, in words that are the same for every protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    Completed(Vec<u8>),
    /// Told that it was not run, with when to come back in ms, and whether to try no other node.
    Rejected {
        retry_after: Option<u64>,
        no_retry_elsewhere: bool,
    },
    Failed,
    /// Answered as one that can't be read, by status and text.
    Unreadable(u16, String),
    /// The connection ended without a whole answer.
    Nothing,
}

/// A request that waits for its answer.
pub struct PendingAnswer {
    pub sock: TcpStream,
    pub protocol: Protocol,
}

impl PendingAnswer {
    /// Sends nothing more, and still reads.
    pub fn half_close(&self) {
        self.sock.shutdown(Shutdown::Write).unwrap();
    }

    /// Breaks the connection so that the other side learns of it.
    pub fn reset(self) {
        let sock = socket2::Socket::from(self.sock);
        sock.set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }

    /// Reads to the end of the answer, and after it to that of the connection.
    pub fn outcome(self) -> CallerOutcome {
        self.outcome_with_headers().0
    }

    /// As `seen`, with the headers of the answer.
    pub fn outcome_with_headers(mut self) -> (CallerOutcome, BTreeMap<String, String>) {
        let mut bytes = Vec::new();
        match self.sock.read_to_end(&mut bytes) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            Err(e) => panic!("no end of the connection: {e}"),
        }
        parse_response(self.protocol, &bytes)
    }
}

/// What the bytes of one connection say.
pub fn parse_response(
    protocol: Protocol,
    bytes: &[u8],
) -> (CallerOutcome, BTreeMap<String, String>) {
    let mut reader = ResponseReader::new(protocol, 1, usize::MAX);
    let mut input = bytes;
    let answered = match reader.read(&mut input) {
        Ok(Some(answered)) => answered,
        Ok(None) | Err(_) => return (CallerOutcome::Nothing, BTreeMap::new()),
    };
    assert!(input.is_empty(), "{} bytes follow the answer", input.len());
    let answer = match answered {
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
    let seen = match answer.status {
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
    (seen, headers)
}
