//! Which servers are ejected, and which are down.

use super::Pool;
use crate::health::{self, Failure, Health, Verdict};
use crate::slow_start::Warmup;
use crate::{Action, ServerId, ServerState};
use doortrack_time::TenthMillis;

impl Pool {
    /// Counts a failure of a server, which may eject it unless too few would be left.
    pub(super) fn server_failed(
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
        let verdict = server.health.on_failure(&self.config.outlier);
        let unreachable = match failure {
            Failure::ConnectionRefused => true,
            Failure::ConnectionLost => {
                verdict != Verdict::Keep || server.warmup.is_some() && server.health.is_ejected()
            }
            Failure::ErrorResponse => false,
        };
        if unreachable && self.config.slow_start.is_some() && !server.removed {
            return self.server_down(server_id, verdict, now, actions);
        }
        let Verdict::Eject { earlier_ejections } = verdict else {
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

    /// Ejects a server, which no longer counts as in use. Returns when the ejection ends.
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

    /// Takes an ejected server back into use, beginning with a health check.
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
        // A server that is down has many health checks, which are not reported one by one.
        if self.servers[server].warmup.is_none() {
            let state = ServerState::HealthCheck;
            actions.push(Action::StateChanged { server, state });
        }
    }

    /// Nothing answers there: it gets a health check now and then and nothing else, whatever the
    /// floor, and a slow start when it returns.
    fn server_down(
        &mut self,
        server_id: ServerId,
        verdict: Verdict,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.stop_slow_start(server_id);
        let server = &mut self.servers[server_id];
        server.outages += 1;
        let known_down = server.is_down();
        server.warmup = Some(Warmup::default());
        if !server.health.is_ejected() {
            let until = self.eject_down(server_id, verdict, now);
            if !known_down {
                actions.push(Action::StateChanged {
                    server: server_id,
                    state: ServerState::Down { until },
                });
            }
        }
        self.close_idle(server_id, actions);
        self.update_availability(server_id);
    }

    /// Ejects a server whatever the floor. Returns when the ejection ends.
    fn eject_down(&mut self, server: ServerId, verdict: Verdict, now: TenthMillis) -> TenthMillis {
        self.in_use -= 1;
        let earlier_ejections = match verdict {
            Verdict::Eject { earlier_ejections } if self.in_use >= self.min_in_use() => {
                earlier_ejections
            }
            // Where too few others are left its return is not to be missed.
            _ => 0,
        };
        self.eject(server, earlier_ejections, now)
    }

    /// The number of servers that stay in use however they fail.
    pub(super) fn min_in_use(&self) -> usize {
        let share = f64::from(self.config.outlier.min_share_in_use.clamp(0.0, 1.0));
        let floor = (self.members as f64 * share).ceil() as usize;
        floor.max(1)
    }
}
