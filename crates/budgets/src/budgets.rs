//! The state of one node's budgets, their interface, and the node's part as a holder of allocations.

use std::collections::{BTreeMap, VecDeque};

use doortrack_membership::{Incarnation, Name};
use doortrack_time::TenthMillis;

use crate::allocation::Allocation;
use crate::leadership::Leadership;
use crate::ledger::Ledger;
use crate::voter::Voter;
use crate::{
    Action, Budget, Change, Envelope, Event, Grant, Id, MAX_ITEMS, Message, NodeId, Parameters,
    ReportItem,
};

/// Reports that are remembered, as an answer counts from when its report was sent.
const MAX_SENT: usize = 128;
/// Rounds without an answer after which the leader is given up and the voters are asked for another.
const MAX_UNANSWERED_ROUNDS: u32 = 3;

/// One node's budgets. The crate's documentation says how to drive them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budgets {
    pub(crate) me: NodeId,
    weight: u32,
    pub(crate) parameters: Parameters,
    pub(crate) allocations: Vec<Allocation>,
    /// The index of each budget in `allocations`.
    indices: BTreeMap<Id, usize>,
    /// Present if this node is one of the voters.
    pub(crate) voter: Option<Voter>,
    pub(crate) leadership: Leadership,
    /// What was granted in this term as the leader.
    pub(crate) ledger: Ledger,
    /// The voters that are present.
    pub(crate) voters: BTreeMap<Name, Incarnation>,
    pub(crate) leader: Option<NodeId>,
    /// Answers to reports before this one are those of an earlier leader.
    following_since: u64,
    seq: u64,
    sent: VecDeque<(u64, TenthMillis)>,
    report_at: TenthMillis,
    unanswered_rounds: u32,
    asked: usize,
    pub(crate) ballot: u64,
    chance: u64,
    pub(crate) leaving: bool,
    superseded: bool,
    /// Messages to this node itself; empty between events.
    local: VecDeque<Envelope>,
}

fn indices(list: &[Budget]) -> BTreeMap<Id, usize> {
    list.iter()
        .enumerate()
        .map(|(index, budget)| (budget.id(), index))
        .collect()
}

impl Budgets {
    /// The budgets of a node that has just started. `weight` is its capacity, in a unit that all nodes share;
    /// `list` has at most [`crate::MAX_BUDGETS`], each with an id of its own; `now` is in tenths of a ms.
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
            asked: 0,
            ballot: 0,
            chance: seed ^ me.incarnation.0,
            leaving: false,
            superseded: false,
            local: VecDeque::new(),
            me,
            parameters,
        };
        // Those that start at one instant are not to seek votes at one instant, nor report ever after.
        let jitter = budgets.random(budgets.parameters.round);
        if let Some(voter) = &budgets.voter {
            budgets.leadership = Leadership::Follower {
                try_at: voter.free_at() + jitter,
            };
            budgets
                .voters
                .insert(budgets.me.name.clone(), budgets.me.incarnation);
        }
        budgets.report_at = now + budgets.random(budgets.parameters.round);
        budgets
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        let mut chance = fastrand::Rng::with_seed(self.chance);
        self.chance = chance.u64(..);
        chance.u64(..below.max(1))
    }

    /// When [`Event::Tick`] is due at the latest; [`TenthMillis::MAX`] for never.
    pub fn next_due(&self) -> TenthMillis {
        if self.superseded || self.allocations.is_empty() {
            return TenthMillis::MAX;
        }
        self.report_at
            .min(self.leadership.next_due(&self.parameters))
    }

    /// Handles one event at the time `now`, which must not go back. Actions are added to `out`, in order.
    pub fn handle(&mut self, now: TenthMillis, event: Event, out: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        match event {
            Event::Tick => self.on_tick(now, out),
            Event::Received(envelope) => self.on_envelope(now, envelope, out),
            Event::Members(view) => {
                let seen = |name: &Name| {
                    view.members
                        .get(name)
                        .map(|member| (name.clone(), member.incarnation))
                };
                self.voters = self.parameters.voters.iter().filter_map(seen).collect();
                if self.voter.is_some() {
                    self.voters
                        .insert(self.me.name.clone(), self.me.incarnation);
                }
            }
            Event::Leave => {
                self.leaving = true;
                self.resign(now, out);
                self.report_at = now;
            }
            Event::Superseded => {
                self.superseded = true;
                self.allocations.iter_mut().for_each(Allocation::close);
            }
            Event::Changed { list } => self.change(now, list),
        }
        while let Some(envelope) = self.local.pop_front() {
            self.on_envelope(now, envelope, out);
        }
    }

    fn change(&mut self, now: TenthMillis, list: Vec<Budget>) {
        let mut old: Vec<Option<Allocation>> = std::mem::take(&mut self.allocations)
            .into_iter()
            .map(Some)
            .collect();
        for budget in list {
            let same = |old: &&mut Option<Allocation>| {
                old.as_ref()
                    .is_some_and(|old| old.budget.id() == budget.id())
            };
            let allocation = match old.iter_mut().find(same).and_then(Option::take) {
                Some(mut allocation) => {
                    allocation.change(budget, &self.me.name);
                    allocation
                }
                None => Allocation::new(budget, &self.me.name, now, &self.parameters),
            };
            self.allocations.push(allocation);
        }
        let list: Vec<Budget> = self
            .allocations
            .iter()
            .map(|allocation| allocation.budget.clone())
            .collect();
        self.indices = indices(&list);
        self.ledger.change(&list);
    }

    fn on_tick(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        self.leadership_tick(now, out);
        if now < self.report_at {
            return;
        }
        // Who is short asks twice as often: what others give up is granted to it that much sooner.
        let short = self.allocations.iter().any(Allocation::is_short);
        self.report_at = now
            + if short {
                self.parameters.round.div_ceil(2)
            } else {
                self.parameters.round
            };
        for (index, allocation) in self.allocations.iter_mut().enumerate() {
            if let Some(allocation) = allocation.ran_out(now, &self.parameters) {
                out.push(Action::Report(Change::RanOut { index, allocation }));
            }
        }
        self.unanswered_rounds += 1;
        if self.unanswered_rounds > MAX_UNANSWERED_ROUNDS
            && let Some(leader) = self.leader.take_if(|leader| *leader != self.me)
        {
            out.push(Action::Report(Change::LeaderSilent(leader)));
        }
        let all: Vec<usize> = (0..self.allocations.len()).collect();
        self.report(now, &all, true, out);
    }

    /// Reports these budgets to the leader, or, if none is known, to a voter that may know one.
    fn report(&mut self, now: TenthMillis, indices: &[usize], round: bool, out: &mut Vec<Action>) {
        let Some(to) = self.leader.clone().or_else(|| self.next_asked()) else {
            return;
        };
        let (parameters, leaves) = (&self.parameters, self.leaving);
        let items = indices
            .iter()
            .map(|index| self.allocations[*index].item(now, parameters, round, leaves));
        let items: Vec<ReportItem> = items.collect();
        for items in items.chunks(MAX_ITEMS) {
            self.seq += 1;
            if self.sent.len() >= MAX_SENT {
                self.sent.pop_front();
            }
            self.sent.push_back((self.seq, now));
            let (seq, weight, items) = (self.seq, self.weight, items.to_vec());
            self.send(to.clone(), Message::Report { seq, weight, items }, out);
        }
    }

    /// The next of the other voters, in turn.
    fn next_asked(&mut self) -> Option<NodeId> {
        let others: Vec<NodeId> = self.others().collect();
        self.asked = self.asked.wrapping_add(1);
        (!others.is_empty()).then(|| others[self.asked % others.len()].clone())
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = NodeId> {
        let all = self.voters.iter().map(|(name, incarnation)| NodeId {
            name: name.clone(),
            incarnation: *incarnation,
        });
        all.filter(|who| who.name != self.me.name)
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message, out: &mut Vec<Action>) {
        let envelope = Envelope {
            from: self.me.clone(),
            to,
            message,
        };
        if envelope.to == self.me {
            self.local.push_back(envelope)
        } else {
            out.push(Action::Send(envelope))
        }
    }

    pub(crate) fn follow(&mut self, to: Option<NodeId>, out: &mut Vec<Action>) {
        if to == self.leader {
            return;
        }
        self.following_since = self.seq + 1;
        self.unanswered_rounds = 0;
        if let Some(leader) = &to {
            out.push(Action::Report(Change::Leader(leader.clone())));
        }
        self.leader = to;
    }

    fn on_envelope(&mut self, now: TenthMillis, envelope: Envelope, out: &mut Vec<Action>) {
        if envelope.to != self.me {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::Grant { seq, grants } => self.on_grant(now, &from, seq, &grants, out),
            Message::Elsewhere { seq, leader } => {
                let known = leader.is_some() && leader != self.leader;
                // What one that is asked knows counts where no leader answers; the leader's own word always.
                if seq >= self.following_since
                    && (self.leader.is_none() || self.leader.as_ref() == Some(&from))
                {
                    self.follow(leader, out);
                    if known {
                        let all: Vec<usize> = (0..self.allocations.len()).collect();
                        self.report(now, &all, false, out);
                    }
                }
            }
            message => self.on_voter_message(now, from, message, out),
        }
    }

    fn on_grant(
        &mut self,
        now: TenthMillis,
        from: &NodeId,
        seq: u64,
        grants: &[Grant],
        out: &mut Vec<Action>,
    ) {
        let in_order = self.parameters.safeguards.in_order;
        if self.leader.as_ref() != Some(from) || (in_order && seq < self.following_since) {
            return;
        }
        let Some((_, sent)) = self
            .sent
            .iter()
            .find(|(sent_seq, _)| *sent_seq == seq)
            .copied()
        else {
            return;
        };
        let till = sent + self.parameters.shortened_by_drift(self.parameters.lease);
        self.unanswered_rounds = 0;
        if till <= now && self.parameters.safeguards.run_out {
            return;
        }
        let mut lowered = Vec::new();
        for grant in grants {
            let Some(index) = self.indices.get(&grant.id).copied() else {
                continue;
            };
            let allocation = &mut self.allocations[index];
            if seq <= allocation.accepted && in_order {
                continue;
            }
            let (was, is) = allocation.apply_grant(now, seq, *grant, till, &self.parameters);
            if was != is {
                let lasts = till.saturating_sub(now);
                out.push(Action::Report(Change::Allocation {
                    index,
                    was,
                    allocation: is,
                    lasts,
                }));
            }
            if is < was {
                lowered.push(index);
            }
        }
        // What is given up can be granted to another as soon as this is known.
        if !lowered.is_empty() {
            self.report(now, &lowered, false, out);
        }
    }

    // --- Before and after each use ---

    /// Acquires one unit of the budget at this index of the list.
    ///
    /// # Errors
    /// None is left: how long to wait before asking again, in tenths of a ms.
    pub fn acquire(&mut self, index: usize, now: TenthMillis) -> Result<(), TenthMillis> {
        self.allocations[index].acquire(now, &self.parameters)
    }

    /// Gives back a unit that was acquired and not used, also of a rate.
    pub fn cancel(&mut self, index: usize) {
        self.allocations[index].release(false);
    }

    /// Releases a unit of a concurrency that was used. Of a rate this changes nothing.
    pub fn release(&mut self, index: usize) {
        self.allocations[index].release(true);
    }
}
