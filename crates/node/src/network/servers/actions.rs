//! Carries out the pool's decisions.

use std::net::SocketAddr;

use doortrack_admission::RunOutcome;
use doortrack_time::TenthMillis;
use doortrack_upstream::{Action, RunEnd, RunId};
use slog::warn;

use super::PoolClient;
use crate::network::backend::BackendEvent;
use crate::network::headers::forwarded_headers;
use crate::network::server_log::log_server_state;
use crate::network::termination::Termination;

impl PoolClient {
    /// Carries out the pool's decisions until there are none left. This has to follow each event, as connection ids
    /// are reused at once: a delayed close would hit the next connection with the same id.
    pub(super) fn execute_actions(&mut self, now: TenthMillis) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                self.execute(action, now);
            }
        }
    }

    fn execute(&mut self, action: Action, now: TenthMillis) {
        match action {
            Action::Open { conn, server } => {
                if let Err(e) = self.open(conn, server) {
                    warn!(self.log, "server out of reach"; "address" => ?self.addresses.get(&server), "why" => %e);
                    self.on_open_failed(conn, Some(e), now);
                }
            }
            Action::Send { conn, run } => self.send(conn, run, now),
            Action::Close { conn } => self.close(conn),
            Action::Ended { run, end } => self.on_run_ended(run, termination(end)),
            Action::StateChanged { server, state } => {
                let address = self.addresses.get(&server);
                let address = address.map_or_else(String::new, SocketAddr::to_string);
                log_server_state(&self.log, &address, self.pool.in_use(), state, now);
            }
        }
    }

    fn on_run_ended(&mut self, run: RunId, termination: Termination) {
        self.requests.remove(&run);
        let response = self.responses.remove(&run).unwrap_or_default();
        *self.terminations.entry(termination.name()).or_default() += 1;
        self.events.push(BackendEvent::RunEnded {
            id: run,
            termination,
            headers: forwarded_headers(&response),
            body: response.body,
        });
    }
}

fn termination(end: RunEnd) -> Termination {
    match end {
        RunEnd::Completed => Termination::Run(RunOutcome::Completed),
        RunEnd::Failed => Termination::Run(RunOutcome::Failed),
        RunEnd::Cancelled => Termination::Run(RunOutcome::Cancelled),
        RunEnd::NotRun => Termination::NoServerAccepted,
        RunEnd::Lost => Termination::ServerLost,
        RunEnd::TimedOut => Termination::ServerTimeout,
    }
}
