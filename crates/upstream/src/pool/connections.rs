//! The life of connections: opened, used, kept idle, closed or lost.

use super::{Connection, ConnectionState, Pool};
use crate::health::Failure;
use crate::{Action, ConnId, ResponseEnd, RunEnd, RunId, ServerId, ServerState};
use doortrack_time::TenthMillis;

impl Pool {
    /// A connection has opened.
    pub fn connected(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(Connection {
            server,
            state: ConnectionState::Connecting(run),
            outages,
            ..
        }) = self.connections.get(conn)
        else {
            return;
        };
        let (server, run, outages) = (*server, *run, *outages);
        self.counters.connections_opened += 1;
        if outages == self.servers[server].outages {
            self.begin_slow_start_if_down(server, now, actions);
            return self.send(conn, run, now, actions);
        }
        // Its server has gone down since: it is no health check, and its run is outside of slow
        // start.
        self.close(conn, actions);
        self.retry_or_end(run, RunEnd::NotRun, actions);
        self.dispatch(now, actions);
    }

    /// A connection could not be opened, so nothing of its run was sent.
    pub fn connect_failed(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        self.not_connected(conn, Failure::ConnectionLost, now, actions);
    }

    /// A connection was refused: nothing listens there, and nothing of its run was sent.
    pub fn connect_refused(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        self.not_connected(conn, Failure::ConnectionRefused, now, actions);
    }

    fn not_connected(
        &mut self,
        conn: ConnId,
        failure: Failure,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let state = self
            .connections
            .get(conn)
            .map(|connection| connection.state);
        let Some(ConnectionState::Connecting(run)) = state else {
            return;
        };
        let server = self.remove_connection(conn);
        self.server_failed(server, failure, now, actions);
        self.retry_or_end(run, RunEnd::NotRun, actions);
        self.drop_if_unused(server);
        self.dispatch(now, actions);
    }

    /// Some of the run on this connection was handed to the system, so that it may reach the
    /// server.
    pub fn request_sent(&mut self, conn: ConnId) {
        let state = self
            .connections
            .get_mut(conn)
            .map(|connection| &mut connection.state);
        if let Some(ConnectionState::Busy { sent, .. }) = state {
            *sent = true;
        }
    }

    /// The response to the run on this connection has ended.
    pub fn response_ended(
        &mut self,
        conn: ConnId,
        response: ResponseEnd,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(Connection {
            server,
            state: ConnectionState::Busy { run, .. },
            ..
        }) = self.connections.get(conn)
        else {
            return;
        };
        let (server, run) = (*server, *run);
        let (reusable, end) = match response {
            ResponseEnd::Completed { reusable } => (reusable, RunEnd::Completed),
            ResponseEnd::Failed { reusable } => (reusable, RunEnd::Failed),
            ResponseEnd::Refused { reusable } => (reusable, RunEnd::NotRun),
        };
        if end == RunEnd::Completed {
            self.server_succeeded(server, actions);
        } else {
            self.server_failed(server, Failure::ErrorResponse, now, actions);
        }
        self.keep_or_close(conn, reusable, now, actions);
        if end == RunEnd::NotRun {
            self.retry_or_end(run, end, actions);
        } else {
            self.end_run(run, end, actions);
        }
        self.drop_if_unused(server);
        self.dispatch(now, actions);
    }

    fn server_succeeded(&mut self, server: ServerId, actions: &mut Vec<Action>) {
        let health = &mut self.servers[server].health;
        let before = *health;
        *health = before.after_success(self.config.max_concurrency);
        if before.is_recovering() && !health.is_recovering() {
            let state = ServerState::Recovered;
            actions.push(Action::StateChanged { server, state });
        }
    }

    /// The connection has ended, or its response can't be read. The caller has closed it already.
    pub fn connection_lost(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(connection) = self.connections.get(conn) else {
            return;
        };
        match (connection.state, connection.reused) {
            (ConnectionState::Connecting(_), _) => {
                return self.connect_failed(conn, now, actions);
            }
            (ConnectionState::Idle, _) => {
                let server = self.remove_connection(conn);
                self.drop_if_unused(server);
            }
            (ConnectionState::Busy { run, sent: false }, true) => {
                self.requeue_from_stale(conn, run);
            }
            (ConnectionState::Busy { run, sent }, _) => {
                let server = self.remove_connection(conn);
                self.server_failed(server, Failure::ConnectionLost, now, actions);
                self.run_lost(run, sent, RunEnd::Lost, actions);
                self.drop_if_unused(server);
            }
        }
        self.dispatch(now, actions);
    }

    /// The server closed an idle connection before it was used again, as is its right: neither a
    /// failure nor a retry that would have to be in the budget. Each such attempt uses up an idle
    /// connection, so their number is bounded.
    fn requeue_from_stale(&mut self, conn: ConnId, run: RunId) {
        self.counters.stale_connections += 1;
        self.remove_connection(conn);
        if let Some(run) = self.runs.get_mut(&run) {
            run.attempts -= 1;
        }
        self.requeue(run);
    }

    pub(super) fn send(
        &mut self,
        conn: ConnId,
        run: RunId,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let state = ConnectionState::Busy { run, sent: false };
        self.set_connection_state(conn, state, now + self.config.response_timeout);
        actions.push(Action::Send { conn, run });
    }

    fn set_connection_state(
        &mut self,
        conn: ConnId,
        state: ConnectionState,
        deadline: TenthMillis,
    ) {
        let connection = &mut self.connections[conn];
        self.deadlines.remove(&(connection.deadline, conn));
        connection.state = state;
        connection.deadline = deadline;
        self.deadlines.insert((deadline, conn));
    }

    /// Keeps a connection whose run is over for the next one, or closes it.
    fn keep_or_close(
        &mut self,
        conn: ConnId,
        reusable: bool,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let server_id = self.connections[conn].server;
        let server = &self.servers[server_id];
        // A connection from before its server went down proves nothing of its return.
        let out_of_use = server.removed || server.is_down() || server.health.is_ejected();
        let surplus = self.has_surplus_connections(server_id);
        if !reusable || self.config.idle_timeout == 0 || out_of_use || surplus {
            return self.close(conn, actions);
        }
        self.set_connection_state(conn, ConnectionState::Idle, now + self.config.idle_timeout);
        self.connections[conn].reused = true;
        let server = &mut self.servers[server_id];
        server.busy_connections -= 1;
        server.idle.push(conn);
        self.update_availability(server_id);
    }

    /// Whether the server has more connections than it may, as after a change of the configuration.
    pub(super) fn has_surplus_connections(&self, server: ServerId) -> bool {
        self.servers[server].connections() > self.config.max_concurrency
    }

    pub(super) fn close(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
        let server = self.remove_connection(conn);
        actions.push(Action::Close { conn });
        self.drop_if_unused(server);
    }

    pub(super) fn close_idle(&mut self, server: ServerId, actions: &mut Vec<Action>) {
        for conn in std::mem::take(&mut self.servers[server].idle) {
            self.remove_connection(conn);
            actions.push(Action::Close { conn });
        }
    }

    /// Removes a connection from the pool's state. Returns its server.
    pub(super) fn remove_connection(&mut self, conn: ConnId) -> ServerId {
        let connection = self.connections.remove(conn);
        self.deadlines.remove(&(connection.deadline, conn));
        let server = &mut self.servers[connection.server];
        if connection.state == ConnectionState::Idle {
            server.idle.retain(|idle| *idle != conn);
        } else {
            server.busy_connections -= 1;
        }
        self.update_availability(connection.server);
        connection.server
    }
}
