//! The deadlines of a graceful shutdown.

use doortrack_time::TenthMillis;

use crate::AdmissionConfig;

/// An answer is sent this many ticks of the node's clock before it is due.
const ANSWER_MARGIN_TICKS: TenthMillis = 2;

/// The graceful shutdown of this node, once it was requested.
#[derive(Debug)]
pub(crate) struct Drain {
    answer_margin: TenthMillis,
    grace: TenthMillis,
    deadlines: Option<Deadlines>,
}

#[derive(Clone, Copy, Debug)]
struct Deadlines {
    /// Requests that arrive from here on are rejected.
    arrivals_end: TenthMillis,
    /// When the process is stopped.
    stop_at: TenthMillis,
}

impl Drain {
    /// Creates the state of a node without a shutdown.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            answer_margin: ANSWER_MARGIN_TICKS * config.tick,
            grace: config.drain_grace,
            deadlines: None,
        }
    }

    /// A shutdown was requested at this time.
    pub(crate) fn begin(&mut self, requested_at: TenthMillis, stop_at: TenthMillis) {
        self.deadlines = Some(Deadlines {
            arrivals_end: requested_at + self.grace,
            stop_at,
        });
    }

    /// Whether a shutdown was requested.
    pub(crate) fn has_begun(&self) -> bool {
        self.deadlines.is_some()
    }

    /// Whether a request that arrived at this time is too late to be run.
    pub(crate) fn rejects(&self, arrived_at: TenthMillis) -> bool {
        self.deadlines
            .is_some_and(|deadlines| arrived_at >= deadlines.arrivals_end)
    }

    /// The last moment for an answer that is due at `deadline`, and before the process is stopped.
    pub(crate) fn answer_by(&self, deadline: TenthMillis) -> TenthMillis {
        self.before_stop(deadline.saturating_sub(self.answer_margin))
    }

    /// The last moment for an answer that was to be given by `answer_by`, and before the process is stopped. Applied
    /// again it changes nothing.
    pub(crate) fn before_stop(&self, answer_by: TenthMillis) -> TenthMillis {
        self.deadlines.map_or(answer_by, |deadlines| {
            answer_by.min(deadlines.stop_at.saturating_sub(self.answer_margin))
        })
    }
}
