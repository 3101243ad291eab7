//! Account of the memory that requests and recorded entries take.

use crate::AdmissionConfig;

/// Share of the node's memory that may be used. The account is exact, so the margin is small.
const USABLE_SHARE: f32 = 0.95;

/// Memory in use, in kB.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    /// Summed in `f64`, so that rounding errors stay far below the margin.
    used_kb: f64,
    usable_kb: f64,
    /// What a run takes beyond the queued request, as a multiple of that.
    extra_run_factor: f32,
}

impl MemoryAccount {
    /// An account of which nothing is used.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            used_kb: 0.0,
            usable_kb: f64::from(config.memory_kb * USABLE_SHARE),
            extra_run_factor: (config.run_memory_factor - 1.0).max(0.0),
        }
    }

    /// Whether so much more may be reserved.
    pub(crate) fn fits(&self, kb: f32) -> bool {
        self.used_kb + f64::from(kb) <= self.usable_kb
    }

    /// Reserves memory, whether it fits or not.
    pub(crate) fn reserve(&mut self, kb: f32) {
        self.used_kb += f64::from(kb);
    }

    /// Returns what was reserved.
    pub(crate) fn release(&mut self, kb: f32) {
        self.used_kb -= f64::from(kb);
    }

    /// What a request that takes `kb` while queued takes in addition while it runs, in kB.
    pub(crate) fn extra_to_run(&self, kb: f32) -> f32 {
        kb * self.extra_run_factor
    }
}
