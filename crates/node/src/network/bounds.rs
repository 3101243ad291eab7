//! Resource bounds of the node's sockets, which protect it from misbehaving clients and peers.
//!
//! These bounds play no part in admission decisions, and a well-behaved dispatcher never reaches them.

use doortrack_time::{MILLISECOND, TenthMillis};

/// Maximum number of requests pending on one connection; the protocol's own limit. Requests beyond it are not run.
pub const MAX_PENDING_REQUESTS: usize = 32;
/// Maximum number of requests that are read beyond [`MAX_PENDING_REQUESTS`], as they may repeat one that ran, which must
/// not be rejected.
pub const MAX_EXCESS_REQUESTS: usize = 8;
/// Maximum size of one request's CGI variables, in bytes.
pub const MAX_PARAMS_BYTES: usize = 8192;
/// Maximum size of one request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 2048;
/// Maximum size of record headers and padding of one request, in bytes.
const MAX_FRAMING_BYTES: usize = 1024;
/// Maximum bytes read from one connection without completing a request: the sum of all its pending requests at
/// their maximum size.
pub const MAX_INCOMPLETE_BYTES: usize =
    MAX_PENDING_REQUESTS * (MAX_PARAMS_BYTES + MAX_BODY_BYTES + MAX_FRAMING_BYTES);
/// Bytes of answers unread by the peer from which on a connection is not read, and input that was already read is
/// not parsed into further requests. The bound can be exceeded by the answer that reaches it and by the answers to
/// requests that are pending at that time.
pub const MAX_UNREAD_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum capacity that an empty write buffer keeps allocated, in bytes.
pub const RETAINED_WRITE_BUFFER_BYTES: usize = 4 * 1024;
/// Maximum bytes read from one connection before the next connection is read.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of sweeps for which a closing connection keeps incomplete requests. The rest of such a request may
/// show that it repeats one that ran, which must not be rejected.
pub const MAX_CLOSING_SWEEPS: u8 = 2;
/// Maximum number of listeners, including those that are draining.
pub const MAX_LISTENERS: usize = 24;
/// Maximum number of reads of a connection when its listener starts to drain: enough for all requests that may be
/// pending on it.
pub const MAX_FINAL_READS: usize = 8;
/// Maximum number of times that failing accepts are repeated when a listener starts to drain.
pub const MAX_FINAL_ACCEPT_ATTEMPTS: usize = 512;
/// Maximum number of connections accepted in a row before open connections are handled.
pub const MAX_ACCEPTS_PER_EVENT: usize = 64;
/// Maximum number of connections evicted at once. Finding them takes a pass over the whole table; evicting several
/// at a time spreads that cost.
pub const MAX_EVICTIONS: usize = 16;
/// A connection that was active within this time is not evicted, as a request may be on its way. Without this
/// limit, two clients that connect at the same time would evict each other.
pub const EVICTION_GRACE: TenthMillis = 25 * MILLISECOND;
/// Number of table slots per spare slot; a table with fewer slots than this has no spare slot.
const SLOTS_PER_SPARE: usize = 16;
/// Minimum backlog of a listener, in connections. A client that finds the backlog full retries only after 1 s.
const MIN_BACKLOG: usize = 1024;
/// Upper bound of [`request_read_timeout`].
const MAX_REQUEST_READ_TIMEOUT: TenthMillis = 2_000 * MILLISECOND;
/// Maximum difference between a request's timestamp and the node's clock, in multiples of the longest deadline.
/// Beyond that the sender's clock is wrong, and the request's age would look like overload.
const MAX_TIMESTAMP_SKEW_DEADLINES: TenthMillis = 10;
/// Maximum length of one line from the engine, in bytes: ten times a notice with a result of 4 KiB.
pub const MAX_ENGINE_LINE_BYTES: usize = 64 * 1024;

/// Returns how long a connection may take to deliver a request, from its first byte. No caller waits for longer
/// than `longest_deadline`.
pub fn request_read_timeout(longest_deadline: TenthMillis) -> TenthMillis {
    longest_deadline.min(MAX_REQUEST_READ_TIMEOUT)
}

/// Returns the backlog of a listener: one connection for each of the table's `slots`, and at least 1,024.
pub fn backlog(slots: usize) -> i32 {
    i32::try_from(slots.max(MIN_BACKLOG)).unwrap_or(i32::MAX)
}

/// Returns how many of a table's `slots` are kept free, so that connections can be closed gracefully before their
/// slots are needed.
pub fn spare_slots(slots: usize) -> usize {
    (slots / SLOTS_PER_SPARE).min(MAX_EVICTIONS)
}

/// Returns true if a request's timestamp is too far from `now` to be its time of arrival.
pub fn is_implausible_timestamp(
    timestamp: TenthMillis,
    now: TenthMillis,
    longest_deadline: TenthMillis,
) -> bool {
    timestamp.abs_diff(now) > longest_deadline.saturating_mul(MAX_TIMESTAMP_SKEW_DEADLINES)
}
