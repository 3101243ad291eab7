//! Established sessions, which an overload affects last.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::recent_set::RecentSet;

/// A session stays established for one to two windows after its last completed request.
const IDLE_WINDOW: TenthMillis = 20_000 * MILLISECOND;
/// Most sessions that are kept for one window.
const MAX_SESSIONS: usize = 4096;
/// Key of a request whose session is not known.
const NO_SESSION: u64 = 0;

/// The sessions that had a request completed here recently.
#[derive(Debug)]
pub(crate) struct EstablishedSessions(RecentSet);

impl EstablishedSessions {
    /// Creates an empty set: at the start no session is established.
    pub(crate) fn new() -> Self {
        Self(RecentSet::new(IDLE_WINDOW, MAX_SESSIONS))
    }

    /// Whether the session is established. A request without a session key has none.
    pub(crate) fn contains(&self, session_key: u64) -> bool {
        session_key != NO_SESSION && self.0.contains(session_key)
    }

    /// A request of the session, if it has one, was completed.
    pub(crate) fn record_completed(&mut self, session_key: u64) {
        if session_key != NO_SESSION {
            self.0.insert(session_key);
        }
    }

    /// Forgets idle sessions. Called in each turn.
    pub(crate) fn maintain(&mut self, now: TenthMillis) {
        self.0.rotate_if_due(now);
    }
}
