//! Handles timers: probes, suspicions that end, rounds of updates.

use crate::fleet::{Fleet, Stage, Timer};
use crate::probes::Probe;
use crate::table::MemberIndex;
use crate::{Action, Change, MemberState, MemberUpdate, Message};
use doortrack_time::TenthMillis;

impl Fleet {
    pub(crate) fn on_tick(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        while let Some(timer) = self.due(now) {
            match timer {
                Timer::Period => self.on_period(now, out),
                Timer::AckTimeout(nonce) => self.ask_indirect_probers(nonce, out),
                Timer::ProbeTimeout(nonce) => self.on_probe_timeout(now, nonce, out),
                Timer::Suspicion(index, since) => self.suspicion_ends(now, index, since, out),
                Timer::FinalProbe(index, since) => self.final_probe(index, since, out),
                Timer::Admit(index) => self.admit(now, index, out),
                Timer::PendingUpdates => {
                    self.updates_armed = false;
                    self.send_updates(now, out);
                }
                Timer::JoinRequest => self.repeat_join_request(now, out),
                Timer::Forget(index, revision) => {
                    let gone = |record: &&crate::table::MemberRecord| {
                        record.revision == revision && !record.update.state.is_present()
                    };
                    if self.table.get(index).filter(gone).is_some() {
                        self.table.remove(index);
                    }
                }
            }
        }
    }

    fn repeat_join_request(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.send_join_requests(out);
        let jitter = self.chance.u64(0..self.parameters.period.max(1));
        self.arm(
            now + self.parameters.join_request_interval() + jitter,
            Timer::JoinRequest,
        );
    }

    fn on_period(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.arm(now + self.parameters.period, Timer::Period);
        if std::mem::take(&mut self.answered) || self.table.present() == 0 {
            self.silent = 0;
        } else {
            self.silent += 1;
        }
        if self.silent > self.parameters.silent_periods && !self.isolated {
            self.isolated = true;
            out.push(Action::Report(Change::Isolated(true)));
        }
        if let Some(index) = self.table.next_probe(&mut self.chance) {
            self.probe(now, index, out);
        }
    }

    pub(crate) fn probe(&mut self, now: TenthMillis, index: MemberIndex, out: &mut Vec<Action>) {
        let Some(record) = self.table.get(index) else {
            return;
        };
        if self.probes.is_under_way(index) {
            return;
        }
        let (min, max) = (self.parameters.answer_within, self.parameters.max_wait());
        let wait = (record.response_time * 3).clamp(min, max.max(min));
        let nonce = self.chance.u32(..);
        let incarnation = record.update.incarnation;
        if self.probes.begin(Probe {
            nonce,
            index,
            incarnation,
            began: now,
        }) {
            self.arm(now + wait, Timer::AckTimeout(nonce));
            let rest = self.parameters.period.saturating_sub(min).max(1);
            self.arm(now + wait + rest, Timer::ProbeTimeout(nonce));
            self.send(index, Message::Ping { nonce }, out);
        }
    }

    /// Asks other members to probe one that did not answer directly, as only the link to it may be broken.
    fn ask_indirect_probers(&mut self, nonce: u32, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.get(nonce) else {
            return;
        };
        let Some(update) = self
            .table
            .get(probe.index)
            .map(|record| record.update.clone())
        else {
            return;
        };
        for prober in self.table.some(
            self.parameters.indirect_probers,
            Some(probe.index),
            &mut self.chance,
        ) {
            let message = Message::PingRequest {
                nonce,
                name: update.name.clone(),
                incarnation: update.incarnation,
            };
            self.send(prober, message, out);
        }
    }

    fn on_probe_timeout(&mut self, now: TenthMillis, nonce: u32, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.fail(nonce) else {
            return;
        };
        if self.suspects_nobody() {
            return;
        }
        let Some(record) = self.table.get(probe.index) else {
            return;
        };
        let update = record.update.clone();
        match update.state {
            _ if update.incarnation != probe.incarnation => {}
            MemberState::Alive => {
                let state = MemberState::Suspected { by: self.mark };
                self.apply(now, MemberUpdate { state, ..update }, out);
            }
            MemberState::Suspected { .. } => {
                _ = self.confirm_suspicion(now, probe.index, self.mark)
            }
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Probes a member once more before its suspicion ends: its answer carries its version, which clears the
    /// suspicion if it was refuted.
    fn final_probe(&mut self, index: MemberIndex, since: TenthMillis, out: &mut Vec<Action>) {
        let suspected = |suspicion: &crate::suspicion::Suspicion| suspicion.since == since;
        if self
            .table
            .get(index)
            .and_then(|record| record.suspicion)
            .filter(suspected)
            .is_some()
        {
            let nonce = self.chance.u32(..);
            self.send(index, Message::Ping { nonce }, out);
        }
    }

    fn suspicion_ends(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        since: TenthMillis,
        out: &mut Vec<Action>,
    ) {
        let members = self.view.members.len();
        let Some(record) = self.table.get(index) else {
            return;
        };
        let Some(suspicion) = record
            .suspicion
            .filter(|suspicion| suspicion.since == since)
        else {
            return;
        };
        let ends = suspicion.ends(&self.parameters, members, self.resumed_at);
        if self.suspects_nobody() {
            self.arm(now + self.parameters.period, Timer::Suspicion(index, since));
        } else if ends > now {
            self.arm(ends, Timer::Suspicion(index, since));
        } else {
            let dead = MemberUpdate {
                state: MemberState::Dead,
                ..record.update.clone()
            };
            self.apply(now, dead, out);
        }
    }

    /// Sends one round of pending updates, if there are any.
    pub(crate) fn send_updates(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        if self.gossip.is_empty() && self.retransmissions == 0 {
            return;
        }
        self.retransmissions = self.retransmissions.saturating_sub(1);
        for index in self
            .table
            .some(self.parameters.gossip_fanout, None, &mut self.chance)
        {
            self.send(index, Message::Updates, out);
        }
        if !self.updates_armed
            && (self.retransmissions > 0 || !self.gossip.is_empty())
            && self.table.present() > 0
        {
            self.updates_armed = true;
            self.arm(now + self.parameters.gossip_interval, Timer::PendingUpdates);
        }
    }
}
