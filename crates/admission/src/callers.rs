//! Tracks which callers send requests to this node, and whether they return.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::recent_set::RecentSet;

/// A caller counts as recent for one to two windows after its last request.
const RECENT_WINDOW: TenthMillis = 10_000 * MILLISECOND;
/// Maximum number of callers recorded per window.
const MAX_CALLERS: usize = 4096;
/// Weight of the newest request in the rate of unknown callers, which makes it a mean over about 50
/// requests.
const UNKNOWN_NEWEST_WEIGHT: f32 = 0.02;
/// Rate of unknown callers below which callers count as returning.
const RETURNING_UNKNOWN_RATE: f32 = 0.6;

/// The callers that sent requests recently.
#[derive(Debug)]
pub(crate) struct RecentCallers {
    seen: RecentSet,
    /// Share of the requests that came from callers not seen recently.
    unknown_rate: f32,
}

impl RecentCallers {
    /// Creates an empty set, with which every caller is unknown.
    pub(crate) fn new() -> Self {
        Self {
            seen: RecentSet::new(RECENT_WINDOW, MAX_CALLERS),
            unknown_rate: 1.0,
        }
    }

    /// Records a request of this caller.
    pub(crate) fn record(&mut self, caller: u64, now: TenthMillis) {
        let unknown = !self.seen.contains(caller);
        self.unknown_rate += UNKNOWN_NEWEST_WEIGHT * (f32::from(unknown) - self.unknown_rate);
        self.seen.rotate_if_due(now);
        self.seen.insert(caller);
    }

    /// Returns `true` if many of the requests come from recent callers.
    pub(crate) fn are_returning(&self) -> bool {
        self.unknown_rate < RETURNING_UNKNOWN_RATE
    }

    /// Returns the number of recent callers, at least 1.
    pub(crate) fn count(&self) -> usize {
        self.seen.len_of_larger_generation().max(1)
    }
}
