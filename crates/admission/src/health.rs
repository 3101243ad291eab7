//! Whether the node makes progress, and what it reports to health checks.

use doortrack_time::TenthMillis;

use crate::{Action, AdmissionConfig};

/// The node is stalled after this multiple of the mean run time without progress.
const STALLED_RUN_TIMES: f32 = 6.0;

/// The progress of the runs, and the health last reported.
#[derive(Debug)]
pub(crate) struct Health {
    /// When a run last began or ended.
    progress_at: TenthMillis,
    /// Shortest time without progress that counts as stalled.
    min_stall: f32,
    reported_healthy: bool,
}

impl Health {
    /// Creates the state of a node that has reported nothing yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            progress_at: 0,
            min_stall: config.shortest_objective() as f32,
            reported_healthy: false,
        }
    }

    /// A run began or ended.
    pub(crate) fn record_progress(&mut self, now: TenthMillis) {
        self.progress_at = now;
    }

    /// Whether no run began or ended for far longer than a run takes: hung work, a frozen disk, or
    /// a machine that has become far slower. The gauges may read idle then.
    pub(crate) fn without_progress(&self, now: TenthMillis, mean_run_time: f32) -> bool {
        let quiet = (now - self.progress_at) as f32;
        quiet > self.min_stall.max(STALLED_RUN_TIMES * mean_run_time)
    }

    /// Reports a change of the node's health. Health checks are answered from the stored state, as
    /// checks that do real work would add to an overload.
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
