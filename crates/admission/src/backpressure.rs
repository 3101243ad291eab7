//! The rejection rate, and the backpressure value that follows from it. Rejected requests still
//! cost a read each, so callers are asked to send less while many are rejected.

use crate::thresholds::LOWER_THRESHOLD;
use crate::{AdmissionConfig, Backpressure};

/// Weight of the newest request in the rejection rate.
const NEWEST_WEIGHT: f32 = 0.03;
/// Factor applied to the rejection rate on each tick, so that the rate also falls while no requests
/// are read.
const REJECTION_RATE_DECAY: f32 = 0.96;
/// Rejection rate up to which no countermeasure is taken.
const TOLERATED_REJECTION_RATE: f32 = 0.1;
/// Share of the latency objective above which the unread time of a request makes it count as
/// rejected.
const LATE_READ_SHARE: f32 = 0.1;
/// Increase of the minimum rank on each tick, per unit of rejection rate above the tolerated rate.
const MIN_RANK_INCREASE: f32 = 0.05;
/// Decrease of the minimum rank on each tick while the rejection rate is tolerated.
const MIN_RANK_DECREASE: f32 = 0.02;
/// Upper bound of the minimum rank.
const MAX_MIN_RANK: f32 = 0.6;
/// Rejection rate above which callers are given credits. It is well above the tolerated rate,
/// because credits also slow down a caller that sends more than others while the node still has
/// capacity.
const CREDITS_REJECTION_RATE: f32 = 0.2;

/// The rejection rate and the backpressure value.
#[derive(Debug)]
pub(crate) struct BackpressureSignal {
    kind: Backpressure,
    rejection_rate: f32,
    min_rank: f32,
    /// Number of credits that is too high to limit any caller.
    non_limiting_credits: f32,
    /// The last value sent; 0 before the first.
    last_sent: f32,
}

impl BackpressureSignal {
    /// Creates the signal of a node that has not rejected any requests yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            kind: config.backpressure,
            rejection_rate: 0.0,
            min_rank: 0.0,
            non_limiting_credits: config.overload_multiple * config.cores,
            last_sent: 0.0,
        }
    }

    /// Records a request in the rejection rate. `unread_share` is the time it waited unread as a
    /// share of its latency objective.
    pub(crate) fn record_read(&mut self, rejected: bool, unread_share: f32) {
        let counts_as_rejected = rejected || unread_share > LATE_READ_SHARE;
        self.rejection_rate +=
            NEWEST_WEIGHT * (f32::from(counts_as_rejected) - self.rejection_rate);
    }

    /// Returns `true` if the rejection rate is above the tolerated rate.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.rejection_rate > TOLERATED_REJECTION_RATE
    }

    /// Updates the value on each tick, and returns it if it has to be sent.
    pub(crate) fn tick(&mut self, concurrency_limit: f32, callers: usize) -> Option<f32> {
        let excess = self.rejection_rate - TOLERATED_REJECTION_RATE;
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
        self.rejection_rate *= REJECTION_RATE_DECAY;
        let changed = value.filter(|value| *value != self.last_sent)?;
        self.last_sent = changed;
        Some(changed)
    }

    /// Returns the credits of each caller: an equal share of the load at the lower threshold, in
    /// requests in flight. No credits are sent before the first overload; after an overload they
    /// are set too high to limit any caller.
    fn credits(&self, concurrency_limit: f32, callers: usize) -> Option<f32> {
        if self.rejection_rate > CREDITS_REJECTION_RATE {
            Some(LOWER_THRESHOLD * concurrency_limit / callers as f32)
        } else if self.last_sent > 0.0 {
            Some(self.non_limiting_credits)
        } else {
            None
        }
    }
}
