//! The lifecycle of runs: begun, cancelled, retried, ended.

use super::{ConnectionState, Pool, Run};
use crate::{Action, RunEnd, RunId};
use doortrack_time::TenthMillis;

impl Pool {
    /// Begins a run. A run that is not idempotent is sent again only if the server can't have executed
    /// it.
    pub fn begin(
        &mut self,
        run: RunId,
        idempotent: bool,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.counters.begun += 1;
        self.retry_budget.on_run_begun();
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let state = Run {
            idempotent,
            sequence,
            attempts: 0,
            last_server: None,
            conn: None,
            end_without_server: RunEnd::NotRun,
        };
        self.runs.insert(run, state);
        self.queue.insert(sequence, run);
        self.dispatch(now, actions);
    }

    /// Cancels a run, which ends immediately.
    pub fn cancel(&mut self, run: RunId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(state) = self.runs.get(&run) else {
            return;
        };
        let Some(conn) = state.conn else {
            self.queue.remove(&state.sequence);
            return self.end_run(run, RunEnd::NotRun, actions);
        };
        let end = match self.connections[conn].state {
            ConnectionState::Busy { sent: true, .. } => RunEnd::Cancelled,
            _ => RunEnd::NotRun,
        };
        self.close(conn, actions);
        self.end_run(run, end, actions);
        self.dispatch(now, actions);
    }

    /// Puts a run back into the queue at its original position.
    pub(super) fn requeue(&mut self, run: RunId) {
        if let Some(state) = self.runs.get_mut(&run) {
            state.conn = None;
            self.queue.insert(state.sequence, run);
        }
    }

    /// Handles a run that got no complete response. A run that may have reached the server is retried
    /// only if it is idempotent.
    pub(super) fn handle_lost_run(
        &mut self,
        run: RunId,
        sent: bool,
        end: RunEnd,
        actions: &mut Vec<Action>,
    ) {
        if !sent {
            return self.retry_or_end(run, RunEnd::NotRun, actions);
        }
        if self.runs.get(&run).is_some_and(|state| state.idempotent) {
            self.retry_or_end(run, end, actions);
        } else {
            self.end_run(run, end, actions);
        }
    }

    /// Retries a run if its attempts and the retry budget allow it, and ends it otherwise.
    pub(super) fn retry_or_end(&mut self, run: RunId, end: RunEnd, actions: &mut Vec<Action>) {
        let attempts = self.runs.get(&run).map_or(u32::MAX, |state| state.attempts);
        if attempts < self.config.retry.max_attempts {
            if self.retry_budget.try_take() {
                self.counters.retries += 1;
                if let Some(state) = self.runs.get_mut(&run) {
                    state.end_without_server = end;
                }
                return self.requeue(run);
            }
            self.counters.retries_over_budget += 1;
        }
        self.end_run(run, end, actions);
    }

    pub(super) fn end_run(&mut self, run: RunId, end: RunEnd, actions: &mut Vec<Action>) {
        self.runs.remove(&run);
        actions.push(Action::Ended { run, end });
    }
}
