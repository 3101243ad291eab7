//! The budget of retries: each run begun adds a share of one, each retry takes one. What others share may
//! have a say beside it.

use std::fmt;

use crate::Retries;

/// Parts of one retry in which the budget is counted, so that sums are exact.
const PARTS: u64 = 10_000;

pub(crate) struct Budget {
    parts: u64,
    most: u64,
    share: u64,
    /// What a retry must pass beside this, asked just before it is made.
    gate: Option<Box<dyn FnMut() -> bool>>,
}

impl Budget {
    pub(crate) fn new(terms: &Retries) -> Budget {
        let mut budget = Budget {
            parts: 0,
            most: 0,
            share: 0,
            gate: None,
        };
        budget.retune(terms);
        budget
    }

    /// Other terms, with all saved up that may be; the gate stays.
    pub(crate) fn retune(&mut self, terms: &Retries) {
        self.most = u64::from(terms.burst) * PARTS;
        self.parts = self.most;
        self.share = (f64::from(terms.share.clamp(0.0, 1.0)) * PARTS as f64) as u64;
    }

    pub(crate) fn gate(&mut self, gate: Box<dyn FnMut() -> bool>) {
        self.gate = Some(gate);
    }

    pub(crate) fn run_begun(&mut self) {
        self.parts = (self.parts + self.share).min(self.most.max(PARTS));
    }

    /// Takes one, if there is one and the gate lets it through; else nothing is taken.
    pub(crate) fn take(&mut self) -> bool {
        let Some(left) = self.parts.checked_sub(PARTS) else {
            return false;
        };
        let passes = self.gate.as_mut().is_none_or(|gate| gate());
        if passes {
            self.parts = left;
        }
        passes
    }
}

impl fmt::Debug for Budget {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let gated = self.gate.is_some();
        write!(
            f,
            "Budget {{ parts: {}, most: {}, gated: {gated} }}",
            self.parts, self.most
        )
    }
}
