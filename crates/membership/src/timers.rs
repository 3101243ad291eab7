//! Handles timers: probes, suspicions that end, rounds of updates.

use crate::fleet::{Fleet, Stage, Timer};
use crate::probes::Probe;
use crate::table::MemberIndex;
use crate::{Action, Change, MemberState, MemberUpdate, Message};
use doortrack_time::TenthMillis;

/// Smoothed response times for which a direct answer is awaited.
const RESPONSE_TIMES: u64 = 3;

impl Fleet {
    pub(crate) fn on_tick(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some(timer) = self.next_expired(now) {
            match timer {
                Timer::Period => self.on_period(now, actions),
                Timer::AckTimeout(nonce) => self.ask_indirect_probers(nonce, actions),
                Timer::ProbeTimeout(nonce) => self.on_probe_timeout(now, nonce, actions),
                Timer::Suspicion(index, since) => self.suspicion_ends(now, index, since, actions),
                Timer::FinalProbe(index, since) => self.final_probe(index, since, actions),
                Timer::Admit(index) => self.add_to_view(now, index, actions),
                Timer::PendingUpdates => {
                    self.updates_scheduled = false;
                    self.send_updates(now, actions);
                }
                Timer::JoinRequest => self.repeat_join_request(now, actions),
                Timer::Forget(index, revision) => self.forget(index, revision),
            }
        }
    }

    /// Forgets a member, if it is not present and its record still has this revision.
    fn forget(&mut self, index: MemberIndex, revision: u32) {
        let is_gone = self
            .table
            .get(index)
            .is_some_and(|record| record.revision == revision && !record.update.state.is_present());
        if is_gone {
            self.table.remove(index);
        }
    }

    fn repeat_join_request(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.send_join_requests(actions);
        let jitter = self.rng.u64(0..self.parameters.probe_period.max(1));
        self.set_timer(
            now + self.parameters.join_request_interval() + jitter,
            Timer::JoinRequest,
        );
    }

    fn on_period(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.set_timer(now + self.parameters.probe_period, Timer::Period);
        if std::mem::take(&mut self.answered) || self.table.present() == 0 {
            self.silent_periods = 0;
        } else {
            self.silent_periods += 1;
        }
        if self.silent_periods > self.parameters.max_silent_periods && !self.isolated {
            self.isolated = true;
            actions.push(Action::Report(Change::Isolated(true)));
        }
        if let Some(index) = self.table.next_probe(&mut self.rng) {
            self.probe(now, index, actions);
        }
    }

    pub(crate) fn probe(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.table.get(index) else {
            return;
        };
        if self.probes.is_pending(index) {
            return;
        }
        let (min, max) = (self.parameters.ack_timeout, self.parameters.max_wait());
        let wait = (record.response_time * RESPONSE_TIMES).clamp(min, max.max(min));
        let nonce = self.rng.u32(..);
        let incarnation = record.update.incarnation;
        if self.probes.begin(Probe {
            nonce,
            index,
            incarnation,
            sent_at: now,
        }) {
            self.set_timer(now + wait, Timer::AckTimeout(nonce));
            let rest = self.parameters.probe_period.saturating_sub(min).max(1);
            self.set_timer(now + wait + rest, Timer::ProbeTimeout(nonce));
            self.send(index, Message::Ping { nonce }, actions);
        }
    }

    /// Asks other members to probe one that did not answer directly, as only the link to it may be
    /// broken.
    fn ask_indirect_probers(&mut self, nonce: u32, actions: &mut Vec<Action>) {
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
        for prober in self.table.random_present(
            self.parameters.indirect_probers,
            Some(probe.index),
            &mut self.rng,
        ) {
            let message = Message::PingRequest {
                nonce,
                name: update.name.clone(),
                incarnation: update.incarnation,
            };
            self.send(prober, message, actions);
        }
    }

    fn on_probe_timeout(&mut self, now: TenthMillis, nonce: u32, actions: &mut Vec<Action>) {
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
                let state = MemberState::Suspected {
                    by: self.suspicion_mark,
                };
                self.apply(now, MemberUpdate { state, ..update }, actions);
            }
            MemberState::Suspected { .. } => {
                _ = self.confirm_suspicion(now, probe.index, self.suspicion_mark)
            }
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Probes a member once more before its suspicion ends: its answer carries its version, which
    /// clears the suspicion if it was refuted.
    fn final_probe(&mut self, index: MemberIndex, since: TenthMillis, actions: &mut Vec<Action>) {
        let suspicion = self.table.get(index).and_then(|record| record.suspicion);
        if suspicion.is_some_and(|suspicion| suspicion.since == since) {
            let nonce = self.rng.u32(..);
            self.send(index, Message::Ping { nonce }, actions);
        }
    }

    fn suspicion_ends(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        since: TenthMillis,
        actions: &mut Vec<Action>,
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
        let ends_at = suspicion.ends_at(&self.parameters, members, self.resumed_at);
        if self.suspects_nobody() {
            self.set_timer(
                now + self.parameters.probe_period,
                Timer::Suspicion(index, since),
            );
        } else if ends_at > now {
            self.set_timer(ends_at, Timer::Suspicion(index, since));
        } else {
            let dead = MemberUpdate {
                state: MemberState::Dead,
                ..record.update.clone()
            };
            self.apply(now, dead, actions);
        }
    }

    /// Sends one round of pending updates, if there are any.
    pub(crate) fn send_updates(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        if self.gossip.is_empty() && self.retransmissions == 0 {
            return;
        }
        self.retransmissions = self.retransmissions.saturating_sub(1);
        for index in self
            .table
            .random_present(self.parameters.gossip_fanout, None, &mut self.rng)
        {
            self.send(index, Message::Updates, actions);
        }
        if !self.updates_scheduled
            && (self.retransmissions > 0 || !self.gossip.is_empty())
            && self.table.present() > 0
        {
            self.updates_scheduled = true;
            self.set_timer(now + self.parameters.gossip_interval, Timer::PendingUpdates);
        }
    }
}
