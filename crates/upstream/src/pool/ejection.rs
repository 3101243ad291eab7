//! Ejects failing servers and tracks which servers are down.

use super::Pool;
use crate::health::{self, EjectionDecision, Failure, Health};
use crate::slow_start::Warmup;
use crate::{Action, ServerId, ServerState};
use doortrack_time::TenthMillis;

impl Pool {
    /// Counts a failure of a server, and marks the server as down or ejects it if necessary. A server
    /// that is not down is ejected only if enough others stay in use.
    pub(super) fn handle_failure(
        &mut self,
        server_id: ServerId,
        failure: Failure,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.counters.failures += 1;
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        let decision = server.health.on_failure(&self.config.outlier);
        let unreachable = match failure {
            Failure::ConnectionRefused => true,
            Failure::ConnectionLost => {
                decision != EjectionDecision::Keep
                    || server.warmup.is_some() && server.health.is_ejected()
            }
            Failure::ErrorResponse => false,
        };
        if unreachable && self.config.slow_start.is_some() && !server.removed {
            return self.mark_server_down(server_id, decision, now, actions);
        }
        let EjectionDecision::Eject { earlier_ejections } = decision else {
            return;
        };
        if !server.removed && self.in_use > self.min_in_use() {
            self.in_use -= 1;
            let until = self.eject(server_id, earlier_ejections, now);
            actions.push(Action::StateChanged {
                server: server_id,
                state: ServerState::Ejected { until },
            });
        }
        self.update_availability(server_id);
    }

    /// Ejects a server that the caller has already subtracted from `in_use`. Returns when the ejection
    /// ends.
    fn eject(&mut self, server: ServerId, earlier_ejections: u32, now: TenthMillis) -> TenthMillis {
        let jitter = self.rng.f64();
        let until = now + health::ejection_time(&self.config.outlier, earlier_ejections, jitter);
        self.servers[server].health = Health::Ejected {
            until,
            earlier_ejections,
        };
        self.ejection_ends.insert((until, server));
        self.counters.ejections += 1;
        until
    }

    /// Returns an ejected server to use, starting with a health check.
    pub(super) fn end_ejection(
        &mut self,
        until: TenthMillis,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        self.ejection_ends.remove(&(until, server));
        let Health::Ejected {
            earlier_ejections, ..
        } = self.servers[server].health
        else {
            return;
        };
        self.servers[server].health = Health::Recovering {
            allowed: 1,
            earlier_ejections,
        };
        self.in_use += 1;
        self.update_availability(server);
        // A server that is down gets many health checks, which are not reported individually.
        if self.servers[server].warmup.is_none() {
            let state = ServerState::HealthCheck;
            actions.push(Action::StateChanged { server, state });
        }
    }

    /// Marks a server as down: it gets only health checks, even if too few servers stay in use, and a
    /// slow start when it returns.
    fn mark_server_down(
        &mut self,
        server_id: ServerId,
        decision: EjectionDecision,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.stop_slow_start(server_id);
        let server = &mut self.servers[server_id];
        server.outages += 1;
        let was_down = server.is_down();
        server.warmup = Some(Warmup::default());
        if !server.health.is_ejected() {
            let until = self.eject_down_server(server_id, decision, now);
            if !was_down {
                actions.push(Action::StateChanged {
                    server: server_id,
                    state: ServerState::Down { until },
                });
            }
        }
        self.close_idle(server_id, actions);
        self.update_availability(server_id);
    }

    /// Ejects a server that is down, even if too few stay in use. Returns when the ejection ends.
    fn eject_down_server(
        &mut self,
        server: ServerId,
        decision: EjectionDecision,
        now: TenthMillis,
    ) -> TenthMillis {
        self.in_use -= 1;
        let earlier_ejections = match decision {
            EjectionDecision::Eject { earlier_ejections } if self.in_use >= self.min_in_use() => {
                earlier_ejections
            }
            // With too few servers in use, ejections stay short so that the return is noticed soon.
            _ => 0,
        };
        self.eject(server, earlier_ejections, now)
    }

    /// The minimum number of servers that stay in use despite failed runs.
    pub(super) fn min_in_use(&self) -> usize {
        let share = f64::from(self.config.outlier.min_share_in_use.clamp(0.0, 1.0));
        let floor = (self.members as f64 * share).ceil() as usize;
        floor.max(1)
    }
}
