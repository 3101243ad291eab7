//! Whether the node makes progress, and what health checks are told.

use doortrack_time::TenthMillis;

use crate::{Action, AdmissionConfig};

/// Stalled once nothing ended for this multiple of the mean run time.
const STALLED_RUN_TIMES: f32 = 6.0;

/// Progress of the runs and the health last reported.
#[derive(Debug)]
pub(crate) struct Health {
    /// When a run last began or ended.
    progress_at: TenthMillis,
    /// Least time without progress that counts as stalled.
    min_stall: f32,
    reported_healthy: bool,
}

impl Health {
    /// A node that has not reported itself healthy yet.
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

    /// Whether nothing began or ended for far longer than a run takes, whatever the gauges say:
    /// hung work, a frozen disk, a machine far slower than it was.
    pub(crate) fn without_progress(&self, now: TenthMillis, mean_run_time: f32) -> bool {
        let quiet = (now - self.progress_at) as f32;
        quiet > self.min_stall.max(STALLED_RUN_TIMES * mean_run_time)
    }

    /// Reports a change of the node's health. Health checks are answered from the stored state:
    /// checks that do real work would add to the overload that they are to report.
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
