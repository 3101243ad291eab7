//! The fleet's budgets at this node: which of them apply to a request, permits, and what is logged and
//! reported. How budgets are divided is decided by `doortrack-budgets`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_budgets::{Action, Budget, Budgets, Change, Event, Kind, NodeId, Parameters, Units};
use doortrack_config::reload::FleetChange;
use doortrack_config::{BudgetIndices, FleetConfig, Installation, NodeConfig};
use doortrack_time::{MILLISECOND, TenthMillis};
use slog::{Logger, info, warn};

use super::peer_message::{BUDGET_PAGE, BudgetPage, BudgetStatus};
use crate::subsystem::{AdmissionRequest, Permit, Use};

/// Between reading the clock and the use that follows lie some hundred ns. A use after a longer pause of the
/// process is counted as late.
const LATE: TenthMillis = 5 * MILLISECOND;

/// The decisions on budgets, and which budgets apply to which requests.
pub struct FleetBudgets {
    pub budgets: Budgets,
    indices: BudgetIndices,
    pub actions: Vec<Action>,
    /// By index: units used and not cancelled.
    used: Vec<u64>,
    /// By index: the allocation that was logged last.
    logged: Vec<Units>,
    /// Uses after a pause of the process, between reading the clock and the use.
    late: u64,
    /// Budgets held by abandoned runs, and until when those may go on.
    lingering: BinaryHeap<Reverse<(TenthMillis, u16)>>,
}

impl FleetBudgets {
    /// `None` where the installation has no budgets.
    pub fn open(
        file: &FleetConfig,
        installation: &Installation,
        orders: &NodeConfig,
        me: NodeId,
    ) -> Option<FleetBudgets> {
        if installation.budgets.is_empty() {
            return None;
        }
        let list = installation.budget_list(orders);
        let weight = file
            .weight
            .unwrap_or(orders.settings.admission.cores)
            .max(1);
        let budgets = Budgets::new(
            me,
            weight,
            file.budget_parameters(),
            &list,
            fastrand::u64(..),
            0,
        );
        let (indices, used, logged) = (
            installation.budget_indices(orders),
            vec![0; list.len()],
            vec![0; list.len()],
        );
        Some(FleetBudgets {
            budgets,
            indices,
            actions: Vec::new(),
            used,
            logged,
            late: 0,
            lingering: BinaryHeap::new(),
        })
    }

    pub fn handle(&mut self, now: TenthMillis, event: Event) {
        self.budgets.handle(now, event, &mut self.actions);
    }

    /// Takes over changed budgets from a reload; [`FleetBudgets::needs_a_start`] says which can't be.
    pub fn change(&mut self, now: TenthMillis, change: &mut FleetChange) {
        let list = std::mem::take(&mut change.budgets);
        let names: Vec<_> = self
            .budgets
            .list()
            .map(|budget| budget.name.clone())
            .collect();
        let used = |name: &std::sync::Arc<str>| names.iter().position(|known| known == name);
        self.used = list
            .iter()
            .map(|budget| used(&budget.name).map_or(0, |index| self.used[index]))
            .collect();
        std::mem::swap(&mut self.indices, &mut change.indices);
        self.handle(now, Event::Changed { list });
    }

    /// Why budgets of this file can't be taken up under way, if they can't: what requests in hand hold is
    /// known by its index, and votes under two lists of voters, or of two lengths, would not meet.
    pub fn needs_a_start(&self, file: &FleetConfig, list: &[Budget]) -> Option<&str> {
        let (old, new) = (self.budgets.parameters(), file.budget_parameters());
        let times = |parameters: &Parameters| {
            (
                parameters.round,
                parameters.vote_duration,
                parameters.lease,
                parameters.drift,
            )
        };
        if old.voters != new.voters {
            Some("the voters changed")
        } else if times(old) != times(&new) {
            Some("fleet.leases changed")
        } else if !self
            .budgets
            .list()
            .map(Budget::id)
            .eq(list.iter().map(Budget::id))
        {
            Some("some come, go, change places, or are of another kind")
        } else {
            None
        }
    }

    /// Acquires one unit of each budget that applies to the request, or none. `now` reads the clock.
    ///
    /// # Errors
    /// One of them has none left; how long to wait, in tenths of a ms.
    pub fn admit(
        &mut self,
        asked: AdmissionRequest,
        now: impl Fn() -> TenthMillis,
    ) -> Result<Permit, TenthMillis> {
        let by = &self.indices;
        let under = |list: &[Option<u16>], index: usize| list.get(index).copied().flatten();
        let indices = [
            under(&by.groups, usize::from(asked.group)),
            under(&by.tenants, usize::from(asked.tenant)),
            under(&by.pools, usize::from(asked.pool)),
        ];
        if indices == [None; 3] {
            return Ok(Permit::default());
        }
        let looked = now();
        for (nth, index) in indices.iter().enumerate() {
            let Some(index) = index.map(usize::from) else {
                continue;
            };
            if let Err(wait) = self.budgets.acquire(index, looked) {
                let taken = indices[..nth].iter().flatten();
                taken.for_each(|index| self.release_one(usize::from(*index), false));
                return Err(wait);
            }
            self.used[index] += 1;
        }
        self.late += u64::from(now() > looked + LATE);
        Ok(Permit(indices))
    }

    /// The budget of retries to the pool at this index.
    pub fn retries(&self, pool: u16) -> Option<u16> {
        self.indices
            .retries
            .get(usize::from(pool))
            .copied()
            .flatten()
    }

    /// Acquires one retry; false if there is none left.
    pub fn retry(&mut self, index: u16, now: TenthMillis) -> bool {
        self.acquire_one(index, now)
    }

    /// The budget of the ramps in the pool at this index.
    pub fn ramp(&self, pool: u16) -> Option<u16> {
        self.indices
            .slow_starts
            .get(usize::from(pool))
            .copied()
            .flatten()
    }

    /// Takes one token of the budget at this index, if there is one.
    pub fn acquire_one(&mut self, index: u16, now: TenthMillis) -> bool {
        let taken = self.budgets.acquire(usize::from(index), now).is_ok();
        self.used[usize::from(index)] += u64::from(taken);
        taken
    }

    fn release_one(&mut self, index: usize, ran: bool) {
        if ran {
            self.budgets.release(index);
        } else {
            self.budgets.cancel(index);
            self.used[index] = self.used[index].saturating_sub(1);
        }
    }

    pub fn release(&mut self, permit: Permit, came: Use, now: TenthMillis) {
        for index in permit.0.into_iter().flatten() {
            let held = self
                .budgets
                .list()
                .nth(usize::from(index))
                .map_or(0, Budget::max_hold);
            if came == Use::MayGoOn && held > 0 {
                self.lingering.push(Reverse((now + held, index)));
            } else {
                self.release_one(usize::from(index), came != Use::None);
            }
        }
    }

    /// Releases what abandoned runs held, once their maximum hold time is over.
    pub fn free(&mut self, now: TenthMillis) {
        while let Some(Reverse((_, index))) = self
            .lingering
            .peek()
            .copied()
            .filter(|Reverse((till, _))| *till <= now)
        {
            self.lingering.pop();
            self.release_one(usize::from(index), true);
        }
    }

    pub fn page(&mut self, nonce: u64, from: u16, now: TenthMillis) -> BudgetPage {
        let count = self.used.len();
        let indices = usize::from(from).min(count)..(usize::from(from) + BUDGET_PAGE).min(count);
        let more = indices.end < count;
        let kinds: Vec<_> = self
            .budgets
            .list()
            .map(|budget| (budget.name.clone(), budget.kind, budget.limit))
            .collect();
        let budgets = indices.map(|index| {
            let (status, (name, kind, limit)) = (self.budgets.status(index, now), &kinds[index]);
            BudgetStatus {
                name: name.to_string(),
                rate: matches!(kind, Kind::Rate { .. }),
                limit: *limit,
                allocation: status.allocation,
                used: self.used[index],
                rejected: status.rejected,
                need: status.need,
                in_use: status.in_use,
                until_ms: status
                    .lease_remaining
                    .map(|remaining| remaining / MILLISECOND),
                granted: status.granted,
            }
        });
        let budgets = budgets.collect();
        BudgetPage {
            nonce,
            leader: self.budgets.leader().map(|who| who.name.clone()),
            budgets,
            more,
        }
    }

    /// Logs a change. An allocation is logged only after a change of over an eighth: it follows the load, and
    /// the log is bounded.
    pub fn log(&mut self, log: &Logger, change: &Change) {
        if let Change::Allocation {
            index, allocation, ..
        } = change
        {
            let logged = &mut self.logged[*index];
            if allocation.abs_diff(*logged) <= (*logged).max(*allocation) / 8 {
                return;
            }
            *logged = *allocation;
        }
        let word = change.name();
        let name = |index: usize| {
            self.budgets
                .list()
                .nth(index)
                .map_or("", |budget| &budget.name)
        };
        match change {
            Change::Elected { grants_after } => {
                info!(log, "budget"; "what" => word, "grants_after_ms" => grants_after / MILLISECOND);
            }
            Change::SteppedDown => info!(log, "budget"; "what" => word),
            Change::Leader(who) => info!(log, "budget"; "what" => word, "of" => &*who.name),
            Change::LeaderSilent(who) => warn!(log, "budget"; "what" => word, "of" => &*who.name),
            Change::Allocation {
                index,
                previous,
                allocation,
                lease_remaining,
            } => {
                info!(log, "budget"; "what" => word, "budget" => name(*index), "was" => previous,
                    "allocation" => allocation, "lasts_ms" => lease_remaining / MILLISECOND);
            }
            Change::LeaseExpired { index, allocation } => {
                warn!(log, "budget"; "what" => word, "budget" => name(*index), "was" => allocation);
            }
        }
    }

    pub fn summary(&self, log: &Logger) {
        let leader = self.budgets.leader().map_or("", |who| &who.name);
        info!(log, "so far of budgets"; "leader" => leader, "passed" => self.used.iter().sum::<u64>(),
            "late_looks" => self.late);
    }
}
