//! The node's part as a holder of allocations: its reports, the leader's answers, and the use of
//! units.

use doortrack_time::TenthMillis;

use crate::{
    Action, Budgets, Change, Envelope, Grant, MAX_REPORT_ITEMS, Message, NodeId, ReportItem,
};

/// Reports that are remembered, as an answer counts from when its report was sent.
const MAX_SENT: usize = 128;

impl Budgets {
    /// Acquires one unit of the budget at this index of the list.
    ///
    /// # Errors
    /// None is left: how long to wait before asking again, in tenths of a millisecond.
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

    /// As [`Budgets::report`], for all budgets.
    pub(crate) fn report_all(
        &mut self,
        now: TenthMillis,
        ends_round: bool,
        actions: &mut Vec<Action>,
    ) {
        let all: Vec<usize> = (0..self.allocations.len()).collect();
        self.report(now, &all, ends_round, actions);
    }

    /// Reports these budgets to the leader, or, if none is known, to a voter that may know one.
    pub(crate) fn report(
        &mut self,
        now: TenthMillis,
        indices: &[usize],
        ends_round: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = self.leader.clone().or_else(|| self.next_voter_to_ask()) else {
            return;
        };
        let (parameters, leaving) = (&self.parameters, self.leaving);
        let items = indices
            .iter()
            .map(|index| self.allocations[*index].item(now, parameters, ends_round, leaving));
        let items: Vec<ReportItem> = items.collect();
        for items in items.chunks(MAX_REPORT_ITEMS) {
            self.seq += 1;
            if self.sent.len() >= MAX_SENT {
                self.sent.pop_front();
            }
            self.sent.push_back((self.seq, now));
            let (seq, weight, items) = (self.seq, self.weight, items.to_vec());
            self.send(to.clone(), Message::Report { seq, weight, items }, actions);
        }
    }

    /// The next of the other voters, in turn.
    fn next_voter_to_ask(&mut self) -> Option<NodeId> {
        let voters: Vec<NodeId> = self.other_voters().collect();
        self.last_voter_asked = self.last_voter_asked.wrapping_add(1);
        (!voters.is_empty()).then(|| voters[self.last_voter_asked % voters.len()].clone())
    }

    /// The voters that are present, without this node.
    pub(crate) fn other_voters(&self) -> impl Iterator<Item = NodeId> {
        self.voters
            .iter()
            .filter(|(name, _)| **name != self.me.name)
            .map(|(name, incarnation)| NodeId {
                name: name.clone(),
                incarnation: *incarnation,
            })
    }

    /// Sends a message; to this node itself it is delivered within the same event.
    pub(crate) fn send(&mut self, to: NodeId, message: Message, actions: &mut Vec<Action>) {
        let envelope = Envelope {
            from: self.me.clone(),
            to,
            message,
        };
        if envelope.to == self.me {
            self.local.push_back(envelope)
        } else {
            actions.push(Action::Send(envelope))
        }
    }

    /// Reports to another leader from here on.
    pub(crate) fn follow(&mut self, leader: Option<NodeId>, actions: &mut Vec<Action>) {
        if leader == self.leader {
            return;
        }
        self.following_since = self.seq + 1;
        self.unanswered_rounds = 0;
        if let Some(leader) = &leader {
            actions.push(Action::Report(Change::Leader(leader.clone())));
        }
        self.leader = leader;
    }

    pub(crate) fn on_envelope(
        &mut self,
        now: TenthMillis,
        envelope: Envelope,
        actions: &mut Vec<Action>,
    ) {
        if envelope.to != self.me {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::Grant { seq, grants } => self.on_grant(now, &from, seq, &grants, actions),
            Message::NotLeader { seq, leader } => {
                self.on_not_leader(now, &from, seq, leader, actions);
            }
            message => self.on_voter_message(now, from, message, actions),
        }
    }

    fn on_not_leader(
        &mut self,
        now: TenthMillis,
        from: &NodeId,
        seq: u64,
        leader: Option<NodeId>,
        actions: &mut Vec<Action>,
    ) {
        // Another voter is believed while no leader is known, the present leader always.
        let believed = self.leader.as_ref().is_none_or(|leader| leader == from);
        if seq < self.following_since || !believed {
            return;
        }
        let found_leader = leader.is_some() && leader != self.leader;
        self.follow(leader, actions);
        if found_leader {
            self.report_all(now, false, actions);
        }
    }

    fn on_grant(
        &mut self,
        now: TenthMillis,
        from: &NodeId,
        seq: u64,
        grants: &[Grant],
        actions: &mut Vec<Action>,
    ) {
        let in_order = self.parameters.safeguards.reject_stale_answers;
        if self.leader.as_ref() != Some(from) || (in_order && seq < self.following_since) {
            return;
        }
        let Some((_, sent_at)) = self.sent.iter().find(|(sent, _)| *sent == seq) else {
            return;
        };
        let until = sent_at
            + self
                .parameters
                .shortened_by_drift(self.parameters.lease_duration);
        self.unanswered_rounds = 0;
        if until <= now && self.parameters.safeguards.lease_expiry {
            return;
        }
        let lowered: Vec<usize> = grants
            .iter()
            .filter_map(|grant| self.apply_grant(now, seq, *grant, until, actions))
            .collect();
        // What is given up can be granted to another as soon as this is known.
        if !lowered.is_empty() {
            self.report(now, &lowered, false, actions);
        }
    }

    /// Applies one grant in answer to report `seq`. Returns the index of its budget if less is
    /// leased than before.
    fn apply_grant(
        &mut self,
        now: TenthMillis,
        seq: u64,
        grant: Grant,
        until: TenthMillis,
        actions: &mut Vec<Action>,
    ) -> Option<usize> {
        let index = self.indices.get(&grant.id).copied()?;
        let allocation = &mut self.allocations[index];
        if seq <= allocation.accepted && self.parameters.safeguards.reject_stale_answers {
            return None;
        }
        let (previous, leased) = allocation.apply_grant(now, seq, grant, until, &self.parameters);
        if previous != leased {
            actions.push(Action::Report(Change::Allocation {
                index,
                previous,
                allocation: leased,
                lease_remaining: until.saturating_sub(now),
            }));
        }
        (leased < previous).then_some(index)
    }
}
