//! The state of one node's membership, and its interface.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::gossip::Gossip;
use crate::probes::Probes;
use crate::table::{MemberIndex, Table};
use crate::{
    Action, Change, Event, Incarnation, MemberState, MemberUpdate, Name, Parameters, View,
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

/// What is due at a time. A timer is never cancelled: what it was set for may be over when it
/// fires.
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
    /// When the fetch is given up, in tenths of a millisecond.
    pub until: TenthMillis,
}

/// One node's membership. The crate's documentation says how to drive it.
pub struct Fleet {
    /// What this node announces about itself.
    pub(crate) me: MemberUpdate,
    /// Distinguishes this node among those that suspect a member.
    pub(crate) suspicion_mark: u32,
    pub(crate) stage: Stage,
    pub(crate) parameters: Parameters,
    pub(crate) table: Table,
    pub(crate) view: View,
    /// When the view last changed.
    pub(crate) view_since: TenthMillis,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    pub(crate) rng: fastrand::Rng,
    timers: BinaryHeap<Reverse<(TenthMillis, Timer)>>,
    /// The number of the last datagram sent.
    pub(crate) sequence: u64,
    /// Rounds left in which this node announces a change of itself.
    pub(crate) retransmissions: u32,
    /// Whether [`Timer::PendingUpdates`] is set.
    pub(crate) updates_scheduled: bool,
    /// Whether anybody answered since the last period began.
    pub(crate) answered: bool,
    /// Periods without any answer since the last one.
    pub(crate) silent_periods: u32,
    pub(crate) isolated: bool,
    /// The process resumed after a pause and has had no answer since.
    pub(crate) resumed: bool,
    /// When the first answer came after a pause or isolation: suspicions count from here at the
    /// earliest.
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
    /// The membership of a node that has just started. `me.state` and `me.version` are set here;
    /// `now` is in tenths of a ms from any zero.
    pub fn new(me: MemberUpdate, parameters: Parameters, seed: u64, now: TenthMillis) -> Fleet {
        let me = MemberUpdate {
            version: 0,
            state: MemberState::Alive,
            ..me
        };
        let mut view = View::default();
        view.put(&me.name, me.member());
        let mut rng = fastrand::Rng::with_seed(seed ^ me.incarnation.0);
        let alone = parameters.seeds.iter().all(|seed| *seed == me.address);
        let mut fleet = Fleet {
            suspicion_mark: rng.u32(1..),
            stage: if alone { Stage::Member } else { Stage::Joining },
            me,
            parameters,
            table: Table::default(),
            view,
            view_since: now,
            gossip: Gossip::default(),
            probes: Probes::default(),
            rng,
            timers: BinaryHeap::new(),
            sequence: 0,
            retransmissions: 0,
            updates_scheduled: false,
            answered: false,
            silent_periods: 0,
            isolated: false,
            resumed: false,
            resumed_at: 0,
            join_requests: 0,
            fetch: None,
            fetched_at: 0,
            duplicate: Incarnation(0),
            refused: 0,
        };
        fleet.set_first_timers(now);
        fleet
    }

    fn set_first_timers(&mut self, now: TenthMillis) {
        // Nodes that start at the same instant must not probe at the same instants ever after.
        let offset = self.rng.u64(0..self.parameters.probe_period);
        self.set_timer(now + offset, Timer::Period);
        self.set_timer(now, Timer::JoinRequest);
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

    /// Handles one event at the time `now`, which must not go back. Actions are added to `actions`,
    /// in order.
    pub fn handle(&mut self, now: TenthMillis, event: Event, actions: &mut Vec<Action>) {
        if self.stage == Stage::Superseded {
            return;
        }
        let late = now.saturating_sub(self.next_due());
        if late > self.parameters.max_lateness && !self.resumed {
            // Answers may be unread, or were lost while nobody read: pending probes prove nothing.
            self.resumed = true;
            self.probes.drop_all();
            actions.push(Action::Report(Change::Resumed { late }));
        }
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::Received { from, datagram } => self.on_datagram(now, from, datagram, actions),
            Event::Leave => self.on_leave(now, actions),
            Event::ParametersChanged { parameters } => {
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

    /// Whether a later process of the same name has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
    }

    /// Whether missing answers may be due to this node itself.
    pub(crate) fn suspects_nobody(&self) -> bool {
        self.isolated || self.resumed
    }

    pub(crate) fn set_timer(&mut self, at: TenthMillis, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub(crate) fn next_expired(&mut self, now: TenthMillis) -> Option<Timer> {
        let Reverse((at, timer)) = self.timers.peek().copied()?;
        if at > now {
            return None;
        }
        self.timers.pop();
        Some(timer)
    }

    /// Schedules a round of pending updates, if none is scheduled.
    pub(crate) fn schedule_updates(&mut self, now: TenthMillis) {
        if !self.updates_scheduled {
            self.updates_scheduled = true;
            // Jitter keeps nodes that received the same update from sending it on at the same
            // instant.
            let wait = self.rng.u64(0..self.parameters.gossip_interval.max(1));
            self.set_timer(now + wait, Timer::PendingUpdates);
        }
    }
}
