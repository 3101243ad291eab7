//! Applies updates to the table, the view and the gossip queue.

use crate::fleet::{Fleet, Timer};
use crate::suspicion::Suspicion;
use crate::table::MemberIndex;
use crate::{Action, Change, MemberState, MemberUpdate, View};
use doortrack_time::TenthMillis;

impl Fleet {
    /// Applies an update that takes precedence over the known one. Returns the member's index, or
    /// none if the table is full.
    pub(crate) fn apply(
        &mut self,
        now: TenthMillis,
        update: MemberUpdate,
        actions: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        let Some(index) = self.table.index_of(&update.name) else {
            return self.add_member(now, update, actions);
        };
        let record = self.table.get_mut(index)?;
        let old = record.update.clone();
        let restarted = update.incarnation != old.incarnation;
        if restarted {
            (record.replay_window, record.response_time, record.slow) =
                (Default::default(), 0, false);
        }
        let was_present = old.state.is_present() && !restarted;
        if !matches!(update.state, MemberState::Suspected { .. })
            || restarted
            || update.version != old.version
        {
            record.suspicion = None;
        }
        // A member that left on its own may return without a penalty.
        let returns = update.state.is_present()
            && old.state != MemberState::Left
            && (restarted || !old.state.is_present());
        self.table.set_update(index, update.clone(), now);
        if returns {
            self.record_return(now, index, actions);
        }
        self.queue_update(now, index);
        self.on_state_change(
            now,
            index,
            &update,
            was_present.then_some(old.state),
            actions,
        );
        Some(index)
    }

    /// Queues the latest update on a member for gossip.
    pub(crate) fn queue_update(&mut self, now: TenthMillis, index: MemberIndex) {
        if let Some(record) = self.table.get(index) {
            self.gossip.add(index, record.revision);
            self.schedule_gossip(now);
        }
    }

    fn add_member(
        &mut self,
        now: TenthMillis,
        update: MemberUpdate,
        actions: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        if self.table.len() >= self.parameters.max_members {
            actions.push(Action::Report(Change::TableFull { name: update.name }));
            return None;
        }
        let index = self.table.insert(update.clone(), now);
        self.queue_update(now, index);
        self.on_state_change(now, index, &update, None, actions);
        Some(index)
    }

    /// Updates the view and reports a change of state. `previous` is the previous state in the same
    /// incarnation, if the member was present.
    fn on_state_change(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        update: &MemberUpdate,
        previous: Option<MemberState>,
        actions: &mut Vec<Action>,
    ) {
        let (name, incarnation) = (update.name.clone(), update.incarnation);
        match update.state {
            MemberState::Alive => {
                let cleared = matches!(previous, Some(MemberState::Suspected { .. }));
                if previous.is_none() {
                    self.add_to_view(now, index, actions);
                } else if cleared {
                    actions.push(Action::Report(Change::Cleared { name, incarnation }));
                }
            }
            MemberState::Suspected { by } => {
                if previous.is_none() {
                    self.add_to_view(now, index, actions);
                }
                self.begin_suspicion(now, index, by, actions);
            }
            MemberState::Dead | MemberState::Left => {
                self.schedule_forget(now, index);
                self.change_view(now, |view| view.remove(&name));
                if previous.is_some() {
                    let change = if update.state == MemberState::Left {
                        Change::Left { name, incarnation }
                    } else {
                        Change::Dead { name, incarnation }
                    };
                    actions.push(Action::Report(change));
                }
            }
        }
    }

    /// Schedules the removal of a member that is not present.
    fn schedule_forget(&mut self, now: TenthMillis, index: MemberIndex) {
        if let Some(record) = self.table.get_mut(index) {
            record.held_back_until = None;
            let forget = Timer::Forget(index, record.revision);
            self.set_timer(now + self.parameters.forget_after, forget);
        }
    }

    /// Begins a suspicion, and with some probability probes the member to confirm or clear it.
    fn begin_suspicion(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        by: u32,
        actions: &mut Vec<Action>,
    ) {
        let members = self.view.members.len();
        let Some(record) = self.table.get_mut(index) else {
            return;
        };
        let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
        record.suspicion.get_or_insert(Suspicion::new(by, now));
        self.schedule_suspicion_end(now, index);
        actions.push(Action::Report(Change::Suspected { name, incarnation }));
        // Of all nodes that learn of the suspicion only about `indirect_probers` probe the member,
        // however large the fleet.
        let indirect_probers = self.parameters.indirect_probers as f64;
        if by != self.suspecter_id && self.rng.f64() * members as f64 <= indirect_probers {
            self.probe(now, index, actions);
        }
    }

    /// Counts another node's suspicion of a member that is already suspected. Returns `false` if it
    /// was already counted.
    pub(crate) fn confirm_suspicion(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        by: u32,
    ) -> bool {
        let Some(record) = self.table.get_mut(index) else {
            return false;
        };
        let mut update = record.update.clone();
        let Some(suspicion) = record
            .suspicion
            .as_mut()
            .filter(|suspicion| !suspicion.is_confirmed_by(by))
        else {
            return false;
        };
        suspicion.confirm(by);
        self.schedule_suspicion_end(now, index);
        // The confirmation is forwarded, because it is independent of the first suspicion.
        update.state = MemberState::Suspected { by };
        self.table.set_update(index, update, now);
        self.queue_update(now, index);
        true
    }

    /// Schedules the end of a suspicion, and two final probes before it. Gossip is not reliable, so
    /// that an update which cleared the suspicion may not have reached this node.
    pub(crate) fn schedule_suspicion_end(&mut self, now: TenthMillis, index: MemberIndex) {
        let (members, reconnected_at) = (self.view.members.len(), self.reconnected_at);
        let Some(suspicion) = self.table.get(index).and_then(|record| record.suspicion) else {
            return;
        };
        let ends_at = suspicion
            .ends_at(&self.parameters, members, reconnected_at)
            .max(now);
        self.set_timer(ends_at, Timer::SuspicionTimeout(index, suspicion.since));
        let first = self.parameters.final_probe_lead();
        for before in [first, first / 2] {
            self.set_timer(
                ends_at.saturating_sub(before).max(now),
                Timer::FinalProbe(index, suspicion.since),
            );
        }
    }

    /// Applies a change to the view, and records when the view changed.
    pub(crate) fn change_view(&mut self, now: TenthMillis, change: impl FnOnce(&mut View)) {
        let before = self.view.number;
        change(&mut self.view);
        if self.view.number != before {
            self.view_changed_at = now;
        }
    }
}
