//! The section of the installation file on budgets: limits that apply to the whole fleet, and the timing of their
//! leases.
//!
//! Doc comments of the types that are read from the file are the descriptions in its schema.

mod assignment;
mod validate;

use std::sync::Arc;

use doortrack_budgets::{Budget, Kind, Parameters};
use doortrack_membership::Name;
use doortrack_time::{MILLISECOND, TenthMillis, from_millis};
use schemars::JsonSchema;
use serde::Deserialize;

pub use assignment::BudgetIndices;

use crate::FleetConfig;

/// A limit that applies to the whole fleet. Must be the same on all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetFile")]
pub struct BudgetConfig {
    /// Unique name, 1 to 64 bytes.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    pub kind: BudgetKind,
    /// Maximum of all nodes together: requests per second for a rate, concurrent requests for a concurrency.
    #[schemars(range(min = 1, max = 10_000_000))]
    #[serde(alias = "whole")]
    pub limit: u32,
    /// Number of requests that may exceed `limit` times the length of any time span; at least one for each
    /// node that is to have an allocation. Required for a rate, not allowed for a concurrency.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub burst: Option<u32>,
    /// Requests to which the budget applies: exactly one of the five scopes.
    #[serde(rename = "for")]
    pub applies_to: BudgetScope,
    /// Minimum that is reserved for each node in `reserved_for`, which the node has even when it hears from
    /// no other node. For a rate, at least `limit` / `burst`; a smaller minimum would not hold one whole
    /// request.
    #[serde(default, alias = "floor")]
    pub reserved: u32,
    /// Names of the nodes that have a reserved minimum. Default: the voters.
    #[serde(default, alias = "floors_for")]
    pub reserved_for: Option<Vec<String>>,
    /// Maximum that one node may have, including its reserved minimum. Default: `limit`.
    #[serde(default, alias = "most")]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub max_per_node: Option<u32>,
    /// Longest time in ms that a request can hold its part of the budget, also on a node that died; until
    /// then no other node can use that part. Default: the longest deadline of all endpoint groups. Only for a
    /// concurrency.
    #[serde(default, alias = "held_most_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub max_hold_ms: Option<u32>,
}

#[expect(missing_docs, reason = "a doc comment would change the schema")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum BudgetKind {
    /// Requests per second.
    Rate,
    /// Concurrent requests, each counted from its admission until it ends.
    #[serde(alias = "places")]
    Concurrency,
}

/// Requests to which a budget applies. Each customer, group and pool can have at most one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
#[schemars(rename = "BudgetFor")]
pub enum BudgetScope {
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(rename = "customer")]
    Tenant(String),
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    Group(String),
    /// A server pool, by name; `servers` is the default pool.
    Pool(String),
    /// Retries to the named server pool, in addition to the retry limits of each node. Must be a rate.
    /// Requests over the budget are not retried.
    Retries(String),
    /// Runs during the slow start of servers of the named pool that were down. Must be a rate; per second, a
    /// slow start uses `2 * runs / over_ms` of the pool's `ramp`.
    #[serde(rename = "ramp")]
    SlowStart(String),
}

/// Timing of the division of budgets. Must be the same on all nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTimes {
    /// Interval in ms at which nodes report their demand and the leader grants allocations.
    #[schemars(range(min = 20, max = 10_000))]
    pub round_ms: u32,
    /// Time in ms without a message from the leader after which it may be replaced; at least 3 times
    /// `round_ms`.
    #[schemars(range(min = 60, max = 60_000))]
    pub vote_ms: u32,
    /// Time in ms after which an allocation that is not renewed expires; at least `vote_ms`.
    #[schemars(range(min = 60, max = 600_000))]
    pub lease_ms: u32,
    /// Maximum drift of any node's clock in either direction, in thousandths.
    #[schemars(range(max = 200))]
    pub drift_permille: u32,
}

impl Default for LeaseTimes {
    fn default() -> LeaseTimes {
        let parameters = Parameters::default();
        let millis = |time: TenthMillis| (time / MILLISECOND) as u32;
        LeaseTimes {
            round_ms: millis(parameters.report_interval),
            vote_ms: millis(parameters.vote_duration),
            lease_ms: millis(parameters.lease_duration),
            drift_permille: parameters.max_drift_permille as u32,
        }
    }
}

impl FleetConfig {
    /// Returns the parameters of budget division.
    pub fn budget_parameters(&self) -> Parameters {
        let times = self.leases;
        Parameters {
            voters: names(&self.voters),
            report_interval: from_millis(times.round_ms),
            vote_duration: from_millis(times.vote_ms),
            lease_duration: from_millis(times.lease_ms),
            max_drift_permille: u64::from(times.drift_permille),
            safeguards: self.fault_injection.safeguards,
        }
    }
}

impl BudgetConfig {
    /// Returns the budget in a fleet with these `voters`. `longest_deadline` is the maximum hold time of a
    /// concurrency budget for which the file sets none.
    fn to_budget(&self, voters: &[String], longest_deadline: TenthMillis) -> Budget {
        let kind = match self.kind {
            BudgetKind::Rate => Kind::Rate {
                burst: self.burst.unwrap_or(1),
            },
            BudgetKind::Concurrency => Kind::Concurrency {
                max_hold: self.max_hold_ms.map_or(longest_deadline, from_millis),
            },
        };
        Budget {
            name: self.name.as_str().into(),
            kind,
            limit: self.limit,
            reserved: self.reserved,
            reserved_for: names(self.nodes_with_reserve(voters)),
            max_per_node: self.max_per_node.unwrap_or(self.limit).min(self.limit),
        }
    }

    /// Returns the names of the nodes that have a reserved minimum.
    fn nodes_with_reserve<'a>(&'a self, voters: &'a [String]) -> &'a [String] {
        self.reserved_for.as_deref().unwrap_or(voters)
    }
}

fn names(names: &[String]) -> Arc<[Name]> {
    names.iter().map(|name| Name::from(name.as_str())).collect()
}
