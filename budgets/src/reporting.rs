//! How things stand, for those who ask and for tests.

use doortrack::Tenths;

use crate::leadership::Leadership;
use crate::{Budget, Budgets, Kind, NodeId, Parameters, Units};

/// One budget at one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// What this node may use now, its reserved minimum included, and of that what is on a lease.
    pub allocation: Units,
    pub leased: Units,
    /// Units in use; 0 for a rate.
    pub in_use: Units,
    pub need: Units,
    pub rejected: u64,
    /// For how long the lease lasts yet.
    pub lasts: Option<Tenths>,
    /// What it has granted, where this node is the leader.
    pub granted: Option<Units>,
}

impl Budgets {
    pub fn me(&self) -> &NodeId {
        &self.me
    }

    pub fn parameters(&self) -> &Parameters {
        &self.parameters
    }

    /// Whom this node reports to.
    pub fn leader(&self) -> Option<&NodeId> {
        self.leader.as_ref()
    }

    pub fn is_leader(&self, now: Tenths) -> bool {
        matches!(&self.leadership, Leadership::Leader(term) if term.election.till(&self.parameters) > now)
    }

    /// The budgets, in the order of their indices.
    pub fn list(&self) -> impl Iterator<Item = &Budget> {
        self.allocations.iter().map(|allocation| &allocation.budget)
    }

    /// How the budget at this index stands.
    pub fn standing(&mut self, index: usize, now: Tenths) -> Standing {
        let leader = self.is_leader(now);
        let allocation = &mut self.allocations[index];
        let usable = allocation.usable(now, &self.parameters);
        Standing {
            allocation: usable,
            leased: allocation.leased(),
            in_use: allocation.in_use(),
            need: allocation.need(),
            rejected: allocation.rejected,
            lasts: allocation.till().map(|till| till.saturating_sub(now)),
            granted: leader.then(|| self.accounts.granted(index)),
        }
    }

    /// What may be in use at the most at this instant, whoever looks: an allocation that was not looked at
    /// since its lease ended is none.
    pub fn exposed(&self, index: usize, now: Tenths) -> Units {
        let mut allocation = self.allocations[index].clone();
        let usable = allocation.usable(now, &self.parameters);
        match allocation.budget.kind {
            Kind::Rate { .. } => usable,
            Kind::Concurrency { .. } => usable.max(allocation.in_use()),
        }
    }
}
