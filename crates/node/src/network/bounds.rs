//! Resource bounds of the node's sockets, which protect it from misbehaving clients and peers.
//!
//! None of them takes part in an admission decision, and a well-behaved dispatcher reaches none of them.

use doortrack_time::{MILLISECOND, TenthMillis};

/// Requests that one connection may have pending; the protocol's own limit.
pub const MAX_PENDING_REQUESTS: usize = 32;
/// Bytes of one request's variables.
pub const MAX_PARAMS_BYTES: usize = 8192;
/// Bytes of one request's body.
pub const MAX_BODY_BYTES: usize = 2048;
/// Bytes of record headers and padding that a request may need beside its variables and body.
const MAX_FRAMING_BYTES: usize = 1024;
/// Bytes read from one connection without completing a request: as many as all its pending requests can need.
pub const MAX_INCOMPLETE_BYTES: usize =
    MAX_PENDING_REQUESTS * (MAX_PARAMS_BYTES + MAX_BODY_BYTES + MAX_FRAMING_BYTES);
/// While a connection has this many bytes of answers that its peer has not read, nothing is read from it, and what
/// was read already is not split into further requests. It can have more by the one answer that meets the bound,
/// and by the answers to requests that are pending on it then.
pub const MAX_UNREAD_ANSWER_BYTES: usize = 64 * 1024;
/// Bytes that an empty write buffer keeps allocated.
pub const RETAINED_WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes read from one connection before the next one gets its turn.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Sweeps that half requests may outlast on a connection that is being closed. Until then the rest may show that one
/// repeats a request that ran, which must not be refused.
pub const MAX_CLOSING_SWEEPS: u8 = 2;
/// Listeners at once, those that are draining included.
pub const MAX_LISTENERS: usize = 24;
/// Reads of a connection whose listener drains: enough for all that may be pending on it.
pub const MAX_FINAL_READS: usize = 8;
/// Connections accepted in a row before open ones get their turn.
pub const MAX_ACCEPTS_PER_EVENT: usize = 64;
/// Connections evicted at once. Finding them takes a pass over the table, which this many share.
pub const MAX_EVICTIONS: usize = 16;
/// A connection with activity this recent is not evicted, as a request may be under way on it: two clients that
/// connect at once would otherwise evict each other.
pub const EVICTION_GRACE: TenthMillis = 25 * MILLISECOND;
/// Slots of a table for each one that is kept spare; a smaller table has no spare slot.
const SLOTS_PER_SPARE: usize = 16;
/// Connections that the system queues for a listener at the least. A client that finds the queue full retries
/// only after 1 s.
const MIN_BACKLOG: usize = 1024;
/// Upper bound of [`request_read_timeout`].
const MAX_REQUEST_READ_TIMEOUT: TenthMillis = 2_000 * MILLISECOND;
/// A request's timestamp may be off by this many times the longest deadline. Beyond that the sender's clock is
/// wrong, and the request's age would look like overload.
const MAX_TIMESTAMP_SKEW_DEADLINES: TenthMillis = 10;
/// Bytes of one line from the engine: ten times a notice with a result of 4 KiB.
pub const MAX_ENGINE_LINE_BYTES: usize = 64 * 1024;

/// How long a connection may take to deliver a request, from its first byte; no caller waits for longer than
/// `longest_deadline`.
pub fn request_read_timeout(longest_deadline: TenthMillis) -> TenthMillis {
    longest_deadline.min(MAX_REQUEST_READ_TIMEOUT)
}

/// The backlog of a listener: one connection for each of the table's `slots`, and at least 1,024.
pub fn backlog(slots: usize) -> i32 {
    i32::try_from(slots.max(MIN_BACKLOG)).unwrap_or(i32::MAX)
}

/// Slots of a table of `slots` that are kept free, so that connections can be closed in order before their
/// slots are needed.
pub fn spare_slots(slots: usize) -> usize {
    (slots / SLOTS_PER_SPARE).min(MAX_EVICTIONS)
}

/// Whether a request's timestamp is too far from `now` to be taken for its arrival.
pub fn is_implausible_timestamp(
    timestamp: TenthMillis,
    now: TenthMillis,
    longest_deadline: TenthMillis,
) -> bool {
    timestamp.abs_diff(now) > longest_deadline.saturating_mul(MAX_TIMESTAMP_SKEW_DEADLINES)
}
