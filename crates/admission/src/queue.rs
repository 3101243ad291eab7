//! The queues of requests that wait to be run, one for short work and one for long work.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_time::TenthMillis;

use crate::RequestId;
use crate::in_flight::{InFlightRequest, InFlightTable, Slot, Stage};

/// Longest wait of a request, unread and queued, as a share of its latency objective. A request
/// that is rejected later has no time left for a retry on another node. The same share bounds the
/// wait for a downstream call that may be skipped.
pub(crate) const MAX_WAIT_SHARE: f32 = 0.33;
/// Work is long above this multiple of the mean work.
pub(crate) const LONG_WORK: f32 = 2.0;
/// Share of the run slots that long work may take while short work waits.
const MAX_LONG_WORK_SHARE: f32 = 0.5;
/// Priority per unit of weight, which keeps small differences of weight in whole numbers.
pub(crate) const PRIORITY_UNITS: f32 = 1000.0;

/// A waiting request. The derived order puts the greatest first: the highest priority, then the
/// earliest arrival, then the lowest id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    priority: u32,
    arrived_at: Reverse<TenthMillis>,
    id: Reverse<RequestId>,
    slot: Slot,
}

impl QueueEntry {
    /// Creates the entry of a request; [`PRIORITY_UNITS`] is the scale of `priority`.
    pub(crate) fn new(request: &InFlightRequest, slot: Slot, priority: f32) -> Self {
        Self {
            priority: priority as u32,
            arrived_at: Reverse(request.arrived_at),
            id: Reverse(request.id),
            slot,
        }
    }

    /// The slot of the request.
    pub(crate) fn slot(&self) -> Slot {
        self.slot
    }

    /// The request, unless it has ended.
    pub(crate) fn request<'a>(&self, in_flight: &'a InFlightTable) -> Option<&'a InFlightRequest> {
        in_flight.get(self.slot, self.id.0)
    }
}

/// The two queues. Entries of requests that no longer wait are skipped.
#[derive(Debug, Default)]
pub(crate) struct RunQueues {
    short: BinaryHeap<QueueEntry>,
    long: BinaryHeap<QueueEntry>,
}

impl RunQueues {
    /// Adds an entry to the queue of its kind of work.
    pub(crate) fn push(&mut self, entry: QueueEntry, long_work: bool) {
        self.queue_mut(long_work).push(entry);
    }

    /// Removes the head of the queue of this kind of work, once [`Self::next`] has chosen it.
    pub(crate) fn pop(&mut self, long_work: bool) {
        self.queue_mut(long_work).pop();
    }

    /// The head with the higher priority. Long work leaves some slots to waiting short work.
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

/// Removes entries at the head whose requests are no longer queued.
fn discard_stale(queue: &mut BinaryHeap<QueueEntry>, in_flight: &InFlightTable) {
    while let Some(head) = queue.peek() {
        let request = head.request(in_flight);
        if request.is_some_and(|request| request.stage == Stage::Queued) {
            return;
        }
        queue.pop();
    }
}
