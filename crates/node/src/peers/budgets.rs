//! The fleet's budgets at this node: which budgets apply to a request, the permits of requests, log lines and status
//! reports. `doortrack-budgets` decides how budgets are divided among nodes.

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

/// If more time than this passes between reading the clock and using the budget, the use is counted as late.
const LATE_USE_THRESHOLD: TenthMillis = 5 * MILLISECOND;

/// The budget protocol at this node, with the mapping from requests to budgets.
pub struct FleetBudgets {
    /// The state machine of the budget protocol.
    pub budgets: Budgets,
    indices: BudgetIndices,
    /// Actions returned by `budgets` that are not executed yet.
    pub actions: Vec<Action>,
    /// Units used and not cancelled, by budget index.
    used: Vec<u64>,
    /// The last logged allocation, by budget index.
    logged_allocations: Vec<Units>,
    /// Number of uses that followed the reading of the clock by more than [`LATE_USE_THRESHOLD`].
    late_uses: u64,
    /// Budgets held by abandoned runs, each with the time at which it is released.
    abandoned: BinaryHeap<Reverse<(TenthMillis, u16)>>,
}

impl FleetBudgets {
    /// Creates the budgets of an installation; `None` if it has none.
    pub fn open(
        fleet_config: &FleetConfig,
        installation: &Installation,
        config: &NodeConfig,
        id: NodeId,
    ) -> Option<FleetBudgets> {
        if installation.budgets.is_empty() {
            return None;
        }
        let list = installation.budget_list(config);
        let budgets = Budgets::new(
            id,
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
            logged_allocations: vec![0; list.len()],
            late_uses: 0,
            abandoned: BinaryHeap::new(),
        })
    }

    /// Passes an event to the budget protocol.
    pub fn handle(&mut self, now: TenthMillis, event: Event) {
        self.budgets.handle(now, event, &mut self.actions);
    }

    /// Applies the budgets of a reload. [`FleetBudgets::restart_reason`] must have returned `None` for them.
    pub fn apply_change(&mut self, now: TenthMillis, change: &mut FleetChange) {
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

    /// Why a change to the budgets of this file needs a restart, if it does. Requests in flight refer to budgets by
    /// index, and votes under different voter lists or durations can't be counted together.
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
            Some("budgets were added, removed, reordered or changed in kind")
        } else {
            None
        }
    }

    /// Acquires one unit of each budget that applies to the request, or nothing. `now` reads the clock.
    ///
    /// # Errors
    /// One of the budgets is used up. The value is the time until a retry.
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
        self.late_uses += u64::from(now() > read_at + LATE_USE_THRESHOLD);
        Ok(Permit(indices))
    }

    /// Index of the budget for retries to the pool at this index.
    pub fn retry_budget(&self, pool: u16) -> Option<u16> {
        self.indices
            .retries
            .get(usize::from(pool))
            .copied()
            .flatten()
    }

    /// Index of the budget for slow starts in the pool at this index.
    pub fn slow_start_budget(&self, pool: u16) -> Option<u16> {
        self.indices
            .slow_starts
            .get(usize::from(pool))
            .copied()
            .flatten()
    }

    /// Acquires one unit of the budget at this index. Returns false if none is left.
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

    /// Releases the budgets of a request. If its run may still go on, they are kept for the maximum hold time.
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

    /// Releases the budgets of abandoned runs whose maximum hold time is over.
    pub fn release_abandoned(&mut self, now: TenthMillis) {
        while let Some(Reverse((_, index))) = self
            .abandoned
            .peek()
            .copied()
            .filter(|Reverse((release_at, _))| *release_at <= now)
        {
            self.abandoned.pop();
            self.release_one(usize::from(index), true);
        }
    }

    /// The status of one page of budgets, starting at an index.
    pub fn status_page(&mut self, nonce: u64, from: u16, now: TenthMillis) -> BudgetPage {
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

    /// True if a new allocation differs by more than an eighth from the last logged one, which it then replaces.
    /// Allocations follow the load, so smaller changes would fill the log.
    fn update_logged_allocation(&mut self, index: usize, allocation: Units) -> bool {
        let logged = &mut self.logged_allocations[index];
        let differs = allocation.abs_diff(*logged) > (*logged).max(allocation) / 8;
        if differs {
            *logged = allocation;
        }
        differs
    }

    /// Logs a change. A new allocation is logged only if it differs enough from the last logged one.
    pub fn log(&mut self, log: &Logger, change: &Change) {
        if let Change::Allocation {
            index, allocation, ..
        } = change
            && !self.update_logged_allocation(*index, *allocation)
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

    /// Logs a line with the state of the budgets.
    pub fn log_state(&self, log: &Logger) {
        let leader = self.budgets.leader().map_or("", |leader| &leader.name);
        info!(log, "budgets summary"; "leader" => leader, "used" => self.used.iter().sum::<u64>(),
            "late_uses" => self.late_uses);
    }
}
