//! Estimates how much of a budget a node could use, smoothed so that allocations do not oscillate.

use crate::{Budget, Kind, Units};
use doortrack_time::TenthMillis;

/// How far the estimate moves to the measured need in a round, in eighths: when it rises, and when it falls.
const UP: Units = 8;
const DOWN: Units = 6;
/// Uses in a round below which chance outweighs need, and how far the estimate moves then.
const FEW: Units = 8;
const BY_FEW: Units = 1;
/// The reported need is left unchanged while the estimate is above it by less than this fraction of it, or
/// below it by less than the second one.
const LEFT_UP: Units = 32;
const LEFT_DOWN: Units = 12;

/// The need of one budget: uses that were asked for, rejected ones included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct NeedEstimate {
    /// Since the last round: uses asked for, rejected, and the most held at once.
    asked: Units,
    rejected: Units,
    peak: Units,
    since: TenthMillis,
    smooth: Units,
    told: Units,
}

impl NeedEstimate {
    /// No need is known yet.
    pub fn new(now: TenthMillis) -> NeedEstimate {
        NeedEstimate {
            since: now,
            ..NeedEstimate::default()
        }
    }

    /// Counts a use that was asked for.
    pub fn asked(&mut self, granted: bool, in_use: Units) {
        self.asked += 1;
        self.rejected += Units::from(!granted);
        self.peak = self.peak.max(in_use);
    }

    /// Whether uses were rejected since the last round.
    pub fn is_short(&self) -> bool {
        self.rejected > 0
    }

    /// Ends a round, and returns the need to report.
    pub fn round(&mut self, now: TenthMillis, budget: &Budget, in_use: Units) -> Units {
        let span = now.saturating_sub(self.since);
        if span == 0 {
            return self.told;
        }
        let seen = match budget.kind {
            Kind::Rate { .. } => self.asked * 1_000 * 10_000 / span,
            Kind::Concurrency { .. } => self.peak.max(in_use) + self.rejected,
        };
        // No more than all there is: who reports the absurd gets what is fair among equals.
        let seen = seen.min(budget.limit());
        let (asked, rejected, peak) = (0, 0, in_use);
        let few = match budget.kind {
            Kind::Rate { .. } => self.asked.max(self.smooth * span / 10_000_000) < FEW,
            Kind::Concurrency { .. } => false,
        };
        let smooth = match (seen > self.smooth, few) {
            (true, few) => {
                let part = if few { BY_FEW } else { UP };
                (self.smooth * (8 - part) + seen * part).div_ceil(8)
            }
            (false, few) => {
                let part = if few { BY_FEW } else { DOWN };
                (self.smooth * (8 - part) + seen * part) / 8
            }
        };
        let told = self.told;
        let left = if smooth > told {
            told / LEFT_UP
        } else {
            told / LEFT_DOWN
        };
        // Nothing is added for what comes by chance: what all needs leave over is divided as well.
        let told = if smooth.abs_diff(told) > left {
            smooth
        } else {
            told
        };
        *self = NeedEstimate {
            asked,
            rejected,
            peak,
            since: now,
            smooth,
            told,
        };
        told
    }

    /// The need as last reported.
    pub fn last(&self) -> Units {
        self.told
    }
}
