//! Clients that hold incomplete requests at a node.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use doortrack_fakes::records::request;
use doortrack_protocols::fastcgi::{ResponseRecord, ResponseSplitter};

/// Requests that one connection may have open.
const MAX_OPEN_REQUESTS: u16 = 32;
/// Length of the last record of a request, which is empty and padded.
const LAST_RECORD_BYTES: usize = 11;
/// Length of the first record of a request with its padding.
const FIRST_RECORD_BYTES: usize = 19;
/// Length of one variable's name and value in a large request, and how many of them it has.
const LARGE_VARIABLE_BYTES: usize = 100;
const LARGE_VARIABLES: usize = 60;
/// How often a client with incomplete requests checks whether the measurement is over.
const CLIENT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What the clients send of each request.
#[derive(Clone, Copy)]
pub enum SentPart {
    /// The first record.
    Begin,
    /// All but the last record.
    AllButLastRecord,
    /// Variables of 7 kB, all but the last record.
    LargeVariables,
}

impl SentPart {
    fn bytes(self, id: u16) -> Vec<u8> {
        let value = "x".repeat(LARGE_VARIABLE_BYTES);
        let variables = match self {
            SentPart::LargeVariables => vec![("HTTP_X_FILLER", value.as_str()); LARGE_VARIABLES],
            SentPart::Begin | SentPart::AllButLastRecord => Vec::new(),
        };
        let mut bytes = request(id, u64::from(id), "/svc/pay", &variables, b"");
        let length = match self {
            SentPart::Begin => FIRST_RECORD_BYTES,
            SentPart::AllButLastRecord | SentPart::LargeVariables => {
                bytes.len() - LAST_RECORD_BYTES
            }
        };
        bytes.truncate(length);
        bytes
    }
}

/// One population of clients that hold incomplete requests.
pub struct Population {
    /// Number of clients, each with one connection.
    pub connections: usize,
    pub part: SentPart,
    /// A client begins another request for each answer.
    pub begins_again: bool,
}

impl Population {
    /// Starts the clients, which run until `stop` is set.
    pub fn start(&self, node: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let (part, begins_again) = (self.part, self.begins_again);
        (0..self.connections)
            .map(|_| {
                let stop = stop.clone();
                thread::spawn(move || hold_incomplete_requests(node, part, begins_again, &stop))
            })
            .collect()
    }
}

/// Holds incomplete requests on one connection until `stop` is set, and connects again if the connection ends.
fn hold_incomplete_requests(
    node: SocketAddr,
    part: SentPart,
    begins_again: bool,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        // The connection ends whenever the node closes it; the client then starts again.
        _ = hold_on_connection(node, part, begins_again, stop);
        thread::sleep(Duration::from_millis(5));
    }
}

fn hold_on_connection(
    node: SocketAddr,
    part: SentPart,
    begins_again: bool,
    stop: &AtomicBool,
) -> io::Result<()> {
    let mut sock = TcpStream::connect(node)?;
    sock.set_read_timeout(Some(CLIENT_POLL_INTERVAL))?;
    sock.set_write_timeout(Some(CLIENT_POLL_INTERVAL))?;
    let first: Vec<u8> = (1..=MAX_OPEN_REQUESTS)
        .flat_map(|id| part.bytes(id))
        .collect();
    sock.write_all(&first)?;
    let (mut records, mut buffer) = (ResponseSplitter::default(), [0; 16 * 1024]);
    while !stop.load(Ordering::Relaxed) {
        let count = match sock.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
            Err(e) => return Err(e),
        };
        let mut input = &buffer[..count];
        let mut next = Vec::new();
        while let Some(record) = records.next(&mut input).map_err(io::Error::other)? {
            if let ResponseRecord::End { id, .. } = record {
                next.extend(part.bytes(id));
            }
        }
        if begins_again {
            sock.write_all(&next)?;
        }
    }
    Ok(())
}
