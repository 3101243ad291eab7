//! The table of all other members that are known, by index and by name.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::suspicion::Suspicion;
use crate::{MemberState, MemberUpdate, Name};
use doortrack_time::TenthMillis;

/// Index of a member in the table; reused once that member was forgotten.
pub type MemberIndex = usize;

/// Datagrams back from the latest within which a replayed one is recognized.
const WINDOW: u64 = 128;

/// Which datagrams of one incarnation were received: a sliding window against replays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Received {
    /// The greatest number received.
    last: u64,
    /// Bit `n`: number `last - n` was received.
    bits: u128,
}

impl Received {
    /// Records a datagram's number; `false` if it was received before, or is too old to know.
    pub fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.last {
            let advance = sequence - self.last;
            let kept_bits = if advance < WINDOW {
                self.bits << advance
            } else {
                0
            };
            self.bits = kept_bits | 1;
            self.last = sequence;
            return true;
        }
        let age = self.last - sequence;
        if age >= WINDOW || self.bits & (1 << age) != 0 {
            return false;
        }
        self.bits |= 1 << age;
        true
    }
}

/// What this node knows of one member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The update that takes precedence among all received.
    pub update: MemberUpdate,
    /// Grows with each change of the update, so that queued copies of earlier ones are recognized.
    pub revision: u32,
    /// When the state last changed, in tenths of a millisecond.
    pub since: TenthMillis,
    /// Its datagrams of this incarnation.
    pub received: Received,
    /// Smoothed response time in tenths of a millisecond; 0 before the first answer.
    pub response_time: TenthMillis,
    /// Whether it was reported as slow.
    pub slow: bool,
    /// The suspicion under way, if its state is [`MemberState::Suspected`].
    pub suspicion: Option<Suspicion>,
    /// Times that it came back from being dead.
    pub returns: u32,
    /// When it last came back.
    pub returned_at: TenthMillis,
    /// Kept out of the view until then, as it came back too often.
    pub held_until: Option<TenthMillis>,
    /// Its position in the list of present members, or of dead ones.
    pub list_index: usize,
}

impl MemberRecord {
    fn new(update: MemberUpdate, now: TenthMillis) -> MemberRecord {
        MemberRecord {
            update,
            revision: 0,
            since: now,
            received: Received::default(),
            response_time: 0,
            slow: false,
            suspicion: None,
            returns: 0,
            returned_at: 0,
            held_until: None,
            list_index: 0,
        }
    }
}

/// The table. Present and dead members are listed apart, so that one of either can be drawn at
/// random in constant time; members that left are found by name only.
#[derive(Default)]
pub struct Table {
    slots: Vec<Option<MemberRecord>>,
    free: Vec<MemberIndex>,
    by_name: BTreeMap<Name, MemberIndex>,
    present: Vec<MemberIndex>,
    dead: Vec<MemberIndex>,
    /// How many of `present`, from its start, were probed in this round.
    probed: usize,
}

impl Table {
    /// Members in the table, in whatever state.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Members that are present.
    pub fn present(&self) -> usize {
        self.present.len()
    }

    /// The index of the member with this name.
    pub fn index_of(&self, name: &str) -> Option<MemberIndex> {
        self.by_name.get(name).copied()
    }

    /// The record of a member; none once it was forgotten.
    pub fn get(&self, index: MemberIndex) -> Option<&MemberRecord> {
        self.slots.get(index)?.as_ref()
    }

    /// As [`Table::get`], to change it. The update is changed by [`Table::set`] alone.
    pub fn get_mut(&mut self, index: MemberIndex) -> Option<&mut MemberRecord> {
        self.slots.get_mut(index)?.as_mut()
    }

    /// The members behind a name, in the order of names; all for none.
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
        self.list(index, state);
        index
    }

    /// Forgets a member; its index may be used again.
    pub fn remove(&mut self, index: MemberIndex) -> Option<MemberRecord> {
        let state = self.get(index)?.update.state;
        self.unlist(index, state);
        let record = self.slots[index].take()?;
        self.by_name.remove(&record.update.name);
        self.free.push(index);
        Some(record)
    }

    /// Replaces a member's update, and moves the member to the list of its new state.
    pub fn set(&mut self, index: MemberIndex, update: MemberUpdate, now: TenthMillis) {
        let Some(record) = self.get_mut(index) else {
            return;
        };
        let (before, after) = (record.update.state, update.state);
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            record.since = now;
        }
        record.update = update;
        record.revision = record.revision.wrapping_add(1);
        let kind = |state: MemberState| (state.is_present(), state == MemberState::Dead);
        if kind(before) != kind(after) {
            self.unlist(index, before);
            self.list(index, after);
        }
    }

    /// The list in which members of a state are kept; none for those that left.
    fn list_of(&mut self, state: MemberState) -> Option<&mut Vec<MemberIndex>> {
        match state {
            MemberState::Alive | MemberState::Suspected { .. } => Some(&mut self.present),
            MemberState::Dead => Some(&mut self.dead),
            MemberState::Left => None,
        }
    }

    fn list(&mut self, index: MemberIndex, state: MemberState) {
        let Some(list) = self.list_of(state) else {
            return;
        };
        list.push(index);
        let list_index = list.len() - 1;
        if let Some(record) = self.get_mut(index) {
            record.list_index = list_index;
        }
    }

    fn unlist(&mut self, index: MemberIndex, state: MemberState) {
        let Some(list_index) = self.get(index).map(|record| record.list_index) else {
            return;
        };
        if state.is_present() && list_index < self.probed {
            // Replaced by the last one probed in this round, so that the others keep their
            // positions.
            self.probed -= 1;
            self.swap(list_index, self.probed);
            return self.unlist_at(self.probed, state);
        }
        self.unlist_at(list_index, state);
    }

    fn unlist_at(&mut self, list_index: usize, state: MemberState) {
        let Some(list) = self.list_of(state) else {
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

    fn swap(&mut self, left: usize, right: usize) {
        self.present.swap(left, right);
        for list_index in [left, right] {
            let index = self.present[list_index];
            if let Some(record) = self.get_mut(index) {
                record.list_index = list_index;
            }
        }
    }

    /// The next member to probe: each present member once a round, in an order drawn as the round
    /// goes.
    pub fn next_probe(&mut self, rng: &mut fastrand::Rng) -> Option<MemberIndex> {
        if self.present.is_empty() {
            return None;
        }
        if self.probed >= self.present.len() {
            self.probed = 0;
        }
        let picked = rng.usize(self.probed..self.present.len());
        self.swap(picked, self.probed);
        self.probed += 1;
        self.present.get(self.probed - 1).copied()
    }

    /// Up to `count` different present members drawn at random, none of them `excluded`.
    pub fn random_present(
        &self,
        count: usize,
        excluded: Option<MemberIndex>,
        rng: &mut fastrand::Rng,
    ) -> Vec<MemberIndex> {
        let mut picked = Vec::with_capacity(count);
        // Enough draws for a small fleet too; a member drawn twice is not replaced.
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

    /// A dead member drawn at random.
    pub fn random_dead(&self, rng: &mut fastrand::Rng) -> Option<MemberIndex> {
        if self.dead.is_empty() {
            None
        } else {
            self.dead.get(rng.usize(..self.dead.len())).copied()
        }
    }
}
