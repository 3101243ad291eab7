//! What keeps a bad client or peer off: the bounds of the wire's own protection, in this one place. None of
//! them is a decision on work, and a sound dispatcher meets none of them.

use doortrack_time::{MILLISECOND, TenthMillis};

/// Requests that one connection may have open, by the protocol.
pub const MOST_OPEN: usize = 32;
/// Parameters of one request; with its body this is what a request may cost while it is read.
pub const MOST_PARAMS: usize = 8192;
pub const MOST_BODY: usize = 2048;
/// Bytes read off one connection with no whole request in them: as many as all that it may have open can
/// take, with their records. Past that come bodies of many MB, or records for nobody.
pub const MOST_UNWHOLE: usize = MOST_OPEN * (MOST_PARAMS + MOST_BODY + 1024);
/// A connection with so many answers unread is not read further until they are.
pub const MOST_UNREAD: usize = 64 * 1024;
/// What a buffer keeps once it is empty; so much unread is everyone's fair part of the room for answers.
pub const FAIR_UNREAD: usize = 16 * 1024;
/// How much is read off one connection before the others have their turn.
pub const TURN: usize = 64 * 1024;
/// Fronts at once, those that are drained after a new installation included.
pub const MOST_FRONTS: usize = 24;
/// Turns of reading that a connection has at the very end: all that it may have open, with room to spare.
pub const LAST_TURNS: usize = 8;
/// Connections accepted before those that are open have their turn.
pub const ACCEPTS: usize = 64;
/// Connections that never asked for anything, let go of at once where the table is full: so that looking them
/// out costs each that comes little.
pub const EVICTED: usize = 16;
/// On a connection where something moved so lately a request may be under way, so it is not let go of for
/// another: two callers that come at once would push each other out.
pub const FRESH: TenthMillis = 25 * MILLISECOND;
/// One place in this many is kept free ahead of need, so that who is let go of can be told the end in order
/// before its place is taken. A smaller table has none to spare.
const PLACES_A_SPARE: usize = 16;
const LEAST_BACKLOG: usize = 1024;
/// Most that a connection has for a whole request, from its start or from when one began to come.
const WHOLE_WITHIN: TenthMillis = 2_000 * MILLISECOND;
/// A stamp so many times the longest deadline away from now was not written by a sound clock. DeploymentSettings
/// over, it would pass for a node that drowns.
const FAR_OFF: TenthMillis = 10;

/// No notice of the engine is longer: a result of 4 KiB in base64 with its frame is a tenth of it.
pub const MOST_LINE: usize = 64 * 1024;

/// How long a connection may take over a request, where nobody waits for anything beyond `longest_deadline`.
pub fn whole_within(longest_deadline: TenthMillis) -> TenthMillis {
    longest_deadline.min(WHOLE_WITHIN)
}

/// Connections that the system holds for a front until they are accepted: as many as the table has places. A
/// small one has more, as those that find no place there are asked again by their system only after 1 s.
pub fn backlog(places: usize) -> i32 {
    i32::try_from(places.max(LEAST_BACKLOG)).unwrap_or(i32::MAX)
}

/// Places of a table that are kept free ahead of need.
pub fn spare(places: usize) -> usize {
    (places / PLACES_A_SPARE).min(EVICTED)
}

pub fn is_far_off(stamp: TenthMillis, now: TenthMillis, longest_deadline: TenthMillis) -> bool {
    stamp.abs_diff(now) > longest_deadline.saturating_mul(FAR_OFF)
}
