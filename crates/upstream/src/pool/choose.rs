//! Which server takes which run.

use super::{Conn, Pool, Stage};
use crate::ramp::Cold;
use crate::{Action, RunId, ServerId};
use doortrack_time::TenthMillis;

impl Pool {
    /// Gives what waits to servers that can take it, first come first served.
    pub(super) fn hand_out(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some((turn, run)) = self
            .waiting
            .first_key_value()
            .map(|(turn, run)| (*turn, *run))
            && !self.open.is_empty()
            && self.may_hand_out(now)
        {
            let server = self.choose(run);
            if !self.charge(server, now) {
                continue;
            }
            self.waiting.remove(&turn);
            let of = &mut self.servers[server];
            of.in_hand += 1;
            let (kept, downs) = (of.idle.pop(), of.downs);
            let conn = kept.unwrap_or_else(|| {
                let due = now + self.terms.open_within;
                self.conns.insert(Conn {
                    server,
                    stage: Stage::Opening(run),
                    due,
                    used: false,
                    downs,
                })
            });
            if let Some(of) = self.runs.get_mut(&run) {
                (of.conn, of.last, of.tries) = (Some(conn), Some(server), of.tries + 1);
            }
            self.place(server);
            if kept.is_some() {
                self.carry(conn, run, now, actions);
            } else {
                self.dues.insert((self.conns[conn].due, conn));
                actions.push(Action::Open { conn, server });
            }
        }
        self.give_up_waiting(now, actions);
    }

    /// Of two drawn by chance the one with less in hand for what it is trusted with. Before that counts
    /// that it is another than the last one tried, and that who can't be repeated is no probe.
    fn choose(&mut self, run: RunId) -> ServerId {
        let count = self.open.len();
        let one = self.rng.usize(0..count);
        let other =
            (one + if count > 1 {
                self.rng.usize(1..count)
            } else {
                0
            }) % count;
        let (last, repeatable) = self
            .runs
            .get(&run)
            .map_or((None, true), |run| (run.last, run.repeatable));
        let rank = |server: ServerId| {
            let of = &self.servers[server];
            let trusted = u64::from(of.health.trusted(self.terms.at_once).max(1));
            let load = u64::from(of.in_hand) * 1_000_000 / trusted;
            (
                last == Some(server),
                !repeatable && of.health.unproven(),
                load,
            )
        };
        let (one, other) = (self.open[one], self.open[other]);
        if rank(other) < rank(one) { other } else { one }
    }

    /// Puts a server among those that can take a run, or takes it out, as it now is.
    pub(super) fn place(&mut self, server: ServerId) {
        if !self.servers.contains(server) {
            return;
        }
        self.recount(server);
        let of = &self.servers[server];
        let ready = of.cold.as_ref().is_none_or(Cold::can_take);
        let can = ready && !of.removed && of.in_hand < of.health.trusted(self.terms.at_once);
        match (can, of.open_place) {
            (true, None) => {
                self.servers[server].open_place = Some(self.open.len());
                self.open.push(server);
            }
            (false, Some(place)) => {
                self.servers[server].open_place = None;
                self.open.swap_remove(place);
                if let Some(moved) = self.open.get(place) {
                    self.servers[*moved].open_place = Some(place);
                }
            }
            _ => {}
        }
    }
}
