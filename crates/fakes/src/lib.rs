//! Everything that a node talks to, played by a script: for tests, benches and the example, on loopback only.
//!
//! [`fixture::NodeSetup`] starts the program on an address of its own. [`engine::Engine`] plays the engine a line at a
//! time. [`caller`] asks over either protocol as one does that knows its manners, [`records`] builds FastCGI
//! byte by byte for those that do not, and [`server::Server`] is an application server over either protocol
//! whose every answer follows a [`server::Behavior`]. [`idle::IdleClients`] hold connections open and ask little.
//!
//! Whatever waits here has long limits, so that a slow machine changes no verdict. A failure is a panic: a
//! stand-in is part of its test.

pub mod caller;
pub mod child_process;
pub mod engine;
pub mod fixture;
pub mod idle;
pub mod immediate;
pub mod interrupt;
pub mod records;
pub mod rules;
pub mod scratch_folder;
pub mod server;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The longest that anything is waited for.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Now, in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A stream cut at these places, in whatever order they are named.
pub fn split_at_offsets(stream: &[u8], mut places: Vec<usize>) -> Vec<&[u8]> {
    places.sort_unstable();
    let (mut parts, mut from) = (Vec::new(), 0);
    for place in places {
        parts.push(&stream[from..place]);
        from = place;
    }
    parts.push(&stream[from..]);
    parts
}

/// The name of the nth try: 16 hex digits.
pub fn attempt_id(n: u64) -> String {
    format!("{n:016x}")
}
