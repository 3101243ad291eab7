//! Assigns queued runs to servers.

use super::{Connection, ConnectionState, Pool};
use crate::slow_start::Warmup;
use crate::{Action, ConnId, RunId, ServerId};
use doortrack_time::TenthMillis;

/// Scale factor of a server's load, so that fractions compare as integers.
const LOAD_SCALE: u64 = 1_000_000;

impl Pool {
    /// Sends queued runs to servers that can take them, in queue order.
    pub(super) fn dispatch(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some((sequence, run)) = self.first_in_queue()
            && !self.available.is_empty()
            && self.may_dispatch(now)
        {
            let server = self.choose_server(run);
            if self.take_ready_run(server, now) {
                self.queue.remove(&sequence);
                self.assign(run, server, now, actions);
            }
        }
        self.end_runs_without_credit(now, actions);
    }

    fn first_in_queue(&self) -> Option<(u64, RunId)> {
        self.queue
            .first_key_value()
            .map(|(sequence, run)| (*sequence, *run))
    }

    /// Sends a run to a server, on an idle connection or a new one.
    fn assign(
        &mut self,
        run: RunId,
        server_id: ServerId,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let server = &mut self.servers[server_id];
        server.busy_connections += 1;
        let idle = server.idle.pop();
        let conn = idle.unwrap_or_else(|| self.new_connection(run, server_id, now));
        if let Some(state) = self.runs.get_mut(&run) {
            state.conn = Some(conn);
            state.last_server = Some(server_id);
            state.attempts += 1;
        }
        self.update_availability(server_id);
        if idle.is_some() {
            self.send(conn, run, now, actions);
        } else {
            let deadline = self.connections[conn].deadline;
            self.deadlines.insert((deadline, conn));
            let server = server_id;
            actions.push(Action::Open { conn, server });
        }
    }

    fn new_connection(&mut self, run: RunId, server: ServerId, now: TenthMillis) -> ConnId {
        self.connections.insert(Connection {
            server,
            state: ConnectionState::Connecting(run),
            deadline: now + self.config.connect_timeout,
            reused: false,
            outages: self.servers[server].outages,
        })
    }

    /// Draws two available servers at random and returns the better one. The criteria are, in this
    /// order: the run was not tried on the server last, a run that can't be retried does not become a
    /// health check, and the load is lower relative to the concurrency that the server's health
    /// allows.
    fn choose_server(&mut self, run: RunId) -> ServerId {
        let count = self.available.len();
        let first = self.rng.usize(0..count);
        let offset = if count > 1 {
            self.rng.usize(1..count)
        } else {
            0
        };
        let first_server = self.available[first];
        let second_server = self.available[(first + offset) % count];
        let (last_server, idempotent) = self
            .runs
            .get(&run)
            .map_or((None, true), |state| (state.last_server, state.idempotent));
        let rank = |server: ServerId| {
            let health = self.servers[server].health;
            (
                last_server == Some(server),
                !idempotent && health.awaits_health_check(),
                self.load(server),
            )
        };
        if rank(second_server) < rank(first_server) {
            second_server
        } else {
            first_server
        }
    }

    fn load(&self, server: ServerId) -> u64 {
        let server = &self.servers[server];
        let allowed = server.health.allowed_runs(self.config.max_concurrency);
        u64::from(server.busy_connections) * LOAD_SCALE / u64::from(allowed.max(1))
    }

    /// Adds a server to `available` or removes it, according to its current state.
    pub(super) fn update_availability(&mut self, server_id: ServerId) {
        if !self.servers.contains(server_id) {
            return;
        }
        self.update_warm_count(server_id);
        let server = &self.servers[server_id];
        let allowed = server.health.allowed_runs(self.config.max_concurrency);
        let has_credit = server.warmup.as_ref().is_none_or(Warmup::may_have_credit);
        let available = has_credit && !server.removed && server.busy_connections < allowed;
        match (available, server.available_index) {
            (true, None) => {
                self.servers[server_id].available_index = Some(self.available.len());
                self.available.push(server_id);
            }
            (false, Some(index)) => {
                self.servers[server_id].available_index = None;
                self.available.swap_remove(index);
                if let Some(moved) = self.available.get(index) {
                    self.servers[*moved].available_index = Some(index);
                }
            }
            _ => {}
        }
    }
}
