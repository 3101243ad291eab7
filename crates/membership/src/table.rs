//! The table of all known members other than this node, by index and by name.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::suspicion::Suspicion;
use crate::{MemberState, MemberUpdate, Name};
use doortrack_time::TenthMillis;

/// Index of a member in the table; reused after the member was removed.
pub type MemberIndex = usize;

/// Size of the replay window, in sequence numbers.
const REPLAY_WINDOW: u64 = 128;

/// A sliding window over the received sequence numbers of one incarnation, which detects replays.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    /// The highest sequence number received.
    highest: u64,
    /// Bit `n` is set if sequence number `highest - n` was received.
    bits: u128,
}

impl ReplayWindow {
    /// Records a sequence number. Returns `false` if it was received before or is older than the
    /// window.
    pub fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            let kept_bits = if advance < REPLAY_WINDOW {
                self.bits << advance
            } else {
                0
            };
            self.bits = kept_bits | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= REPLAY_WINDOW || self.bits & (1 << age) != 0 {
            return false;
        }
        self.bits |= 1 << age;
        true
    }
}

/// What this node knows about one member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The update with the highest precedence among all received.
    pub update: MemberUpdate,
    /// Grows with each change of the update, so that queue entries of earlier updates are
    /// recognized as outdated.
    pub revision: u32,
    /// When the state last changed, in tenths of a millisecond.
    pub state_since: TenthMillis,
    /// The sequence numbers received from the current incarnation.
    pub replay_window: ReplayWindow,
    /// Smoothed response time in tenths of a millisecond; 0 before the first answer.
    pub response_time: TenthMillis,
    /// Whether the member was reported as slow.
    pub slow: bool,
    /// The current suspicion, if the state is [`MemberState::Suspected`].
    pub suspicion: Option<Suspicion>,
    /// How often the member returned from being dead.
    pub returns: u32,
    /// When the member last returned.
    pub returned_at: TenthMillis,
    /// The member is kept out of the view until this time because it returned too often.
    pub held_back_until: Option<TenthMillis>,
    /// The member's position in the list of present members or of dead ones.
    pub list_index: usize,
}

impl MemberRecord {
    fn new(update: MemberUpdate, now: TenthMillis) -> MemberRecord {
        MemberRecord {
            update,
            revision: 0,
            state_since: now,
            replay_window: ReplayWindow::default(),
            response_time: 0,
            slow: false,
            suspicion: None,
            returns: 0,
            returned_at: 0,
            held_back_until: None,
            list_index: 0,
        }
    }
}

/// The table of members. Present and dead members are kept in separate lists, so that a random one
/// of either is found in constant time; members that left are found by name only.
#[derive(Default)]
pub struct Table {
    slots: Vec<Option<MemberRecord>>,
    free: Vec<MemberIndex>,
    by_name: BTreeMap<Name, MemberIndex>,
    present: Vec<MemberIndex>,
    dead: Vec<MemberIndex>,
    /// How many members, from the start of `present`, were probed in this round.
    probed: usize,
}

impl Table {
    /// Number of members in the table, in any state.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Number of members that are present.
    pub fn present_count(&self) -> usize {
        self.present.len()
    }

    /// The index of the member with this name.
    pub fn index_of(&self, name: &str) -> Option<MemberIndex> {
        self.by_name.get(name).copied()
    }

    /// The record of a member; none if it was removed.
    pub fn get(&self, index: MemberIndex) -> Option<&MemberRecord> {
        self.slots.get(index)?.as_ref()
    }

    /// The mutable record of a member. Its update must only be changed by [`Table::set_update`].
    pub fn get_mut(&mut self, index: MemberIndex) -> Option<&mut MemberRecord> {
        self.slots.get_mut(index)?.as_mut()
    }

    /// The members after a name, ordered by name; all members if there is no name.
    pub fn after(&self, name: Option<&Name>) -> impl Iterator<Item = &MemberRecord> {
        let from = name.map_or(Bound::Unbounded, Bound::Excluded);
        let indices = self
            .by_name
            .range::<Name, _>((from, Bound::Unbounded))
            .map(|(_, index)| *index);
        indices.filter_map(|index| self.get(index))
    }

    /// Adds a member that is not in the table.
    pub fn insert(&mut self, update: MemberUpdate, now: TenthMillis) -> MemberIndex {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        let (name, state) = (update.name.clone(), update.state);
        self.slots[index] = Some(MemberRecord::new(update, now));
        self.by_name.insert(name, index);
        self.add_to_list(index, state);
        index
    }

    /// Removes a member; its index may be reused.
    pub fn remove(&mut self, index: MemberIndex) -> Option<MemberRecord> {
        let state = self.get(index)?.update.state;
        self.remove_from_list(index, state);
        let record = self.slots[index].take()?;
        self.by_name.remove(&record.update.name);
        self.free.push(index);
        Some(record)
    }

    /// Replaces a member's update, and moves the member to the list for its new state.
    pub fn set_update(&mut self, index: MemberIndex, update: MemberUpdate, now: TenthMillis) {
        let Some(record) = self.get_mut(index) else {
            return;
        };
        let (before, after) = (record.update.state, update.state);
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            record.state_since = now;
        }
        record.update = update;
        record.revision = record.revision.wrapping_add(1);
        let list_kind = |state: MemberState| (state.is_present(), state == MemberState::Dead);
        if list_kind(before) != list_kind(after) {
            self.remove_from_list(index, before);
            self.add_to_list(index, after);
        }
    }

    /// The list that holds the members in a state; none for members that left.
    fn list_for(&mut self, state: MemberState) -> Option<&mut Vec<MemberIndex>> {
        match state {
            MemberState::Alive | MemberState::Suspected { .. } => Some(&mut self.present),
            MemberState::Dead => Some(&mut self.dead),
            MemberState::Left => None,
        }
    }

    fn add_to_list(&mut self, index: MemberIndex, state: MemberState) {
        let Some(list) = self.list_for(state) else {
            return;
        };
        list.push(index);
        let list_index = list.len() - 1;
        if let Some(record) = self.get_mut(index) {
            record.list_index = list_index;
        }
    }

    fn remove_from_list(&mut self, index: MemberIndex, state: MemberState) {
        let Some(list_index) = self.get(index).map(|record| record.list_index) else {
            return;
        };
        if state.is_present() && list_index < self.probed {
            // The member first swaps places with the last one probed in this round, so that the
            // probed members stay at the start of the list.
            self.probed -= 1;
            self.swap_present(list_index, self.probed);
            return self.remove_from_list_at(self.probed, state);
        }
        self.remove_from_list_at(list_index, state);
    }

    fn remove_from_list_at(&mut self, list_index: usize, state: MemberState) {
        let Some(list) = self.list_for(state) else {
            return;
        };
        if list_index >= list.len() {
            return;
        }
        list.swap_remove(list_index);
        let moved = list.get(list_index).copied();
        if let Some(record) = moved.and_then(|index| self.get_mut(index)) {
            record.list_index = list_index;
        }
    }

    fn swap_present(&mut self, left: usize, right: usize) {
        self.present.swap(left, right);
        for list_index in [left, right] {
            let index = self.present[list_index];
            if let Some(record) = self.get_mut(index) {
                record.list_index = list_index;
            }
        }
    }

    /// The next member to probe. Each present member is probed once per round, in random order.
    pub fn next_probe_target(&mut self, rng: &mut fastrand::Rng) -> Option<MemberIndex> {
        if self.present.is_empty() {
            return None;
        }
        if self.probed >= self.present.len() {
            self.probed = 0;
        }
        let picked = rng.usize(self.probed..self.present.len());
        self.swap_present(picked, self.probed);
        self.probed += 1;
        self.present.get(self.probed - 1).copied()
    }

    /// Up to `count` distinct random present members, without `excluded`.
    pub fn random_present(
        &self,
        count: usize,
        excluded: Option<MemberIndex>,
        rng: &mut fastrand::Rng,
    ) -> Vec<MemberIndex> {
        let mut picked = Vec::with_capacity(count);
        // The number of draws is bounded; in a small fleet fewer than `count` members may result.
        for _ in 0..count * 3 {
            if self.present.is_empty() {
                break;
            }
            let index = self.present[rng.usize(..self.present.len())];
            if Some(index) != excluded && !picked.contains(&index) {
                picked.push(index);
                if picked.len() == count {
                    break;
                }
            }
        }
        picked
    }

    /// A random dead member.
    pub fn random_dead(&self, rng: &mut fastrand::Rng) -> Option<MemberIndex> {
        if self.dead.is_empty() {
            None
        } else {
            self.dead.get(rng.usize(..self.dead.len())).copied()
        }
    }
}
