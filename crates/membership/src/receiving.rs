//! Handles datagrams: direct evidence of the sender, indirect evidence of others, and the message itself.

use std::net::SocketAddr;

use crate::fleet::{Fetch, Fleet, RETRANSMISSIONS, Stage};
use crate::probes::{Answered, IndirectProbe, Probe};
use crate::table::MemberIndex;
use crate::{Action, Change, Datagram, Head, Incarnation, MemberState, MemberUpdate, Message};
use doortrack_time::TenthMillis;

/// The mark of a suspicion that rests on other nodes' having declared the member dead.
const OTHERS: u32 = 0;
/// Updates in a datagram above which it is refused.
pub(crate) const MAX_UPDATES_READ: usize = 64;

impl Fleet {
    pub(crate) fn on_datagram(
        &mut self,
        now: TenthMillis,
        _from: SocketAddr,
        datagram: Datagram,
        out: &mut Vec<Action>,
    ) {
        let Datagram {
            head,
            message,
            updates,
        } = datagram;
        let of_itself = matches!(head.sender.state, MemberState::Alive | MemberState::Left);
        if !head.sender.is_valid() || !of_itself || updates.len() > MAX_UPDATES_READ {
            self.refused += 1;
            return;
        }
        if head.sender.name == self.me.name {
            return self.on_own_name(now, &head.sender, true, out);
        }
        if message == Message::Join && head.to == Incarnation(0) {
            if head.digest == self.view.digest {
                // It knows all of this already.
                let (to, incarnation) = (head.sender.address, head.sender.incarnation);
                return self.send_to(
                    to,
                    incarnation,
                    Message::Page { next: None },
                    Vec::new(),
                    out,
                );
            }
            return self.send_page(&head.sender, None, out);
        }
        if head.to != self.me.incarnation {
            // Meant for an earlier incarnation, or very old: the sender learns of this one, nothing else is
            // done.
            self.refused += 1;
            return self.send_to(
                head.sender.address,
                head.sender.incarnation,
                Message::Updates,
                Vec::new(),
                out,
            );
        }
        let Some(index) = self.direct_evidence(now, &head, &message, out) else {
            return;
        };
        for update in updates {
            self.indirect_evidence(now, update, out);
        }
        if self.stage == Stage::Joining {
            self.stage = Stage::Member;
            self.retransmissions = RETRANSMISSIONS;
            self.arm_updates(now);
        }
        // A table like one's own is not read to its end.
        let message = match message {
            Message::Page { .. } if head.digest == self.view.digest => Message::Page { next: None },
            message => message,
        };
        self.handle_message(now, index, message, out);
        self.compare_views(now, index, &head, out);
    }

    /// Takes in the sender's update on itself. Returns its index if the rest of the datagram is to be
    /// handled: it is not replayed, and not of an earlier incarnation or a member that left.
    fn direct_evidence(
        &mut self,
        now: TenthMillis,
        head: &Head,
        message: &Message,
        out: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        let Some(index) = self.table.index_of(&head.sender.name) else {
            let index = self.apply(now, head.sender.clone(), out)?;
            self.table.get_mut(index)?.received.is_first(head.nth);
            return Some(index).filter(|_| head.sender.state != MemberState::Left);
        };
        let known = self.table.get(index)?.update.clone();
        if head.sender.incarnation < known.incarnation {
            // An earlier process of that name, or its last words: it is shown who came after it.
            self.refused += 1;
            self.send_to(
                head.sender.address,
                head.sender.incarnation,
                Message::Updates,
                vec![known],
                out,
            );
            return None;
        }
        if head.sender.overrides(&known) {
            self.apply(now, head.sender.clone(), out);
        }
        let record = self.table.get_mut(index)?;
        if !record.received.is_first(head.nth) {
            self.refused += 1;
            return None;
        }
        match record.update.state {
            MemberState::Left => return None,
            MemberState::Alive => {}
            // It is alive, but only its own later version says so to all. Pings are answered with the
            // suspicion anyway.
            MemberState::Suspected { .. } | MemberState::Dead => {
                if !matches!(message, Message::Ping { .. }) {
                    self.send(index, Message::Updates, out);
                }
            }
        }
        Some(index)
    }

    /// Takes in an update on another member than the sender.
    fn indirect_evidence(&mut self, now: TenthMillis, update: MemberUpdate, out: &mut Vec<Action>) {
        if !update.is_valid() {
            self.refused += 1;
            return;
        }
        if update.name == self.me.name {
            return self.on_own_name(now, &update, false, out);
        }
        let Some(index) = self.table.index_of(&update.name) else {
            // Of one never heard of, only that it is there is worth knowing.
            if update.state.is_present() {
                self.apply(now, update, out);
            }
            return;
        };
        let Some(known) = self.table.get(index).map(|record| &record.update) else {
            return;
        };
        let same = update.incarnation == known.incarnation && update.version == known.version;
        if update.state == MemberState::Dead && known.state.is_present() && update.overrides(known)
        {
            return self.reported_dead(now, index, update, out);
        }
        match (update.state, known.state) {
            (MemberState::Suspected { by }, MemberState::Suspected { .. }) if same => {
                self.confirm_suspicion(now, index, by);
            }
            _ if update.overrides(known) => _ = self.apply(now, update, out),
            _ => {}
        }
    }

    /// Other nodes declared a member dead that is present here, as two halves of a split fleet do once they
    /// find together. The member is told and suspected for the shortest time, in which it can refute it.
    /// Where it was suspected for longer already, there is time for the final probes.
    fn reported_dead(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) {
        let state = MemberState::Suspected { by: OTHERS };
        let suspected = MemberUpdate { state, ..update };
        let known = self
            .table
            .get(index)
            .is_some_and(|record| suspected.overrides(&record.update));
        if known {
            self.apply(now, suspected, out);
            self.send(index, Message::Updates, out);
        }
        let Some(suspicion) = self
            .table
            .get_mut(index)
            .and_then(|record| record.suspicion.as_mut())
        else {
            return;
        };
        if suspicion.confirm_fully(now + self.parameters.final_probes()) {
            self.arm_suspicion(now, index);
        }
    }

    fn handle_message(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ping { nonce } => self.send(index, Message::Ack { nonce }, out),
            Message::Ack { nonce } => self.on_ack(now, nonce, out),
            Message::PingRequest {
                nonce,
                name,
                incarnation,
            } => {
                let target = self.table.index_of(&name).filter(|target| {
                    self.table
                        .get(*target)
                        .is_some_and(|record| record.update.incarnation == incarnation)
                });
                let asker = self
                    .table
                    .get(index)
                    .map(|record| record.update.name.clone());
                if let (Some(target), Some(asker)) = (target, asker) {
                    let own = self.chance.u32(..);
                    self.probes.begin_indirect(IndirectProbe {
                        nonce: own,
                        asker,
                        asker_nonce: nonce,
                    });
                    self.send(target, Message::Ping { nonce: own }, out);
                }
            }
            Message::Ask { after } => {
                if let Some(update) = self.table.get(index).map(|record| record.update.clone()) {
                    self.send_page(&update, after.as_ref(), out);
                }
            }
            Message::Page { next } => self.on_page(now, index, next, out),
            Message::Join | Message::Updates => {}
        }
    }

    fn on_ack(&mut self, now: TenthMillis, nonce: u32, out: &mut Vec<Action>) {
        match self.probes.answered(nonce) {
            Answered::InTime(probe) => {
                self.note_answer(now, out);
                self.note_response_time(now, probe, out);
            }
            Answered::Late(probe) => {
                self.note_answer(now, out);
                self.note_response_time(now, probe, out);
                // It is alive, only late: what suspicion there is begins anew, until its own word ends it.
                let suspicion = self
                    .table
                    .get_mut(probe.index)
                    .and_then(|record| record.suspicion.as_mut());
                if let Some(suspicion) = suspicion {
                    suspicion.since = now;
                    self.arm_suspicion(now, probe.index);
                }
            }
            Answered::IndirectProbe(probe) => {
                if let Some(asker) = self.table.index_of(&probe.asker) {
                    self.send(
                        asker,
                        Message::Ack {
                            nonce: probe.asker_nonce,
                        },
                        out,
                    );
                }
            }
            Answered::Nothing => {}
        }
    }

    /// Smooths a member's response time; a slow member is given longer to answer.
    fn note_response_time(&mut self, now: TenthMillis, probe: Probe, out: &mut Vec<Action>) {
        let late = 3 * self.parameters.answer_within;
        let Some(record) = self.table.get_mut(probe.index) else {
            return;
        };
        if record.update.incarnation != probe.incarnation {
            return;
        }
        let took = now.saturating_sub(probe.began).max(1);
        // Up at once, down slowly: a wait too short makes suspicions.
        record.response_time = if took > record.response_time {
            took
        } else {
            (record.response_time * 7 + took) / 8
        };
        let slow = if record.slow {
            record.response_time > late / 2
        } else {
            record.response_time > late
        };
        if slow && !record.slow {
            let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
            out.push(Action::Report(Change::Slow {
                name,
                incarnation,
                after: record.response_time,
            }));
        }
        record.slow = slow;
    }

    fn note_answer(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        self.answered = true;
        self.silent = 0;
        if self.suspects_nobody() {
            self.resumed_at = now;
        }
        self.resumed = false;
        if std::mem::take(&mut self.isolated) {
            out.push(Action::Report(Change::Isolated(false)));
        }
    }

    // --- Comparing views ---

    /// Fetches the table of a member whose view differs while this node's has not changed for a while.
    fn compare_views(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        head: &Head,
        out: &mut Vec<Action>,
    ) {
        let calm = 4 * self.parameters.gossip_interval;
        if head.digest == self.view.digest || now < self.view_since + calm {
            return;
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.till > now)
            || now < self.fetched_at + 5 * calm
        {
            return;
        }
        self.fetch = Some(Fetch {
            from: head.sender.name.clone(),
            till: now + 5 * calm,
        });
        self.fetched_at = now;
        self.send(index, Message::Ask { after: None }, out);
    }

    /// Asks for the next page, if this one is of the table that is being fetched.
    fn on_page(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        next: Option<crate::Name>,
        out: &mut Vec<Action>,
    ) {
        let Some(name) = self
            .table
            .get(index)
            .map(|record| record.update.name.clone())
        else {
            return;
        };
        match (&self.fetch, next) {
            (Some(fetch), _) if fetch.from != name && fetch.till > now => {}
            (_, Some(next)) => {
                self.fetch = Some(Fetch {
                    from: name,
                    till: now + 20 * self.parameters.gossip_interval,
                });
                self.send(index, Message::Ask { after: Some(next) }, out);
            }
            (_, None) => self.fetch = None,
        }
    }
}
