//! File descriptors of this process: the limit, and the number that are open.

use std::fs;

use rustix::process::{Resource, getrlimit};

/// Number of descriptors reserved for other uses than connections of callers and to servers: 3 for the poller, 4 for
/// the signals, 9 for listeners, 1 for the link to the engine, 2 for the registry while its address changes, and 2 for
/// files that are read at a reload or for the log.
const RESERVED_DESCRIPTORS: usize = 21;
/// Minimum number of connections that a node tries to have, even with a lower descriptor limit.
const MIN_CONNECTIONS: usize = 8;

/// The soft limit on descriptors (`RLIMIT_NOFILE`).
pub fn soft_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit
        .and_then(|limit| usize::try_from(limit).ok())
        .unwrap_or(usize::MAX)
}

/// Number of open descriptors; 0 if it can't be read.
pub fn open_count() -> usize {
    // One of the listed descriptors belongs to the directory listing itself.
    fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count().saturating_sub(1))
}

/// Number of connections that the descriptor limit allows. To be called at the start, before anything is opened.
pub fn available_connections() -> usize {
    soft_limit()
        .saturating_sub(open_count() + RESERVED_DESCRIPTORS)
        .max(MIN_CONNECTIONS)
}
