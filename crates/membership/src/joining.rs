//! Joining, returning and leaving, and duplicate names.

use crate::fleet::{ANNOUNCEMENT_ROUNDS, Fleet, Stage, Timer};
use crate::receiving::MAX_UPDATES_ACCEPTED;
use crate::table::MemberIndex;
use crate::{
    Action, Change, Incarnation, MemberState, MemberUpdate, Message, UPDATE_BYTES_THRESHOLD,
};
use doortrack_time::TenthMillis;

/// Number of initial rounds of join requests that ask as many seeds as possible.
const EARLY_JOIN_ROUNDS: u32 = 5;
/// One in this many later rounds asks a seed.
const SEED_ROUND_INTERVAL: u32 = 4;
/// Maximum number of times that the hold time of a member is doubled.
const MAX_HOLD_DOUBLINGS: u32 = 20;
/// Maximum number of seeds asked in one round.
const MAX_SEEDS_PER_ROUND: usize = 3;

impl Fleet {
    /// Sends one round of join requests to nodes that may be present although they are not in the
    /// view: seeds, more of them while nobody answers, and one dead member.
    pub(crate) fn send_join_requests(&mut self, actions: &mut Vec<Action>) {
        self.join_rounds = self.join_rounds.saturating_add(1);
        let is_alone =
            self.stage == Stage::Joining || self.isolated || self.table.present_count() == 0;
        // The first rounds always ask seeds, because nodes that start at the same time form
        // separate fleets at first.
        let asks_seed = self.join_rounds <= EARLY_JOIN_ROUNDS
            || self.join_rounds.is_multiple_of(SEED_ROUND_INTERVAL);
        let max = if is_alone || self.join_rounds <= EARLY_JOIN_ROUNDS {
            MAX_SEEDS_PER_ROUND
        } else {
            usize::from(asks_seed)
        };
        let seeds = self.parameters.seeds.len().min(max);
        let first = self.rng.usize(..self.parameters.seeds.len().max(1));
        for offset in 0..seeds {
            let seed = self.parameters.seeds[(first + offset) % self.parameters.seeds.len()];
            if seed != self.me.address {
                self.send_to(seed, Incarnation(0), Message::Join, Vec::new(), actions);
            }
        }
        if let Some(index) = self.table.random_dead(&mut self.rng) {
            let nonce = self.rng.u32(..);
            self.send(index, Message::Ping { nonce }, actions);
        }
    }

    /// Sends a page of the table in answer to a join request or a page request. A join request does
    /// not make its sender a member, because it may be replayed: the sender becomes one when it
    /// addresses this incarnation.
    pub(crate) fn send_page(
        &mut self,
        to: &MemberUpdate,
        after: Option<&crate::Name>,
        actions: &mut Vec<Action>,
    ) {
        let (mut updates, mut bytes, mut next) = (Vec::new(), 0, None);
        for record in self.table.after(after) {
            if bytes > UPDATE_BYTES_THRESHOLD || updates.len() >= MAX_UPDATES_ACCEPTED {
                next = updates
                    .last()
                    .map(|update: &MemberUpdate| update.name.clone());
                break;
            }
            bytes += record.update.max_bytes();
            updates.push(record.update.clone());
        }
        self.send_to(
            to.address,
            to.incarnation,
            Message::Page { next },
            updates,
            actions,
        );
    }

    /// Adds a present member to the view, unless it is held back.
    pub(crate) fn add_to_view(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self
            .table
            .get_mut(index)
            .filter(|record| record.update.state.is_present())
        else {
            return;
        };
        if record.held_back_until.is_some_and(|until| until > now) {
            return;
        }
        record.held_back_until = None;
        let update = &record.update;
        let (name, incarnation, returned) =
            (update.name.clone(), update.incarnation, record.returns > 0);
        let member = update.member();
        self.change_view(now, |view| view.put(&name, member));
        actions.push(Action::Report(Change::Alive {
            name,
            incarnation,
            returned,
        }));
    }

    /// Counts a return of a dead member, and holds it back if it returns repeatedly. The first
    /// return, as after a restart or a broken link, has no penalty.
    pub(crate) fn record_return(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        actions: &mut Vec<Action>,
    ) {
        let (first_wait, max_wait) = (self.parameters.initial_hold, self.parameters.max_hold);
        let Some(record) = self.table.get_mut(index) else {
            return;
        };
        if record.returned_at + 2 * max_wait < now {
            record.returns = 0;
        }
        record.returns = record.returns.saturating_add(1);
        record.returned_at = now;
        if record.returns < 2 {
            return;
        }
        let wait = max_wait.min(first_wait << (record.returns - 2).min(MAX_HOLD_DOUBLINGS));
        record.held_back_until = Some(now + wait);
        let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
        self.set_timer(now + wait, Timer::HoldBackEnd(index));
        self.change_view(now, |view| view.remove(&name));
        actions.push(Action::Report(Change::HeldBack {
            name,
            incarnation,
            wait,
        }));
    }

    /// Announces that this node leaves, immediately and in further gossip rounds.
    pub(crate) fn on_leave(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.stage = Stage::Leaving;
        self.me.state = MemberState::Left;
        let name = self.me.name.clone();
        self.change_view(now, |view| view.remove(&name));
        self.announcement_rounds_left = ANNOUNCEMENT_ROUNDS;
        self.send_gossip(now, actions);
    }

    /// Handles an update on this node's own name. `direct` is true if a process with that name sent
    /// it.
    pub(crate) fn on_update_about_self(
        &mut self,
        now: TenthMillis,
        update: &MemberUpdate,
        direct: bool,
        actions: &mut Vec<Action>,
    ) {
        if update.incarnation == self.me.incarnation {
            if !direct {
                self.refute(now, update, actions);
            }
        } else if update.incarnation < self.me.incarnation {
            if direct {
                self.notify_superseded(update, actions);
            }
        } else if self.stage == Stage::Joining
            || !update.state.is_present()
            || update.address == self.me.address
        {
            // The other incarnation left, died or had this process's address, or this process
            // joins after it: this process stays, under a later incarnation.
            self.adopt_later_incarnation(now, update.incarnation, actions);
        } else {
            self.stage = Stage::Superseded;
            actions.push(Action::Report(Change::Superseded {
                by: update.incarnation,
                address: update.address,
            }));
        }
    }

    /// Refutes an update on this incarnation, unless a later version has already done so.
    fn refute(&mut self, now: TenthMillis, update: &MemberUpdate, actions: &mut Vec<Action>) {
        let outdated = update.version < self.me.version;
        if update.state == MemberState::Alive || outdated || self.stage == Stage::Leaving {
            return;
        }
        if update.state == MemberState::Left {
            // Having left is final for an incarnation: this node continues under a new one.
            return self.adopt_later_incarnation(now, update.incarnation, actions);
        }
        self.me.version = update.version + 1;
        self.announcement_rounds_left = ANNOUNCEMENT_ROUNDS;
        self.schedule_gossip(now);
    }

    /// Notifies an earlier process with this node's name. The header of the datagram tells it this
    /// incarnation.
    fn notify_superseded(&mut self, update: &MemberUpdate, actions: &mut Vec<Action>) {
        let (address, incarnation) = (update.address, update.incarnation);
        self.send_to(address, incarnation, Message::Updates, Vec::new(), actions);
        if self.reported_duplicate != incarnation {
            self.reported_duplicate = incarnation;
            actions.push(Action::Report(Change::DuplicateName {
                incarnation,
                address,
            }));
        }
    }

    /// Continues under an incarnation later than `known`.
    fn adopt_later_incarnation(
        &mut self,
        now: TenthMillis,
        known: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        self.me.incarnation = Incarnation(known.0.saturating_add(1 + self.rng.u64(..256)));
        self.me.version = 0;
        let (name, update) = (self.me.name.clone(), &self.me);
        let member = update.member();
        self.change_view(now, |view| view.put(&name, member));
        self.announcement_rounds_left = ANNOUNCEMENT_ROUNDS;
        self.schedule_gossip(now);
        actions.push(Action::Report(Change::NewIncarnation {
            incarnation: self.me.incarnation,
        }));
    }
}
