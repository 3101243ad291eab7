//! How much of a budget could be used, measured without swings.

use doortrack::Tenths;

use crate::{Budget, Kind, Units};

/// How far needs are followed each round, in eighths of the way: rising ones at once, where a round has uses
/// enough to tell; where it has few, chance speaks louder than need.
const UP: Units = 8;
const DOWN: Units = 6;
const FEW: Units = 8;
const BY_FEW: Units = 1;
/// What is told is left as it was while the need is above it by less than this part, or below.
const LEFT_UP: Units = 32;
const LEFT_DOWN: Units = 12;

/// Uses that were asked for, those that were rejected included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Need {
    /// Since the last round: asked for, rejected, and the most that was in use at once.
    asked: Units,
    rejected: Units,
    peak: Units,
    since: Tenths,
    smooth: Units,
    told: Units,
}

impl Need {
    pub fn new(now: Tenths) -> Need {
        Need { since: now, ..Need::default() }
    }

    pub fn asked(&mut self, granted: bool, in_use: Units) {
        self.asked += 1;
        self.rejected += Units::from(!granted);
        self.peak = self.peak.max(in_use);
    }

    /// Whether some were rejected since the last round.
    pub fn is_short(&self) -> bool {
        self.rejected > 0
    }

    /// What is to be told, at the end of a round.
    pub fn round(&mut self, now: Tenths, budget: &Budget, in_use: Units) -> Units {
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
        let left = if smooth > told { told / LEFT_UP } else { told / LEFT_DOWN };
        // Nothing is added for what comes by chance: what all needs leave over is divided as well.
        let told = if smooth.abs_diff(told) > left { smooth } else { told };
        *self = Need { asked, rejected, peak, since: now, smooth, told };
        told
    }

    pub fn last(&self) -> Units {
        self.told
    }
}
