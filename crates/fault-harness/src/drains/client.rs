//! A client that sends one request after another, and reuses its connection while that is open.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use doortrack_fakes::caller::{self, CallerRequest};
use doortrack_fakes::{MAX_WAIT, unix_ms};
use doortrack_protocols::Protocol;

use super::judge::{ConnectionEnd, RequestRecord};

/// Pause between the two pieces of a split request, in ms.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 0..25;
/// One request in so many is sent in two pieces.
const SPLIT_REQUEST_EVERY: usize = 5;
/// Number of idempotency keys, which all clients share.
const IDEMPOTENCY_KEYS: u64 = 2_000;
/// Requests of one client are numbered from its index shifted by this, so that no two clients share one.
const CLIENT_SHIFT: u32 = 32;
/// Type of the FastCGI record that ends an answer.
const FASTCGI_END_REQUEST: u8 = 3;
const RECORD_HEADER_BYTES: usize = 8;

/// A client's connection.
struct OpenConnection {
    sock: TcpStream,
    own_address: SocketAddr,
    opened_unix_ms: u64,
    /// Bytes written so far.
    written: u64,
}

/// A client of one listener.
pub(super) struct Client {
    random: fastrand::Rng,
    address: SocketAddr,
    protocol: Protocol,
    max_pause_ms: u64,
    /// How far the machine's wall clock is ahead of that of this process, in ms.
    wall_step_ms: i64,
    last_request: u64,
    connection: Option<OpenConnection>,
    records: Vec<RequestRecord>,
}

impl Client {
    pub(super) fn new(
        index: u64,
        seed: u64,
        address: SocketAddr,
        protocol: Protocol,
        max_pause_ms: u64,
        wall_step_ms: i64,
    ) -> Client {
        Client {
            random: fastrand::Rng::with_seed(seed ^ (index << 17)),
            address,
            protocol,
            max_pause_ms,
            wall_step_ms,
            last_request: (index + 1) << CLIENT_SHIFT,
            connection: None,
            records: Vec::new(),
        }
    }

    /// Sends requests until `is_over` is set.
    pub(super) fn run(mut self, is_over: &AtomicBool) -> Vec<RequestRecord> {
        while !is_over.load(Ordering::Relaxed) {
            if self.connect() {
                self.send();
            }
            self.pause(0..self.max_pause_ms);
        }
        self.records
    }

    fn pause(&mut self, range: std::ops::Range<u64>) {
        std::thread::sleep(Duration::from_millis(self.random.u64(range)));
    }

    /// Keeps the connection unless the node has closed it, else opens one. Returns whether there is a connection.
    fn connect(&mut self) -> bool {
        let kept = self.connection.take();
        self.connection = kept
            .filter(|connection| is_open(&connection.sock))
            .or_else(|| self.open().ok());
        self.connection.is_some()
    }

    fn open(&self) -> std::io::Result<OpenConnection> {
        let opened_unix_ms = unix_ms();
        let sock = TcpStream::connect(self.address)?;
        sock.set_nodelay(true)?;
        sock.set_read_timeout(Some(MAX_WAIT))?;
        Ok(OpenConnection {
            own_address: sock.local_addr()?,
            opened_unix_ms,
            sock,
            written: 0,
        })
    }

    /// Sends a request and reads its answer.
    fn send(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        self.last_request += 1;
        let number = self.last_request;
        let keyed = self.random.bool();
        let key = keyed.then(|| format!("{:032x}", self.random.u64(..IDEMPOTENCY_KEYS)));
        let bytes = self.encode(number, key.as_deref());
        let written = self.write(&mut connection.sock, &bytes);
        connection.written += bytes.len() as u64;
        let sent = unix_ms();
        if !written {
            return; // The node never received the whole request.
        }
        let (answer, end) = read_answer(&mut connection.sock, self.protocol);
        let (outcome, _) = caller::parse_response(self.protocol, &answer);
        let is_kept = end.is_none() && self.protocol == Protocol::FastCgi;
        let (connection_address, stream_end) = (connection.own_address, connection.written);
        let opened_unix_ms = connection.opened_unix_ms;
        self.connection = is_kept.then_some(connection);
        self.records.push(RequestRecord {
            number,
            connection: connection_address,
            opened_unix_ms,
            stream_end,
            idempotency_key: key,
            sent,
            answered: unix_ms(),
            outcome,
            has_answer_bytes: !answer.is_empty(),
            end,
        });
    }

    fn encode(&self, number: u64, key: Option<&str>) -> Vec<u8> {
        let script = if key.is_some() {
            "/svc/pay"
        } else {
            "/svc/look"
        };
        let stamp = unix_ms()
            .saturating_add_signed(self.wall_step_ms)
            .to_string();
        let request = CallerRequest::new(number, script, b"berth");
        let mut request = request.with("HTTP_X_REQUEST_START", &stamp);
        if let Some(key) = key {
            request = request.with("HTTP_IDEMPOTENCY_KEY", key);
        }
        let mut bytes = request.bytes(self.protocol);
        if self.protocol == Protocol::FastCgi {
            keep_connection(&mut bytes);
        }
        bytes
    }

    /// Writes a request, sometimes in two pieces. Returns whether all of it was written.
    fn write(&mut self, sock: &mut TcpStream, bytes: &[u8]) -> bool {
        if self.random.usize(..SPLIT_REQUEST_EVERY) > 0 {
            return sock.write_all(bytes).is_ok();
        }
        let cut = self.random.usize(1..bytes.len());
        if sock.write_all(&bytes[..cut]).is_err() {
            return false;
        }
        self.pause(PIECE_PAUSE_MS);
        sock.write_all(&bytes[cut..]).is_ok()
    }
}

/// Sets the keep-connection flag in the first record of a request.
fn keep_connection(bytes: &mut [u8]) {
    const FLAGS: usize = RECORD_HEADER_BYTES + 2;
    bytes[FLAGS] = 1;
}

/// Whether the peer has neither closed the connection nor sent unexpected data.
fn is_open(sock: &TcpStream) -> bool {
    if sock.set_nonblocking(true).is_err() {
        return false;
    }
    let nothing = sock.peek(&mut [0]);
    let waits = nothing.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    waits && sock.set_nonblocking(false).is_ok()
}

/// Reads one answer: to its last record over FastCGI, to the end of the connection over uwsgi.
fn read_answer(sock: &mut TcpStream, protocol: Protocol) -> (Vec<u8>, Option<ConnectionEnd>) {
    let (mut answer, mut part) = (Vec::new(), [0; 4096]);
    loop {
        match sock.read(&mut part) {
            Ok(0) => return (answer, Some(ConnectionEnd::Closed)),
            Ok(count) => answer.extend(&part[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                return (answer, Some(ConnectionEnd::Reset));
            }
            Err(_) => return (answer, Some(ConnectionEnd::TimedOut)),
        }
        if protocol == Protocol::FastCgi && is_complete(&answer) {
            return (answer, None);
        }
    }
}

/// Whether these FastCGI records contain the end of an answer.
fn is_complete(mut records: &[u8]) -> bool {
    while let [_, kind, _, _, high, low, padding, _, content @ ..] = records {
        let length = usize::from(*high) << 8 | usize::from(*low);
        let Some(rest) = content.get(length + usize::from(*padding)..) else {
            return false;
        };
        if *kind == FASTCGI_END_REQUEST {
            return true;
        }
        records = rest;
    }
    false
}
