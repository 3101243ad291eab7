//! Applies updates: to the table, to the view, and to what is passed on.

use crate::fleet::{Fleet, Timer};
use crate::suspicion::Suspicion;
use crate::table::MemberIndex;
use crate::{Action, Change, MemberState, MemberUpdate, View};
use doortrack_time::TenthMillis;

impl Fleet {
    /// Applies an update that takes precedence over what was known. Returns the member's index, or none if
    /// the table is full.
    pub(crate) fn apply(
        &mut self,
        now: TenthMillis,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        let Some(index) = self.table.index_of(&update.name) else {
            return self.add_member(now, update, out);
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
        // Who left on its own word comes back as often as it likes.
        let returns = update.state.is_present()
            && old.state != MemberState::Left
            && (restarted || !old.state.is_present());
        self.table.set(index, update.clone(), now);
        if returns {
            self.note_return(now, index, out);
        }
        self.queue_update(now, index);
        self.follow_state(now, index, &update, was_present.then_some(old.state), out);
        Some(index)
    }

    /// Queues the latest update on a member for dissemination.
    pub(crate) fn queue_update(&mut self, now: TenthMillis, index: MemberIndex) {
        if let Some(record) = self.table.get(index) {
            self.gossip.add(index, record.revision);
            self.arm_updates(now);
        }
    }

    fn add_member(
        &mut self,
        now: TenthMillis,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        if self.table.len() >= self.parameters.max_members {
            out.push(Action::Report(Change::NoRoom { name: update.name }));
            return None;
        }
        let index = self.table.insert(update.clone(), now);
        self.queue_update(now, index);
        self.follow_state(now, index, &update, None, out);
        Some(index)
    }

    /// Brings the view and the log in line with a new state. `was` is the previous state of the same
    /// incarnation, if it was present.
    fn follow_state(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        update: &MemberUpdate,
        was: Option<MemberState>,
        out: &mut Vec<Action>,
    ) {
        let (name, incarnation) = (update.name.clone(), update.incarnation);
        match update.state {
            MemberState::Alive => {
                let cleared = matches!(was, Some(MemberState::Suspected { .. }));
                if was.is_none() {
                    self.admit(now, index, out);
                } else if cleared {
                    out.push(Action::Report(Change::Cleared { name, incarnation }));
                }
            }
            MemberState::Suspected { by } => {
                if was.is_none() {
                    self.admit(now, index, out);
                }
                self.suspected(now, index, by, out);
            }
            MemberState::Dead | MemberState::Left => {
                if let Some(record) = self.table.get_mut(index) {
                    record.held_until = None;
                    let revision = record.revision;
                    self.arm(
                        now + self.parameters.forget_after,
                        Timer::Forget(index, revision),
                    );
                }
                self.change_view(now, |view| view.remove(&name));
                if was.is_some() {
                    let left = update.state == MemberState::Left;
                    out.push(Action::Report(if left {
                        Change::Left { name, incarnation }
                    } else {
                        Change::Dead { name, incarnation }
                    }));
                }
            }
        }
    }

    /// Begins a suspicion, and may probe the member to confirm or clear it.
    fn suspected(&mut self, now: TenthMillis, index: MemberIndex, by: u32, out: &mut Vec<Action>) {
        let members = self.view.members.len();
        let Some(record) = self.table.get_mut(index) else {
            return;
        };
        let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
        record.suspicion.get_or_insert(Suspicion::new(by, now));
        self.arm_suspicion(now, index);
        out.push(Action::Report(Change::Suspected { name, incarnation }));
        // A few of all that hear of it try for themselves, however many there are.
        let indirect_probers = self.parameters.indirect_probers as f64;
        if by != self.mark && self.chance.f64() * members as f64 <= indirect_probers {
            self.probe(now, index, out);
        }
    }

    /// Counts the suspicion of another node on a member that is suspected already; `false` if it is not new.
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
        self.arm_suspicion(now, index);
        // Passed on, as it is a word of its own.
        update.state = MemberState::Suspected { by };
        self.table.set(index, update, now);
        self.queue_update(now, index);
        true
    }

    /// Sets the end of a suspicion, and two final probes before it: an update that cleared it may have missed
    /// this node, as dissemination reaches all but one in some thousands.
    pub(crate) fn arm_suspicion(&mut self, now: TenthMillis, index: MemberIndex) {
        let (members, resumed_at) = (self.view.members.len(), self.resumed_at);
        let Some(suspicion) = self.table.get(index).and_then(|record| record.suspicion) else {
            return;
        };
        let ends = suspicion
            .ends(&self.parameters, members, resumed_at)
            .max(now);
        self.arm(ends, Timer::Suspicion(index, suspicion.since));
        let first = self.parameters.final_probes();
        for before in [first, first / 2] {
            self.arm(
                ends.saturating_sub(before).max(now),
                Timer::FinalProbe(index, suspicion.since),
            );
        }
    }

    /// Changes the view, and takes note of when it changed.
    pub(crate) fn change_view(&mut self, now: TenthMillis, change: impl FnOnce(&mut View)) {
        let before = self.view.number;
        change(&mut self.view);
        if self.view.number != before {
            self.view_since = now;
        }
    }
}
