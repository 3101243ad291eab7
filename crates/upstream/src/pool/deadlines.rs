//! Timers: connection timeouts, ends of ejections, and reviews of slow starts.

use super::{ConnectionState, Pool};
use crate::health::Failure;
use crate::{Action, ConnId, RunEnd};
use doortrack_time::TenthMillis;

impl Pool {
    /// When [`Pool::tick`] is due; [`TenthMillis::MAX`] if no timer is set.
    pub fn next_due(&self) -> TenthMillis {
        let deadline = self
            .deadlines
            .first()
            .map_or(TenthMillis::MAX, |(deadline, _)| *deadline);
        deadline
            .min(self.next_ejection_end())
            .min(self.next_slow_start_review())
    }

    /// Handles every timer that has expired.
    pub fn tick(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some((deadline, conn)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.handle_timeout(conn, now, actions);
        }
        while let Some((until, server)) = self.ejection_ends.first().copied()
            && until <= now
        {
            self.end_ejection(until, server, actions);
        }
        self.review_slow_starts(now, actions);
        self.dispatch(now, actions);
    }

    fn handle_timeout(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        let (server, state) = (self.connections[conn].server, self.connections[conn].state);
        self.close(conn, actions);
        match state {
            ConnectionState::Idle => {}
            ConnectionState::Connecting(run) => {
                self.handle_failure(server, Failure::ConnectionLost, now, actions);
                self.retry_or_end(run, RunEnd::NotRun, actions);
            }
            ConnectionState::Busy { run, sent } => {
                self.handle_failure(server, Failure::ConnectionLost, now, actions);
                self.handle_lost_run(run, sent, RunEnd::TimedOut, actions);
            }
        }
        self.drop_if_unused(server);
    }

    pub(super) fn next_ejection_end(&self) -> TenthMillis {
        self.ejection_ends
            .first()
            .map_or(TenthMillis::MAX, |(until, _)| *until)
    }
}
