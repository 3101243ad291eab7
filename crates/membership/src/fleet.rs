//! The state of one node's membership, its interface, and how datagrams are sent.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use crate::gossip::Gossip;
use crate::probes::Probes;
use crate::table::{MemberIndex, Table};
use crate::{
    Action, Change, Datagram, Event, Head, Incarnation, MemberState, MemberUpdate, Message, Name,
    Parameters, UPDATE_BYTES, View,
};
use doortrack_time::TenthMillis;

/// Rounds of updates in which a node announces a change of itself.
pub(crate) const RETRANSMISSIONS: u32 = 6;

/// The stage of the node's own membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No member has answered this incarnation yet.
    Joining,
    /// In the fleet, or the first of one.
    Member,
    /// It announces that it leaves.
    Leaving,
    /// Another process of the same name joined later.
    Superseded,
}

/// What is to be done at a time. A timer is never cancelled: what it was set for may be over when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The next period begins: probe the next member.
    Period,
    /// If the probe of this nonce has no direct answer yet, ask indirect probers.
    AckTimeout(u32),
    /// If the probe of this nonce has no answer at all, suspect the member.
    ProbeTimeout(u32),
    /// The suspicion of this member that began then may end.
    Suspicion(MemberIndex, TenthMillis),
    /// Probe a member whose suspicion, begun then, is about to end.
    FinalProbe(MemberIndex, TenthMillis),
    /// A member that was held back may enter the view.
    Admit(MemberIndex),
    /// Send a round of pending updates.
    PendingUpdates,
    /// Send join requests.
    JoinRequest,
    /// Forget a member, if it is not present and its record still has this revision.
    Forget(MemberIndex, u32),
}

/// The table of another member, which is being fetched page by page.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub from: Name,
    /// When the fetch is given up, in tenths of a ms.
    pub till: TenthMillis,
}

/// One node's membership. The crate's documentation says how to drive it.
pub struct Fleet {
    /// What this node announces about itself.
    pub(crate) me: MemberUpdate,
    /// Distinguishes this node among those that suspect a member.
    pub(crate) mark: u32,
    pub(crate) stage: Stage,
    pub(crate) parameters: Parameters,
    pub(crate) table: Table,
    pub(crate) view: View,
    /// When the view last changed.
    pub(crate) view_since: TenthMillis,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    pub(crate) chance: fastrand::Rng,
    timers: BinaryHeap<Reverse<(TenthMillis, Timer)>>,
    /// The number of the last datagram sent.
    pub(crate) nth: u64,
    /// Rounds left in which this node announces a change of itself.
    pub(crate) retransmissions: u32,
    /// Whether [`Timer::PendingUpdates`] is set.
    pub(crate) updates_armed: bool,
    /// Whether anybody answered since the last period began, and for how many periods nobody has.
    pub(crate) answered: bool,
    pub(crate) silent: u32,
    pub(crate) isolated: bool,
    /// The process resumed after a pause and has had no answer since.
    pub(crate) resumed: bool,
    /// When the first answer came after a pause or isolation: suspicions count from here at the earliest.
    pub(crate) resumed_at: TenthMillis,
    /// Rounds of join requests sent.
    pub(crate) join_requests: u32,
    pub(crate) fetch: Option<Fetch>,
    /// When the last fetch began.
    pub(crate) fetched_at: TenthMillis,
    /// The earlier incarnation of this node's name that was last reported as a duplicate.
    pub(crate) duplicate: Incarnation,
    /// Datagrams refused; see [`Fleet::refused`].
    pub(crate) refused: u64,
}

impl Fleet {
    /// The membership of a node that has just started. `me.state` and `me.version` are set here; `now` is in
    /// tenths of a ms from any zero.
    pub fn new(me: MemberUpdate, parameters: Parameters, seed: u64, now: TenthMillis) -> Fleet {
        let me = MemberUpdate {
            version: 0,
            state: MemberState::Alive,
            ..me
        };
        let mut view = View::default();
        view.put(&me.name, me.member());
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

    /// When [`Event::Tick`] is due at the latest; [`TenthMillis::MAX`] for never.
    pub fn next_due(&self) -> TenthMillis {
        if self.stage == Stage::Superseded {
            return TenthMillis::MAX;
        }
        self.timers
            .peek()
            .map_or(TenthMillis::MAX, |Reverse((at, _))| *at)
    }

    /// Handles one event at the time `now`, which must not go back. Actions are added to `out`, in order.
    pub fn handle(&mut self, now: TenthMillis, event: Event, out: &mut Vec<Action>) {
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
            Event::Received { from, datagram } => self.on_datagram(now, from, datagram, out),
            Event::Leave => self.on_leave(now, out),
            Event::Changed { parameters } => {
                self.parameters = *parameters;
            }
        }
    }

    /// The members on which decisions may rest.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The node itself, as it announces itself to others.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Whether no member answers this node.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Whether a later process of the same name has taken this node's part.
    pub fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
    }

    /// Whether missing answers are this node's own fault as far as it knows.
    pub(crate) fn suspects_nobody(&self) -> bool {
        self.isolated || self.resumed
    }

    pub(crate) fn arm(&mut self, at: TenthMillis, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub(crate) fn due(&mut self, now: TenthMillis) -> Option<Timer> {
        let Reverse((at, timer)) = self.timers.peek().copied()?;
        if at > now {
            return None;
        }
        self.timers.pop();
        Some(timer)
    }

    /// Sees to it that pending updates are sent soon.
    pub(crate) fn arm_updates(&mut self, now: TenthMillis) {
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
        Head {
            sender: self.me.clone(),
            to,
            nth: self.nth,
            digest: self.view.digest,
            view: self.view.number,
        }
    }

    /// Sends to a member, with pending updates; if it is not known as alive, that comes first, so that it can
    /// refute it.
    pub(crate) fn send(&mut self, index: MemberIndex, message: Message, out: &mut Vec<Action>) {
        let Some(record) = self.table.get(index) else {
            return;
        };
        let (to, incarnation) = (record.update.address, record.update.incarnation);
        let mut indices = Vec::new();
        let mut updates = Vec::new();
        let mut room = UPDATE_BYTES;
        if record.update.state != MemberState::Alive {
            room = room.saturating_sub(record.update.max_bytes());
            updates.push(record.update.clone());
        }
        let (table, members) = (&self.table, self.view.members.len());
        let bytes = |index: MemberIndex, revision: u32| {
            let record = table
                .get(index)
                .filter(|record| record.revision == revision)?;
            Some(record.update.max_bytes())
        };
        self.gossip
            .next_updates((room, updates.len()), members, bytes, &mut indices);
        updates.extend(
            indices
                .iter()
                .filter_map(|index| self.table.get(*index))
                .map(|record| record.update.clone()),
        );
        let datagram = Box::new(Datagram {
            head: self.head(incarnation),
            message,
            updates,
        });
        out.push(Action::Send { to, datagram });
    }

    /// Sends to a node that is not in the table, or in it under another incarnation.
    pub(crate) fn send_to(
        &mut self,
        to: SocketAddr,
        incarnation: Incarnation,
        message: Message,
        updates: Vec<MemberUpdate>,
        out: &mut Vec<Action>,
    ) {
        let datagram = Box::new(Datagram {
            head: self.head(incarnation),
            message,
            updates,
        });
        out.push(Action::Send { to, datagram });
    }
}
