//! The deadlines of a graceful shutdown.

use doortrack_time::TenthMillis;

use crate::AdmissionConfig;

/// How long before its due time an answer is sent, in ticks of the node's clock.
const ANSWER_MARGIN_TICKS: TenthMillis = 2;

/// The state of the node's graceful shutdown.
#[derive(Debug)]
pub(crate) struct Drain {
    answer_margin: TenthMillis,
    grace: TenthMillis,
    deadlines: Option<Deadlines>,
}

#[derive(Clone, Copy, Debug)]
struct Deadlines {
    /// Requests that arrive at or after this time are rejected.
    arrivals_end: TenthMillis,
    /// Time at which the process is stopped.
    stop_at: TenthMillis,
}

impl Drain {
    /// Creates the state of a node that is not draining.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            answer_margin: ANSWER_MARGIN_TICKS * config.tick,
            grace: config.drain_grace,
            deadlines: None,
        }
    }

    /// Starts the shutdown that was requested at this time.
    pub(crate) fn begin(&mut self, requested_at: TenthMillis, stop_at: TenthMillis) {
        self.deadlines = Some(Deadlines {
            arrivals_end: requested_at + self.grace,
            stop_at,
        });
    }

    /// Returns `true` once a shutdown was requested.
    pub(crate) fn has_begun(&self) -> bool {
        self.deadlines.is_some()
    }

    /// Returns `true` if a request that arrived at this time is too late to be run.
    pub(crate) fn rejects(&self, arrived_at: TenthMillis) -> bool {
        self.deadlines
            .is_some_and(|deadlines| arrived_at >= deadlines.arrivals_end)
    }

    /// Returns the latest time for an answer that is due at `deadline`, which is also before the
    /// process is stopped.
    pub(crate) fn answer_by(&self, deadline: TenthMillis) -> TenthMillis {
        self.limit_to_stop(deadline.saturating_sub(self.answer_margin))
    }

    /// Returns `answer_by`, or the latest time for an answer before the process is stopped if that
    /// is earlier. The operation is idempotent.
    pub(crate) fn limit_to_stop(&self, answer_by: TenthMillis) -> TenthMillis {
        self.deadlines.map_or(answer_by, |deadlines| {
            answer_by.min(deadlines.stop_at.saturating_sub(self.answer_margin))
        })
    }
}
