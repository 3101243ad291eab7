//! The concurrency limit, which the paper calls the capacity `C` and takes as known. Here it is
//! learned from whether runs meet their latency objectives.

use crate::AdmissionConfig;
use crate::queue::MAX_WAIT_SHARE;
use crate::thresholds::LOWER_THRESHOLD;

/// Added for each run that met its latency objective under load.
const LIMIT_INCREASE: f32 = 0.5;
/// Factor for each run that missed its latency objective.
const LIMIT_DECREASE: f32 = 0.93;

/// The learned limit on requests queued and running.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f32,
    /// The number of cores.
    min: f32,
    /// Concurrency that a warm node can sustain.
    max: f32,
    /// How long a request with the shortest latency objective may wait in the queue.
    max_wait: f32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its minimum.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let cores = config.cores.max(1.0);
        Self {
            limit: cores,
            min: cores,
            max: config.overload_multiple * cores,
            max_wait: MAX_WAIT_SHARE * config.shortest_objective() as f32,
        }
    }

    /// The limit, in requests.
    pub(crate) fn get(&self) -> f32 {
        self.limit
    }

    /// A run met its latency objective. That raises the limit only if the load came near it, as
    /// otherwise the limit was not tested.
    pub(crate) fn record_met(&mut self, load: f32, run_slots: usize, mean_run_time: f32) {
        if load > LOWER_THRESHOLD * self.limit {
            self.limit += LIMIT_INCREASE;
        }
        self.clamp(run_slots, mean_run_time);
    }

    /// A run missed its latency objective. Requests given up in the queue do not count: on few
    /// cores they are so common that they would keep the limit too low for any queue.
    pub(crate) fn record_missed(&mut self, run_slots: usize, mean_run_time: f32) {
        self.limit *= LIMIT_DECREASE;
        self.clamp(run_slots, mean_run_time);
    }

    /// Bounds the limit by the number of runs that begin within the longest wait: requests beyond
    /// it would be admitted only to be given up.
    fn clamp(&mut self, run_slots: usize, mean_run_time: f32) {
        let runs_per_slot = 1.0 + self.max_wait / mean_run_time.max(1.0);
        let max = (run_slots as f32 * runs_per_slot).min(self.max);
        self.limit = self.limit.clamp(self.min, max.max(self.min));
    }
}
