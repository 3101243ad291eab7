//! The concurrency limit, which the paper calls the capacity `C` and assumes to be known. Here it
//! is learned from whether runs meet their latency objectives.

use crate::AdmissionConfig;
use crate::queue::MAX_WAIT_SHARE;
use crate::thresholds::LOWER_THRESHOLD;

/// Increase of the limit for each run that met its latency objective under load, in requests.
const LIMIT_INCREASE: f32 = 0.5;
/// Factor applied to the limit for each run that missed its latency objective.
const LIMIT_DECREASE: f32 = 0.93;

/// The learned limit on queued and running requests.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f32,
    /// Lower bound of the limit: the number of cores.
    min: f32,
    /// Upper bound of the limit: the concurrency that a warm node can sustain.
    max: f32,
    /// Maximum time in the queue for a request with the shortest latency objective.
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

    /// Returns the limit, in requests.
    pub(crate) fn get(&self) -> f32 {
        self.limit
    }

    /// Records a run that met its latency objective. The limit is raised only if the load came near
    /// it, because otherwise the limit was not tested.
    pub(crate) fn record_met(&mut self, load: f32, run_slots: usize, mean_run_time: f32) {
        if load > LOWER_THRESHOLD * self.limit {
            self.limit += LIMIT_INCREASE;
        }
        self.clamp(run_slots, mean_run_time);
    }

    /// Records a run that missed its latency objective. Requests that are removed from the queue
    /// without being started are not counted: on few cores they are so common that they would keep
    /// the limit too low to queue any request.
    pub(crate) fn record_missed(&mut self, run_slots: usize, mean_run_time: f32) {
        self.limit *= LIMIT_DECREASE;
        self.clamp(run_slots, mean_run_time);
    }

    /// Clamps the limit to the number of runs that start within the maximum wait. Requests beyond
    /// that number would be admitted only to be removed before they start.
    fn clamp(&mut self, run_slots: usize, mean_run_time: f32) {
        let runs_per_slot = 1.0 + self.max_wait / mean_run_time.max(1.0);
        let max = (run_slots as f32 * runs_per_slot).min(self.max);
        self.limit = self.limit.clamp(self.min, max.max(self.min));
    }
}
