//! Joining, returning and leaving, and names that are used twice.

use crate::fleet::{Fleet, RETRANSMISSIONS, Stage, Timer};
use crate::receiving::MAX_UPDATES_ACCEPTED;
use crate::table::MemberIndex;
use crate::{
    Action, Change, Incarnation, MemberState, MemberUpdate, Message, UPDATE_BYTES_THRESHOLD,
};
use doortrack_time::TenthMillis;

/// Rounds of join requests that all go to seeds.
const EARLY_JOIN_REQUESTS: u32 = 5;
/// Of later rounds one in this many goes to a seed.
const LATER_REQUESTS_EVERY: u32 = 4;
/// How often the time that a member is held back is doubled at most.
const MAX_HOLD_DOUBLINGS: u32 = 20;
/// Seeds that are asked in one round.
const MAX_SEEDS_AT_ONCE: usize = 3;

impl Fleet {
    /// Sends one round of join requests to nodes that may be present though not in the view: a dead
    /// member, and seeds, more of them while nobody answers.
    pub(crate) fn send_join_requests(&mut self, actions: &mut Vec<Action>) {
        self.join_requests = self.join_requests.saturating_add(1);
        let alone = self.stage == Stage::Joining || self.isolated || self.table.present() == 0;
        // Nodes that all start at once form islands at first.
        let ask_seed = self.join_requests <= EARLY_JOIN_REQUESTS
            || self.join_requests.is_multiple_of(LATER_REQUESTS_EVERY);
        let max = if alone || self.join_requests <= EARLY_JOIN_REQUESTS {
            MAX_SEEDS_AT_ONCE
        } else {
            usize::from(ask_seed)
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

    /// Sends a page of the table, in answer to a join request or for a fetch. A join request alone
    /// makes no member, as it may be replayed: the sender is one once it addresses this
    /// incarnation.
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

    /// Puts a present member into the view, unless it is held back.
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
        if record.held_until.is_some_and(|until| until > now) {
            return;
        }
        record.held_until = None;
        let update = &record.update;
        let (name, incarnation, back) =
            (update.name.clone(), update.incarnation, record.returns > 0);
        let member = update.member();
        self.change_view(now, |view| view.put(&name, member));
        actions.push(Action::Report(Change::Alive {
            name,
            incarnation,
            back,
        }));
    }

    /// Counts a return from being dead, and holds the member back if it returns repeatedly. The
    /// first return is free, as after a restart or a broken link.
    pub(crate) fn note_return(
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
        record.held_until = Some(now + wait);
        let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
        self.set_timer(now + wait, Timer::Admit(index));
        self.change_view(now, |view| view.remove(&name));
        actions.push(Action::Report(Change::HeldBack {
            name,
            incarnation,
            wait,
        }));
    }

    /// Announces that this node leaves, at once and in further rounds.
    pub(crate) fn on_leave(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.stage = Stage::Leaving;
        self.me.state = MemberState::Left;
        let name = self.me.name.clone();
        self.change_view(now, |view| view.remove(&name));
        self.retransmissions = RETRANSMISSIONS;
        self.send_updates(now, actions);
    }

    /// Handles an update on this node's own name; `direct` if a process of that name sent it.
    pub(crate) fn on_own_name(
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
                self.supersede(update, actions);
            }
        } else if self.stage == Stage::Joining
            || !update.state.is_present()
            || update.address == self.me.address
        {
            // That incarnation is over, as only this process is where it was, or this one joins
            // after it.
            self.start_incarnation(now, update.incarnation, actions);
        } else {
            self.stage = Stage::Superseded;
            actions.push(Action::Report(Change::Superseded {
                by: update.incarnation,
                address: update.address,
            }));
        }
    }

    /// Refutes what others say about this incarnation, unless a later version has done so.
    fn refute(&mut self, now: TenthMillis, update: &MemberUpdate, actions: &mut Vec<Action>) {
        let outdated = update.version < self.me.version;
        if update.state == MemberState::Alive || outdated || self.stage == Stage::Leaving {
            return;
        }
        if update.state == MemberState::Left {
            // Final for that incarnation, which this one therefore can't be.
            return self.start_incarnation(now, update.incarnation, actions);
        }
        self.me.version = update.version + 1;
        self.retransmissions = RETRANSMISSIONS;
        self.schedule_updates(now);
    }

    /// Notifies an earlier process of this node's name, which learns of this incarnation by the
    /// head.
    fn supersede(&mut self, update: &MemberUpdate, actions: &mut Vec<Action>) {
        let (address, incarnation) = (update.address, update.incarnation);
        self.send_to(address, incarnation, Message::Updates, Vec::new(), actions);
        if self.duplicate != incarnation {
            self.duplicate = incarnation;
            actions.push(Action::Report(Change::DuplicateName {
                incarnation,
                address,
            }));
        }
    }

    /// Continues under an incarnation later than `than`.
    fn start_incarnation(
        &mut self,
        now: TenthMillis,
        than: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        self.me.incarnation = Incarnation(than.0.saturating_add(1 + self.rng.u64(..256)));
        self.me.version = 0;
        let (name, update) = (self.me.name.clone(), &self.me);
        let member = update.member();
        self.change_view(now, |view| view.put(&name, member));
        self.retransmissions = RETRANSMISSIONS;
        self.schedule_updates(now);
        actions.push(Action::Report(Change::NewIncarnation {
            incarnation: self.me.incarnation,
        }));
    }
}
