//! The schedule of request reviews, and the timer that they share with ticks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_time::TenthMillis;

use crate::RequestId;
use crate::in_flight::{InFlightTable, Slot};

/// A scheduled review, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Review {
    at: TenthMillis,
    id: RequestId,
    slot: Slot,
}

/// All scheduled reviews. Reviews of requests that have ended or were rescheduled are skipped.
#[derive(Debug, Default)]
pub(crate) struct ReviewSchedule {
    reviews: BinaryHeap<Reverse<Review>>,
}

impl ReviewSchedule {
    /// Schedules the review of a request at its `review_at`.
    pub(crate) fn push(&mut self, at: TenthMillis, id: RequestId, slot: Slot) {
        self.reviews.push(Reverse(Review { at, id, slot }));
    }

    /// Removes the next review that is due, and returns the slot of its request.
    pub(crate) fn pop_due(&mut self, in_flight: &InFlightTable, now: TenthMillis) -> Option<Slot> {
        while let Some(&Reverse(review)) = self.reviews.peek() {
            let request = in_flight.get(review.slot, review.id);
            let current = request.is_some_and(|request| request.review_at == review.at);
            if current && review.at > now {
                return None;
            }
            self.reviews.pop();
            if current {
                return Some(review.slot);
            }
        }
        None
    }

    /// Returns the time of the earliest review, or [`TenthMillis::MAX`] if there is none.
    pub(crate) fn next_at(&self) -> TenthMillis {
        let earliest = self.reviews.peek();
        earliest.map_or(TenthMillis::MAX, |Reverse(review)| review.at)
    }
}

/// The node's timer, which serves all reviews and ticks.
#[derive(Debug, Default)]
pub(crate) struct Timer {
    /// Time at which the timer fires next; in the past if it is not set.
    fires_at: TenthMillis,
}

impl Timer {
    /// Sets the timer if it would not fire by `at`. Returns the time at which it fires, or `None`
    /// if it was already set early enough.
    pub(crate) fn set(&mut self, now: TenthMillis, at: TenthMillis) -> Option<TenthMillis> {
        let at = at.max(now + 1);
        if self.fires_at > now && self.fires_at <= at {
            return None;
        }
        self.fires_at = at;
        Some(at)
    }
}
