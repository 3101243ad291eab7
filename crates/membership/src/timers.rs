//! Handles timers: probes, the end of suspicions, join requests and gossip rounds.

use crate::fleet::{Fleet, Stage, Timer};
use crate::probes::Probe;
use crate::table::MemberIndex;
use crate::{Action, Change, MemberState, MemberUpdate, Message};
use doortrack_time::TenthMillis;

/// The wait for a direct answer, as a multiple of the smoothed response time.
const ACK_TIMEOUT_FACTOR: u64 = 3;

impl Fleet {
    pub(crate) fn on_tick(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some(timer) = self.pop_expired_timer(now) {
            match timer {
                Timer::ProbePeriod => self.on_period(now, actions),
                Timer::AckTimeout(nonce) => self.ask_indirect_probers(nonce, actions),
                Timer::ProbeTimeout(nonce) => self.on_probe_timeout(now, nonce, actions),
                Timer::SuspicionTimeout(index, since) => {
                    self.on_suspicion_timeout(now, index, since, actions)
                }
                Timer::FinalProbe(index, since) => self.send_final_probe(index, since, actions),
                Timer::HoldBackEnd(index) => self.add_to_view(now, index, actions),
                Timer::GossipRound => {
                    self.gossip_scheduled = false;
                    self.send_gossip(now, actions);
                }
                Timer::JoinRequest => self.on_join_request_timer(now, actions),
                Timer::Forget(index, revision) => self.forget(index, revision),
            }
        }
    }

    /// Removes a member from the table, if it is not present and its record still has this
    /// revision.
    fn forget(&mut self, index: MemberIndex, revision: u32) {
        let is_forgettable = self
            .table
            .get(index)
            .is_some_and(|record| record.revision == revision && !record.update.state.is_present());
        if is_forgettable {
            self.table.remove(index);
        }
    }

    fn on_join_request_timer(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
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
        self.set_timer(now + self.parameters.probe_period, Timer::ProbePeriod);
        if std::mem::take(&mut self.answered_this_period) || self.table.present_count() == 0 {
            self.silent_periods = 0;
        } else {
            self.silent_periods += 1;
        }
        if self.silent_periods > self.parameters.max_silent_periods && !self.isolated {
            self.isolated = true;
            actions.push(Action::Report(Change::Isolated(true)));
        }
        if let Some(index) = self.table.next_probe_target(&mut self.rng) {
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
        let (min, max) = (
            self.parameters.ack_timeout,
            self.parameters.max_ack_timeout(),
        );
        let wait = (record.response_time * ACK_TIMEOUT_FACTOR).clamp(min, max.max(min));
        let nonce = self.rng.u32(..);
        let incarnation = record.update.incarnation;
        if self.probes.try_begin(Probe {
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

    /// Asks other members to probe one that did not answer directly, because possibly only the link
    /// to it is broken.
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
        if self.is_suspicion_paused() {
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
                    by: self.suspecter_id,
                };
                self.apply(now, MemberUpdate { state, ..update }, actions);
            }
            MemberState::Suspected { .. } => {
                _ = self.confirm_suspicion(now, probe.index, self.suspecter_id)
            }
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Probes a member once more before its suspicion ends. The answer carries the member's
    /// version, which clears the suspicion if the member refuted it.
    fn send_final_probe(
        &mut self,
        index: MemberIndex,
        since: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let suspicion = self.table.get(index).and_then(|record| record.suspicion);
        if suspicion.is_some_and(|suspicion| suspicion.since == since) {
            let nonce = self.rng.u32(..);
            self.send(index, Message::Ping { nonce }, actions);
        }
    }

    fn on_suspicion_timeout(
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
        let ends_at = suspicion.ends_at(&self.parameters, members, self.reconnected_at);
        if self.is_suspicion_paused() {
            self.set_timer(
                now + self.parameters.probe_period,
                Timer::SuspicionTimeout(index, since),
            );
        } else if ends_at > now {
            self.set_timer(ends_at, Timer::SuspicionTimeout(index, since));
        } else {
            let dead = MemberUpdate {
                state: MemberState::Dead,
                ..record.update.clone()
            };
            self.apply(now, dead, actions);
        }
    }

    /// Sends one gossip round, if there is anything to send.
    pub(crate) fn send_gossip(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        if self.gossip.is_empty() && self.announcement_rounds_left == 0 {
            return;
        }
        self.announcement_rounds_left = self.announcement_rounds_left.saturating_sub(1);
        for index in self
            .table
            .random_present(self.parameters.gossip_fanout, None, &mut self.rng)
        {
            self.send(index, Message::Updates, actions);
        }
        if !self.gossip_scheduled
            && (self.announcement_rounds_left > 0 || !self.gossip.is_empty())
            && self.table.present_count() > 0
        {
            self.gossip_scheduled = true;
            self.set_timer(now + self.parameters.gossip_interval, Timer::GossipRound);
        }
    }
}
