//! The state of the budgets, for operators and tests.

use crate::leadership::Leadership;
use crate::{Budget, Budgets, Kind, NodeId, Parameters, Units};
use doortrack_time::TenthMillis;

/// The state of one budget at one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocationStatus {
    /// What this node may use now, its reserved minimum included.
    pub allocation: Units,
    /// Of the allocation what is on a lease.
    pub leased: Units,
    /// Units in use; 0 for a rate.
    pub in_use: Units,
    /// What the node could use, as last reported.
    pub need: Units,
    /// Requests for a unit that were rejected since the start.
    pub rejected: u64,
    /// How long the lease still lasts, in tenths of a millisecond.
    pub lease_remaining: Option<TenthMillis>,
    /// What this node has granted to all, if it is the leader.
    pub granted: Option<Units>,
}

impl Budgets {
    /// This node.
    pub fn me(&self) -> &NodeId {
        &self.me
    }

    /// The parameters in force.
    pub fn parameters(&self) -> &Parameters {
        &self.parameters
    }

    /// The leader that this node reports to.
    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    /// Whether this node holds the votes of a majority at `now`.
    pub fn is_leader(&self, now: TenthMillis) -> bool {
        match &self.leadership {
            Leadership::Leader(term) => term.election.held_until(&self.parameters) > now,
            Leadership::Follower { .. } | Leadership::Candidate { .. } => false,
        }
    }

    /// The budgets, in the order of their indices.
    pub fn list(&self) -> impl Iterator<Item = &Budget> {
        self.allocations.iter().map(|allocation| &allocation.budget)
    }

    /// The state of the budget at this index.
    pub fn status(&mut self, index: usize, now: TenthMillis) -> AllocationStatus {
        let leader = self.is_leader(now);
        let allocation = &mut self.allocations[index];
        let usable = allocation.usable(now, &self.parameters);
        AllocationStatus {
            allocation: usable,
            leased: allocation.leased(),
            in_use: allocation.in_use(),
            need: allocation.need(),
            rejected: allocation.rejected,
            lease_remaining: allocation
                .lease_until()
                .map(|until| until.saturating_sub(now)),
            granted: leader.then(|| self.ledger.granted(index)),
        }
    }

    /// What may be in use at most at `now`, without changing anything: for tests of the sum over
    /// all nodes.
    pub fn max_in_use(&self, index: usize, now: TenthMillis) -> Units {
        let mut allocation = self.allocations[index].clone();
        let usable = allocation.usable(now, &self.parameters);
        match allocation.budget.kind {
            Kind::Rate { .. } => usable,
            Kind::Concurrency { .. } => usable.max(allocation.in_use()),
        }
    }
}
