//! Applies updates to the table, the view and the pending updates.

use crate::fleet::{Fleet, Timer};
use crate::suspicion::Suspicion;
use crate::table::MemberIndex;
use crate::{Action, Change, MemberState, MemberUpdate, View};
use doortrack_time::TenthMillis;

impl Fleet {
    /// Applies an update that takes precedence over what was known. Returns the member's index, or
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
            (record.received, record.response_time, record.slow) = (Default::default(), 0, false);
        }
        let was_present = old.state.is_present() && !restarted;
        if !matches!(update.state, MemberState::Suspected { .. })
            || restarted
            || update.version != old.version
        {
            record.suspicion = None;
        }
        // A member that left by itself may come back as often as it likes.
        let returns = update.state.is_present()
            && old.state != MemberState::Left
            && (restarted || !old.state.is_present());
        self.table.set(index, update.clone(), now);
        if returns {
            self.note_return(now, index, actions);
        }
        self.queue_update(now, index);
        self.publish_state(
            now,
            index,
            &update,
            was_present.then_some(old.state),
            actions,
        );
        Some(index)
    }

    /// Queues the latest update on a member for dissemination.
    pub(crate) fn queue_update(&mut self, now: TenthMillis, index: MemberIndex) {
        if let Some(record) = self.table.get(index) {
            self.gossip.add(index, record.revision);
            self.schedule_updates(now);
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
        self.publish_state(now, index, &update, None, actions);
        Some(index)
    }

    /// Updates the view and the log after a change of state. `previous` is the state before in the
    /// same incarnation, if the member was present.
    fn publish_state(
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
                self.suspected(now, index, by, actions);
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

    /// Schedules when a member that is not present is forgotten.
    fn schedule_forget(&mut self, now: TenthMillis, index: MemberIndex) {
        if let Some(record) = self.table.get_mut(index) {
            record.held_until = None;
            let forget = Timer::Forget(index, record.revision);
            self.set_timer(now + self.parameters.forget_after, forget);
        }
    }

    /// Begins a suspicion, and may probe the member to confirm or clear it.
    fn suspected(
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
        // A few of all nodes that learn of it probe the member themselves, however large the fleet.
        let indirect_probers = self.parameters.indirect_probers as f64;
        if by != self.suspicion_mark && self.rng.f64() * members as f64 <= indirect_probers {
            self.probe(now, index, actions);
        }
    }

    /// Counts the suspicion of another node on a member that is suspected already; `false` if it is
    /// not new.
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
        // Sent on, as it is independent of the first one.
        update.state = MemberState::Suspected { by };
        self.table.set(index, update, now);
        self.queue_update(now, index);
        true
    }

    /// Schedules the end of a suspicion, and two final probes before it: an update that cleared it
    /// may not have reached this node, as dissemination is not certain.
    pub(crate) fn schedule_suspicion_end(&mut self, now: TenthMillis, index: MemberIndex) {
        let (members, resumed_at) = (self.view.members.len(), self.resumed_at);
        let Some(suspicion) = self.table.get(index).and_then(|record| record.suspicion) else {
            return;
        };
        let ends_at = suspicion
            .ends_at(&self.parameters, members, resumed_at)
            .max(now);
        self.set_timer(ends_at, Timer::Suspicion(index, suspicion.since));
        let first = self.parameters.final_probes();
        for before in [first, first / 2] {
            self.set_timer(
                ends_at.saturating_sub(before).max(now),
                Timer::FinalProbe(index, suspicion.since),
            );
        }
    }

    /// Changes the view, and records when it changed.
    pub(crate) fn change_view(&mut self, now: TenthMillis, change: impl FnOnce(&mut View)) {
        let before = self.view.number;
        change(&mut self.view);
        if self.view.number != before {
            self.view_since = now;
        }
    }
}
