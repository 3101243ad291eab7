//! Sessions that have been served here and are sheltered in overload.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::recent_set::RecentSet;

/// A session stays established for one to two of these without a completed request.
const IDLE_WINDOW: TenthMillis = 20_000 * MILLISECOND;
/// Bound on the sessions of one window.
const MAX_SESSIONS: usize = 4096;
/// Key of a request whose session is not known.
const NO_SESSION: u64 = 0;

/// The sessions of which a request was completed here of late.
#[derive(Debug)]
pub(crate) struct EstablishedSessions(RecentSet);

impl EstablishedSessions {
    /// No session is established in a fresh process.
    pub(crate) fn new() -> Self {
        Self(RecentSet::new(IDLE_WINDOW, MAX_SESSIONS))
    }

    /// Whether the session is established; a request without one never is.
    pub(crate) fn contains(&self, session_key: u64) -> bool {
        session_key != NO_SESSION && self.0.contains(session_key)
    }

    /// A request of the session was completed.
    pub(crate) fn record_completed(&mut self, session_key: u64) {
        self.0.insert(session_key);
    }

    /// Forgets sessions that have been idle; called once a turn.
    pub(crate) fn maintain(&mut self, now: TenthMillis) {
        self.0.rotate_if_due(now);
    }
}
