//! The descriptors of this process: how many the system lets it have, and how many are open.

use std::fs;

use rustix::process::{Resource, getrlimit};

/// Descriptors that are not for connections of callers and to servers: 3 of the poller, 4 of the signals, 9
/// listeners, the link to the engine, 2 to the registry while it moves, 2 of files that are read at a reload or
/// for the log.
const RESERVED: usize = 21;
/// A node with a lower limit still tries for so many connections.
const MIN_CONNECTIONS: usize = 8;

/// The soft limit on descriptors (RLIMIT_NOFILE).
pub fn limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit
        .and_then(|limit| usize::try_from(limit).ok())
        .unwrap_or(usize::MAX)
}

/// Descriptors that are open; 0 where the system does not tell.
pub fn open() -> usize {
    // One of those listed is that of the listing itself.
    fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1))
}

/// Connections for which there are descriptors. To be asked at the start, before anything is opened.
pub fn connections() -> usize {
    limit()
        .saturating_sub(open() + RESERVED)
        .max(MIN_CONNECTIONS)
}
