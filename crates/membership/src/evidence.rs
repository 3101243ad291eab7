//! Evaluates updates: direct evidence of a datagram's sender, and indirect evidence of other
//! members.

use crate::fleet::Fleet;
use crate::table::MemberIndex;
use crate::{Action, DatagramHeader, MemberState, MemberUpdate, Message};
use doortrack_time::TenthMillis;

/// The mark of a suspicion that rests on other nodes' having declared the member dead.
const DECLARED_DEAD_MARK: u32 = 0;

impl Fleet {
    /// Applies the sender's update on itself. Returns its index if the rest of the datagram is to
    /// be handled: it is not replayed, and not of an earlier incarnation or a member that left.
    pub(crate) fn direct_evidence(
        &mut self,
        now: TenthMillis,
        head: &DatagramHeader,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        let Some(index) = self.table.index_of(&head.sender.name) else {
            let index = self.apply(now, head.sender.clone(), actions)?;
            self.table.get_mut(index)?.received.insert(head.sequence);
            return Some(index).filter(|_| head.sender.state != MemberState::Left);
        };
        let known = self.table.get(index)?.update.clone();
        if head.sender.incarnation < known.incarnation {
            self.refuse_earlier(head, known, actions);
            return None;
        }
        if head.sender.overrides(&known) {
            self.apply(now, head.sender.clone(), actions);
        }
        let record = self.table.get_mut(index)?;
        if !record.received.insert(head.sequence) {
            self.refused += 1;
            return None;
        }
        let state = record.update.state;
        if state == MemberState::Left {
            return None;
        }
        // It is alive, but only its own later version convinces the others. The answer to a ping
        // carries the suspicion anyway.
        if state != MemberState::Alive && !matches!(message, Message::Ping { .. }) {
            self.send(index, Message::Updates, actions);
        }
        Some(index)
    }

    /// Refuses a datagram of an earlier process of the name, or a late one, whose sender learns
    /// which process came after it.
    fn refuse_earlier(
        &mut self,
        head: &DatagramHeader,
        known: MemberUpdate,
        actions: &mut Vec<Action>,
    ) {
        self.refused += 1;
        let (to, incarnation) = (head.sender.address, head.sender.incarnation);
        self.send_to(to, incarnation, Message::Updates, vec![known], actions);
    }

    /// Applies an update on another member than the sender.
    pub(crate) fn indirect_evidence(
        &mut self,
        now: TenthMillis,
        update: MemberUpdate,
        actions: &mut Vec<Action>,
    ) {
        if !update.is_valid() {
            self.refused += 1;
            return;
        }
        if update.name == self.me.name {
            return self.on_own_name(now, &update, false, actions);
        }
        let Some(index) = self.table.index_of(&update.name) else {
            // Of an unknown member only its presence matters.
            if update.state.is_present() {
                self.apply(now, update, actions);
            }
            return;
        };
        let Some(known) = self.table.get(index).map(|record| &record.update) else {
            return;
        };
        let same_version =
            update.incarnation == known.incarnation && update.version == known.version;
        if update.state == MemberState::Dead && known.state.is_present() && update.overrides(known)
        {
            return self.reported_dead(now, index, update, actions);
        }
        match (update.state, known.state) {
            (MemberState::Suspected { by }, MemberState::Suspected { .. }) if same_version => {
                self.confirm_suspicion(now, index, by);
            }
            _ if update.overrides(known) => _ = self.apply(now, update, actions),
            _ => {}
        }
    }

    /// Other nodes declared a member dead that is present here, as two halves of a split fleet do
    /// once they find together. The member is notified and suspected for the shortest time, in
    /// which it can refute it. Where it was suspected for longer already, there is time for the
    /// final probes.
    fn reported_dead(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        update: MemberUpdate,
        actions: &mut Vec<Action>,
    ) {
        let state = MemberState::Suspected {
            by: DECLARED_DEAD_MARK,
        };
        let suspected = MemberUpdate { state, ..update };
        let is_news = self
            .table
            .get(index)
            .is_some_and(|record| suspected.overrides(&record.update));
        if is_news {
            self.apply(now, suspected, actions);
            self.send(index, Message::Updates, actions);
        }
        let Some(suspicion) = self
            .table
            .get_mut(index)
            .and_then(|record| record.suspicion.as_mut())
        else {
            return;
        };
        if suspicion.confirm_fully(now + self.parameters.final_probes()) {
            self.schedule_suspicion_end(now, index);
        }
    }
}
