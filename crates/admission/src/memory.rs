//! Accounting of the memory used by requests and records.

use crate::AdmissionConfig;

/// Usable share of the node's memory. The margin is small because the accounting is exact.
const USABLE_MEMORY_SHARE: f32 = 0.95;

/// The memory in use and the usable memory, in kB.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    /// The sum is an `f64` so that rounding errors stay far below the margin.
    used_kb: f64,
    usable_kb: f64,
    /// Additional memory of a running request, as a multiple of its memory while queued.
    extra_run_factor: f32,
}

impl MemoryAccount {
    /// Creates an account with no memory in use.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            used_kb: 0.0,
            usable_kb: f64::from(config.memory_kb * USABLE_MEMORY_SHARE),
            extra_run_factor: (config.run_memory_factor - 1.0).max(0.0),
        }
    }

    /// Returns `true` if this much more memory is available.
    pub(crate) fn fits(&self, kb: f32) -> bool {
        self.used_kb + f64::from(kb) <= self.usable_kb
    }

    /// Reserves memory. Callers check [`Self::fits`] first.
    pub(crate) fn reserve(&mut self, kb: f32) {
        self.used_kb += f64::from(kb);
    }

    /// Releases reserved memory.
    pub(crate) fn release(&mut self, kb: f32) {
        self.used_kb -= f64::from(kb);
    }

    /// Returns the additional memory, in kB, that a request uses while running if it uses `kb`
    /// while queued.
    pub(crate) fn extra_run_kb(&self, kb: f32) -> f32 {
        kb * self.extra_run_factor
    }
}
