//! The leader's ledger: what is granted, to whom and until when.

use std::collections::{BTreeMap, VecDeque};

use crate::{Budget, BudgetId, Grant, HolderDemand, NodeId, Parameters, ReportItem, Units, divide};
use doortrack_time::TenthMillis;

/// Unconfirmed allocations of a holder that are kept one by one; beyond that the two oldest are
/// merged into the greater.
const MAX_SENT: usize = 6;
/// Divisions after which single steps that can't be divided go to the next holder.
const ROTATE_AFTER: u64 = 5;

/// What one holder has of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HolderAccount {
    /// The latest report on it. The reports of one round on different budgets may arrive in any
    /// order.
    last_seq: u64,
    need: Units,
    /// What the holder reported that it may have in use.
    in_use: Units,
    /// Allocations sent since, by report: any of them may be or come into force.
    sent: VecDeque<(u64, Units)>,
    /// What it is to have by the last division.
    target: Units,
    /// When nothing of this can be in use any more.
    expires_at: TenthMillis,
    /// The limit of the budget as the holder is configured.
    limit: Units,
    /// The reserved minimum of the budget as the holder is configured.
    reserved: Units,
}

/// A report of one holder.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HolderReport<'a> {
    /// Its number.
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

/// One budget over all holders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BudgetAccount {
    budget: Budget,
    granted: Units,
    /// What can be granted at all: by the lowest limit and the greatest reserved minimum that any
    /// holder is configured with.
    grantable: Units,
}

/// The ledger of one term; it begins empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    accounts: Vec<BudgetAccount>,
    indices: BTreeMap<BudgetId, usize>,
    holders: BTreeMap<NodeId, Holder>,
    rotation: u64,
}

impl BudgetAccount {
    /// Lowers what can be granted to what a holder's configuration allows.
    fn lower_grantable(&mut self, item: &ReportItem) {
        let limit = item.limit.min(self.budget.limit());
        let grantable = self.budget.grantable(limit, item.reserved);
        self.grantable = self.grantable.min(grantable);
    }

    /// What can be granted while others have this much.
    fn free(&self, others: Units) -> Units {
        self.grantable.saturating_sub(others)
    }
}

impl HolderAccount {
    /// Nothing is known of the holder but its configuration.
    fn new(item: &ReportItem) -> HolderAccount {
        HolderAccount {
            last_seq: 0,
            need: 0,
            in_use: 0,
            sent: VecDeque::new(),
            target: 0,
            expires_at: 0,
            limit: item.limit,
            reserved: item.reserved,
        }
    }

    /// Applies an item of report `seq`, which confirms the allocations that it has accepted.
    fn apply(
        &mut self,
        now: TenthMillis,
        seq: u64,
        item: &ReportItem,
        budget: &Budget,
        parameters: &Parameters,
    ) {
        self.last_seq = seq;
        self.sent.retain(|(sent, _)| *sent > item.accepted);
        self.in_use = item.holding.min(budget.limit());
        self.need = item.need;
        self.limit = item.limit;
        self.reserved = item.reserved;
        self.expires_at = now + parameters.lease_duration + parameters.max_hold_after_lease(budget);
    }

    /// What the holder is to get: what it has in use, if that is only prolonged, or else its
    /// target.
    fn wanted(&self, prolongs: bool) -> Units {
        if prolongs { self.in_use } else { self.target }
    }

    /// The most that the holder may have in use.
    fn outstanding(&self, parameters: &Parameters) -> Units {
        if !parameters.safeguards.await_confirmation {
            return self
                .sent
                .back()
                .map_or(self.in_use, |(_, allocation)| *allocation);
        }
        self.sent
            .iter()
            .map(|(_, allocation)| *allocation)
            .fold(self.in_use, Units::max)
    }

    /// Records an allocation that is sent in answer to report `seq`.
    fn send(&mut self, seq: u64, allocation: Units) {
        self.sent.push_back((seq, allocation));
        if self.sent.len() > MAX_SENT
            && let Some((_, oldest)) = self.sent.pop_front()
            && let Some((_, next)) = self.sent.front_mut()
        {
            *next = oldest.max(*next);
        }
    }
}

impl Ledger {
    /// Nothing is granted yet.
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

    /// Changes the budgets; what is granted of those that remain is kept.
    pub fn change(&mut self, list: &[Budget]) {
        let old = std::mem::replace(self, Ledger::new(list));
        for (node, holder) in old.holders {
            let remaining = holder.accounts.into_iter().filter_map(|(index, holding)| {
                let index = *self.indices.get(&old.accounts[index].budget.id())?;
                Some((index, holding))
            });
            let accounts: BTreeMap<usize, HolderAccount> = remaining.collect();
            self.holders.insert(node, Holder { accounts, ..holder });
        }
        for account in &mut self.accounts {
            let before = old
                .indices
                .get(&account.budget.id())
                .map(|index| &old.accounts[*index]);
            account.granted = before.map_or(0, |before| before.granted);
        }
        self.rotation = old.rotation;
    }

    /// Applies a report and returns what the holder may use; none if the report is outdated.
    /// `settled` says of a budget whether all that an earlier leader granted of it has expired.
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
            let holding = holder
                .accounts
                .entry(index)
                .or_insert_with(|| HolderAccount::new(item));
            if report.seq <= holding.last_seq && parameters.safeguards.reject_stale_answers {
                continue;
            }
            let before = holding.outstanding(parameters);
            holding.apply(now, report.seq, item, &account.budget, parameters);
            let prolongs = !settled(&account.budget);
            // What others may have in use is theirs, whatever this holder needs.
            let others = account.granted.saturating_sub(before);
            let allocation = holding.wanted(prolongs).min(account.free(others));
            holding.send(report.seq, allocation);
            account.granted = others + holding.outstanding(parameters);
            grants.push(Grant {
                id: item.id,
                allocation,
                prolongs,
            });
        }
        (!grants.is_empty()).then_some(grants)
    }

    /// Removes what has expired, and divides the budgets anew.
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
                divide(limit, step, demands, self.rotation / ROTATE_AFTER).into_iter()
            })
            .collect();
        for holder in self.holders.values_mut() {
            for (index, holding) in &mut holder.accounts {
                holding.target = allocations[*index].next().unwrap_or(0);
            }
        }
    }

    fn remove_expired(&mut self, now: TenthMillis, parameters: &Parameters) {
        for holder in self.holders.values_mut() {
            holder.accounts.retain(|index, holding| {
                let expired = holding.expires_at <= now;
                if expired {
                    let granted = &mut self.accounts[*index].granted;
                    *granted = granted.saturating_sub(holding.outstanding(parameters));
                }
                !expired
            });
        }
        self.holders.retain(|_, holder| !holder.accounts.is_empty());
    }

    /// The demands on each budget, in the order of the holders.
    fn demands(&self) -> Vec<Vec<HolderDemand>> {
        let mut demands: Vec<Vec<HolderDemand>> = vec![Vec::new(); self.accounts.len()];
        for (node, holder) in &self.holders {
            for (index, holding) in &holder.accounts {
                demands[*index].push(HolderDemand {
                    need: holding.need,
                    weight: holder.weight,
                    max: self.accounts[*index].budget.max_grant(&node.name),
                });
            }
        }
        demands
    }

    /// Computes what can be granted by the lowest limit and the greatest reserved minimum of all
    /// holders.
    fn update_grantable(&mut self) {
        let mut bounds: Vec<(Units, Units)> = self
            .accounts
            .iter()
            .map(|account| (account.budget.limit(), account.budget.reserved()))
            .collect();
        for holder in self.holders.values() {
            for (index, holding) in &holder.accounts {
                let (limit, reserved) = &mut bounds[*index];
                *limit = holding.limit.min(*limit);
                *reserved = holding.reserved.max(*reserved);
            }
        }
        for (account, (limit, reserved)) in self.accounts.iter_mut().zip(bounds) {
            account.grantable = account.budget.grantable(limit, reserved);
        }
    }

    /// What is granted of the budget at this index.
    pub fn granted(&self, index: usize) -> Units {
        self.accounts
            .get(index)
            .map_or(0, |account| account.granted)
    }
}
