//! The leader's ledger: the granted units of each holder, and when they expire.

use std::collections::{BTreeMap, VecDeque};

use crate::{Budget, BudgetId, Grant, HolderDemand, NodeId, Parameters, ReportItem, Units, divide};
use doortrack_time::TenthMillis;

/// Maximum number of unconfirmed allocations kept per holder and budget; beyond it the two oldest
/// are merged into the greater one.
const MAX_UNCONFIRMED: usize = 6;
/// Number of divisions after which the indivisible remaining steps go to the next holder.
const DIVISIONS_PER_ROTATION: u64 = 5;

/// The account of one holder for one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HolderAccount {
    /// The latest report on this budget. Reports of one round on different budgets may arrive in
    /// any order.
    last_seq: u64,
    need: Units,
    /// The units that the holder may have in use, as reported.
    in_use: Units,
    /// Allocations that were sent and not yet confirmed, with the number of the report that each
    /// one answers. Any of them may be in force or come into force.
    unconfirmed: VecDeque<(u64, Units)>,
    /// The allocation by the last division.
    target: Units,
    /// When none of the units can be in use any longer.
    expires_at: TenthMillis,
    /// The limit of the budget in the holder's configuration.
    limit: Units,
    /// The reserved minimum of the budget in the holder's configuration.
    reserved: Units,
}

/// A report of one holder.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HolderReport<'a> {
    /// The number of the report.
    pub seq: u64,
    /// The holder's capacity.
    pub weight: u32,
    pub items: &'a [ReportItem],
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    weight: u32,
    accounts: BTreeMap<usize, HolderAccount>,
}

/// The account of one budget over all holders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BudgetAccount {
    budget: Budget,
    granted: Units,
    /// The total that can be granted, by the lowest limit and the greatest reserved minimum in the
    /// configuration of any holder.
    grantable: Units,
}

/// The ledger of one term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    accounts: Vec<BudgetAccount>,
    indices: BTreeMap<BudgetId, usize>,
    holders: BTreeMap<NodeId, Holder>,
    rotation: u64,
}

impl BudgetAccount {
    /// Lowers the grantable total to what the configuration of a holder allows.
    fn lower_grantable(&mut self, item: &ReportItem) {
        let limit = item.limit.min(self.budget.limit());
        let grantable = self.budget.grantable(limit, item.reserved);
        self.grantable = self.grantable.min(grantable);
    }

    /// The units that can be granted to a holder while the others have `others`.
    fn free(&self, others: Units) -> Units {
        self.grantable.saturating_sub(others)
    }
}

impl HolderAccount {
    /// Creates an empty account with the holder's configuration.
    fn new(item: &ReportItem) -> HolderAccount {
        HolderAccount {
            last_seq: 0,
            need: 0,
            in_use: 0,
            unconfirmed: VecDeque::new(),
            target: 0,
            expires_at: 0,
            limit: item.limit,
            reserved: item.reserved,
        }
    }

    /// Applies an item of report `seq`, which confirms allocations.
    fn apply(
        &mut self,
        now: TenthMillis,
        seq: u64,
        item: &ReportItem,
        budget: &Budget,
        parameters: &Parameters,
    ) {
        self.last_seq = seq;
        self.unconfirmed
            .retain(|(unconfirmed, _)| *unconfirmed > item.accepted);
        self.in_use = item.holding.min(budget.limit());
        self.need = item.need;
        self.limit = item.limit;
        self.reserved = item.reserved;
        self.expires_at = now + parameters.lease_duration + parameters.max_hold_after_lease(budget);
    }

    /// The units that the holder is to get: those in use, if the leader only prolongs, or else its
    /// target.
    fn entitlement(&self, prolongs: bool) -> Units {
        if prolongs { self.in_use } else { self.target }
    }

    /// The maximum number of units that the holder may have in use.
    fn outstanding(&self, parameters: &Parameters) -> Units {
        if !parameters.safeguards.await_confirmation {
            return self
                .unconfirmed
                .back()
                .map_or(self.in_use, |(_, allocation)| *allocation);
        }
        self.unconfirmed
            .iter()
            .map(|(_, allocation)| *allocation)
            .fold(self.in_use, Units::max)
    }

    /// Records an allocation sent in answer to report `seq`.
    fn record_grant(&mut self, seq: u64, allocation: Units) {
        self.unconfirmed.push_back((seq, allocation));
        if self.unconfirmed.len() > MAX_UNCONFIRMED
            && let Some((_, oldest)) = self.unconfirmed.pop_front()
            && let Some((_, next)) = self.unconfirmed.front_mut()
        {
            *next = oldest.max(*next);
        }
    }
}

impl Ledger {
    /// Creates a ledger without grants.
    pub fn new(list: &[Budget]) -> Ledger {
        let account = |budget: &Budget| BudgetAccount {
            granted: 0,
            grantable: budget.grantable(budget.limit(), budget.reserved()),
            budget: budget.clone(),
        };
        let indices = list
            .iter()
            .enumerate()
            .map(|(index, budget)| (budget.id(), index))
            .collect();
        Ledger {
            accounts: list.iter().map(account).collect(),
            indices,
            ..Ledger::default()
        }
    }

    /// Replaces the list of budgets; the grants of budgets that remain are kept.
    pub fn change_budgets(&mut self, list: &[Budget]) {
        let old = std::mem::replace(self, Ledger::new(list));
        for (node, holder) in old.holders {
            let remaining = holder
                .accounts
                .into_iter()
                .filter_map(|(index, holder_account)| {
                    let index = *self.indices.get(&old.accounts[index].budget.id())?;
                    Some((index, holder_account))
                });
            let accounts: BTreeMap<usize, HolderAccount> = remaining.collect();
            self.holders.insert(node, Holder { accounts, ..holder });
        }
        for account in &mut self.accounts {
            let previous = old
                .indices
                .get(&account.budget.id())
                .map(|index| &old.accounts[*index]);
            account.granted = previous.map_or(0, |previous| previous.granted);
        }
        self.rotation = old.rotation;
    }

    /// Applies a report and returns the grants for the holder; none if the report is outdated.
    /// `settled` returns true if all grants of the budget by earlier leaders have expired.
    pub fn apply_report(
        &mut self,
        now: TenthMillis,
        node: &NodeId,
        report: HolderReport,
        settled: impl Fn(&Budget) -> bool,
        parameters: &Parameters,
    ) -> Option<Vec<Grant>> {
        let holder = self.holders.entry(node.clone()).or_default();
        holder.weight = report.weight;
        let mut grants = Vec::with_capacity(report.items.len());
        for item in report.items {
            let Some(index) = self.indices.get(&item.id).copied() else {
                continue;
            };
            let account = &mut self.accounts[index];
            account.lower_grantable(item);
            let holder_account = holder
                .accounts
                .entry(index)
                .or_insert_with(|| HolderAccount::new(item));
            if report.seq <= holder_account.last_seq && parameters.safeguards.reject_stale_messages
            {
                continue;
            }
            let previous = holder_account.outstanding(parameters);
            holder_account.apply(now, report.seq, item, &account.budget, parameters);
            let prolongs = !settled(&account.budget);
            // Units that others may have in use cannot be granted to this holder.
            let others = account.granted.saturating_sub(previous);
            let allocation = holder_account
                .entitlement(prolongs)
                .min(account.free(others));
            holder_account.record_grant(report.seq, allocation);
            account.granted = others + holder_account.outstanding(parameters);
            grants.push(Grant {
                id: item.id,
                allocation,
                prolongs,
            });
        }
        (!grants.is_empty()).then_some(grants)
    }

    /// Removes expired accounts, and sets a new target for every holder.
    pub fn divide(&mut self, now: TenthMillis, parameters: &Parameters) {
        self.rotation += 1;
        self.remove_expired(now, parameters);
        let demands = self.demands();
        self.update_grantable();
        let mut allocations: Vec<std::vec::IntoIter<Units>> = self
            .accounts
            .iter()
            .zip(&demands)
            .map(|(account, demands)| {
                let (limit, step) = (account.grantable, account.budget.step());
                divide(limit, step, demands, self.rotation / DIVISIONS_PER_ROTATION).into_iter()
            })
            .collect();
        for holder in self.holders.values_mut() {
            for (index, holder_account) in &mut holder.accounts {
                holder_account.target = allocations[*index].next().unwrap_or(0);
            }
        }
    }

    fn remove_expired(&mut self, now: TenthMillis, parameters: &Parameters) {
        for holder in self.holders.values_mut() {
            holder.accounts.retain(|index, holder_account| {
                let is_expired = holder_account.expires_at <= now;
                if is_expired {
                    let granted = &mut self.accounts[*index].granted;
                    *granted = granted.saturating_sub(holder_account.outstanding(parameters));
                }
                !is_expired
            });
        }
        self.holders.retain(|_, holder| !holder.accounts.is_empty());
    }

    /// The demands on each budget, in the order of the holders.
    fn demands(&self) -> Vec<Vec<HolderDemand>> {
        let mut demands: Vec<Vec<HolderDemand>> = vec![Vec::new(); self.accounts.len()];
        for (node, holder) in &self.holders {
            for (index, holder_account) in &holder.accounts {
                demands[*index].push(HolderDemand {
                    need: holder_account.need,
                    weight: holder.weight,
                    max: self.accounts[*index].budget.max_grant(&node.name),
                });
            }
        }
        demands
    }

    /// Recomputes the grantable totals from the lowest limit and the greatest reserved minimum in
    /// the configuration of any holder.
    fn update_grantable(&mut self) {
        let mut bounds: Vec<(Units, Units)> = self
            .accounts
            .iter()
            .map(|account| (account.budget.limit(), account.budget.reserved()))
            .collect();
        for holder in self.holders.values() {
            for (index, holder_account) in &holder.accounts {
                let (limit, reserved) = &mut bounds[*index];
                *limit = holder_account.limit.min(*limit);
                *reserved = holder_account.reserved.max(*reserved);
            }
        }
        for (account, (limit, reserved)) in self.accounts.iter_mut().zip(bounds) {
            account.grantable = account.budget.grantable(limit, reserved);
        }
    }

    /// The granted units of the budget at this index.
    pub fn granted(&self, index: usize) -> Units {
        self.accounts
            .get(index)
            .map_or(0, |account| account.granted)
    }
}
