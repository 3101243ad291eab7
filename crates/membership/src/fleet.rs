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

/// Number of gossip rounds in which a node announces a change of its own state.
pub(crate) const ANNOUNCEMENT_ROUNDS: u32 = 6;

/// The lifecycle stage of this node's own membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No member has answered this incarnation yet.
    Joining,
    /// Part of the fleet, or its first node.
    Member,
    /// The node announces that it leaves.
    Leaving,
    /// Another process with the same name joined later.
    Superseded,
}

/// A timer. Timers are never cancelled: the reason for one may be obsolete when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Begin the next period and probe the next member.
    ProbePeriod,
    /// If the probe with this nonce has no direct answer yet, ask indirect probers.
    AckTimeout(u32),
    /// If the probe with this nonce has no answer, suspect the member.
    ProbeTimeout(u32),
    /// The suspicion of this member that began at this time may end.
    SuspicionTimeout(MemberIndex, TenthMillis),
    /// Probe this member, whose suspicion that began at this time is about to end.
    FinalProbe(MemberIndex, TenthMillis),
    /// Add a member that was held back to the view.
    HoldBackEnd(MemberIndex),
    /// Send a round of queued updates.
    GossipRound,
    /// Send join requests.
    JoinRequest,
    /// Forget a member, if it is not present and its record still has this revision.
    Forget(MemberIndex, u32),
}

/// A fetch of another member's table, page by page.
#[derive(Clone, Debug)]
pub(crate) struct TableFetch {
    pub from: Name,
    /// When the fetch times out, in tenths of a millisecond.
    pub until: TenthMillis,
}

/// The membership state machine of one node. The crate documentation describes its use.
pub struct Fleet {
    /// What this node announces about itself.
    pub(crate) me: MemberUpdate,
    /// Identifies this node among those that suspect a member.
    pub(crate) suspecter_id: u32,
    pub(crate) stage: Stage,
    pub(crate) parameters: Parameters,
    pub(crate) table: Table,
    pub(crate) view: View,
    /// When the view last changed.
    pub(crate) view_changed_at: TenthMillis,
    pub(crate) gossip: Gossip,
    pub(crate) probes: Probes,
    pub(crate) rng: fastrand::Rng,
    timers: BinaryHeap<Reverse<(TenthMillis, Timer)>>,
    /// The sequence number of the last datagram sent.
    pub(crate) sequence: u64,
    /// Gossip rounds left in which this node announces a change of its own state.
    pub(crate) announcement_rounds_left: u32,
    /// Whether [`Timer::GossipRound`] is set.
    pub(crate) gossip_scheduled: bool,
    /// Whether an answer arrived since the last period began.
    pub(crate) answered_this_period: bool,
    /// Number of consecutive periods without any answer.
    pub(crate) silent_periods: u32,
    pub(crate) isolated: bool,
    /// Whether the process resumed after a pause and has received no answer since.
    pub(crate) resumed: bool,
    /// When the first answer after a pause or isolation arrived. Earlier time does not count
    /// towards the duration of suspicions.
    pub(crate) reconnected_at: TenthMillis,
    /// Number of rounds of join requests sent.
    pub(crate) join_rounds: u32,
    pub(crate) fetch: Option<TableFetch>,
    /// When the last table fetch began.
    pub(crate) fetch_started_at: TenthMillis,
    /// The earlier incarnation of this node's name that was last reported as a duplicate.
    pub(crate) reported_duplicate: Incarnation,
    /// See [`Fleet::refused`].
    pub(crate) refused: u64,
}

impl Fleet {
    /// Creates the membership of a node that has just started. `me.state` and `me.version` are
    /// overwritten; `now` is in tenths of a ms from any origin.
    pub fn new(me: MemberUpdate, parameters: Parameters, seed: u64, now: TenthMillis) -> Fleet {
        let me = MemberUpdate {
            version: 0,
            state: MemberState::Alive,
            ..me
        };
        let mut view = View::default();
        view.put(&me.name, me.member());
        let mut rng = fastrand::Rng::with_seed(seed ^ me.incarnation.0);
        let is_alone = parameters.seeds.iter().all(|seed| *seed == me.address);
        let mut fleet = Fleet {
            suspecter_id: rng.u32(1..),
            stage: if is_alone {
                Stage::Member
            } else {
                Stage::Joining
            },
            me,
            parameters,
            table: Table::default(),
            view,
            view_changed_at: now,
            gossip: Gossip::default(),
            probes: Probes::default(),
            rng,
            timers: BinaryHeap::new(),
            sequence: 0,
            announcement_rounds_left: 0,
            gossip_scheduled: false,
            answered_this_period: false,
            silent_periods: 0,
            isolated: false,
            resumed: false,
            reconnected_at: 0,
            join_rounds: 0,
            fetch: None,
            fetch_started_at: 0,
            reported_duplicate: Incarnation(0),
            refused: 0,
        };
        fleet.set_initial_timers(now);
        fleet
    }

    fn set_initial_timers(&mut self, now: TenthMillis) {
        // The random offset keeps nodes that start at the same instant from probing in lockstep.
        let offset = self.rng.u64(0..self.parameters.probe_period);
        self.set_timer(now + offset, Timer::ProbePeriod);
        self.set_timer(now, Timer::JoinRequest);
    }

    /// When the next [`Event::Tick`] is due; [`TenthMillis::MAX`] for never.
    pub fn next_due(&self) -> TenthMillis {
        if self.stage == Stage::Superseded {
            return TenthMillis::MAX;
        }
        self.timers
            .peek()
            .map_or(TenthMillis::MAX, |Reverse((at, _))| *at)
    }

    /// Handles one event at the time `now`, which must not go back, and appends the resulting
    /// actions to `actions`.
    pub fn handle(&mut self, now: TenthMillis, event: Event, actions: &mut Vec<Action>) {
        if self.stage == Stage::Superseded {
            return;
        }
        let late = now.saturating_sub(self.next_due());
        if late > self.parameters.max_lateness && !self.resumed {
            // Answers may be unread or were lost during the pause, so that pending probes prove
            // nothing.
            self.resumed = true;
            self.probes.drop_pending();
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

    /// The present members, as this node sees them.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The update that this node announces about itself.
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Returns true if no member answers this node.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns true if a later process with the same name has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.stage == Stage::Superseded
    }

    /// Returns true if missing answers may be due to this node itself, so that it suspects nobody.
    pub(crate) fn is_suspicion_paused(&self) -> bool {
        self.isolated || self.resumed
    }

    pub(crate) fn set_timer(&mut self, at: TenthMillis, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }

    pub(crate) fn pop_expired_timer(&mut self, now: TenthMillis) -> Option<Timer> {
        let Reverse((at, timer)) = self.timers.peek().copied()?;
        if at > now {
            return None;
        }
        self.timers.pop();
        Some(timer)
    }

    /// Schedules a gossip round, if none is scheduled.
    pub(crate) fn schedule_gossip(&mut self, now: TenthMillis) {
        if !self.gossip_scheduled {
            self.gossip_scheduled = true;
            // Jitter keeps nodes that received the same update from forwarding it at the same
            // instant.
            let wait = self.rng.u64(0..self.parameters.gossip_interval.max(1));
            self.set_timer(now + wait, Timer::GossipRound);
        }
    }
}
