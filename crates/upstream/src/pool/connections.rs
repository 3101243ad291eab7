//! The lifecycle of connections: opened, used, kept idle, closed or lost.

use super::{Connection, ConnectionState, Pool};
use crate::health::Failure;
use crate::{Action, ConnId, ResponseEnd, RunEnd, RunId, ServerId, ServerState};
use doortrack_time::TenthMillis;

impl Pool {
    /// Reports that a connection has opened.
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
        // The server went down after the connection was requested. The open connection doesn't show
        // that the server has returned, and its run is not covered by a slow start.
        self.close(conn, actions);
        self.retry_or_end(run, RunEnd::NotRun, actions);
        self.dispatch(now, actions);
    }

    /// Reports that a connection could not be opened, so that no byte of its run was sent.
    pub fn connect_failed(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        self.handle_connect_failure(conn, Failure::ConnectionLost, now, actions);
    }

    /// Reports that a connection was refused: nothing listens on the port, and no byte of the run was
    /// sent.
    pub fn connect_refused(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        self.handle_connect_failure(conn, Failure::ConnectionRefused, now, actions);
    }

    fn handle_connect_failure(
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
        self.handle_failure(server, failure, now, actions);
        self.retry_or_end(run, RunEnd::NotRun, actions);
        self.drop_if_unused(server);
        self.dispatch(now, actions);
    }

    /// Reports that some bytes of the run on this connection were passed to the operating system, so
    /// that they may reach the server.
    pub fn request_sent(&mut self, conn: ConnId) {
        let state = self
            .connections
            .get_mut(conn)
            .map(|connection| &mut connection.state);
        if let Some(ConnectionState::Busy { sent, .. }) = state {
            *sent = true;
        }
    }

    /// Reports that the response to the run on this connection has ended.
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
            self.handle_success(server, actions);
        } else {
            self.handle_failure(server, Failure::ErrorResponse, now, actions);
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

    fn handle_success(&mut self, server: ServerId, actions: &mut Vec<Action>) {
        let health = &mut self.servers[server].health;
        let before = *health;
        *health = before.after_success(self.config.max_concurrency);
        if before.is_recovering() && !health.is_recovering() {
            let state = ServerState::Recovered;
            actions.push(Action::StateChanged { server, state });
        }
    }

    /// Reports that a connection has ended, or that its response can't be parsed. The caller has
    /// already closed the connection.
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
                self.requeue_from_stale_connection(conn, run);
            }
            (ConnectionState::Busy { run, sent }, _) => {
                let server = self.remove_connection(conn);
                self.handle_failure(server, Failure::ConnectionLost, now, actions);
                self.handle_lost_run(run, sent, RunEnd::Lost, actions);
                self.drop_if_unused(server);
            }
        }
        self.dispatch(now, actions);
    }

    /// Requeues a run whose idle connection the server closed before any byte of the run was sent.
    /// Servers may close idle connections, so this counts neither as a failure nor as a retry. The
    /// number of such attempts is bounded because each uses up an idle connection.
    fn requeue_from_stale_connection(&mut self, conn: ConnId, run: RunId) {
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

    /// Keeps a connection idle for the next run, or closes it.
    fn keep_or_close(
        &mut self,
        conn: ConnId,
        reusable: bool,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let server_id = self.connections[conn].server;
        let server = &self.servers[server_id];
        // A connection that was opened before its server went down doesn't show that the server has
        // returned.
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

    /// Whether the server has more connections than allowed, as after a change of the configuration.
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

    /// Removes a connection from the state of the pool. Returns the server of the connection.
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
