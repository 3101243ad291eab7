//! Configured budgets, and the timing of elections, leases and reports.

use std::sync::Arc;

use doortrack_membership::Name;
use doortrack_time::{MILLISECOND, TenthMillis};

/// An amount of a budget: units held concurrently, or thousandths of a unit per second.
pub type Units = u64;

/// Identifies a budget between nodes: a hash of its name and kind, the same in every build. Nodes
/// configured with different kinds under the same name do not confuse each other's units.
pub type BudgetId = u32;

/// The id of a budget. Uniqueness within an installation is checked when its configuration is read.
pub fn budget_id(name: &str, kind: Kind) -> BudgetId {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&[u8::from(matches!(kind, Kind::Rate { .. }))])
        .update(name.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    BudgetId::from_le_bytes(first)
}

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Units per second. In any time span the fleet uses at most `limit` times the span, plus
    /// `burst`.
    Rate {
        /// The burst size in units.
        burst: u32,
    },
    /// Units held concurrently.
    Concurrency {
        /// The maximum time that a unit is held, in tenths of a millisecond, also by a node that is
        /// isolated or has died.
        max_hold: TenthMillis,
    },
}

/// One budget of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// The name; unique within an installation together with the kind.
    pub name: Arc<str>,
    /// What the budget limits.
    pub kind: Kind,
    /// The limit of the whole fleet: units per second, or units held concurrently.
    pub limit: u32,
    /// The minimum reserved for each of `reserved_for`, in the same unit.
    pub reserved: u32,
    /// The names of the nodes that have a reserved minimum.
    pub reserved_for: Arc<[Name]>,
    /// The maximum for one node, including its reserved minimum.
    pub max_per_node: u32,
}

impl Budget {
    /// The number of [`Units`] per unit.
    fn scale(&self) -> Units {
        match self.kind {
            Kind::Rate { .. } => 1_000,
            Kind::Concurrency { .. } => 1,
        }
    }

    /// The id of the budget.
    pub fn id(&self) -> BudgetId {
        budget_id(&self.name, self.kind)
    }

    /// The limit in [`Units`].
    pub fn limit(&self) -> Units {
        Units::from(self.limit) * self.scale()
    }

    /// The reserved minimum in [`Units`].
    pub fn reserved(&self) -> Units {
        Units::from(self.reserved) * self.scale()
    }

    /// The total that can be granted to all nodes, given the limit and the reserved minimum of each
    /// node in `reserved_for`.
    pub fn grantable(&self, limit: Units, reserved: Units) -> Units {
        limit.saturating_sub(reserved * self.reserved_for.len() as Units)
    }

    /// The maximum that the node with this name may be granted.
    pub fn max_grant(&self, name: &str) -> Units {
        (Units::from(self.max_per_node) * self.scale()).saturating_sub(self.reserved_at(name))
    }

    /// The reserved minimum of the node with this name.
    pub fn reserved_at(&self, name: &str) -> Units {
        if self.reserved_for.iter().any(|node| **node == *name) {
            self.reserved()
        } else {
            0
        }
    }

    /// Allocations are multiples of this step: the burst of a smaller one is less than one unit,
    /// which makes it useless.
    pub fn step(&self) -> Units {
        match self.kind {
            Kind::Rate { burst } => self.limit().div_ceil(Units::from(burst.max(1))).max(1),
            Kind::Concurrency { .. } => 1,
        }
    }

    /// How long after the end of its lease a unit may still be in use, in tenths of a millisecond.
    pub fn max_hold(&self) -> TenthMillis {
        match self.kind {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { max_hold } => max_hold,
        }
    }
}

/// Voters and timing, equal on all nodes of a fleet. Times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// The names of the voters, of which a majority elects the leader.
    pub voters: Arc<[Name]>,
    /// The interval at which holders report.
    pub report_interval: TenthMillis,
    /// How long a vote lasts.
    pub vote_duration: TenthMillis,
    /// How long a lease lasts.
    pub lease_duration: TenthMillis,
    /// How much a clock may gain or lose against true time, in thousandths.
    pub max_drift_permille: u64,
    /// The safeguards in force: all of them, except in tests.
    pub safeguards: Safeguards,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            voters: Arc::new([]),
            report_interval: 200 * MILLISECOND,
            vote_duration: 800 * MILLISECOND,
            lease_duration: 1_500 * MILLISECOND,
            max_drift_permille: 20,
            safeguards: Safeguards::default(),
        }
    }
}

impl Parameters {
    /// Shortens a time span so that it has passed on the slowest admissible clock before `span` has
    /// passed on the fastest.
    pub(crate) fn shortened_by_drift(&self, span: TenthMillis) -> TenthMillis {
        if self.safeguards.drift_margin {
            span * (1_000 - self.max_drift_permille) / (1_000 + self.max_drift_permille)
        } else {
            span
        }
    }

    /// How long after the end of its lease a unit of this budget counts as in use, in tenths of a
    /// millisecond.
    pub(crate) fn max_hold_after_lease(&self, budget: &Budget) -> TenthMillis {
        if self.safeguards.count_max_hold {
            budget.max_hold()
        } else {
            0
        }
    }

    /// The number of votes that makes a majority.
    pub(crate) fn majority(&self) -> usize {
        if self.safeguards.majority_vote {
            self.voters.len() / 2 + 1
        } else {
            1
        }
    }
}

/// The rules that keep the sum of all allocations within the limit. All are on by default; tests
/// show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// A voter that has just started abstains for the duration of a vote.
    pub abstain_after_start: bool,
    /// A leader needs the votes of a majority, not of a single voter.
    pub majority_vote: bool,
    /// A new leader makes no new grants until the leases of earlier leaders have expired.
    pub wait_for_old_leases: bool,
    /// Granted units count as in use until the holder has confirmed that it gave them up.
    pub await_confirmation: bool,
    /// A holder stops using units when their lease has expired.
    pub lease_expiry: bool,
    /// Votes, leases and rates are reduced by the maximum drift of clocks.
    pub drift_margin: bool,
    /// Outdated messages are rejected: answers to reports to an earlier leader, and answers and
    /// reports that are older than the last one.
    pub reject_stale_messages: bool,
    /// A leader that only prolongs cannot renew units whose lease has expired at the holder.
    pub prolong_unexpired_only: bool,
    /// Units of a concurrency budget count as in use for their maximum hold time after the end of a
    /// lease and after a start.
    pub count_max_hold: bool,
}

impl Default for Safeguards {
    fn default() -> Safeguards {
        Safeguards {
            abstain_after_start: true,
            majority_vote: true,
            wait_for_old_leases: true,
            await_confirmation: true,
            lease_expiry: true,
            drift_margin: true,
            reject_stale_messages: true,
            prolong_unexpired_only: true,
            count_max_hold: true,
        }
    }
}
