//! Who sends requests to this node, and whether the same callers come again.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::recent_set::RecentSet;

/// A caller counts as recent for one to two of these after its last request.
const RECENT_WINDOW: TenthMillis = 10_000 * MILLISECOND;
/// Bound on the callers of one window.
const MAX_CALLERS: usize = 4096;
/// Weight of the newest request in the share of unknown callers: a mean of about fifty requests.
const UNKNOWN_NEWEST_WEIGHT: f32 = 0.02;
/// Callers return where fewer than this share of the requests are from unknown ones.
const MAX_UNKNOWN_OF_RETURNING: f32 = 0.6;

/// The callers that sent requests of late.
#[derive(Debug)]
pub(crate) struct RecentCallers {
    seen: RecentSet,
    /// Share of the requests that came from callers not seen of late.
    unknown_rate: f32,
}

impl RecentCallers {
    /// In a fresh process each caller is unknown.
    pub(crate) fn new() -> Self {
        Self {
            seen: RecentSet::new(RECENT_WINDOW, MAX_CALLERS),
            unknown_rate: 1.0,
        }
    }

    /// A request of this caller was read.
    pub(crate) fn record(&mut self, caller: u64, now: TenthMillis) {
        let unknown = !self.seen.contains(caller);
        self.unknown_rate += UNKNOWN_NEWEST_WEIGHT * (f32::from(unknown) - self.unknown_rate);
        self.seen.rotate_if_due(now);
        self.seen.insert(caller);
    }

    /// Whether most requests come from callers that have been here of late.
    pub(crate) fn are_returning(&self) -> bool {
        self.unknown_rate < MAX_UNKNOWN_OF_RETURNING
    }

    /// Number of callers in a window, at least 1.
    pub(crate) fn count(&self) -> usize {
        self.seen.len_of_larger_generation().max(1)
    }
}
