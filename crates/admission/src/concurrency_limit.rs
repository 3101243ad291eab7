//! The concurrency limit, which the paper calls the capacity `C` and takes as known. Here it is
//! learned from whether runs meet their latency objectives.

use crate::AdmissionConfig;
use crate::queue::MAX_WAIT_SHARE;
use crate::thresholds::LOWER_THRESHOLD;

/// Added for each run under load that met its latency objective.
const LIMIT_INCREASE: f32 = 0.5;
/// Factor for each run that missed it.
const LIMIT_DECREASE: f32 = 0.93;

/// The learned limit on requests queued and running.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f32,
    /// It starts at, and never falls below, the number of cores.
    min: f32,
    /// Concurrency that a warm node survives.
    max: f32,
    /// Time that a request of the strictest group may wait queued.
    max_wait: f32,
}

impl ConcurrencyLimit {
    /// A limit that starts at the number of cores.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let cores = config.cores.max(1) as f32;
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

    /// A run met its latency objective. Only a load near the limit says anything about it.
    pub(crate) fn record_met(&mut self, load: f32, run_slots: usize, mean_run_time: f32) {
        if load > LOWER_THRESHOLD * self.limit {
            self.limit += LIMIT_INCREASE;
        }
        self.clamp(run_slots, mean_run_time);
    }

    /// A run missed its latency objective. A request given up while queued is no run: on few cores
    /// it is so common that it would hold the limit down.
    pub(crate) fn record_missed(&mut self, run_slots: usize, mean_run_time: f32) {
        self.limit *= LIMIT_DECREASE;
        self.clamp(run_slots, mean_run_time);
    }

    /// Bounds the limit by the runs that begin within the time that a request may wait: more would
    /// be admitted only to be given up.
    fn clamp(&mut self, run_slots: usize, mean_run_time: f32) {
        let runs_per_slot = 1.0 + self.max_wait / mean_run_time.max(1.0);
        let max = (run_slots as f32 * runs_per_slot).min(self.max);
        self.limit = self.limit.clamp(self.min, max.max(self.min));
    }
}
