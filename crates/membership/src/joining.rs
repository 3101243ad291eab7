//! Joining, returning and leaving, and names that are used twice.

use crate::fleet::{Fleet, RETRANSMISSIONS, Stage, Timer};
use crate::receiving::MAX_UPDATES_READ;
use crate::table::MemberIndex;
use crate::{Action, Change, Incarnation, MemberState, MemberUpdate, Message, UPDATE_BYTES};
use doortrack_time::TenthMillis;

/// Rounds of join requests that all go to seeds; of later rounds only every so many.
const EARLY_JOIN_REQUESTS: u32 = 5;
const LATER_REQUESTS_EVERY: u32 = 4;
/// Seeds that are asked in one round.
const MAX_SEEDS_AT_ONCE: usize = 3;

impl Fleet {
    /// Sends one round of join requests to nodes that may be present though not in the view: a dead member,
    /// and seeds, more of them while nobody answers.
    pub(crate) fn send_join_requests(&mut self, out: &mut Vec<Action>) {
        self.join_requests = self.join_requests.saturating_add(1);
        let alone = self.stage == Stage::Joining || self.isolated || self.table.present() == 0;
        // All started at once, nodes find together in islands at first.
        let often = self.join_requests <= EARLY_JOIN_REQUESTS
            || self.join_requests.is_multiple_of(LATER_REQUESTS_EVERY);
        let max = if alone || self.join_requests <= EARLY_JOIN_REQUESTS {
            MAX_SEEDS_AT_ONCE
        } else {
            usize::from(often)
        };
        let seeds = self.parameters.seeds.len().min(max);
        let from = self.chance.usize(..self.parameters.seeds.len().max(1));
        for nth in 0..seeds {
            let seed = self.parameters.seeds[(from + nth) % self.parameters.seeds.len()];
            if seed != self.me.address {
                self.send_to(seed, Incarnation(0), Message::Join, Vec::new(), out);
            }
        }
        if let Some(index) = self.table.some_dead(&mut self.chance) {
            let nonce = self.chance.u32(..);
            self.send(index, Message::Ping { nonce }, out);
        }
    }

    /// Sends a page of the table, in answer to a join request or for a fetch. A join request alone makes no
    /// member, as it may be replayed: the sender is one once it addresses this incarnation.
    pub(crate) fn send_page(
        &mut self,
        to: &MemberUpdate,
        after: Option<&crate::Name>,
        out: &mut Vec<Action>,
    ) {
        let (mut updates, mut bytes, mut next) = (Vec::new(), 0, None);
        for record in self.table.after(after) {
            if bytes > UPDATE_BYTES || updates.len() >= MAX_UPDATES_READ {
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
            out,
        );
    }

    /// Puts a present member into the view, unless it is held back.
    pub(crate) fn admit(&mut self, now: TenthMillis, index: MemberIndex, out: &mut Vec<Action>) {
        let Some(record) = self
            .table
            .get_mut(index)
            .filter(|record| record.update.state.is_present())
        else {
            return;
        };
        if record.held_until.is_some_and(|till| till > now) {
            return;
        }
        record.held_until = None;
        let update = &record.update;
        let (name, incarnation, back) =
            (update.name.clone(), update.incarnation, record.returns > 0);
        let member = update.member();
        self.change_view(now, |view| view.put(&name, member));
        out.push(Action::Report(Change::Alive {
            name,
            incarnation,
            back,
        }));
    }

    /// Counts a return from being dead, and holds the member back if it returns repeatedly. The first return
    /// is free, as after a restart or a broken link.
    pub(crate) fn note_return(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        out: &mut Vec<Action>,
    ) {
        let (first, max) = (self.parameters.hold_first, self.parameters.hold_max);
        let Some(record) = self.table.get_mut(index) else {
            return;
        };
        if record.returned_at + 2 * max < now {
            record.returns = 0;
        }
        record.returns = record.returns.saturating_add(1);
        record.returned_at = now;
        if record.returns < 2 {
            return;
        }
        let wait = max.min(first << (record.returns - 2).min(20));
        record.held_until = Some(now + wait);
        let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
        self.arm(now + wait, Timer::Admit(index));
        self.change_view(now, |view| view.remove(&name));
        out.push(Action::Report(Change::HeldBack {
            name,
            incarnation,
            wait,
        }));
    }

    /// Announces that this node leaves, at once and in further rounds.
    pub(crate) fn on_leave(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        if self.stage == Stage::Leaving {
            return;
        }
        self.stage = Stage::Leaving;
        self.me.state = MemberState::Left;
        let name = self.me.name.clone();
        self.change_view(now, |view| view.remove(&name));
        self.retransmissions = RETRANSMISSIONS;
        self.send_updates(now, out);
    }

    /// Handles an update on this node's own name; `direct` if a process of that name sent it.
    pub(crate) fn on_own_name(
        &mut self,
        now: TenthMillis,
        update: &MemberUpdate,
        direct: bool,
        out: &mut Vec<Action>,
    ) {
        if update.incarnation == self.me.incarnation {
            let suspected =
                update.state != MemberState::Alive && update.version >= self.me.version && !direct;
            if suspected && update.state == MemberState::Left && self.stage != Stage::Leaving {
                // Final for that incarnation, which this one therefore can't be.
                self.start_incarnation(now, update.incarnation, out);
            } else if suspected && self.stage != Stage::Leaving {
                self.me.version = update.version + 1;
                self.retransmissions = RETRANSMISSIONS;
                self.arm_updates(now);
            }
        } else if update.incarnation < self.me.incarnation {
            if direct {
                // It learns of this incarnation by the head, and steps aside.
                self.send_to(
                    update.address,
                    update.incarnation,
                    Message::Updates,
                    Vec::new(),
                    out,
                );
                if self.duplicate != update.incarnation {
                    self.duplicate = update.incarnation;
                    out.push(Action::Report(Change::DuplicateName {
                        incarnation: update.incarnation,
                        address: update.address,
                    }));
                }
            }
        } else if self.stage == Stage::Joining
            || !update.state.is_present()
            || update.address == self.me.address
        {
            // That incarnation is over, as only this process is where it was, or this one joins after it.
            self.start_incarnation(now, update.incarnation, out);
        } else {
            self.stage = Stage::Superseded;
            out.push(Action::Report(Change::Superseded {
                by: update.incarnation,
                address: update.address,
            }));
        }
    }

    /// Continues under an incarnation later than `than`.
    fn start_incarnation(&mut self, now: TenthMillis, than: Incarnation, out: &mut Vec<Action>) {
        self.me.incarnation = Incarnation(than.0.saturating_add(1 + self.chance.u64(..256)));
        self.me.version = 0;
        let (name, update) = (self.me.name.clone(), &self.me);
        let member = update.member();
        self.change_view(now, |view| view.put(&name, member));
        self.retransmissions = RETRANSMISSIONS;
        self.arm_updates(now);
        out.push(Action::Report(Change::NewIncarnation {
            incarnation: self.me.incarnation,
        }));
    }
}
