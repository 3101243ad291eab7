//! The retry budget: each run begun adds a fraction of a retry, and each retry takes one. A gate
//! function may restrict retries further, for example to a budget of the whole fleet.

use std::fmt;

use crate::RetryConfig;

/// Number of credit units per retry. Integer units keep sums of fractions exact.
const UNITS_PER_RETRY: u64 = 10_000;

pub(crate) struct RetryBudget {
    credit: u64,
    max_credit: u64,
    credit_per_run: u64,
    /// Must also allow a retry, and is called immediately before it.
    gate: Option<Box<dyn FnMut() -> bool>>,
}

impl RetryBudget {
    pub(crate) fn new(config: &RetryConfig) -> RetryBudget {
        let mut budget = RetryBudget {
            credit: 0,
            max_credit: 0,
            credit_per_run: 0,
            gate: None,
        };
        budget.reconfigure(config);
        budget
    }

    /// Changes the bounds and refills the budget. The gate is kept.
    pub(crate) fn reconfigure(&mut self, config: &RetryConfig) {
        self.max_credit = u64::from(config.burst) * UNITS_PER_RETRY;
        self.credit = self.max_credit;
        let ratio = f64::from(config.ratio.clamp(0.0, 1.0));
        self.credit_per_run = (ratio * UNITS_PER_RETRY as f64) as u64;
    }

    pub(crate) fn set_gate(&mut self, gate: Box<dyn FnMut() -> bool>) {
        self.gate = Some(gate);
    }

    pub(crate) fn on_run_begun(&mut self) {
        let max_credit = self.max_credit.max(UNITS_PER_RETRY);
        self.credit = (self.credit + self.credit_per_run).min(max_credit);
    }

    /// Takes one retry if the budget has one and the gate allows it. Returns whether it did.
    pub(crate) fn try_take(&mut self) -> bool {
        let Some(remaining) = self.credit.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        let allowed = self.gate.as_mut().is_none_or(|gate| gate());
        if allowed {
            self.credit = remaining;
        }
        allowed
    }
}

impl fmt::Debug for RetryBudget {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("RetryBudget")
            .field("credit", &self.credit)
            .field("max_credit", &self.max_credit)
            .field("gated", &self.gate.is_some())
            .finish()
    }
}
