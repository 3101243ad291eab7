//! The leader's ledger: what is granted, to whom and until when.

use std::collections::{BTreeMap, VecDeque};

use crate::{Budget, Grant, HolderDemand, Id, NodeId, Parameters, ReportItem, Units, divide};
use doortrack_time::TenthMillis;

/// Unconfirmed allocations of a holder that are kept one by one; beyond that the two oldest are merged into
/// the greater.
const MAX_SENT: usize = 6;
/// Divisions after which single steps that can't be divided go to the next holder.
const ROTATE_AFTER: u64 = 5;

/// What one holder has of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HolderAccount {
    /// The latest report on it. The reports of one round on different budgets may arrive in any order.
    last_seq: u64,
    need: Units,
    /// What the holder reported it may have in use.
    holding: Units,
    /// Allocations sent since, by report: any of them may be or come into force.
    sent: VecDeque<(u64, Units)>,
    /// What it is to have by the last division.
    target: Units,
    /// When nothing of this can be in use any more.
    till: TenthMillis,
    limit: Units,
    reserved: Units,
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
    /// What can be granted at all: by the lowest limit and the greatest reserved minimum that any holder is
    /// configured with.
    grantable: Units,
}

/// The ledger of one term; it begins empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger {
    accounts: Vec<BudgetAccount>,
    indices: BTreeMap<Id, usize>,
    holders: BTreeMap<NodeId, Holder>,
    rotation: u64,
}

impl HolderAccount {
    fn outstanding(&self, parameters: &Parameters) -> Units {
        if !parameters.safeguards.confirm {
            return self
                .sent
                .back()
                .map_or(self.holding, |(_, allocation)| *allocation);
        }
        self.sent
            .iter()
            .map(|(_, allocation)| *allocation)
            .fold(self.holding, Units::max)
    }

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
        for (who, holder) in old.holders {
            let kept = holder.accounts.into_iter().filter_map(|(index, held)| {
                let index = *self.indices.get(&old.accounts[index].budget.id())?;
                Some((index, held))
            });
            let accounts: BTreeMap<usize, HolderAccount> = kept.collect();
            self.holders.insert(who, Holder { accounts, ..holder });
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

    /// Takes in a report and returns what the holder may use; none if the report is outdated. `settled` tells
    /// of a budget whether all that an earlier leader granted of it has expired.
    pub fn report(
        &mut self,
        now: TenthMillis,
        who: &NodeId,
        (seq, weight): (u64, u32),
        items: &[ReportItem],
        settled: impl Fn(&Budget) -> bool,
        parameters: &Parameters,
    ) -> Option<Vec<Grant>> {
        let holder = self.holders.entry(who.clone()).or_default();
        holder.weight = weight;
        let mut grants = Vec::with_capacity(items.len());
        for item in items {
            let Some(index) = self.indices.get(&item.id).copied() else {
                continue;
            };
            let account = &mut self.accounts[index];
            let grantable = account
                .budget
                .grantable(item.limit.min(account.budget.limit()), item.reserved);
            account.grantable = account.grantable.min(grantable);
            let held = holder
                .accounts
                .entry(index)
                .or_insert_with(|| HolderAccount {
                    last_seq: 0,
                    need: 0,
                    holding: 0,
                    sent: VecDeque::new(),
                    target: 0,
                    till: 0,
                    limit: item.limit,
                    reserved: item.reserved,
                });
            if seq <= held.last_seq && parameters.safeguards.in_order {
                continue;
            }
            held.last_seq = seq;
            let before = held.outstanding(parameters);
            held.sent.retain(|(seq, _)| *seq > item.accepted);
            held.holding = item.holding.min(account.budget.limit());
            (held.need, held.limit, held.reserved) = (item.need, item.limit, item.reserved);
            held.till = now
                + parameters.lease
                + if parameters.safeguards.held {
                    account.budget.max_hold()
                } else {
                    0
                };
            // What others may have is theirs, whatever this one needs.
            let others = account.granted.saturating_sub(before);
            let free = account.grantable.saturating_sub(others);
            let prolongs = !settled(&account.budget);
            let wanted = if prolongs { held.holding } else { held.target };
            let allocation = wanted.min(free);
            held.send(seq, allocation);
            account.granted = others + held.outstanding(parameters);
            grants.push(Grant {
                id: item.id,
                allocation,
                prolongs,
            });
        }
        (!grants.is_empty()).then_some(grants)
    }

    /// Strikes out what has expired, and divides the budgets anew.
    pub fn divide(&mut self, now: TenthMillis, parameters: &Parameters) {
        self.rotation += 1;
        for holder in self.holders.values_mut() {
            holder.accounts.retain(|index, held| {
                let over = held.till <= now;
                if over {
                    let account = &mut self.accounts[*index];
                    account.granted = account.granted.saturating_sub(held.outstanding(parameters));
                }
                !over
            });
        }
        self.holders.retain(|_, holder| !holder.accounts.is_empty());
        let mut demands: Vec<Vec<HolderDemand>> = vec![Vec::new(); self.accounts.len()];
        let mut seen: Vec<(Units, Units)> = self
            .accounts
            .iter()
            .map(|account| (account.budget.limit(), account.budget.reserved()))
            .collect();
        for (who, holder) in &self.holders {
            for (index, held) in &holder.accounts {
                let max = self.accounts[*index].budget.max_grant(&who.name);
                demands[*index].push(HolderDemand {
                    need: held.need,
                    weight: holder.weight,
                    max,
                });
                let (limit, reserved) = &mut seen[*index];
                (*limit, *reserved) = (held.limit.min(*limit), held.reserved.max(*reserved));
            }
        }
        let mut allocations: Vec<std::vec::IntoIter<Units>> =
            Vec::with_capacity(self.accounts.len());
        for ((account, demands), (limit, reserved)) in
            self.accounts.iter_mut().zip(&demands).zip(seen)
        {
            account.grantable = account.budget.grantable(limit, reserved);
            allocations.push(
                divide(
                    account.grantable,
                    account.budget.step(),
                    demands,
                    self.rotation / ROTATE_AFTER,
                )
                .into_iter(),
            );
        }
        for holder in self.holders.values_mut() {
            for (index, held) in &mut holder.accounts {
                held.target = allocations[*index].next().unwrap_or(0);
            }
        }
    }

    /// What is granted of the budget at this index.
    pub fn granted(&self, index: usize) -> Units {
        self.accounts
            .get(index)
            .map_or(0, |account| account.granted)
    }
}
