//! Established sessions, whose requests are the last to be rejected in an overload.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::recent_set::RecentSet;

/// A session stays established for one to two windows after its last completed request.
const IDLE_WINDOW: TenthMillis = 20_000 * MILLISECOND;
/// Maximum number of sessions recorded per window.
const MAX_SESSIONS: usize = 4096;
/// Session key of a request whose session is not known.
const NO_SESSION: u64 = 0;

/// The sessions that recently had a request completed at this node.
#[derive(Debug)]
pub(crate) struct EstablishedSessions(RecentSet);

impl EstablishedSessions {
    /// Creates an empty set, in which no session is established.
    pub(crate) fn new() -> Self {
        Self(RecentSet::new(IDLE_WINDOW, MAX_SESSIONS))
    }

    /// Returns `true` if the session is established. [`NO_SESSION`] never is.
    pub(crate) fn contains(&self, session_key: u64) -> bool {
        session_key != NO_SESSION && self.0.contains(session_key)
    }

    /// Records a completed request of the session, if it belongs to one.
    pub(crate) fn record_completed(&mut self, session_key: u64) {
        if session_key != NO_SESSION {
            self.0.insert(session_key);
        }
    }

    /// Removes idle sessions. Called on each turn.
    pub(crate) fn maintain(&mut self, now: TenthMillis) {
        self.0.rotate_if_due(now);
    }
}
