//! Which budget applies to which requests.

use std::collections::HashMap;

use doortrack_budgets::Budget;

use super::BudgetScope;
use crate::{Installation, NodeConfig};

/// Indices of the budgets that apply to requests, by group, tenant and pool; `None` where there is no budget.
/// An index is a position in [`Installation::budget_list`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BudgetIndices {
    /// By endpoint group, in the order of the platform's configuration.
    pub groups: Vec<Option<u16>>,
    /// By tenant, in the same order.
    pub tenants: Vec<Option<u16>>,
    /// By pool of servers, in the order of [`Installation::named_pools`].
    pub pools: Vec<Option<u16>>,
    /// Of retries, by pool.
    pub retries: Vec<Option<u16>>,
    /// Of first runs on servers in slow start, by pool.
    pub slow_starts: Vec<Option<u16>>,
}

impl Installation {
    /// The budgets in the order of the file. A concurrency without a maximum hold time has the longest
    /// deadline of all endpoint groups.
    pub fn budget_list(&self, config: &NodeConfig) -> Vec<Budget> {
        let groups = &config.settings.admission.groups;
        let longest_deadline = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        let voters = self.voters();
        self.budgets
            .iter()
            .map(|budget| budget.budget(voters, longest_deadline))
            .collect()
    }

    /// Which budgets apply to which requests.
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
