//! Which servers there are, and which of them are put aside.

use super::{Pool, Server};
use crate::health::{self, Failure, Health, Verdict};
use crate::ramp::Cold;
use crate::{Action, ServerId, Standing, Terms};
use doortrack_time::TenthMillis;

impl Pool {
    /// Other terms from here on; what is under way keeps the times that it was given.
    pub fn retune(&mut self, terms: Terms, now: TenthMillis, actions: &mut Vec<Action>) {
        self.terms = terms;
        self.budget.retune(&terms.retries);
        let all: Vec<ServerId> = self.servers.iter().map(|(server, _)| server).collect();
        for server in all {
            // What is kept beyond the new bound goes.
            while self.has_too_many(server)
                && let Some(conn) = self.servers[server].idle.first().copied()
            {
                self.close(conn, actions);
            }
            if terms.ramp.is_none() {
                self.becomes_warm(server);
            }
            self.place(server);
        }
        self.hand_out(now, actions);
    }

    /// A new server, trusted with all at once: most are there when the pool starts.
    pub fn add(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> ServerId {
        self.add_as(Health::FIT, None, now, actions)
    }

    /// A new server that came later than the others: with a ramp it is probed, and then ramps up.
    pub fn add_cold(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> ServerId {
        if self.terms.ramp.is_none() {
            return self.add(now, actions);
        }
        let health = Health::Returning {
            trusted: 1,
            times: 0,
        };
        self.add_as(health, Some(Cold::default()), now, actions)
    }

    fn add_as(
        &mut self,
        health: Health,
        cold: Option<Cold>,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) -> ServerId {
        let (in_hand, idle, open_place, removed, counted_warm, downs) = Default::default();
        let fresh = Server {
            health,
            in_hand,
            idle,
            open_place,
            removed,
            cold,
            counted_warm,
            downs,
        };
        let server = self.servers.insert(fresh);
        (self.members, self.in_use) = (self.members + 1, self.in_use + 1);
        self.place(server);
        self.hand_out(now, actions);
        server
    }

    /// Takes a server out: it is given nothing more, what runs there may end.
    pub fn remove(&mut self, server: ServerId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(of) = self.servers.get_mut(server).filter(|of| !of.removed) else {
            return;
        };
        of.removed = true;
        self.members -= 1;
        match of.health {
            Health::Aside { till, .. } => _ = self.returns.remove(&(till, server)),
            _ => self.in_use -= 1,
        }
        for conn in std::mem::take(&mut self.servers[server].idle) {
            self.forget_conn(conn);
            actions.push(Action::Close { conn });
        }
        self.stop_ramping(server);
        self.place(server);
        self.gone_if_over(server);
        // With it may go the last one in use: then those come back that were to come back first.
        while self.in_use < self.floor()
            && let Some((till, other)) = self.returns.first().copied()
        {
            self.take_back(till, other, actions);
        }
        self.hand_out(now, actions);
    }

    pub(super) fn gone_if_over(&mut self, server: ServerId) {
        if self
            .servers
            .get(server)
            .is_some_and(|of| of.removed && of.in_hand == 0 && of.idle.is_empty())
        {
            self.servers.remove(server);
        }
    }

    pub(super) fn take_back(
        &mut self,
        till: TenthMillis,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        self.returns.remove(&(till, server));
        if let Health::Aside { times, .. } = self.servers[server].health {
            self.servers[server].health = Health::Returning { trusted: 1, times };
            self.in_use += 1;
            self.place(server);
            // One that is down is probed often, and that is told once.
            if self.servers[server].cold.is_none() {
                actions.push(Action::Report {
                    server,
                    standing: Standing::Returning,
                });
            }
        }
    }

    /// A server failed: it may be put aside, unless too few would be left.
    pub(super) fn failed(
        &mut self,
        server: ServerId,
        failure: Failure,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.counts.failures += 1;
        let Some(of) = self.servers.get_mut(server) else {
            return;
        };
        let verdict = of.health.failed(&self.terms.aside);
        let lost = match failure {
            Failure::Refused => true,
            Failure::Lost => verdict != Verdict::Stays || of.cold.is_some() && of.health.is_aside(),
            Failure::Answered => false,
        };
        if lost && self.terms.ramp.is_some() && !of.removed {
            return self.goes_down(server, verdict, now, actions);
        }
        let Verdict::PutAside { times } = verdict else {
            return;
        };
        if of.removed || self.in_use <= self.floor() {
            return self.place(server);
        }
        let till = now + health::span(&self.terms.aside, times, self.rng.f64());
        self.servers[server].health = Health::Aside { till, times };
        self.returns.insert((till, server));
        self.in_use -= 1;
        self.counts.put_aside += 1;
        actions.push(Action::Report {
            server,
            standing: Standing::PutAside { till },
        });
        self.place(server);
    }

    /// Servers that are in use whatever they do.
    pub(super) fn floor(&self) -> usize {
        let share =
            (self.members as f64 * f64::from(self.terms.aside.floor.clamp(0.0, 1.0))).ceil();
        (share as usize).max(1)
    }
}
