//! Servers that are down or return cold: their probes, their ramps, and what is admitted while no other
//! server is there.

use std::collections::BTreeSet;

use super::Pool;
use crate::health::{self, Health, Verdict};
use crate::ramp::{Cold, Gate, Ramping, Token};
use crate::{Action, ServerId, Standing};
use doortrack_time::TenthMillis;

/// Bounds of the advice when to come back: as long as a server is ramping, credit comes in steadily.
const LEAST_WAIT: TenthMillis = 200;
const RAMPING_WAIT: TenthMillis = 1_000;
/// Servers that are asked for credit for one run.
const MOST_ASKED: usize = 2;

/// What a pool knows of all its cold servers together.
#[derive(Debug, Default)]
pub(super) struct Ramps {
    gate: Gate,
    /// When ramping servers are to be looked at, one entry each.
    wakes: BTreeSet<(TenthMillis, ServerId)>,
    /// Sum of what servers are ready for.
    ready: usize,
    /// Requests that were admitted on that and not begun yet.
    promised: usize,
    /// Servers that are in use and not cold.
    warm: usize,
}

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// As any other.
    #[default]
    Free,
    /// On the credit of a cold server, to be let go of by [`Pool::release`].
    Reserved,
}

impl Pool {
    /// Where tokens of ramps are asked for, if this pool shares them with others.
    pub fn gate_ramps(&mut self, gate: Box<dyn FnMut() -> Token>) {
        self.ramps.gate = Gate::new(gate);
    }

    /// Servers that are down or ramping.
    pub fn cold(&self) -> usize {
        self.servers
            .iter()
            .filter(|(_, of)| !of.removed && of.cold.is_some())
            .count()
    }

    /// Whether one more request may be admitted to this pool. It may, unless every server is down or
    /// ramping and nothing is left of what those may be sent now.
    ///
    /// # Errors
    /// How long to wait before coming back, in tenths of a ms.
    pub fn admit(&mut self, now: TenthMillis) -> Result<Admission, TenthMillis> {
        if self.has_warm() {
            return Ok(Admission::Free);
        }
        if self.secure(self.ramps.promised + self.waiting.len() + 1, now) {
            self.ramps.promised += 1;
            return Ok(Admission::Reserved);
        }
        self.counts.held_back += 1;
        Err(self.wait_for_credit(now))
    }

    /// A reserved request is begun next, or will never be.
    pub fn release(&mut self) {
        self.ramps.promised = self.ramps.promised.saturating_sub(1);
    }

    fn wait_for_credit(&self, now: TenthMillis) -> TenthMillis {
        let most = if self.ramps.wakes.is_empty() {
            self.terms.aside.first
        } else {
            RAMPING_WAIT
        };
        let probe = self
            .returns
            .first()
            .map_or(TenthMillis::MAX, |(till, _)| *till);
        let credit = self.next_wake();
        probe
            .min(credit)
            .saturating_sub(now)
            .clamp(LEAST_WAIT, most.max(LEAST_WAIT))
    }

    pub(super) fn next_wake(&self) -> TenthMillis {
        self.ramps
            .wakes
            .first()
            .map_or(TenthMillis::MAX, |(at, _)| *at)
    }

    /// Whether a run that waits will find a server by itself.
    fn has_warm(&self) -> bool {
        self.terms.ramp.is_none() || self.ramps.warm > 0
    }

    /// Whether the first run that waits may be handed out: not on what was promised to others.
    pub(super) fn may_hand_out(&mut self, now: TenthMillis) -> bool {
        self.has_warm() || self.secure(self.ramps.promised + 1, now)
    }

    /// Ends those that wait for nothing: no server is there but cold ones, and these have no credit left.
    pub(super) fn give_up_waiting(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while !self.waiting.is_empty()
            && !self.has_warm()
            && !self.secure(self.ramps.promised + self.waiting.len(), now)
            && let Some((_, run)) = self.waiting.pop_last()
        {
            let otherwise = self.runs[&run].otherwise;
            self.end(run, otherwise, actions);
        }
    }

    /// Sees to it that cold servers are ready for so many runs, if they can be.
    fn secure(&mut self, wanted: usize, now: TenthMillis) -> bool {
        for _ in 0..MOST_ASKED {
            if self.ramps.ready >= wanted || self.open.is_empty() {
                break;
            }
            let server = self.open[self.rng.usize(0..self.open.len())];
            if !self.draw(server, now) {
                self.runs_dry(server, now);
            }
        }
        self.ramps.ready >= wanted
    }

    /// Takes what one run on this server costs; if it has not that, it is given nothing for a while.
    pub(super) fn charge(&mut self, server: ServerId, now: TenthMillis) -> bool {
        let Some(cold) = &self.servers[server].cold else {
            return true;
        };
        if cold.ready == 0 && !self.draw(server, now) {
            self.runs_dry(server, now);
            return false;
        }
        if let Some(cold) = &mut self.servers[server].cold {
            cold.ready -= 1;
            self.ramps.ready -= 1;
        }
        true
    }

    /// Makes a ramping server ready for one run more, if it has the credit.
    fn draw(&mut self, server: ServerId, now: TenthMillis) -> bool {
        let Some(cold) = &mut self.servers[server].cold else {
            return false;
        };
        let Some(ramping) = &mut cold.ramping else {
            return false;
        };
        let drawn = ramping.draw(&mut self.ramps.gate, now);
        if drawn {
            cold.ready += 1;
            self.ramps.ready += 1;
        }
        drawn
    }

    fn runs_dry(&mut self, server: ServerId, now: TenthMillis) {
        self.change_wake(server, |ramping, _| ramping.runs_dry(now));
        self.place(server);
    }

    /// Changes a ramping server, and when it is to be looked at.
    fn change_wake(&mut self, server: ServerId, change: impl FnOnce(&mut Ramping, &mut Gate)) {
        let cold = self.servers[server].cold.as_mut();
        let Some(ramping) = cold.and_then(|cold| cold.ramping.as_mut()) else {
            return;
        };
        self.ramps.wakes.remove(&(ramping.wake, server));
        change(ramping, &mut self.ramps.gate);
        self.ramps.wakes.insert((ramping.wake, server));
    }

    /// Looks at the ramping servers that are to be looked at by now.
    pub(super) fn wake_ramping(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some((at, server)) = self.ramps.wakes.first().copied()
            && at <= now
        {
            self.ramps.wakes.pop_first();
            let cold = self.servers[server].cold.as_ref();
            let ramping = cold.and_then(|cold| cold.ramping.as_ref());
            if ramping.is_none_or(|ramping| ramping.end() <= now) {
                self.becomes_warm(server);
                actions.push(Action::Report {
                    server,
                    standing: Standing::Warm,
                });
            } else {
                self.change_wake(server, |ramping, gate| ramping.wakes(gate, now));
                self.place(server);
            }
        }
    }

    /// From here on its runs are bounded by nothing but its health.
    pub(super) fn becomes_warm(&mut self, server: ServerId) {
        self.stop_ramping(server);
        self.servers[server].cold = None;
        self.place(server);
    }

    /// Takes back what it was made ready for; of a ramp that goes on its credit stays.
    pub(super) fn take_back_ready(&mut self, server: ServerId) {
        let Some(cold) = &mut self.servers[server].cold else {
            return;
        };
        let ready = std::mem::take(&mut cold.ready);
        self.ramps.ready -= ready as usize;
        if let Some(ramping) = &mut cold.ramping {
            ramping.put_back(ready);
        }
    }

    /// Ends its ramp, if it is in one. It stays cold.
    pub(super) fn stop_ramping(&mut self, server: ServerId) {
        self.take_back_ready(server);
        let cold = self.servers[server].cold.as_mut();
        if let Some(ramping) = cold.and_then(|cold| cold.ramping.take()) {
            self.ramps.wakes.remove(&(ramping.wake, server));
        }
    }

    /// A connection to it has opened: if it was down, it has returned.
    pub(super) fn has_opened(
        &mut self,
        server: ServerId,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(terms) = self.terms.ramp else { return };
        let of = &mut self.servers[server];
        let Some(cold) = of
            .cold
            .as_mut()
            .filter(|cold| cold.ramping.is_none() && !of.removed)
        else {
            return;
        };
        let ramping = Ramping::begin(terms, now);
        let (till, wake) = (ramping.end(), ramping.wake);
        cold.ramping = Some(ramping);
        self.ramps.wakes.insert((wake, server));
        self.counts.ramps += 1;
        actions.push(Action::Report {
            server,
            standing: Standing::Ramping { till },
        });
        self.place(server);
    }

    /// Nothing answers there: it is given nothing but a probe now and then, whatever the floor, and is cold
    /// when it returns.
    pub(super) fn goes_down(
        &mut self,
        server: ServerId,
        verdict: Verdict,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.stop_ramping(server);
        let of = &mut self.servers[server];
        of.downs += 1;
        let known = of
            .cold
            .replace(Cold::default())
            .is_some_and(|cold| cold.ramping.is_none());
        if !of.health.is_aside() {
            let till = self.put_down(server, verdict, now);
            if !known {
                actions.push(Action::Report {
                    server,
                    standing: Standing::Down { till },
                });
            }
        }
        for conn in std::mem::take(&mut self.servers[server].idle) {
            self.forget_conn(conn);
            actions.push(Action::Close { conn });
        }
        self.place(server);
    }

    /// Puts a server aside whatever the floor; till when.
    fn put_down(&mut self, server: ServerId, verdict: Verdict, now: TenthMillis) -> TenthMillis {
        self.in_use -= 1;
        let times = match verdict {
            Verdict::PutAside { times } if self.in_use >= self.floor() => times,
            // Where too few others are left its return is not to be missed.
            _ => 0,
        };
        let till = now + health::span(&self.terms.aside, times, self.rng.f64());
        self.servers[server].health = Health::Aside { till, times };
        self.returns.insert((till, server));
        self.counts.put_aside += 1;
        till
    }

    /// Brings what is counted of a server up to date; to be called when anything about it changed.
    pub(super) fn recount(&mut self, server: ServerId) {
        let of = &mut self.servers[server];
        let in_use = !of.removed && !of.health.is_aside();
        let warm = in_use && of.cold.is_none();
        if warm != std::mem::replace(&mut of.counted_warm, warm) {
            if warm {
                self.ramps.warm += 1
            } else {
                self.ramps.warm -= 1
            }
        }
        if !in_use {
            return self.take_back_ready(server);
        }
        // One probe at a time, once what ran there before is over.
        let idle = of.in_hand == 0;
        if let Some(cold) = of
            .cold
            .as_mut()
            .filter(|cold| idle && cold.ramping.is_none() && cold.ready == 0)
        {
            cold.ready = 1;
            self.ramps.ready += 1;
        }
    }
}
