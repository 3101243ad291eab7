//! Limits how many requests run at once on the node's cores.

use doortrack_time::TenthMillis;

use crate::AdmissionConfig;

/// Usable share of the concurrency that the cores and the downstream service can sustain.
pub(crate) const USABLE_CONCURRENCY_SHARE: f32 = 0.9;
/// Runs per core while some cores are idle. The value exceeds 1 because runs may wait for resources
/// without a gauge, such as a disk.
const RUNS_PER_CORE: f32 = 1.5;
/// Runs per core while all cores are busy. More runs would only slow each other down.
const RUNS_PER_BUSY_CORE: f32 = 1.0;
/// Minimum share of busy cores at which all cores count as busy.
const ALL_BUSY_THRESHOLD: f32 = 0.95;

/// The number of requests that may run at once.
#[derive(Debug)]
pub(crate) struct RunSlots {
    cores: f32,
    cold: bool,
    initial_speed: f32,
    warm_up_time: TenthMillis,
    /// Number of running requests per core, beyond the first, that a warm node can sustain.
    extra_concurrency: f32,
    started_at: TenthMillis,
    /// Latest reading of the gauge; absent if there is no gauge or its value is not finite.
    busy_cores: Option<f32>,
}

impl RunSlots {
    /// Creates the run slots of a node that has not started yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            cores: config.cores,
            cold: config.cold,
            initial_speed: config.initial_speed,
            warm_up_time: config.warm_up_time.max(1),
            extra_concurrency: (config.overload_multiple - 1.0).max(0.0),
            started_at: 0,
            busy_cores: None,
        }
    }

    /// Records the start of the process. A cold node warms up from this time on.
    pub(crate) fn start(&mut self, now: TenthMillis) {
        self.started_at = now;
    }

    /// Records the gauge of busy cores.
    pub(crate) fn record_busy_cores(&mut self, busy_cores: Option<f32>) {
        self.busy_cores = busy_cores.filter(|share| share.is_finite());
    }

    /// Returns whether all cores are busy, or `None` without a gauge.
    pub(crate) fn all_cores_busy(&self) -> Option<bool> {
        self.busy_cores.map(|share| share >= ALL_BUSY_THRESHOLD)
    }

    /// Returns the number of requests that may run at once now.
    pub(crate) fn count(&self, now: TenthMillis) -> usize {
        let per_core = if self.all_cores_busy().unwrap_or(false) {
            RUNS_PER_BUSY_CORE
        } else {
            RUNS_PER_CORE
        };
        (per_core * self.cores)
            .min(self.max_concurrency(now))
            .max(1.0) as usize
    }

    /// Returns the number of running requests that the node can sustain now, less a margin. It is
    /// lower while the node is cold.
    pub(crate) fn max_concurrency(&self, now: TenthMillis) -> f32 {
        let warm_up_progress = if self.cold {
            ((now - self.started_at) as f32 / self.warm_up_time as f32).min(1.0)
        } else {
            1.0
        };
        let speed = self.initial_speed + (1.0 - self.initial_speed) * warm_up_progress;
        USABLE_CONCURRENCY_SHARE * (1.0 + self.extra_concurrency * speed) * self.cores
    }
}
