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

/// One limit of the whole fleet. The same on all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "BudgetFile")]
pub struct BudgetConfig {
    /// 1 to 64 bytes, each once.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    pub kind: BudgetKind,
    /// Exchanges a second, or held at once, of all nodes together.
    #[schemars(range(min = 1, max = 10_000_000))]
    #[serde(alias = "whole")]
    pub limit: u32,
    /// Exchanges beyond `limit` times the span, in any span; at least one for each node that is to have an
    /// allocation. Needed for a rate, and for no other.
    #[serde(default)]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub burst: Option<u32>,
    /// Which exchanges it is for: one of the five.
    #[serde(rename = "for")]
    pub applies_to: BudgetScope,
    /// Set aside for each node of `reserved_for`, so that it has this much even when it hears nobody. For a
    /// rate at least `limit` / `burst`, or it holds no whole exchange.
    #[serde(default, alias = "floor")]
    pub reserved: u32,
    /// Names of the nodes that have a reserved minimum. Absent: the voters.
    #[serde(default, alias = "floors_for")]
    pub reserved_for: Option<Vec<String>>,
    /// The most that one node may have, its reserved minimum included. Absent: the limit.
    #[serde(default, alias = "most")]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub max_per_node: Option<u32>,
    /// What one is held for at the longest, also by a node that died: so long nobody else has it. Absent:
    /// the longest deadline of all endpoint groups. For a concurrency alone.
    #[serde(default, alias = "held_most_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub max_hold_ms: Option<u32>,
}

#[expect(missing_docs, reason = "a doc comment would change the schema")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum BudgetKind {
    /// Exchanges a second.
    Rate,
    /// Exchanges held at once, from being taken in to their end.
    #[serde(alias = "places")]
    Concurrency,
}

/// By what exchanges fall under a budget; each customer, group and pool under one at the most.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
#[schemars(rename = "BudgetFor")]
pub enum BudgetScope {
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    #[serde(rename = "customer")]
    Tenant(String),
    #[expect(missing_docs, reason = "a doc comment would change the schema")]
    Group(String),
    /// A pool of servers; `servers` is the one without a name.
    Pool(String),
    /// Retries to that pool, beside what each node allows itself: a rate. What is over is not tried again.
    Retries(String),
    /// First runs on servers of that pool that were down: a rate, each second `2 * runs / over_ms` of the
    /// pool's `ramp`.
    #[serde(rename = "ramp")]
    SlowStart(String),
}

/// How fast budgets are divided; the same on all nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseTimes {
    /// Needs are told, and allocations granted, so often.
    #[schemars(range(min = 20, max = 10_000))]
    pub round_ms: u32,
    /// A leader that is not heard for so long may be replaced; at least 3 rounds.
    #[schemars(range(min = 60, max = 60_000))]
    pub vote_ms: u32,
    /// An allocation that is not prolonged ends after so long; at least `vote_ms`.
    #[schemars(range(min = 60, max = 600_000))]
    pub lease_ms: u32,
    /// How far any clock may gain or lose, in thousandths.
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
