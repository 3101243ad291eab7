//! The section on budgets: limits of the whole fleet, and the times of their leases.

use std::collections::{BTreeMap, HashMap, HashSet};

use doortrack_budgets::{Budget, Kind, MAX_BUDGETS, Parameters};
use doortrack_membership::Name;
use doortrack_time::{MILLISECOND, TenthMillis};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{ConfigError, FleetFile, Installation, NodeConfig};

/// Upper bound of a limit, reserved minimum, maximum a node, and burst.
const MAX_UNITS: u32 = 10_000_000;

/// One limit of the whole fleet. The same on all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct BudgetFile {
    /// 1 to 64 bytes, each once.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
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
    pub applies_to: BudgetFor,
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
pub enum BudgetFor {
    #[serde(rename = "customer")]
    Tenant(String),
    Group(String),
    /// A pool of servers; `servers` is the one without a name.
    Pool(String),
    /// Retries to that pool, beside what each node allows itself: a rate. What is over is not tried again.
    Retries(String),
    /// First runs on servers of that pool that were down: a rate, each second `2 * runs / over_ms` of the
    /// pool's `ramp`.
    Ramp(String),
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
        let (parameters, ms) = (Parameters::default(), |span: TenthMillis| {
            (span / MILLISECOND) as u32
        });
        LeaseTimes {
            round_ms: ms(parameters.round),
            vote_ms: ms(parameters.vote_duration),
            lease_ms: ms(parameters.lease),
            drift_permille: parameters.drift as u32,
        }
    }
}

impl LeaseTimes {
    pub(crate) fn faults(&self, faults: &mut Vec<ConfigError>) {
        let mut check_range = |key: &str, value: u32, least: u32, most: u32| {
            if !(least..=most).contains(&value) {
                let what = format!("{least} to {most} is wanted, found {value}");
                faults.push(ConfigError::new(
                    format!("installation.fleet.leases.{key}"),
                    what,
                ));
            }
        };
        check_range("round_ms", self.round_ms, 20, 10_000);
        check_range(
            "vote_ms",
            self.vote_ms,
            self.round_ms.min(10_000) * 3,
            60_000,
        );
        check_range("lease_ms", self.lease_ms, self.vote_ms.min(60_000), 600_000);
        check_range("drift_permille", self.drift_permille, 0, 200);
    }
}

/// Indices of the budgets that apply to requests, by group, tenant and pool; `None` where there is no budget.
/// An index is a position in [`Installation::budget_list`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetIndices {
    /// By endpoint group, in the order of the platform's configuration.
    pub groups: Vec<Option<u16>>,
    /// By customer, in the same order.
    pub tenants: Vec<Option<u16>>,
    /// By pool of servers: the pool without a name first, then the others by name.
    pub pools: Vec<Option<u16>>,
    /// Of retries, by pool.
    pub retries: Vec<Option<u16>>,
    /// Of first runs on servers that ramp up, by pool.
    pub ramps: Vec<Option<u16>>,
}

impl FleetFile {
    /// The parameters of the decisions on budgets.
    pub fn budget_parameters(&self) -> Parameters {
        let (times, ms) = (self.leases, |span: u32| {
            TenthMillis::from(span) * MILLISECOND
        });
        Parameters {
            voters: self
                .voters
                .iter()
                .map(|name| Name::from(name.as_str()))
                .collect(),
            round: ms(times.round_ms),
            vote_duration: ms(times.vote_ms),
            lease: ms(times.lease_ms),
            drift: u64::from(times.drift_permille),
            safeguards: self.tests.safeguards,
        }
    }
}

impl BudgetFile {
    fn budget(&self, voters: &[String], longest: TenthMillis) -> Budget {
        let reserved_for = self.reserved_for.as_deref().unwrap_or(voters);
        let max_hold = self
            .max_hold_ms
            .map_or(longest, |ms| TenthMillis::from(ms) * MILLISECOND);
        Budget {
            name: self.name.as_str().into(),
            kind: match self.kind {
                BudgetKind::Rate => Kind::Rate {
                    burst: self.burst.unwrap_or(1),
                },
                BudgetKind::Concurrency => Kind::Concurrency { max_hold },
            },
            limit: self.limit,
            reserved: self.reserved,
            reserved_for: reserved_for
                .iter()
                .map(|name| Name::from(name.as_str()))
                .collect(),
            max_per_node: self.max_per_node.unwrap_or(self.limit).min(self.limit),
        }
    }

    fn faults(&self, at: &str, voters: &[String], faults: &mut Vec<ConfigError>) {
        let mut fault =
            |key: &str, what: String| faults.push(ConfigError::new(format!("{at}{key}"), what));
        if !doortrack_membership::is_name(&self.name) {
            fault(
                ".name",
                "1 to 64 bytes without control characters are wanted".into(),
            );
        }
        for (key, value, least) in [
            (".limit", Some(self.limit), 1),
            (".burst", self.burst, 1),
            (".max_per_node", self.max_per_node, 1),
            (".reserved", Some(self.reserved), 0),
        ] {
            if value.is_some_and(|value| !(least..=MAX_UNITS).contains(&value)) {
                let found = value.unwrap_or(0);
                fault(
                    key,
                    format!("{least} to {MAX_UNITS} is wanted, found {found}"),
                );
            }
        }
        match (self.kind, self.burst) {
            (BudgetKind::Rate, None) => {
                fault("", "needed key 'burst' is missing: a rate has one".into())
            }
            (BudgetKind::Concurrency, Some(_)) => fault(".burst", "only a rate has one".into()),
            _ => {}
        }
        if self.kind == BudgetKind::Rate && self.max_hold_ms.is_some() {
            fault(".max_hold_ms", "only a concurrency is held".into());
        }
        if self.kind == BudgetKind::Concurrency && matches!(self.applies_to, BudgetFor::Retries(_))
        {
            fault(".kind", "retries are a rate".into());
        }
        if self.kind == BudgetKind::Concurrency && matches!(self.applies_to, BudgetFor::Ramp(_)) {
            fault(".kind", "a ramp is a rate".into());
        }
        if self
            .max_hold_ms
            .is_some_and(|ms| !(1..=3_600_000).contains(&ms))
        {
            fault(".max_hold_ms", "1 to 3600000 is wanted".into());
        }
        let nodes = self.reserved_for.as_deref().unwrap_or(voters).len() as u64;
        if u64::from(self.reserved) * nodes > u64::from(self.limit) {
            let what = format!(
                "{} for each of {nodes} nodes are more than the limit",
                self.reserved
            );
            fault(".reserved", what);
        }
        if self.max_per_node.is_some_and(|max| max < self.reserved) {
            fault(".max_per_node", "less than what is reserved".into());
        }
        let burst = u64::from(self.burst.unwrap_or(1));
        let too_small =
            self.reserved > 0 && u64::from(self.reserved) * burst < u64::from(self.limit);
        if self.kind == BudgetKind::Rate && too_small {
            let least = u64::from(self.limit).div_ceil(burst);
            fault(
                ".reserved",
                format!("at least {least} (limit / burst) is wanted, or it holds no whole one"),
            );
        }
    }
}

impl Installation {
    pub(crate) fn budget_faults(&self, faults: &mut Vec<ConfigError>) {
        const AT: &str = "installation.budgets";
        if self.budgets.is_empty() {
            return;
        }
        if self.budgets.len() > MAX_BUDGETS {
            let what = format!(
                "at most {MAX_BUDGETS} are wanted, found {}",
                self.budgets.len()
            );
            faults.push(ConfigError::new(AT, what));
        }
        match &self.fleet {
            None => faults.push(ConfigError::new(
                AT,
                "without 'fleet' there is nobody to divide them with",
            )),
            Some(fleet) if fleet.voters.is_empty() => {
                faults.push(ConfigError::new(
                    "installation.fleet.voters",
                    "budgets need at least one",
                ));
            }
            Some(_) => {}
        }
        let voters = self.fleet.as_ref().map_or(&[][..], |fleet| &fleet.voters);
        let (mut names, mut ids, mut targets) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for (nth, budget) in self.budgets.iter().enumerate() {
            budget.faults(&format!("{AT}[{nth}]"), voters, faults);
            if let Some(other) = names.insert(&budget.name, nth) {
                let what = format!("the name of {AT}[{other}]");
                faults.push(ConfigError::new(format!("{AT}[{nth}].name"), what));
            } else if let Some(other) = ids.insert(budget.budget(voters, 0).id(), nth) {
                let what =
                    format!("nodes could not tell it from that of {AT}[{other}]: take another");
                faults.push(ConfigError::new(format!("{AT}[{nth}].name"), what));
            }
            if let Some(other) = targets.insert(&budget.applies_to, nth) {
                let what = format!("under {AT}[{other}] already");
                faults.push(ConfigError::new(format!("{AT}[{nth}].for"), what));
            }
        }
    }

    /// Conflicts with the platform's configuration.
    pub(crate) fn budgets_beside(&self, orders: &NodeConfig, faults: &mut Vec<ConfigError>) {
        if self.budgets.is_empty() {
            return;
        }
        let tenants: HashSet<&str> = orders
            .settings
            .tenant_names
            .iter()
            .map(String::as_str)
            .collect();
        for (nth, budget) in self.budgets.iter().enumerate() {
            let (kind, known, name) = match &budget.applies_to {
                BudgetFor::Tenant(name) => ("customer", tenants.contains(name.as_str()), name),
                BudgetFor::Group(name) => (
                    "endpoint group",
                    orders.settings.group_names.contains(name),
                    name,
                ),
                BudgetFor::Pool(name) | BudgetFor::Retries(name) | BudgetFor::Ramp(name) => {
                    ("pool", self.pool_names().any(|pool| pool == name), name)
                }
            };
            if !known {
                let what = format!("there is no {kind} '{name}'");
                faults.push(ConfigError::new(
                    format!("installation.budgets[{nth}].for"),
                    what,
                ));
            }
            if let BudgetFor::Ramp(name) = &budget.applies_to
                && known
            {
                self.ramp_fault(
                    budget.limit,
                    name,
                    &format!("installation.budgets[{nth}]"),
                    faults,
                );
            }
        }
    }

    /// A budget for the ramp of a pool that has none, or one that grants more than that ramp.
    fn ramp_fault(&self, limit: u32, pool: &str, at: &str, faults: &mut Vec<ConfigError>) {
        let place = self.pool_names().position(|name| name == pool);
        let servers = place.and_then(|place| self.pools_of_servers().nth(place));
        let Some((path, servers)) = servers else {
            return;
        };
        let Some(ramp) = servers.ramp else {
            return faults.push(ConfigError::new(
                format!("{at}.for"),
                format!("{path} has no ramp"),
            ));
        };
        let most = ramp.tokens_a_second();
        if u64::from(limit) > most {
            let what = format!(
                "at most {most} is wanted, 2 * runs / over_ms a second of {path}.ramp; found {limit}"
            );
            faults.push(ConfigError::new(format!("{at}.limit"), what));
        }
    }

    fn pool_names(&self) -> impl Iterator<Item = &str> {
        let first = self.servers.iter().map(|_| "servers");
        first.chain(self.pools.keys().map(String::as_str))
    }

    /// The budgets in the order of the file. A concurrency without a maximum hold time has the longest
    /// deadline of all endpoint groups.
    pub fn budget_list(&self, orders: &NodeConfig) -> Vec<Budget> {
        let voters = self.fleet.as_ref().map_or(&[][..], |fleet| &fleet.voters);
        let groups = &orders.settings.admission.groups;
        let longest = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        self.budgets
            .iter()
            .map(|budget| budget.budget(voters, longest))
            .collect()
    }

    /// Which budgets apply to which requests.
    pub fn budget_indices(&self, orders: &NodeConfig) -> BudgetIndices {
        let indices: HashMap<&BudgetFor, u16> = self
            .budgets
            .iter()
            .enumerate()
            .map(|(index, budget)| (&budget.applies_to, index as u16))
            .collect();
        let under = |of: BudgetFor| indices.get(&of).copied();
        let all = |names: &[String], of: fn(String) -> BudgetFor| {
            names.iter().map(|name| under(of(name.clone()))).collect()
        };
        BudgetIndices {
            groups: all(&orders.settings.group_names, BudgetFor::Group),
            tenants: all(&orders.settings.tenant_names, BudgetFor::Tenant),
            pools: self
                .pool_names()
                .map(|name| under(BudgetFor::Pool(name.into())))
                .collect(),
            retries: self
                .pool_names()
                .map(|name| under(BudgetFor::Retries(name.into())))
                .collect(),
            ramps: self
                .pool_names()
                .map(|name| under(BudgetFor::Ramp(name.into())))
                .collect(),
        }
    }
}
