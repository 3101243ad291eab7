//! Account of the memory that requests and recorded entries take.

use crate::AdmissionConfig;

/// Part of the node's memory that may be used. The margin is small because the account is exact.
const USABLE_SHARE: f32 = 0.95;

/// Memory in use, in kB.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    /// A sum in `f64`, so that rounding errors stay far below the margin.
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
            usable_kb: f64::from(config.memory_kb * USABLE_SHARE),
            extra_run_factor: (config.run_memory_factor - 1.0).max(0.0),
        }
    }

    /// Whether this much more memory is available.
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

    /// Additional memory, in kB, of a request that takes `kb` while queued, once it runs.
    pub(crate) fn extra_to_run(&self, kb: f32) -> f32 {
        kb * self.extra_run_factor
    }
}
