//! The queues of requests that wait to run, one for short work and one for long work.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_time::TenthMillis;

use crate::RequestId;
use crate::in_flight::{InFlightRequest, InFlightTable, Slot, Stage};

/// Maximum time that a request waits, unread and queued, as a share of its latency objective. A
/// request rejected later has no time left for a retry on another node. The same share limits the
/// wait for a downstream call that may be skipped.
pub(crate) const MAX_WAIT_SHARE: f32 = 0.33;
/// Multiple of the mean work above which work counts as long.
pub(crate) const LONG_WORK_THRESHOLD: f32 = 2.0;
/// Maximum share of the run slots that long work may take while short work waits.
const MAX_LONG_WORK_SHARE: f32 = 0.5;
/// Priority per unit of weight. Priorities are whole numbers, and this scale preserves small
/// differences of weight.
pub(crate) const PRIORITY_SCALE: f32 = 1000.0;

/// A waiting request. The derived order is by highest priority, then earliest arrival, then lowest
/// id, with the next request as the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    priority: u32,
    arrived_at: Reverse<TenthMillis>,
    id: Reverse<RequestId>,
    slot: Slot,
}

impl QueueEntry {
    /// Creates the entry of a request. `priority` is scaled by [`PRIORITY_SCALE`].
    pub(crate) fn new(request: &InFlightRequest, slot: Slot, priority: f32) -> Self {
        Self {
            priority: priority as u32,
            arrived_at: Reverse(request.arrived_at),
            id: Reverse(request.id),
            slot,
        }
    }

    /// Returns the slot of the request.
    pub(crate) fn slot(&self) -> Slot {
        self.slot
    }

    /// Returns the request, or `None` if it has ended.
    pub(crate) fn request<'a>(&self, in_flight: &'a InFlightTable) -> Option<&'a InFlightRequest> {
        in_flight.get(self.slot, self.id.0)
    }
}

/// The run queues for short and long work. Entries of requests that no longer wait are skipped.
#[derive(Debug, Default)]
pub(crate) struct RunQueues {
    short: BinaryHeap<QueueEntry>,
    long: BinaryHeap<QueueEntry>,
}

impl RunQueues {
    /// Adds an entry to the queue for short or long work.
    pub(crate) fn push(&mut self, entry: QueueEntry, long_work: bool) {
        self.queue_mut(long_work).push(entry);
    }

    /// Removes the head of the queue for short or long work, after [`Self::next`] has chosen it.
    pub(crate) fn pop(&mut self, long_work: bool) {
        self.queue_mut(long_work).pop();
    }

    /// Returns the slot of the next request: the head with the higher priority, unless it is long
    /// work that would take slots reserved for waiting short work.
    pub(crate) fn next(&mut self, in_flight: &InFlightTable, run_slots: usize) -> Option<Slot> {
        discard_stale(&mut self.short, in_flight);
        discard_stale(&mut self.long, in_flight);
        let long_slots = MAX_LONG_WORK_SHARE * run_slots as f32;
        let long_work_full = in_flight.long_running() as f32 >= long_slots;
        let head = match (self.short.peek(), self.long.peek()) {
            (Some(short), Some(long)) if !long_work_full && long > short => long,
            (Some(short), _) => short,
            (None, long) => long?,
        };
        Some(head.slot)
    }

    fn queue_mut(&mut self, long_work: bool) -> &mut BinaryHeap<QueueEntry> {
        if long_work {
            &mut self.long
        } else {
            &mut self.short
        }
    }
}

/// Removes entries from the head of the queue whose requests are no longer queued.
fn discard_stale(queue: &mut BinaryHeap<QueueEntry>, in_flight: &InFlightTable) {
    while let Some(head) = queue.peek() {
        let request = head.request(in_flight);
        if request.is_some_and(|request| request.stage == Stage::Queued) {
            return;
        }
        queue.pop();
    }
}
