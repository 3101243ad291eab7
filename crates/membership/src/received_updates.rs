//! Evaluates received updates: those of a datagram's sender on itself, and those on other members.

use crate::fleet::Fleet;
use crate::table::MemberIndex;
use crate::{Action, DatagramHeader, MemberState, MemberUpdate, Message};
use doortrack_time::TenthMillis;

/// The suspecter id of a suspicion that began because other nodes declared the member dead.
const DECLARED_DEAD_ID: u32 = 0;

impl Fleet {
    /// Applies the sender's update on itself. Returns the sender's index if the rest of the
    /// datagram is to be handled: it is not replayed, and not from an earlier incarnation or a
    /// member that left.
    pub(crate) fn apply_sender_update(
        &mut self,
        now: TenthMillis,
        head: &DatagramHeader,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        let Some(index) = self.table.index_of(&head.sender.name) else {
            let index = self.apply(now, head.sender.clone(), actions)?;
            self.table
                .get_mut(index)?
                .replay_window
                .insert(head.sequence);
            return Some(index).filter(|_| head.sender.state != MemberState::Left);
        };
        let known = self.table.get(index)?.update.clone();
        if head.sender.incarnation < known.incarnation {
            self.refuse_earlier_incarnation(head, known, actions);
            return None;
        }
        if head.sender.overrides(&known) {
            self.apply(now, head.sender.clone(), actions);
        }
        let record = self.table.get_mut(index)?;
        if !record.replay_window.insert(head.sequence) {
            self.refused += 1;
            return None;
        }
        let state = record.update.state;
        if state == MemberState::Left {
            return None;
        }
        // The sender is alive, but only its own later version overrides the suspicion on the other
        // nodes. This message carries the suspicion to it; the answer to a ping does so anyway.
        if state != MemberState::Alive && !matches!(message, Message::Ping { .. }) {
            self.send(index, Message::Updates, actions);
        }
        Some(index)
    }

    /// Refuses a datagram from an earlier incarnation, and tells its sender the later one.
    fn refuse_earlier_incarnation(
        &mut self,
        head: &DatagramHeader,
        known: MemberUpdate,
        actions: &mut Vec<Action>,
    ) {
        self.refused += 1;
        let (to, incarnation) = (head.sender.address, head.sender.incarnation);
        self.send_to(to, incarnation, Message::Updates, vec![known], actions);
    }

    /// Applies an update on a member other than the sender.
    pub(crate) fn apply_relayed_update(
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
            return self.on_update_about_self(now, &update, false, actions);
        }
        let Some(index) = self.table.index_of(&update.name) else {
            // An unknown member that is not present need not be remembered.
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
            return self.on_reported_dead(now, index, update, actions);
        }
        match (update.state, known.state) {
            (MemberState::Suspected { by }, MemberState::Suspected { .. }) if same_version => {
                self.confirm_suspicion(now, index, by);
            }
            _ if update.overrides(known) => _ = self.apply(now, update, actions),
            _ => {}
        }
    }

    /// Handles an update that declares a member dead which is present in this table, as when the
    /// two halves of a partitioned fleet rejoin. The member is notified and suspected for the
    /// minimum time, in which it can refute the update. If it was already suspected for longer, the
    /// suspicion still leaves time for the final probes.
    fn on_reported_dead(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        update: MemberUpdate,
        actions: &mut Vec<Action>,
    ) {
        let state = MemberState::Suspected {
            by: DECLARED_DEAD_ID,
        };
        let suspected = MemberUpdate { state, ..update };
        let is_new = self
            .table
            .get(index)
            .is_some_and(|record| suspected.overrides(&record.update));
        if is_new {
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
        if suspicion.confirm_fully(now + self.parameters.final_probe_lead()) {
            self.schedule_suspicion_end(now, index);
        }
    }
}
