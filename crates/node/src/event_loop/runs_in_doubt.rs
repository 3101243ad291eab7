//! How long the node waits for the end of a run that may never have reached the engine.

use std::collections::VecDeque;

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;

/// How long the end of such a run is awaited, in multiples of the longest deadline: until its caller was answered, and for
/// as long again.
const MAX_WAIT_DEADLINES: TenthMillis = 2;

/// Runs whose end is awaited, in the order in which they are given up.
pub(super) struct RunsInDoubt {
    max_wait: TenthMillis,
    queue: VecDeque<(TenthMillis, RequestId)>,
}

impl RunsInDoubt {
    /// Creates an empty queue. No caller waits for longer than `longest_deadline`.
    pub(super) fn new(longest_deadline: TenthMillis) -> RunsInDoubt {
        RunsInDoubt {
            max_wait: longest_deadline.saturating_mul(MAX_WAIT_DEADLINES),
            queue: VecDeque::new(),
        }
    }

    /// Adds a run.
    pub(super) fn push(&mut self, id: RequestId, now: TenthMillis) {
        self.queue
            .push_back((now.saturating_add(self.max_wait), id));
    }

    /// When the next run is given up; [`TenthMillis::MAX`] if there is none.
    pub(super) fn next_due(&self) -> TenthMillis {
        self.queue.front().map_or(TenthMillis::MAX, |(due, _)| *due)
    }

    /// Removes the next run if it is given up now.
    pub(super) fn pop_due(&mut self, now: TenthMillis) -> Option<RequestId> {
        if self.next_due() > now {
            return None;
        }
        self.queue.pop_front().map(|(_, id)| id)
    }
}
