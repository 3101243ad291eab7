//! Determines which budget applies to which requests.

use std::collections::HashMap;

use doortrack_budgets::Budget;

use super::BudgetScope;
use crate::{Installation, NodeConfig};

/// Indices of the budgets that apply to requests, by group, tenant and pool, or `None` where no budget applies.
/// An index is a position in [`Installation::budget_list`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetIndices {
    /// Budgets of endpoint groups, in the order of the platform's configuration.
    pub groups: Vec<Option<u16>>,
    /// Budgets of tenants, in the order of the platform's configuration.
    pub tenants: Vec<Option<u16>>,
    /// Budgets of server pools, in the order of [`Installation::named_pools`].
    pub pools: Vec<Option<u16>>,
    /// Budgets of retries, by pool.
    pub retries: Vec<Option<u16>>,
    /// Budgets of runs on servers in slow start, by pool.
    pub slow_starts: Vec<Option<u16>>,
}

impl Installation {
    /// Returns the budgets in the order of the file. The maximum hold time of a concurrency budget defaults to the
    /// longest deadline of all endpoint groups.
    pub fn budget_list(&self, config: &NodeConfig) -> Vec<Budget> {
        let groups = &config.settings.admission.groups;
        let longest_deadline = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        let voters = self.voters();
        self.budgets
            .iter()
            .map(|budget| budget.to_budget(voters, longest_deadline))
            .collect()
    }

    /// Returns the budgets that apply to each group, tenant and pool.
    pub fn budget_indices(&self, config: &NodeConfig) -> BudgetIndices {
        let indices: HashMap<&BudgetScope, u16> = self
            .budgets
            .iter()
            .enumerate()
            .map(|(index, budget)| (&budget.applies_to, index as u16))
            .collect();
        let indices_of = |names: &[String], scope: fn(String) -> BudgetScope| -> Vec<Option<u16>> {
            names
                .iter()
                .map(|name| indices.get(&scope(name.clone())).copied())
                .collect()
        };
        let pools: Vec<String> = self.pool_names().map(String::from).collect();
        BudgetIndices {
            groups: indices_of(&config.settings.group_names, BudgetScope::Group),
            tenants: indices_of(&config.settings.tenant_names, BudgetScope::Tenant),
            pools: indices_of(&pools, BudgetScope::Pool),
            retries: indices_of(&pools, BudgetScope::Retries),
            slow_starts: indices_of(&pools, BudgetScope::SlowStart),
        }
    }
}
