//! The rejection rate, and the backpressure value that follows from it. A rejected request still
//! costs a read, so callers are asked to send less while many are rejected.

use crate::thresholds::LOWER_THRESHOLD;
use crate::{AdmissionConfig, Backpressure};

/// Weight of the newest request in the rejection rate.
const NEWEST_WEIGHT: f32 = 0.03;
/// Factor of the rejection rate in each tick, so that it falls also while nothing is read.
const DECAY: f32 = 0.96;
/// Rejection rate up to which no countermeasure is taken.
const TOLERATED_RATE: f32 = 0.1;
/// A request that waited unread for more than this share of its latency objective counts as
/// rejected.
const LATE_READ_SHARE: f32 = 0.1;
/// Increase of the minimum rank in each tick, per unit of rejection rate above the tolerated one.
const MIN_RANK_INCREASE: f32 = 0.05;
/// Decrease of the minimum rank in each tick at a tolerated rejection rate.
const MIN_RANK_DECREASE: f32 = 0.02;
/// Upper bound of the minimum rank.
const MAX_MIN_RANK: f32 = 0.6;
/// Rejection rate above which callers are given credits. It is well above the tolerated rate,
/// because credits also slow down a caller that sends more than others while the node has capacity
/// left.
const CREDITS_FROM_RATE: f32 = 0.2;

/// The rejection rate and the backpressure value.
#[derive(Debug)]
pub(crate) struct BackpressureSignal {
    kind: Backpressure,
    rejection_rate: f32,
    min_rank: f32,
    /// Credits that limit no caller.
    ample_credits: f32,
    /// The value last sent; 0 before the first.
    sent: f32,
}

impl BackpressureSignal {
    /// Creates the signal of a node that has rejected nothing yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            kind: config.backpressure,
            rejection_rate: 0.0,
            min_rank: 0.0,
            ample_credits: config.overload_multiple * config.cores,
            sent: 0.0,
        }
    }

    /// Counts a request, which waited unread for this share of its latency objective.
    pub(crate) fn record_read(&mut self, rejected: bool, unread_share: f32) {
        let counts = rejected || unread_share > LATE_READ_SHARE;
        self.rejection_rate += NEWEST_WEIGHT * (f32::from(counts) - self.rejection_rate);
    }

    /// Whether the rejection rate is above the tolerated one.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.rejection_rate > TOLERATED_RATE
    }

    /// Updates the value in each tick. Returns it if it is to be sent.
    pub(crate) fn tick(&mut self, concurrency_limit: f32, callers: usize) -> Option<f32> {
        let excess = self.rejection_rate - TOLERATED_RATE;
        let change = if excess > 0.0 {
            MIN_RANK_INCREASE * excess
        } else {
            -MIN_RANK_DECREASE
        };
        self.min_rank = (self.min_rank + change).clamp(0.0, MAX_MIN_RANK);
        let value = match self.kind {
            Backpressure::MinRank => Some(self.min_rank),
            Backpressure::Credits => self.credits(concurrency_limit, callers),
            Backpressure::None | Backpressure::Weight => None,
        };
        self.rejection_rate *= DECAY;
        let changed = value.filter(|value| *value != self.sent)?;
        self.sent = changed;
        Some(changed)
    }

    /// Credits of each caller: an equal part of the load at the lower threshold, in requests in
    /// flight. None are sent before the first overload; after an overload they are ample.
    fn credits(&self, concurrency_limit: f32, callers: usize) -> Option<f32> {
        if self.rejection_rate > CREDITS_FROM_RATE {
            Some(LOWER_THRESHOLD * concurrency_limit / callers as f32)
        } else if self.sent > 0.0 {
            Some(self.ample_credits)
        } else {
            None
        }
    }
}
