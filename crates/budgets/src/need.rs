//! Estimates how much of a budget a node could use, smoothed so that allocations do not oscillate.

use crate::{Budget, Kind, Units};
use doortrack_time::{SECOND, TenthMillis};

/// Denominator of the smoothing weights: a weight is the fraction by which the estimate moves
/// towards the measured need.
const WEIGHT_DENOMINATOR: Units = 8;
/// Smoothing weight of a round in which the need rises.
const RISING_WEIGHT: Units = 8;
/// Smoothing weight of a round in which the need falls.
const FALLING_WEIGHT: Units = 6;
/// Smoothing weight of a round with fewer uses than [`FEW_USES`].
const FEW_USES_WEIGHT: Units = 1;
/// Number of uses in a round below which their count is mostly random.
const FEW_USES: Units = 8;
/// The reported need is kept while the estimate exceeds it by at most one part in this many.
const RISE_HYSTERESIS_DIVISOR: Units = 32;
/// The reported need is kept while the estimate is below it by at most one part in this many.
const FALL_HYSTERESIS_DIVISOR: Units = 12;
/// [`Units`] of a rate that correspond to one use per second.
const UNITS_PER_USE: Units = 1_000;

/// The estimated need of one budget, from all requested uses, including rejected ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct NeedEstimate {
    /// Number of uses requested in this round.
    requested: Units,
    /// Number of rejected uses in this round.
    rejected: Units,
    /// Maximum number of units held concurrently in this round.
    peak: Units,
    /// When this round began.
    round_started_at: TenthMillis,
    smoothed: Units,
    reported: Units,
}

impl NeedEstimate {
    /// Creates an estimate of zero.
    pub fn new(now: TenthMillis) -> NeedEstimate {
        NeedEstimate {
            round_started_at: now,
            ..NeedEstimate::default()
        }
    }

    /// Counts a requested use.
    pub fn on_request(&mut self, granted: bool, in_use: Units) {
        self.requested += 1;
        self.rejected += Units::from(!granted);
        self.peak = self.peak.max(in_use);
    }

    /// Returns true if uses were rejected in this round.
    pub fn had_rejections(&self) -> bool {
        self.rejected > 0
    }

    /// Ends the round and returns the need to report.
    pub fn end_round(&mut self, now: TenthMillis, budget: &Budget, in_use: Units) -> Units {
        let duration = now.saturating_sub(self.round_started_at);
        if duration == 0 {
            return self.reported;
        }
        let smoothed = self.smooth(duration, budget, in_use);
        let hysteresis = if smoothed > self.reported {
            self.reported / RISE_HYSTERESIS_DIVISOR
        } else {
            self.reported / FALL_HYSTERESIS_DIVISOR
        };
        // No margin is added for random peaks, because the surplus over all needs is divided as
        // well.
        let reported = if smoothed.abs_diff(self.reported) > hysteresis {
            smoothed
        } else {
            self.reported
        };
        *self = NeedEstimate {
            requested: 0,
            rejected: 0,
            peak: in_use,
            round_started_at: now,
            smoothed,
            reported,
        };
        reported
    }

    /// The smoothed estimate after a round of this duration.
    fn smooth(&self, duration: TenthMillis, budget: &Budget, in_use: Units) -> Units {
        let (measured, has_few_uses) = match budget.kind {
            Kind::Rate { .. } => {
                let expected = self.smoothed * duration / (UNITS_PER_USE * SECOND);
                let measured = self.requested * UNITS_PER_USE * SECOND / duration;
                (measured, self.requested.max(expected) < FEW_USES)
            }
            Kind::Concurrency { .. } => (self.peak.max(in_use) + self.rejected, false),
        };
        // The need is capped at the limit, so that an excessive need gets no more than its fair
        // share.
        let measured = measured.min(budget.limit());
        let is_rising = measured > self.smoothed;
        let weight = match (has_few_uses, is_rising) {
            (true, _) => FEW_USES_WEIGHT,
            (false, true) => RISING_WEIGHT,
            (false, false) => FALLING_WEIGHT,
        };
        let sum = self.smoothed * (WEIGHT_DENOMINATOR - weight) + measured * weight;
        if is_rising {
            sum.div_ceil(WEIGHT_DENOMINATOR)
        } else {
            sum / WEIGHT_DENOMINATOR
        }
    }

    /// The need that was last reported.
    pub fn last_reported(&self) -> Units {
        self.reported
    }
}
