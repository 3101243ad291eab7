//! A caller with one persistent FastCGI connection and one request in flight, and a fixed request rate.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use doortrack_fakes::unix_ms;
use doortrack_protocols::{Protocol, ResponseOutcome, ResponseReader, write_request};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_ID: u16 = 1;
const MAX_RESPONSE_LEN: usize = 64 * 1024;
/// Largest latency that the histograms distinguish, in ns.
const MAX_LATENCY_NS: u64 = 60_000_000_000;

/// The next attempt id.
static NEXT_ATTEMPT_ID: AtomicU64 = AtomicU64::new(1);

/// The variable parts of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub path: &'a str,
    pub tenant: &'a str,
    pub idempotency_key: Option<u64>,
}

/// The outcome of a request that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    /// Never run: 429 or 503.
    Rejected,
    /// FastCGI OVERLOADED: a table of the node is full.
    Refused,
    Failed,
    /// The node could not parse or classify the request and answered with this status.
    Unreadable(u16),
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcomes {
    pub completed: u64,
    pub rejected: u64,
    pub refused: u64,
    pub failed: u64,
    pub unreadable: u64,
    /// The connection ended, or no response came in time.
    pub unanswered: u64,
}

impl Outcomes {
    pub fn count(&mut self, outcome: &io::Result<Outcome>) {
        let counter = match outcome {
            Ok(Outcome::Completed) => &mut self.completed,
            Ok(Outcome::Rejected) => &mut self.rejected,
            Ok(Outcome::Refused) => &mut self.refused,
            Ok(Outcome::Failed) => &mut self.failed,
            Ok(Outcome::Unreadable(_)) => &mut self.unreadable,
            Err(_) => &mut self.unanswered,
        };
        *counter += 1;
    }

    pub fn add(&mut self, other: &Outcomes) {
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unreadable += other.unreadable;
        self.unanswered += other.unanswered;
    }

    pub fn all(&self) -> u64 {
        self.completed
            + self.rejected
            + self.refused
            + self.failed
            + self.unreadable
            + self.unanswered
    }
}

/// A persistent connection.
pub struct Connection {
    socket: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// # Errors
    /// The address accepts no connection.
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        Connection::on(TcpStream::connect(address)?, RESPONSE_TIMEOUT)
    }

    /// Opens a connection with a timeout for connecting and for each response.
    ///
    /// # Errors
    /// The address accepts no connection within `within`.
    pub fn open_within(address: SocketAddr, within: Duration) -> io::Result<Connection> {
        Connection::on(TcpStream::connect_timeout(&address, within)?, within)
    }

    fn on(socket: TcpStream, within: Duration) -> io::Result<Connection> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(within))?;
        Ok(Connection {
            socket,
            buffer: vec![0; 4096],
        })
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    /// The connection ends, or no response comes in time.
    pub fn ask(&mut self, request: &Request) -> io::Result<Outcome> {
        let attempt_id = format!("{:016x}", NEXT_ATTEMPT_ID.fetch_add(1, Ordering::Relaxed));
        let key = request.idempotency_key.map(|key| format!("{key:032x}"));
        let now = unix_ms().to_string();
        let mut fields = vec![
            ("SCRIPT_NAME", request.path),
            ("REQUEST_METHOD", "POST"),
            ("HTTP_X_REQUEST_ID", &*attempt_id),
            ("HTTP_X_REQUEST_START", &*now),
            ("HTTP_X_CALLER", "1"),
            ("HTTP_X_MEMORY_KB", "2.5"),
            ("HTTP_X_RANK", "0.5"),
            ("HTTP_X_TENANT", request.tenant),
        ];
        fields.extend(key.as_deref().map(|key| ("HTTP_IDEMPOTENCY_KEY", key)));
        self.exchange(&fields)
    }

    /// Sends a health check.
    ///
    /// # Errors
    /// The same errors as [`Connection::ask`].
    pub fn check_health(&mut self) -> io::Result<Outcome> {
        self.exchange(&[("SCRIPT_NAME", "/status/live"), ("REQUEST_METHOD", "GET")])
    }

    /// Returns true if the other side has not closed the connection. No request may be in flight.
    pub fn is_open(&self) -> bool {
        let unblocked = self.socket.set_nonblocking(true).is_ok();
        let seen = self.socket.peek(&mut [0]);
        let blocked = self.socket.set_nonblocking(false).is_ok();
        unblocked && blocked && seen.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn exchange(&mut self, fields: &[(&str, &str)]) -> io::Result<Outcome> {
        let pairs: Vec<_> = fields
            .iter()
            .map(|(name, value)| (name.as_bytes(), value.as_bytes()))
            .collect();
        let mut bytes = Vec::with_capacity(512);
        write_request(
            Protocol::FastCgi,
            &mut bytes,
            REQUEST_ID,
            true,
            &pairs,
            b"{}",
        )
        .map_err(io::Error::other)?;
        self.socket.write_all(&bytes)?;
        let mut reader = ResponseReader::new(Protocol::FastCgi, REQUEST_ID, MAX_RESPONSE_LEN);
        loop {
            let count = self.socket.read(&mut self.buffer)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let mut input = &self.buffer[..count];
            if let Some(answered) = reader.read(&mut input).map_err(io::Error::other)? {
                return Ok(outcome(&answered));
            }
        }
    }
}

fn outcome(answered: &ResponseOutcome) -> Outcome {
    match answered {
        ResponseOutcome::Refused(_) => Outcome::Refused,
        ResponseOutcome::Complete(answer) => match answer.status {
            200 => Outcome::Completed,
            429 | 503 => Outcome::Rejected,
            500 => Outcome::Failed,
            status => Outcome::Unreadable(status),
        },
    }
}

/// Returns an empty histogram of latencies in ns.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3).expect("bounds that make sense")
}

/// Calls `action` `rate` times per second at equal intervals, with the number of the call and its due time.
/// Late calls are not skipped.
pub fn paced(rate: f64, duration: Duration, mut action: impl FnMut(usize, Instant)) {
    let start = Instant::now();
    let period = Duration::from_secs_f64(1.0 / rate);
    for nth in 0..(rate * duration.as_secs_f64()) as usize {
        let due = start + period * nth as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        action(nth, due);
    }
}
