//! Estimates how much of a budget a node could use, smoothed so that allocations do not oscillate.

use crate::{Budget, Kind, Units};
use doortrack_time::{SECOND, TenthMillis};

/// Smoothing weights are in eighths of the way from the estimate to the measured need.
const WEIGHT_DENOMINATOR: Units = 8;
/// Weight of a round in which the need rises.
const RISING_WEIGHT: Units = 8;
/// Weight of a round in which the need falls.
const FALLING_WEIGHT: Units = 6;
/// Weight of a round with fewer uses than [`FEW_USES`].
const FEW_USES_WEIGHT: Units = 1;
/// Uses in a round below which they are mostly random.
const FEW_USES: Units = 8;
/// The reported need is kept while the estimate is above it by at most this fraction.
const RISE_HYSTERESIS: Units = 32;
/// The reported need is kept while the estimate is below it by at most this fraction.
const FALL_HYSTERESIS: Units = 12;
/// [`Units`] of a rate that one use a second makes.
const UNITS_PER_USE: Units = 1_000;

/// The need of one budget: uses that were requested, rejected ones included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct NeedEstimate {
    /// Uses requested since the last round.
    requested: Units,
    /// Of those the rejected ones.
    rejected: Units,
    /// The most units held at once since the last round.
    peak: Units,
    /// When the last round ended.
    since: TenthMillis,
    smoothed: Units,
    reported: Units,
}

impl NeedEstimate {
    /// No need is known yet.
    pub fn new(now: TenthMillis) -> NeedEstimate {
        NeedEstimate {
            since: now,
            ..NeedEstimate::default()
        }
    }

    /// Counts a use that was requested.
    pub fn on_request(&mut self, granted: bool, in_use: Units) {
        self.requested += 1;
        self.rejected += Units::from(!granted);
        self.peak = self.peak.max(in_use);
    }

    /// Whether uses were rejected since the last round.
    pub fn is_short(&self) -> bool {
        self.rejected > 0
    }

    /// Ends a round, and returns the need to report.
    pub fn end_round(&mut self, now: TenthMillis, budget: &Budget, in_use: Units) -> Units {
        let duration = now.saturating_sub(self.since);
        if duration == 0 {
            return self.reported;
        }
        let smoothed = self.smooth(duration, budget, in_use);
        let hysteresis = if smoothed > self.reported {
            self.reported / RISE_HYSTERESIS
        } else {
            self.reported / FALL_HYSTERESIS
        };
        // No margin is added for random peaks: what exceeds all needs is divided as well.
        let reported = if smoothed.abs_diff(self.reported) > hysteresis {
            smoothed
        } else {
            self.reported
        };
        *self = NeedEstimate {
            requested: 0,
            rejected: 0,
            peak: in_use,
            since: now,
            smoothed,
            reported,
        };
        reported
    }

    /// The estimate after a round of this duration.
    fn smooth(&self, duration: TenthMillis, budget: &Budget, in_use: Units) -> Units {
        let (measured, few_uses) = match budget.kind {
            Kind::Rate { .. } => {
                let expected = self.smoothed * duration / (UNITS_PER_USE * SECOND);
                let measured = self.requested * UNITS_PER_USE * SECOND / duration;
                (measured, self.requested.max(expected) < FEW_USES)
            }
            Kind::Concurrency { .. } => (self.peak.max(in_use) + self.rejected, false),
        };
        // Bounded by the limit, so that an absurd need gets no more than a fair share among equals.
        let measured = measured.min(budget.limit());
        let rising = measured > self.smoothed;
        let weight = match (few_uses, rising) {
            (true, _) => FEW_USES_WEIGHT,
            (false, true) => RISING_WEIGHT,
            (false, false) => FALLING_WEIGHT,
        };
        let sum = self.smoothed * (WEIGHT_DENOMINATOR - weight) + measured * weight;
        if rising {
            sum.div_ceil(WEIGHT_DENOMINATOR)
        } else {
            sum / WEIGHT_DENOMINATOR
        }
    }

    /// The need as last reported.
    pub fn last_reported(&self) -> Units {
        self.reported
    }
}
