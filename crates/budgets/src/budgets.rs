//! The state of one node's budgets, and how it handles events.

use std::collections::{BTreeMap, VecDeque};

use doortrack_membership::{Incarnation, Name, View};
use doortrack_time::TenthMillis;

use crate::allocation::Allocation;
use crate::leadership::Leadership;
use crate::ledger::Ledger;
use crate::voter::Voter;
use crate::{Action, Budget, BudgetId, Change, Envelope, Event, NodeId, Parameters};

/// Rounds without an answer after which the leader is given up and the voters are asked for
/// another.
const MAX_UNANSWERED_ROUNDS: u32 = 3;

/// One node's budgets. The crate's documentation says how to drive them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budgets {
    pub(crate) me: NodeId,
    pub(crate) weight: u32,
    pub(crate) parameters: Parameters,
    pub(crate) allocations: Vec<Allocation>,
    /// The index of each budget in `allocations`.
    pub(crate) indices: BTreeMap<BudgetId, usize>,
    /// Present if this node is one of the voters.
    pub(crate) voter: Option<Voter>,
    pub(crate) leadership: Leadership,
    /// What was granted in this term as the leader.
    pub(crate) ledger: Ledger,
    /// The voters that are present.
    pub(crate) voters: BTreeMap<Name, Incarnation>,
    pub(crate) leader: Option<NodeId>,
    /// Answers to reports before this one are those of an earlier leader.
    pub(crate) following_since: u64,
    /// The number of the last report sent.
    pub(crate) seq: u64,
    /// Reports, and when each was sent.
    pub(crate) sent: VecDeque<(u64, TenthMillis)>,
    report_at: TenthMillis,
    pub(crate) unanswered_rounds: u32,
    /// The voter that was last asked for the leader, as an index that wraps around.
    pub(crate) last_voter_asked: usize,
    pub(crate) ballot: u64,
    rng_state: u64,
    pub(crate) leaving: bool,
    superseded: bool,
    /// Messages to this node itself; empty between events.
    pub(crate) local: VecDeque<Envelope>,
}

fn indices(list: &[Budget]) -> BTreeMap<BudgetId, usize> {
    list.iter()
        .enumerate()
        .map(|(index, budget)| (budget.id(), index))
        .collect()
}

impl Budgets {
    /// The budgets of a node that has just started. `weight` is its capacity, in a unit that all
    /// nodes share; `list` has at most [`crate::MAX_BUDGETS`], each with an id of its own; `now` is
    /// in tenths of a millisecond.
    pub fn new(
        me: NodeId,
        weight: u32,
        parameters: Parameters,
        list: &[Budget],
        seed: u64,
        now: TenthMillis,
    ) -> Budgets {
        let allocations = list
            .iter()
            .map(|budget| Allocation::new(budget.clone(), &me.name, now, &parameters))
            .collect();
        let voter = parameters
            .voters
            .contains(&me.name)
            .then(|| Voter::new(now, &parameters));
        let mut budgets = Budgets {
            voter,
            indices: indices(list),
            allocations,
            weight: weight.max(1),
            leadership: Leadership::Follower {
                try_at: TenthMillis::MAX,
            },
            ledger: Ledger::default(),
            voters: BTreeMap::new(),
            leader: None,
            following_since: 0,
            seq: 0,
            sent: VecDeque::new(),
            report_at: now,
            unanswered_rounds: 0,
            last_voter_asked: 0,
            ballot: 0,
            rng_state: seed ^ me.incarnation.0,
            leaving: false,
            superseded: false,
            local: VecDeque::new(),
            me,
            parameters,
        };
        budgets.set_first_deadlines(now);
        budgets
    }

    /// Nodes that start at the same instant must neither request votes at the same instant nor
    /// report at the same instants ever after.
    fn set_first_deadlines(&mut self, now: TenthMillis) {
        let jitter = self.random(self.parameters.report_interval);
        if let Some(voter) = &self.voter {
            let try_at = voter.free_at() + jitter;
            self.leadership = Leadership::Follower { try_at };
            let (name, incarnation) = (self.me.name.clone(), self.me.incarnation);
            self.voters.insert(name, incarnation);
        }
        self.report_at = now + self.random(self.parameters.report_interval);
    }

    /// A random number below `below`, or 0.
    pub(crate) fn random(&mut self, below: u64) -> u64 {
        let mut rng = fastrand::Rng::with_seed(self.rng_state);
        self.rng_state = rng.u64(..);
        rng.u64(..below.max(1))
    }

    /// When [`Event::Tick`] is due at the latest; [`TenthMillis::MAX`] for never.
    pub fn next_due(&self) -> TenthMillis {
        if self.superseded || self.allocations.is_empty() {
            return TenthMillis::MAX;
        }
        self.report_at
            .min(self.leadership.next_due(&self.parameters))
    }

    /// Handles one event at the time `now`, which must not go back. Actions are added to `actions`,
    /// in order.
    pub fn handle(&mut self, now: TenthMillis, event: Event, actions: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::Received(envelope) => self.on_envelope(now, envelope, actions),
            Event::ViewChanged(view) => self.on_members(&view),
            Event::Leave => {
                self.leaving = true;
                self.resign(now, actions);
                self.report_at = now;
            }
            Event::Superseded => {
                self.superseded = true;
                self.allocations.iter_mut().for_each(Allocation::close);
            }
            Event::BudgetsChanged { list } => self.change(now, list),
        }
        while let Some(envelope) = self.local.pop_front() {
            self.on_envelope(now, envelope, actions);
        }
    }

    /// Updates which voters are present.
    fn on_members(&mut self, view: &View) {
        let present = |name: &Name| {
            let member = view.members.get(name)?;
            Some((name.clone(), member.incarnation))
        };
        self.voters = self.parameters.voters.iter().filter_map(present).collect();
        if self.voter.is_some() {
            let (name, incarnation) = (self.me.name.clone(), self.me.incarnation);
            self.voters.insert(name, incarnation);
        }
    }

    fn change(&mut self, now: TenthMillis, list: Vec<Budget>) {
        let mut old: Vec<Option<Allocation>> = std::mem::take(&mut self.allocations)
            .into_iter()
            .map(Some)
            .collect();
        for budget in list {
            let same_budget = |old: &&mut Option<Allocation>| {
                old.as_ref()
                    .is_some_and(|old| old.budget.id() == budget.id())
            };
            let allocation = match old.iter_mut().find(same_budget).and_then(Option::take) {
                Some(mut allocation) => {
                    allocation.change(budget, &self.me.name);
                    allocation
                }
                None => Allocation::new(budget, &self.me.name, now, &self.parameters),
            };
            self.allocations.push(allocation);
        }
        let list: Vec<Budget> = self.list().cloned().collect();
        self.indices = indices(&list);
        self.ledger.change(&list);
    }

    fn on_tick(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        self.leadership_tick(now, actions);
        if now < self.report_at {
            return;
        }
        // A node that is short reports twice as often, to get sooner what others give up.
        let short = self.allocations.iter().any(Allocation::is_short);
        let interval = if short {
            self.parameters.report_interval.div_ceil(2)
        } else {
            self.parameters.report_interval
        };
        self.report_at = now + interval;
        for (index, allocation) in self.allocations.iter_mut().enumerate() {
            if let Some(allocation) = allocation.take_expired_lease(now, &self.parameters) {
                actions.push(Action::Report(Change::LeaseExpired { index, allocation }));
            }
        }
        self.unanswered_rounds += 1;
        if self.unanswered_rounds > MAX_UNANSWERED_ROUNDS
            && let Some(leader) = self.leader.take_if(|leader| *leader != self.me)
        {
            actions.push(Action::Report(Change::LeaderSilent(leader)));
        }
        self.report_all(now, true, actions);
    }
}
