//! Handles datagrams: checks who sent them and to whom, and handles the message that they carry.

use std::net::SocketAddr;

use crate::fleet::{Fleet, RETRANSMISSIONS, Stage};
use crate::probes::IndirectProbe;
use crate::table::MemberIndex;
use crate::{Action, Datagram, DatagramHeader, Incarnation, MemberState, Message, Name};
use doortrack_time::TenthMillis;

/// Updates in a datagram above which it is refused.
pub(crate) const MAX_UPDATES_ACCEPTED: usize = 64;

impl Fleet {
    pub(crate) fn on_datagram(
        &mut self,
        now: TenthMillis,
        _from: SocketAddr,
        datagram: Datagram,
        actions: &mut Vec<Action>,
    ) {
        let Datagram {
            head,
            message,
            updates,
        } = datagram;
        let self_announced = matches!(head.sender.state, MemberState::Alive | MemberState::Left);
        if !head.sender.is_valid() || !self_announced || updates.len() > MAX_UPDATES_ACCEPTED {
            self.refused += 1;
            return;
        }
        if head.sender.name == self.me.name {
            return self.on_own_name(now, &head.sender, true, actions);
        }
        if message == Message::Join && head.to == Incarnation(0) {
            return self.on_join(&head, actions);
        }
        if head.to != self.me.incarnation {
            // Meant for an earlier incarnation, or very old: the sender learns of this one, nothing
            // else is done.
            self.refused += 1;
            return self.reply(&head, Message::Updates, actions);
        }
        let Some(index) = self.direct_evidence(now, &head, &message, actions) else {
            return;
        };
        for update in updates {
            self.indirect_evidence(now, update, actions);
        }
        self.on_first_answer(now);
        self.handle_message(now, index, &head, message, actions);
        self.compare_views(now, index, &head, actions);
    }

    /// Answers a join request with the table, unless its sender knows all of it already.
    fn on_join(&mut self, head: &DatagramHeader, actions: &mut Vec<Action>) {
        if head.digest == self.view.digest {
            self.reply(head, Message::Page { next: None }, actions);
        } else {
            self.send_page(&head.sender, None, actions);
        }
    }

    /// Sends a message without updates to the sender of a datagram, whether it is in the table or
    /// not.
    fn reply(&mut self, head: &DatagramHeader, message: Message, actions: &mut Vec<Action>) {
        let (to, incarnation) = (head.sender.address, head.sender.incarnation);
        self.send_to(to, incarnation, message, Vec::new(), actions);
    }

    /// The first member to address this incarnation completes its join.
    fn on_first_answer(&mut self, now: TenthMillis) {
        if self.stage == Stage::Joining {
            self.stage = Stage::Member;
            self.retransmissions = RETRANSMISSIONS;
            self.schedule_updates(now);
        }
    }

    fn handle_message(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        head: &DatagramHeader,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Ping { nonce } => self.send(index, Message::Ack { nonce }, actions),
            Message::Ack { nonce } => self.on_ack(now, nonce, actions),
            Message::PingRequest {
                nonce,
                name,
                incarnation,
            } => self.probe_for(index, nonce, &name, incarnation, actions),
            Message::PageRequest { after } => {
                if let Some(update) = self.table.get(index).map(|record| record.update.clone()) {
                    self.send_page(&update, after.as_ref(), actions);
                }
            }
            Message::Page { next } => {
                // A table like this node's own is not read to its end.
                let next = next.filter(|_| head.digest != self.view.digest);
                self.on_page(now, index, next, actions);
            }
            Message::Join | Message::Updates => {}
        }
    }

    /// Probes the member of this name and incarnation for another one, which sent `nonce`.
    fn probe_for(
        &mut self,
        asker: MemberIndex,
        asker_nonce: u32,
        name: &str,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let target = self.table.index_of(name).filter(|target| {
            self.table
                .get(*target)
                .is_some_and(|record| record.update.incarnation == incarnation)
        });
        let asker: Option<Name> = self
            .table
            .get(asker)
            .map(|record| record.update.name.clone());
        let (Some(target), Some(asker)) = (target, asker) else {
            return;
        };
        let nonce = self.rng.u32(..);
        self.probes.begin_indirect(IndirectProbe {
            nonce,
            asker,
            asker_nonce,
        });
        self.send(target, Message::Ping { nonce }, actions);
    }
}
