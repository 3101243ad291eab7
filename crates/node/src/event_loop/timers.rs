//! The admission controller's timers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_time::TenthMillis;

/// Timers that the admission controller has set and that have not fired yet.
#[derive(Default)]
pub(super) struct Timers {
    /// Due times and tokens, earliest first.
    queue: BinaryHeap<Reverse<(TenthMillis, u64)>>,
}

impl Timers {
    /// Sets a timer. The token is returned when the timer fires.
    pub(super) fn set(&mut self, at: TenthMillis, token: u64) {
        self.queue.push(Reverse((at, token)));
    }

    /// When the earliest timer is due; [`TenthMillis::MAX`] if there is none.
    pub(super) fn next_due(&self) -> TenthMillis {
        self.queue
            .peek()
            .map_or(TenthMillis::MAX, |Reverse((at, _))| *at)
    }

    /// Removes the earliest timer if it is due, and returns its token.
    pub(super) fn pop_due(&mut self, now: TenthMillis) -> Option<u64> {
        if self.queue.is_empty() || self.next_due() > now {
            return None;
        }
        self.queue.pop().map(|Reverse((_, token))| token)
    }

    /// True if any timer is due.
    pub(super) fn is_due(&self, now: TenthMillis) -> bool {
        !self.queue.is_empty() && self.next_due() <= now
    }
}
