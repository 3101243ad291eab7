//! The whole of what a node knows of its fleet, and how it is told and asked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use doortrack::Tenths;

use crate::gossip::Gossip;
use crate::probes::Probes;
use crate::suspicion::Suspicion;
use crate::table::{MemberIndex, Table};
use crate::{
    Action, Change, Datagram, Event, Head, Incarnation, MAX_UPDATES, Member, MemberState, MemberUpdate,
    Message, Name,
};
use crate::{Parameters, View};

/// Rounds in which a node tells of itself after something about it changed.
pub(crate) const RETRANSMISSIONS: u32 = 6;

/// Where the node itself stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nobody has spoken to this incarnation yet.
    Joining,
    Member,
    Leaving,
    /// Another process of the same name joined later.
    Superseded,
}

/// What is to be done at a time. What it was set for may be over by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Period,
    /// No direct answer yet: ask indirect probers.
    Wait(u32),
    /// No answer at all.
    Over(u32),
    /// A suspicion of this member that began then.
    Suspicion(MemberIndex, Tenths),
    /// A last look at one that is about to be declared dead.
    Look(MemberIndex, Tenths),
    Admit(MemberIndex),
    PendingUpdates,
    JoinRequest,
    /// A dead member with the update of this revision.
    Forget(MemberIndex, u32),
}

/// A table that is being fetched from another, page by page.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub of: Name,
    pub till: Tenths,
}

/// One node's membership. See the crate's page for how to drive it.
pub struct Fleet {
    pub(crate) me: MemberUpdate,
    /// Tells this node from others that suspect.
    pub(crate) mark: u32,
    pub(crate) stage: Stage,
    pub(crate) parameters: Parameters,
    pub(crate) table: Table,
    pub(crate) view: View,
    pub(crate) view_since: Tenths,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    pub(crate) chance: fastrand::Rng,
    timers: BinaryHeap<Reverse<(Tenths, Timer)>>,
    pub(crate) nth: u64,
    /// Rounds in which to tell of itself.
    pub(crate) retransmissions: u32,
    pub(crate) updates_armed: bool,
    /// Whether anybody answered since the last period, and for how many periods nobody has.
    pub(crate) answered: bool,
    pub(crate) silent: u32,
    pub(crate) isolated: bool,
    /// Resumed after a pause of the process, and has heard no answer since.
    pub(crate) resumed: bool,
    /// Suspicions count from here at the earliest.
    pub(crate) resumed_at: Tenths,
    pub(crate) join_requests: u32,
    pub(crate) fetch: Option<Fetch>,
    pub(crate) fetched_at: Tenths,
    pub(crate) duplicate: Incarnation,
    /// Datagrams that were well formed and still made no sense or came twice.
    pub(crate) refused: u64,
}

impl Fleet {
    /// A node that has just started. `me.state` and `me.version` are set here.
    pub fn new(me: MemberUpdate, parameters: Parameters, seed: u64, now: Tenths) -> Fleet {
        let me = MemberUpdate { version: 0, state: MemberState::Alive, ..me };
        let mut view = View::default();
        view.put(&me.name, Member { incarnation: me.incarnation, address: me.address, weight: me.weight });
        let mut chance = fastrand::Rng::with_seed(seed ^ me.incarnation.0);
        let alone = parameters.seeds.iter().all(|seed| *seed == me.address);
        let mut fleet = Fleet {
            mark: chance.u32(1..),
            stage: if alone { Stage::Member } else { Stage::Joining },
            me,
            parameters,
            table: Table::default(),
            view,
            view_since: now,
            gossip: Gossip::default(),
            probes: Probes::default(),
            chance,
            timers: BinaryHeap::new(),
            nth: 0,
            retransmissions: 0,
            updates_armed: false,
            answered: false,
            silent: 0,
            isolated: false,
            resumed: false,
            resumed_at: 0,
            join_requests: 0,
            fetch: None,
            fetched_at: 0,
            duplicate: Incarnation(0),
            refused: 0,
        };
        // Nodes that start at one instant must not probe at one instant ever after.
        let offset = fleet.chance.u64(0..fleet.parameters.period);
        fleet.arm(now + offset, Timer::Period);
        fleet.arm(now, Timer::JoinRequest);
        fleet
    }

    /// When [`Event::Tick`] is due at the latest; [`Tenths::MAX`] where nothing is.
    pub fn next_due(&self) -> Tenths {
        if self.stage == Stage::Superseded {
            return Tenths::MAX;
        }
        self.timers.peek().map_or(Tenths::MAX, |Reverse((at, _))| *at)
    }

    /// Tells what happened; `now` never goes back. What is to be done is added to `out`, in order.
    pub fn handle(&mut self, now: Tenths, event: Event, out: &mut Vec<Action>) {
        if self.stage == Stage::Superseded {
            return;
        }
        let late = now.saturating_sub(self.next_due());
        if late > self.parameters.max_lateness && !self.resumed {
            // Answers may lie unread, or were lost while nobody read: what was begun says nothing.
            self.resumed = true;
            self.probes.drop_all();
            out.push(Action::Report(Change::Resumed { late }));
        }
        match event {
            Event::Tick => self.on_tick(now, out),
            Event::Received { from, datagram } => self.received(now, from, datagram, out),
            Event::Leave => self.leave(now, out),
            Event::Changed { parameters } => {
                self.parameters = *parameters;
            }
        }
    }

    pub fn view(&self) -> &View {
        &self.view
    }

    /// The node itself, as it tells others.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Whether nobody answers this node.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    pub fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
    }

    pub(crate) fn suspects_nobody(&self) -> bool {
        self.isolated || self.resumed
    }

    pub(crate) fn arm(&mut self, at: Tenths, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub(crate) fn due(&mut self, now: Tenths) -> Option<Timer> {
        let Reverse((at, timer)) = self.timers.peek().copied()?;
        if at > now {
            return None;
        }
        self.timers.pop();
        Some(timer)
    }

    /// Pending updates go out soon, if it does not already.
    pub(crate) fn arm_updates(&mut self, now: Tenths) {
        if !self.updates_armed {
            self.updates_armed = true;
            // A little chance keeps those that heard the same thing from passing it on in one instant.
            let wait = self.chance.u64(0..self.parameters.gossip_interval.max(1));
            self.arm(now + wait, Timer::PendingUpdates);
        }
    }

    // --- Sending ---

    fn head(&mut self, to: Incarnation) -> Head {
        self.nth += 1;
        Head { sender: self.me.clone(), to, nth: self.nth, digest: self.view.digest, view: self.view.number }
    }

    /// Sends to a member, with what is thought of it if that is not the best, and pending updates.
    pub(crate) fn send(&mut self, index: MemberIndex, message: Message, out: &mut Vec<Action>) {
        let Some(record) = self.table.get(index) else { return };
        let (to, incarnation) = (record.update.address, record.update.incarnation);
        let mut indices = Vec::new();
        let mut updates = Vec::new();
        if record.update.state != MemberState::Alive {
            updates.push(record.update.clone());
        }
        let (table, members) = (&self.table, self.view.members.len());
        let current =
            |index: MemberIndex, revision: u32| table.get(index).is_some_and(|of| of.revision == revision);
        self.gossip.next_updates(MAX_UPDATES - updates.len(), members, current, &mut indices);
        updates.extend(indices.iter().filter_map(|index| self.table.get(*index)).map(|of| of.update.clone()));
        let datagram = Box::new(Datagram { head: self.head(incarnation), message, updates });
        out.push(Action::Send { to, datagram });
    }

    /// Sends to who is not, or not in this incarnation, in the table.
    pub(crate) fn send_to(
        &mut self,
        to: SocketAddr,
        incarnation: Incarnation,
        message: Message,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Action>,
    ) {
        let datagram = Box::new(Datagram { head: self.head(incarnation), message, updates });
        out.push(Action::Send { to, datagram });
    }

    // --- What is thought of members ---

    /// Takes up a word on a member that holds against what was known, with all that follows.
    pub(crate) fn take_up(
        &mut self,
        now: Tenths,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) -> Option<MemberIndex> {
        let Some(index) = self.table.index_of(&update.name) else { return self.newcomer(now, update, out) };
        let record = self.table.get_mut(index)?;
        let old = record.update.clone();
        let reborn = update.incarnation != old.incarnation;
        if reborn {
            (record.received, record.answers_in, record.slow) = (Default::default(), 0, false);
        }
        let was_there = old.state.is_there() && !reborn;
        if !matches!(update.state, MemberState::Suspected { .. }) || reborn || update.version != old.version {
            record.suspicion = None;
        }
        // Who left on its own word comes back as often as it likes.
        let returns =
            update.state.is_there() && old.state != MemberState::Left && (reborn || !old.state.is_there());
        self.table.set(index, update.clone(), now);
        if returns {
            self.came_back(now, index, out);
        }
        self.queue_update(now, index);
        self.told(now, index, &update, was_there.then_some(old.state), out);
        Some(index)
    }

    /// The update of a member is queued for the others.
    pub(crate) fn queue_update(&mut self, now: Tenths, index: MemberIndex) {
        if let Some(record) = self.table.get(index) {
            self.gossip.add(index, record.revision);
            self.arm_updates(now);
        }
    }

    fn newcomer(&mut self, now: Tenths, update: MemberUpdate, out: &mut Vec<Action>) -> Option<MemberIndex> {
        if self.table.len() >= self.parameters.max_members {
            out.push(Action::Report(Change::NoRoom { name: update.name }));
            return None;
        }
        let index = self.table.insert(update.clone(), now);
        self.queue_update(now, index);
        self.told(now, index, &update, None, out);
        Some(index)
    }

    /// What a new word means for the view and the log. `was` is how the same incarnation stood, if it was
    /// there.
    fn told(
        &mut self,
        now: Tenths,
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
                    self.arm(now + self.parameters.forget_after, Timer::Forget(index, revision));
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

    fn suspected(&mut self, now: Tenths, index: MemberIndex, by: u32, out: &mut Vec<Action>) {
        let members = self.view.members.len();
        let Some(record) = self.table.get_mut(index) else { return };
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

    /// Somebody else's suspicion about a member that is suspected already; whether it counts.
    pub(crate) fn confirm_suspicion(&mut self, now: Tenths, index: MemberIndex, by: u32) -> bool {
        let Some(record) = self.table.get_mut(index) else { return false };
        let mut update = record.update.clone();
        let Some(suspicion) = record.suspicion.as_mut().filter(|suspicion| !suspicion.is_confirmed_by(by))
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

    /// Sets the end of a suspicion, and two last looks before it: a word that cleared it may have passed this
    /// node by, as updates reach all but one in some thousands.
    pub(crate) fn arm_suspicion(&mut self, now: Tenths, index: MemberIndex) {
        let (members, resumed_at) = (self.view.members.len(), self.resumed_at);
        let Some(suspicion) = self.table.get(index).and_then(|record| record.suspicion) else { return };
        let ends = suspicion.ends(&self.parameters, members, resumed_at).max(now);
        self.arm(ends, Timer::Suspicion(index, suspicion.since));
        let wait = self.parameters.answer_within * 3 / 2;
        for before in [2 * wait, wait] {
            self.arm(ends.saturating_sub(before).max(now), Timer::Look(index, suspicion.since));
        }
    }

    pub(crate) fn change_view(&mut self, now: Tenths, change: impl FnOnce(&mut View)) {
        let before = self.view.number;
        change(&mut self.view);
        if self.view.number != before {
            self.view_since = now;
        }
    }
}
