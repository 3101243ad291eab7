//! Tracks whether the node makes progress, and what it reports to health checks.

use doortrack_time::TenthMillis;

use crate::{Action, AdmissionConfig};

/// Time without progress after which the node is stalled, as a multiple of the mean run time.
const STALL_RUN_TIME_MULTIPLE: f32 = 6.0;

/// The progress of the runs, and the health last reported.
#[derive(Debug)]
pub(crate) struct Health {
    /// Time at which a run last started or ended.
    progress_at: TenthMillis,
    /// Minimum time without progress that counts as stalled.
    min_stall_time: f32,
    reported_healthy: bool,
}

impl Health {
    /// Creates the state of a node that has reported nothing yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            progress_at: 0,
            min_stall_time: config.shortest_objective() as f32,
            reported_healthy: false,
        }
    }

    /// Records that a run started or ended.
    pub(crate) fn record_progress(&mut self, now: TenthMillis) {
        self.progress_at = now;
    }

    /// Returns `true` if no run has started or ended for much longer than a run takes: because of
    /// hung work, a frozen disk, or a machine that has become much slower. The gauges may read idle
    /// in that state.
    pub(crate) fn without_progress(&self, now: TenthMillis, mean_run_time: f32) -> bool {
        let time_without_progress = (now - self.progress_at) as f32;
        time_without_progress
            > self
                .min_stall_time
                .max(STALL_RUN_TIME_MULTIPLE * mean_run_time)
    }

    /// Reports the node's health if it has changed. Health checks are answered from the stored
    /// state, because checks that do real work would add to an overload.
    pub(crate) fn report(&mut self, healthy: bool, actions: &mut Vec<Action>) {
        if healthy != self.reported_healthy {
            self.reported_healthy = healthy;
            actions.push(Action::Health {
                cached: true,
                healthy,
            });
        }
    }
}
