//! Memory of requests, in whatever stage they are, seen from outside: the peak of the process's resident memory.
//!
//! The node is suspended while its clients write, so that all of their input is read in the same turns.

use std::io::{ErrorKind, Write};
use std::time::Duration;

use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::records::{Client, record, request};
use serde_json::json;

/// Memory that the node may use, and the descriptors it may open: the least of both that the platform gives.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 384;
/// Clients beside which a few connections are left for others.
const CLIENTS: u64 = 340;
/// Bytes that each client writes while the node is suspended, if its socket takes them.
const BYTES_PER_CLIENT: usize = 256 * 1024;
const STOP_MS: u64 = 600;
/// The type of the record that withdraws a request.
const ABORT: u8 = 2;

/// A request that is nearly as long as it may be, and its withdrawal.
fn withdrawn_request(attempt_number: u64) -> Vec<u8> {
    let value = "x".repeat(120);
    let variables = vec![("HTTP_X_FILLER", value.as_str()); 55];
    let mut bytes = request(1, attempt_number, "/svc/look", &variables, &[0; 2000]);
    bytes.extend(record(ABORT, 1, b""));
    bytes
}

/// Writes without waiting. Returns false once the socket takes no more.
fn write_some(client: &mut Client, bytes: &[u8]) -> bool {
    match client.sock.write(bytes) {
        Ok(count) => count == bytes.len(),
        Err(e) if e.kind() == ErrorKind::WouldBlock => false,
        Err(e) => panic!("a client can't write: {e}"),
    }
}

/// Writes requests, each with its withdrawal, as long as the socket takes them and at most about this many bytes.
pub fn write_withdrawn_requests(client: &mut Client, nth: u64, max_bytes: usize) {
    client.sock.set_nonblocking(true).unwrap();
    let mut written = 0;
    for attempt_number in 1000 * nth.. {
        let bytes = withdrawn_request(attempt_number);
        written += bytes.len();
        if !write_some(client, &bytes) || written > max_bytes {
            return;
        }
    }
}

fn start_small_node() -> (NodeFixture, doortrack_fakes::engine::Engine) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["limits"]["memory_mb"] = json!(MEMORY_MB);
    setup.config["limits"]["sockets"] = json!(SOCKETS);
    setup.config["stop_ms"] = json!(STOP_MS);
    setup.start_with_engine()
}

/// Connects the clients, and waits until the node has accepted them all.
pub fn connect_clients(fixture: &NodeFixture, count: u64) -> Vec<Client> {
    let mut clients: Vec<Client> = (0..count).map(|_| fixture.client()).collect();
    for (client, nth) in clients.iter_mut().zip(1..) {
        client.send(&request(1, nth, "/status/live", &[], b""));
        assert_eq!(client.reply().status, 200);
    }
    clients
}

/// The peak of the node's resident memory, in MB, as its last summary tells it.
fn peak_memory_mb(fixture: NodeFixture) -> u64 {
    let (code, log) = fixture.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    let summary = log
        .lines()
        .rfind(|line| line.contains("memory_kb"))
        .unwrap();
    let value = summary.split("memory_kb").nth(1).unwrap();
    let digits: String = value
        .chars()
        .skip_while(|char| !char.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse::<u64>().unwrap() / 1024
}

/// Guards against requests that are complete and withdrawn in one turn, whose content no limit counts.
#[test]
fn withdrawn_requests_of_many_connections_stay_within_the_memory() {
    let (fixture, _engine) = start_small_node();
    let mut clients = connect_clients(&fixture, CLIENTS);
    fixture.signal("-STOP");
    for (client, nth) in clients.iter_mut().zip(1..) {
        write_withdrawn_requests(client, nth, BYTES_PER_CLIENT);
    }
    fixture.signal("-CONT");
    let mut other = fixture.client();
    other.send(&request(1, 1, "/status/live", &[], b""));
    assert_eq!(other.reply().status, 200);
    fixture.signal("-TERM");
    let peak = peak_memory_mb(fixture);
    assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB}");
}

/// Guards against holding what many connections have sent before any of it is handled, as the listeners are closed.
#[test]
fn withdrawn_requests_that_are_read_at_the_stop_stay_within_the_memory() {
    let (fixture, _engine) = start_small_node();
    let mut clients = connect_clients(&fixture, CLIENTS);
    fixture.signal("-TERM");
    // The node is past the grace of its drain, and has not closed its listeners.
    std::thread::sleep(Duration::from_millis(STOP_MS / 2));
    fixture.signal("-STOP");
    for (client, nth) in clients.iter_mut().zip(1..) {
        write_withdrawn_requests(client, nth, BYTES_PER_CLIENT);
    }
    std::thread::sleep(Duration::from_millis(STOP_MS / 2));
    fixture.signal("-CONT");
    let peak = peak_memory_mb(fixture);
    assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB}");
}
