//! The rejection rate, and the backpressure value that follows from it. Reading a request costs
//! work also where it is rejected, so callers are asked to hold back while many are.

use crate::thresholds::LOWER_THRESHOLD;
use crate::{AdmissionConfig, Backpressure};

/// Weight of the newest request in the rejection rate.
const NEWEST_WEIGHT: f32 = 0.03;
/// Factor of the rejection rate in each tick, so that it falls also where nothing is read.
const DECAY: f32 = 0.96;
/// Rejection rate that is tolerated without measures.
const TOLERATED_RATE: f32 = 0.1;
/// A request that was unread for this share of its latency objective counts as if rejected.
const LATE_READ_SHARE: f32 = 0.1;
/// Rise of the least rank in each tick, per unit of rejection rate above the tolerated one.
const MIN_RANK_INCREASE: f32 = 0.05;
/// Fall of the least rank in each tick without an excess.
const MIN_RANK_DECREASE: f32 = 0.02;
/// Highest least rank.
const MAX_MIN_RANK: f32 = 0.6;
/// Rejection rate from which on callers are given credits. Less is borne without: credits hold back
/// a caller that sends more than others also where nothing is short.
const CREDITS_FROM_RATE: f32 = 0.2;

/// What callers are told to hold back.
#[derive(Debug)]
pub(crate) struct BackpressureSignal {
    kind: Backpressure,
    rejection_rate: f32,
    min_rank: f32,
    /// Credits that bind no caller.
    ample_credits: f32,
    /// The value last sent; 0 before the first.
    sent: f32,
}

impl BackpressureSignal {
    /// Nothing is sent before the first need.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            kind: config.backpressure,
            rejection_rate: 0.0,
            min_rank: 0.0,
            ample_credits: config.overload_multiple * config.cores as f32,
            sent: 0.0,
        }
    }

    /// A request was read after it had stood unread for this share of its latency objective.
    pub(crate) fn record_read(&mut self, rejected: bool, unread_share: f32) {
        let counts = rejected || unread_share > LATE_READ_SHARE;
        self.rejection_rate += NEWEST_WEIGHT * (f32::from(counts) - self.rejection_rate);
    }

    /// Whether more is rejected than is tolerated.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.rejection_rate > TOLERATED_RATE
    }

    /// Called in each tick; the value to be sent, if it changes.
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

    /// The credits of each caller: its part of the load that is wanted here, in requests. Nothing
    /// is sent until the first need, and ample credits once that is over.
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
