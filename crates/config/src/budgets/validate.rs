//! Validation of budgets beyond what their types enforce.

use std::collections::{BTreeMap, HashSet};

use doortrack_budgets::MAX_BUDGETS;

use super::{BudgetConfig, BudgetKind, BudgetScope, LeaseTimes};
use crate::fleet::NAME_RULE;
use crate::range::check_range;
use crate::{ConfigErrorKind, ErrorCollector, Installation, NodeConfig};

/// Path of the budgets in the installation file.
const BUDGETS: &str = "installation.budgets";
/// Maximum of a limit, reserved minimum, maximum per node and burst.
const MAX_UNITS: u32 = 10_000_000;
const MAX_HOLD_MS: u32 = 3_600_000;
const MAX_ROUND_MS: u32 = 10_000;
const MAX_VOTE_MS: u32 = 60_000;
const MAX_LEASE_MS: u32 = 600_000;
const MAX_DRIFT_PERMILLE: u32 = 200;
/// Minimum duration of a vote, in rounds.
const MIN_ROUNDS_PER_VOTE: u32 = 3;

impl LeaseTimes {
    /// Adds an error for every value that is out of its range.
    pub(crate) fn validate(&self, errors: &mut ErrorCollector) {
        let mut check = |key: &str, value: u32, min: u32, max: u32| {
            let path = format!("installation.fleet.leases.{key}");
            check_range(errors, path, value, min..=max);
        };
        let min_vote = self.round_ms.min(MAX_ROUND_MS) * MIN_ROUNDS_PER_VOTE;
        let min_lease = self.vote_ms.min(MAX_VOTE_MS);
        check("round_ms", self.round_ms, 20, MAX_ROUND_MS);
        check("vote_ms", self.vote_ms, min_vote, MAX_VOTE_MS);
        check("lease_ms", self.lease_ms, min_lease, MAX_LEASE_MS);
        check("drift_permille", self.drift_permille, 0, MAX_DRIFT_PERMILLE);
    }
}

impl BudgetConfig {
    /// Adds all errors of the budget at `path`.
    fn validate(&self, path: &str, voters: &[String], errors: &mut ErrorCollector) {
        if !doortrack_membership::is_valid_name(&self.name) {
            errors.push(format!("{path}.name"), NAME_RULE);
        }
        self.validate_ranges(path, errors);
        self.validate_kind(path, errors);
        if self
            .max_hold_ms
            .is_some_and(|millis| !(1..=MAX_HOLD_MS).contains(&millis))
        {
            let message = format!("1 to {MAX_HOLD_MS} is wanted");
            errors.push(format!("{path}.max_hold_ms"), message);
        }
        self.validate_reserved(path, voters, errors);
    }

    fn validate_ranges(&self, path: &str, errors: &mut ErrorCollector) {
        let ranges = [
            ("limit", Some(self.limit), 1),
            ("burst", self.burst, 1),
            ("max_per_node", self.max_per_node, 1),
            ("reserved", Some(self.reserved), 0),
        ];
        for (key, value, min) in ranges {
            if let Some(value) = value {
                check_range(errors, format!("{path}.{key}"), value, min..=MAX_UNITS);
            }
        }
    }

    /// Checks keys that only one kind of budget has, and scopes that need a rate.
    fn validate_kind(&self, path: &str, errors: &mut ErrorCollector) {
        match (self.kind, self.burst) {
            (BudgetKind::Rate, None) => {
                errors.push(path, "needed key 'burst' is missing: a rate has one");
            }
            (BudgetKind::Concurrency, Some(_)) => {
                errors.push(format!("{path}.burst"), "only a rate has one");
            }
            (BudgetKind::Rate, Some(_)) | (BudgetKind::Concurrency, None) => {}
        }
        if self.kind == BudgetKind::Rate && self.max_hold_ms.is_some() {
            errors.push(format!("{path}.max_hold_ms"), "only a concurrency is held");
        }
        if self.kind == BudgetKind::Concurrency {
            match self.applies_to {
                BudgetScope::Retries(_) => {
                    errors.push(format!("{path}.kind"), "retries are a rate");
                }
                BudgetScope::SlowStart(_) => {
                    errors.push(format!("{path}.kind"), "a ramp is a rate")
                }
                BudgetScope::Tenant(_) | BudgetScope::Group(_) | BudgetScope::Pool(_) => {}
            }
        }
    }

    /// Checks the reserved minimum against the limit, the maximum per node and the burst.
    fn validate_reserved(&self, path: &str, voters: &[String], errors: &mut ErrorCollector) {
        let (limit, reserved) = (u64::from(self.limit), u64::from(self.reserved));
        let nodes = self.nodes_with_reserve(voters).len() as u64;
        if reserved * nodes > limit {
            let message = format!("{reserved} for each of {nodes} nodes are more than the limit");
            errors.push(format!("{path}.reserved"), message);
        }
        if self.max_per_node.is_some_and(|max| max < self.reserved) {
            errors.push(format!("{path}.max_per_node"), "less than what is reserved");
        }
        self.validate_reserved_rate(path, errors);
    }

    /// Checks that the reserved part of a rate has room for a whole request: `reserved * burst / limit` has to be at
    /// least 1.
    fn validate_reserved_rate(&self, path: &str, errors: &mut ErrorCollector) {
        let (limit, reserved) = (u64::from(self.limit), u64::from(self.reserved));
        let burst = u64::from(self.burst.unwrap_or(1));
        let burst_in_range = burst > 0; // Otherwise `validate_ranges` adds an error.
        if self.kind != BudgetKind::Rate || reserved == 0 || !burst_in_range {
            return;
        }
        if reserved * burst < limit {
            let min = limit.div_ceil(burst);
            let message =
                format!("at least {min} (limit / burst) is wanted, or it holds no whole one");
            errors.push(format!("{path}.reserved"), message);
        }
    }
}

impl Installation {
    /// Adds all errors of the budgets that the file alone shows.
    pub(crate) fn validate_budgets(&self, errors: &mut ErrorCollector) {
        if self.budgets.is_empty() {
            return;
        }
        if self.budgets.len() > MAX_BUDGETS {
            let (max, found) = (MAX_BUDGETS, self.budgets.len());
            errors.push(BUDGETS, ConfigErrorKind::TooMany { max, found });
        }
        match &self.fleet {
            None => errors.push(
                BUDGETS,
                "without 'fleet' there is nobody to divide them with",
            ),
            Some(fleet) if fleet.voters.is_empty() => {
                errors.push("installation.fleet.voters", "budgets need at least one");
            }
            Some(_) => {}
        }
        let voters = self.voters();
        let (mut names, mut ids, mut scopes) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for (index, budget) in self.budgets.iter().enumerate() {
            let path = format!("{BUDGETS}[{index}]");
            budget.validate(&path, voters, errors);
            if let Some(other) = names.insert(&budget.name, index) {
                let message = format!("the name of {BUDGETS}[{other}]");
                errors.push(format!("{path}.name"), message);
            } else if let Some(other) = ids.insert(budget.to_budget(voters, 0).id(), index) {
                let message = format!(
                    "nodes could not tell it from that of {BUDGETS}[{other}]: take another"
                );
                errors.push(format!("{path}.name"), message);
            }
            if let Some(other) = scopes.insert(&budget.applies_to, index) {
                let message = format!("under {BUDGETS}[{other}] already");
                errors.push(format!("{path}.for"), message);
            }
        }
    }

    /// Adds an error for every budget that is inconsistent with the platform's configuration.
    pub(crate) fn validate_budgets_with(&self, config: &NodeConfig, errors: &mut ErrorCollector) {
        if self.budgets.is_empty() {
            return;
        }
        let settings = &config.settings;
        let tenants: HashSet<&str> = settings.tenant_names.iter().map(String::as_str).collect();
        for (index, budget) in self.budgets.iter().enumerate() {
            let path = format!("{BUDGETS}[{index}]");
            let (kind, name, known) = match &budget.applies_to {
                BudgetScope::Tenant(name) => ("customer", name, tenants.contains(name.as_str())),
                BudgetScope::Group(name) => {
                    ("endpoint group", name, settings.group_names.contains(name))
                }
                BudgetScope::Pool(name)
                | BudgetScope::Retries(name)
                | BudgetScope::SlowStart(name) => {
                    ("pool", name, self.pool_names().any(|pool| pool == name))
                }
            };
            if !known {
                let name = name.clone();
                errors.push(
                    format!("{path}.for"),
                    ConfigErrorKind::UnknownName { kind, name },
                );
            } else if let BudgetScope::SlowStart(pool) = &budget.applies_to {
                self.validate_slow_start_budget(budget.limit, pool, &path, errors);
            }
        }
    }

    /// Adds an error if a slow start budget is for a pool without slow start, or its limit exceeds what the slow
    /// start can use.
    fn validate_slow_start_budget(
        &self,
        limit: u32,
        pool: &str,
        path: &str,
        errors: &mut ErrorCollector,
    ) {
        let index = self.pool_names().position(|name| name == pool);
        let Some((pool_path, servers)) = index.and_then(|index| self.pools_with_paths().nth(index))
        else {
            return;
        };
        let Some(slow_start) = servers.slow_start else {
            errors.push(format!("{path}.for"), format!("{pool_path} has no ramp"));
            return;
        };
        let max = slow_start.tokens_per_second();
        if u64::from(limit) > max {
            let message = format!(
                "at most {max} is wanted, 2 * runs / over_ms a second of {pool_path}.ramp; found {limit}"
            );
            errors.push(format!("{path}.limit"), message);
        }
    }
}
