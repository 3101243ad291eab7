//! Budgets as they are configured, and the timing of their division.

use std::sync::Arc;

use doortrack_membership::Name;
use doortrack_time::{MILLISECOND, TenthMillis};

/// An amount of a budget: units held at once, or thousandths of a unit a second.
pub type Units = u64;

/// Identifies a budget between nodes: a hash of its name and kind, the same in every build. Nodes
/// configured with another kind under the same name do not mistake one another's units.
pub type BudgetId = u32;

/// The id of a budget; unique within an installation, which is checked when its file is read.
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
    /// Units a second. In any span the fleet uses at most `limit` times the span, and `burst`
    /// beyond.
    Rate {
        /// Units.
        burst: u32,
    },
    /// Units held at once.
    Concurrency {
        /// The longest that a unit is held, in tenths of a millisecond, also by a node that is
        /// isolated or has died.
        max_hold: TenthMillis,
    },
}

/// One budget of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Its name; unique within an installation together with the kind.
    pub name: Arc<str>,
    /// What it limits.
    pub kind: Kind,
    /// Of the whole fleet: units a second, or units held at once.
    pub limit: u32,
    /// The minimum reserved for each of `reserved_for`, in the same unit.
    pub reserved: u32,
    /// The names of the nodes that have a reserved minimum.
    pub reserved_for: Arc<[Name]>,
    /// The most that one node may have, its reserved minimum included.
    pub max_per_node: u32,
}

impl Budget {
    /// [`Units`] of one unit.
    fn scale(&self) -> Units {
        match self.kind {
            Kind::Rate { .. } => 1_000,
            Kind::Concurrency { .. } => 1,
        }
    }

    /// See [`BudgetId`].
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

    /// What can be granted to all nodes together, given the limit and the reserved minimum of each.
    pub fn grantable(&self, limit: Units, reserved: Units) -> Units {
        limit.saturating_sub(reserved * self.reserved_for.len() as Units)
    }

    /// The most that the node of this name may be granted.
    pub fn max_grant(&self, name: &str) -> Units {
        (Units::from(self.max_per_node) * self.scale()).saturating_sub(self.reserved_at(name))
    }

    /// The reserved minimum of the node of this name.
    pub fn reserved_at(&self, name: &str) -> Units {
        if self.reserved_for.iter().any(|node| **node == *name) {
            self.reserved()
        } else {
            0
        }
    }

    /// Allocations are multiples of this: a smaller one holds less than one unit of the burst, and
    /// is useless.
    pub fn step(&self) -> Units {
        match self.kind {
            Kind::Rate { burst } => self.limit().div_ceil(Units::from(burst.max(1))).max(1),
            Kind::Concurrency { .. } => 1,
        }
    }

    /// How long after its lease a unit may still be in use, in tenths of a millisecond.
    pub fn max_hold(&self) -> TenthMillis {
        match self.kind {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { max_hold } => max_hold,
        }
    }
}

/// Timing and voters, the same on all nodes of a fleet. Times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// The names of the nodes of which a majority elects the leader.
    pub voters: Arc<[Name]>,
    /// The interval at which holders report.
    pub report_interval: TenthMillis,
    /// How long a vote lasts.
    pub vote_duration: TenthMillis,
    /// How long a lease lasts.
    pub lease_duration: TenthMillis,
    /// How far a clock may gain or lose against true time, in thousandths.
    pub max_drift_permille: u64,
    /// All on but in tests.
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
    /// A span that has passed by the slowest admissible clock before `span` has by the fastest.
    pub(crate) fn shortened_by_drift(&self, span: TenthMillis) -> TenthMillis {
        if self.safeguards.drift_margin {
            span * (1_000 - self.max_drift_permille) / (1_000 + self.max_drift_permille)
        } else {
            span
        }
    }

    /// How long after its lease a unit of this budget counts as in use, in tenths of a millisecond.
    pub(crate) fn max_hold_after_lease(&self, budget: &Budget) -> TenthMillis {
        if self.safeguards.count_max_hold {
            budget.max_hold()
        } else {
            0
        }
    }

    /// Votes that make a majority.
    pub(crate) fn majority(&self) -> usize {
        if self.safeguards.majority_vote {
            self.voters.len() / 2 + 1
        } else {
            1
        }
    }
}

/// The rules that keep the sum within the limit. All are on; tests show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// A voter that has just started gives no vote for as long as one lasts.
    pub abstain_after_start: bool,
    /// A majority of the voters elects a leader, not a single one.
    pub majority_vote: bool,
    /// A new leader grants nothing new until the leases of earlier ones have expired.
    pub wait_for_old_leases: bool,
    /// What was granted counts until the holder has confirmed that it gave it up.
    pub await_confirmation: bool,
    /// A holder checks whether its lease has expired.
    pub lease_expiry: bool,
    /// Leases are shortened for their holders by what clocks may drift.
    pub drift_margin: bool,
    /// A holder accepts only answers to its reports to the present leader, and none older than the
    /// last.
    pub reject_stale_answers: bool,
    /// Only what is still in force is prolonged.
    pub prolong_unexpired_only: bool,
    /// Units of a concurrency count as in use for as long as they may be held, beyond a lease and
    /// after a start.
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
            reject_stale_answers: true,
            prolong_unexpired_only: true,
            count_max_hold: true,
        }
    }
}
