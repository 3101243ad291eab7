//! Which servers there are.

use super::{Pool, Server};
use crate::health::Health;
use crate::slow_start::Warmup;
use crate::{Action, PoolConfig, ServerId};
use doortrack_time::TenthMillis;

impl Pool {
    /// Changes the configuration. Connections and ejections keep the deadlines that they have.
    pub fn reconfigure(&mut self, config: PoolConfig, now: TenthMillis, actions: &mut Vec<Action>) {
        self.config = config;
        self.retry_budget.reconfigure(&config.retry);
        let servers: Vec<ServerId> = self.servers.iter().map(|(server, _)| server).collect();
        for server in servers {
            while self.has_surplus_connections(server)
                && let Some(conn) = self.servers[server].idle.first().copied()
            {
                self.close(conn, actions);
            }
            if config.slow_start.is_none() {
                self.finish_warmup(server);
            }
            self.update_availability(server);
        }
        self.dispatch(now, actions);
    }

    /// Adds a server that takes as many runs as any other at once, as when the pool starts.
    pub fn add_server(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> ServerId {
        self.insert_server(Server::new(Health::HEALTHY, None), now, actions)
    }

    /// Adds a server that came later than the others: with slow start it gets a health check first,
    /// and then a slow start.
    pub fn add_cold_server(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> ServerId {
        if self.config.slow_start.is_none() {
            return self.add_server(now, actions);
        }
        let health = Health::Recovering {
            allowed: 1,
            earlier_ejections: 0,
        };
        let server = Server::new(health, Some(Warmup::default()));
        self.insert_server(server, now, actions)
    }

    fn insert_server(
        &mut self,
        server: Server,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) -> ServerId {
        let server_id = self.servers.insert(server);
        self.members += 1;
        self.in_use += 1;
        self.update_availability(server_id);
        self.dispatch(now, actions);
        server_id
    }

    /// Removes a server: it gets no more runs, those on it may end.
    pub fn remove_server(
        &mut self,
        server_id: ServerId,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(server) = self
            .servers
            .get_mut(server_id)
            .filter(|server| !server.removed)
        else {
            return;
        };
        server.removed = true;
        self.members -= 1;
        if let Health::Ejected { until, .. } = server.health {
            self.ejection_ends.remove(&(until, server_id));
        } else {
            self.in_use -= 1;
        }
        self.close_idle(server_id, actions);
        self.stop_slow_start(server_id);
        self.update_availability(server_id);
        self.drop_if_unused(server_id);
        // It may have been the last one in use: those whose ejection ends first return early.
        while self.in_use < self.min_in_use()
            && let Some((until, ejected)) = self.ejection_ends.first().copied()
        {
            self.end_ejection(until, ejected, actions);
        }
        self.dispatch(now, actions);
    }

    /// Drops a removed server that has no connections left.
    pub(super) fn drop_if_unused(&mut self, server_id: ServerId) {
        let unused = self
            .servers
            .get(server_id)
            .is_some_and(|server| server.removed && server.connections() == 0);
        if unused {
            self.servers.remove(server_id);
        }
    }
}
