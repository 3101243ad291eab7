//! Handles received datagrams: checks their header and handles their message and updates.

use std::net::SocketAddr;

use crate::fleet::{ANNOUNCEMENT_ROUNDS, Fleet, Stage};
use crate::probes::IndirectProbe;
use crate::table::MemberIndex;
use crate::{Action, Datagram, DatagramHeader, Incarnation, MemberState, Message, Name};
use doortrack_time::TenthMillis;

/// Maximum number of updates in a datagram; datagrams with more are refused.
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
            return self.on_update_about_self(now, &head.sender, true, actions);
        }
        if message == Message::Join && head.to == Incarnation(0) {
            return self.on_join(&head, actions);
        }
        if head.to != self.me.incarnation {
            // The datagram is addressed to an earlier incarnation. The reply tells the sender the
            // current one; the rest of the datagram is ignored.
            self.refused += 1;
            return self.reply(&head, Message::Updates, actions);
        }
        let Some(index) = self.apply_sender_update(now, &head, &message, actions) else {
            return;
        };
        for update in updates {
            self.apply_relayed_update(now, update, actions);
        }
        self.on_first_answer(now);
        self.handle_message(now, index, &head, message, actions);
        self.compare_views(now, index, &head, actions);
    }

    /// Answers a join request with the table, or with an empty page if the sender's view is equal.
    fn on_join(&mut self, head: &DatagramHeader, actions: &mut Vec<Action>) {
        if head.digest == self.view.digest {
            self.reply(head, Message::Page { next: None }, actions);
        } else {
            self.send_page(&head.sender, None, actions);
        }
    }

    /// Sends a message without updates to the sender of a datagram, which need not be in the table.
    fn reply(&mut self, head: &DatagramHeader, message: Message, actions: &mut Vec<Action>) {
        let (to, incarnation) = (head.sender.address, head.sender.incarnation);
        self.send_to(to, incarnation, message, Vec::new(), actions);
    }

    /// Completes the join when the first member addresses this incarnation.
    fn on_first_answer(&mut self, now: TenthMillis) {
        if self.stage == Stage::Joining {
            self.stage = Stage::Member;
            self.announcement_rounds_left = ANNOUNCEMENT_ROUNDS;
            self.schedule_gossip(now);
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
            } => self.probe_on_behalf(index, nonce, &name, incarnation, actions),
            Message::PageRequest { after } => {
                if let Some(update) = self.table.get(index).map(|record| record.update.clone()) {
                    self.send_page(&update, after.as_ref(), actions);
                }
            }
            Message::Page { next } => {
                // The fetch stops early once the views are equal.
                let next = next.filter(|_| head.digest != self.view.digest);
                self.on_page(now, index, next, actions);
            }
            Message::Join | Message::Updates => {}
        }
    }

    /// Probes the member with this name and incarnation on behalf of `requester`.
    fn probe_on_behalf(
        &mut self,
        requester: MemberIndex,
        requester_nonce: u32,
        name: &str,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let target = self.table.index_of(name).filter(|target| {
            self.table
                .get(*target)
                .is_some_and(|record| record.update.incarnation == incarnation)
        });
        let requester: Option<Name> = self
            .table
            .get(requester)
            .map(|record| record.update.name.clone());
        let (Some(target), Some(requester)) = (target, requester) else {
            return;
        };
        let nonce = self.rng.u32(..);
        self.probes.record_indirect(IndirectProbe {
            nonce,
            requester,
            requester_nonce,
        });
        self.send(target, Message::Ping { nonce }, actions);
    }
}
