//! The fleet's budgets at this node: which of them apply to a request, permits, and what is logged and
//! reported. How budgets are divided is decided by `doortrack-budgets`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack_budgets::{Action, Budget, Budgets, Change, Event, Kind, NodeId, Parameters, Units};
use doortrack_config::reload::FleetChange;
use doortrack_config::{BudgetIndices, FleetConfig, Installation, NodeConfig};
use doortrack_time::{MILLISECOND, TenthMillis};
use slog::{Logger, info, warn};

use super::link::weight;
use super::peer_message::{BUDGETS_PER_PAGE, BudgetPage, BudgetStatus};
use crate::subsystem::{AdmissionRequest, Permit, PermitOutcome};

/// A use that follows the reading of the clock after a longer pause of the process is counted as late.
const LATE_AFTER: TenthMillis = 5 * MILLISECOND;

/// The decisions on budgets, and which budgets apply to which requests.
pub struct FleetBudgets {
    /// The decisions on budgets.
    pub budgets: Budgets,
    indices: BudgetIndices,
    /// Left by the decisions, to be executed.
    pub actions: Vec<Action>,
    /// By index: units used and not cancelled.
    used: Vec<u64>,
    /// By index: the allocation that was logged last.
    logged: Vec<Units>,
    /// Uses after a pause of the process, between reading the clock and the use.
    late: u64,
    /// Budgets held by abandoned runs, and until when those may go on.
    abandoned: BinaryHeap<Reverse<(TenthMillis, u16)>>,
}

impl FleetBudgets {
    /// `None` where the installation has no budgets.
    pub fn open(
        fleet_config: &FleetConfig,
        installation: &Installation,
        config: &NodeConfig,
        me: NodeId,
    ) -> Option<FleetBudgets> {
        if installation.budgets.is_empty() {
            return None;
        }
        let list = installation.budget_list(config);
        let budgets = Budgets::new(
            me,
            weight(fleet_config, config),
            fleet_config.budget_parameters(),
            &list,
            fastrand::u64(..),
            0,
        );
        Some(FleetBudgets {
            budgets,
            indices: installation.budget_indices(config),
            actions: Vec::new(),
            used: vec![0; list.len()],
            logged: vec![0; list.len()],
            late: 0,
            abandoned: BinaryHeap::new(),
        })
    }

    /// Hands an event to the decisions.
    pub fn handle(&mut self, now: TenthMillis, event: Event) {
        self.budgets.handle(now, event, &mut self.actions);
    }

    /// Takes over changed budgets from a reload; [`FleetBudgets::restart_reason`] says which can't be.
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
        self.handle(now, Event::BudgetsChanged { list });
    }

    /// Why a change to the budgets of this file takes a restart, if it does: what requests in flight hold is known
    /// by its index, and votes under two lists of voters, or of two durations, would not count together.
    pub fn restart_reason(&self, fleet_config: &FleetConfig, list: &[Budget]) -> Option<&str> {
        let (old, new) = (self.budgets.parameters(), fleet_config.budget_parameters());
        let times = |parameters: &Parameters| {
            (
                parameters.report_interval,
                parameters.vote_duration,
                parameters.lease_duration,
                parameters.max_drift_permille,
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
        request: AdmissionRequest,
        now: impl Fn() -> TenthMillis,
    ) -> Result<Permit, TenthMillis> {
        let budget_at = |list: &[Option<u16>], index: usize| list.get(index).copied().flatten();
        let indices = [
            budget_at(&self.indices.groups, usize::from(request.group)),
            budget_at(&self.indices.tenants, usize::from(request.tenant)),
            budget_at(&self.indices.pools, usize::from(request.pool)),
        ];
        if indices == [None; 3] {
            return Ok(Permit::default());
        }
        let read_at = now();
        for (position, index) in indices.iter().enumerate() {
            let Some(index) = index.map(usize::from) else {
                continue;
            };
            if let Err(wait) = self.budgets.acquire(index, read_at) {
                let acquired = indices[..position].iter().flatten();
                acquired.for_each(|index| self.release_one(usize::from(*index), false));
                return Err(wait);
            }
            self.used[index] += 1;
        }
        self.late += u64::from(now() > read_at + LATE_AFTER);
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

    /// The budget of slow starts in the pool at this index.
    pub fn slow_start(&self, pool: u16) -> Option<u16> {
        self.indices
            .slow_starts
            .get(usize::from(pool))
            .copied()
            .flatten()
    }

    /// Acquires one unit of the budget at this index; false if none is left.
    pub fn acquire_one(&mut self, index: u16, now: TenthMillis) -> bool {
        let acquired = self.budgets.acquire(usize::from(index), now).is_ok();
        self.used[usize::from(index)] += u64::from(acquired);
        acquired
    }

    fn release_one(&mut self, index: usize, ran: bool) {
        if ran {
            self.budgets.release(index);
        } else {
            self.budgets.cancel(index);
            self.used[index] = self.used[index].saturating_sub(1);
        }
    }

    /// Releases what a request held, or keeps it for the maximum hold time if its run may still go on.
    pub fn release(&mut self, permit: Permit, outcome: PermitOutcome, now: TenthMillis) {
        for index in permit.0.into_iter().flatten() {
            let held = self
                .budgets
                .list()
                .nth(usize::from(index))
                .map_or(0, Budget::max_hold);
            if outcome == PermitOutcome::MayStillRun && held > 0 {
                self.abandoned.push(Reverse((now + held, index)));
            } else {
                self.release_one(usize::from(index), outcome != PermitOutcome::Unused);
            }
        }
    }

    /// Releases what abandoned runs held, once their maximum hold time is over.
    pub fn release_abandoned(&mut self, now: TenthMillis) {
        while let Some(Reverse((_, index))) = self
            .abandoned
            .peek()
            .copied()
            .filter(|Reverse((till, _))| *till <= now)
        {
            self.abandoned.pop();
            self.release_one(usize::from(index), true);
        }
    }

    /// The status of one page of budgets, from an index on.
    pub fn page(&mut self, nonce: u64, from: u16, now: TenthMillis) -> BudgetPage {
        let count = self.used.len();
        let indices =
            usize::from(from).min(count)..(usize::from(from) + BUDGETS_PER_PAGE).min(count);
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
            leader: self.budgets.leader().map(|leader| leader.name.clone()),
            budgets,
            more,
        }
    }

    /// Whether a new allocation differs by over an eighth from the one that was logged last, which it then
    /// replaces. Allocations follow the load, and the log is bounded.
    fn is_worth_logging(&mut self, index: usize, allocation: Units) -> bool {
        let logged = &mut self.logged[index];
        let differs = allocation.abs_diff(*logged) > (*logged).max(allocation) / 8;
        if differs {
            *logged = allocation;
        }
        differs
    }

    /// Logs a change; an allocation only if it differs enough from the last one.
    pub fn log(&mut self, log: &Logger, change: &Change) {
        if let Change::Allocation {
            index, allocation, ..
        } = change
            && !self.is_worth_logging(*index, *allocation)
        {
            return;
        }
        let event = change.name();
        let name = |index: usize| {
            self.budgets
                .list()
                .nth(index)
                .map_or("", |budget| &budget.name)
        };
        match change {
            Change::Elected { grants_after } => {
                info!(log, "budget"; "change" => event, "grants_after_ms" => grants_after / MILLISECOND);
            }
            Change::SteppedDown => info!(log, "budget"; "change" => event),
            Change::Leader(leader) => {
                info!(log, "budget"; "change" => event, "leader" => &*leader.name)
            }
            Change::LeaderSilent(leader) => {
                warn!(log, "budget"; "change" => event, "leader" => &*leader.name)
            }
            Change::Allocation {
                index,
                previous,
                allocation,
                lease_remaining,
            } => {
                info!(log, "budget"; "change" => event, "budget" => name(*index), "was" => previous,
                    "allocation" => allocation, "lasts_ms" => lease_remaining / MILLISECOND);
            }
            Change::LeaseExpired { index, allocation } => {
                warn!(log, "budget"; "change" => event, "budget" => name(*index), "was" => allocation);
            }
        }
    }

    /// Logs a line on the budgets.
    pub fn summary(&self, log: &Logger) {
        let leader = self.budgets.leader().map_or("", |leader| &leader.name);
        info!(log, "budgets summary"; "leader" => leader, "used" => self.used.iter().sum::<u64>(),
            "late_uses" => self.late);
    }
}
