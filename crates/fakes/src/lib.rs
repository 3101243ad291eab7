//! Scripted peers of a node for tests, benches and the example. They use loopback addresses only.
//!
//! - [`fixture::NodeSetup`] starts the program on an address of its own.
//! - [`engine::Engine`] is an engine that a test drives line by line.
//! - [`caller`] sends well-formed requests over either protocol.
//! - [`records`] builds FastCGI records byte by byte, also malformed ones.
//! - [`unreliable_engine::UnreliableEngine`] is an engine whose link is reset again and again.
//! - [`server::Server`] is an application server that answers each request as its [`server::Behavior`] says.
//! - [`immediate`] has an engine and servers that answer at once, for load tests.
//! - [`fault_shim::FaultShim`] steps a node's wall clock and fails its system calls.
//! - [`holding_proxy::HoldingProxy`] holds back what callers write.
//! - [`idle::IdleClients`] keep connections open and send little or nothing.
//!
//! Timeouts are long, so that a slow machine does not fail a test. Errors panic, as in any other test code.

pub mod caller;
pub mod child_process;
pub mod engine;
pub mod fault_shim;
pub mod fixture;
pub mod holding_proxy;
pub mod idle;
pub mod immediate;
pub mod interrupt;
pub mod records;
pub mod rules;
pub mod scratch_folder;
pub mod server;
pub mod unreliable_engine;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Timeout of every wait.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// The current time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Splits a stream at byte offsets, which may be in any order.
pub fn split_at_offsets(stream: &[u8], mut offsets: Vec<usize>) -> Vec<&[u8]> {
    offsets.sort_unstable();
    let (mut pieces, mut start) = (Vec::new(), 0);
    for offset in offsets {
        pieces.push(&stream[start..offset]);
        start = offset;
    }
    pieces.push(&stream[start..]);
    pieces
}

/// The id of an attempt: its number as 16 hex digits.
pub fn attempt_id(number: u64) -> String {
    format!("{number:016x}")
}
