//! The allocation of one budget at this node, and what of it is in use.

use crate::need::NeedEstimate;
use crate::{Budget, Grant, Kind, Parameters, ReportItem, Units};
use doortrack_time::TenthMillis;

/// Fractions of one token: a rate of one thousandth of a unit a second adds one fraction in a tenth
/// of a millisecond.
const TOKEN: u64 = 10_000_000;

/// How use is counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Usage {
    /// A token bucket: `tokens` as of `counted_until`, at most `cap`, in fractions of [`TOKEN`].
    Rate {
        tokens: u64,
        cap: u64,
        counted_until: TenthMillis,
    },
    /// Units held.
    Concurrency { in_use: Units },
}

/// The allocation of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Allocation {
    pub budget: Budget,
    reserved: Units,
    /// When the reserved minimum may be used: what an earlier incarnation held may be in use until
    /// then.
    reserved_from: TenthMillis,
    leased: Units,
    lease_until: TenthMillis,
    /// The latest report whose answer is in force.
    pub accepted: u64,
    usage: Usage,
    need: NeedEstimate,
    /// What was on a lease that expired, until it is reported.
    expired_lease: Option<Units>,
    /// Requests for a unit that were rejected since the start.
    pub rejected: u64,
}

impl Allocation {
    /// Nothing is leased yet; `name` is that of the node.
    pub fn new(
        budget: Budget,
        name: &str,
        now: TenthMillis,
        parameters: &Parameters,
    ) -> Allocation {
        let usage = match budget.kind {
            Kind::Rate { .. } => Usage::Rate {
                tokens: 0,
                cap: 0,
                counted_until: now,
            },
            Kind::Concurrency { .. } => Usage::Concurrency { in_use: 0 },
        };
        let mut allocation = Allocation {
            reserved: budget.reserved_at(name),
            reserved_from: now + parameters.max_hold_after_lease(&budget),
            budget,
            leased: 0,
            lease_until: 0,
            accepted: 0,
            usage,
            need: NeedEstimate::new(now),
            expired_lease: None,
            rejected: 0,
        };
        allocation.apply_cap();
        allocation
    }

    /// Changes the budget; what is in use stays so.
    pub fn change(&mut self, budget: Budget, name: &str) {
        self.reserved = budget.reserved_at(name);
        // A lower limit holds at once for what this node may use.
        self.leased = self
            .leased
            .min(budget.grantable(budget.limit(), budget.reserved()));
        self.budget = budget;
        self.apply_cap();
    }

    /// Takes back everything: nothing may be used any more.
    pub fn close(&mut self) {
        (self.reserved, self.leased, self.lease_until) = (0, 0, 0);
        self.apply_cap();
    }

    /// Adapts the token bucket to what is allocated.
    fn apply_cap(&mut self) {
        let (usable, limit) = (self.reserved + self.leased, self.budget.limit());
        if let (Usage::Rate { tokens, cap, .. }, Kind::Rate { burst }) =
            (&mut self.usage, self.budget.kind)
        {
            let full_cap = u128::from(burst) * u128::from(TOKEN);
            *cap = (full_cap * u128::from(usable.min(limit)) / u128::from(limit.max(1))) as u64;
            *tokens = (*tokens).min(*cap);
        }
    }

    /// Counts up to now, and ends a lease that has expired.
    fn settle(&mut self, now: TenthMillis, parameters: &Parameters) {
        if self.leased > 0 && self.lease_until <= now && parameters.safeguards.lease_expiry {
            self.count(self.lease_until, parameters);
            self.expired_lease = Some(self.leased);
            self.leased = 0;
            self.apply_cap();
        }
        self.count(now, parameters);
    }

    /// Adds the tokens of the time since the last count.
    fn count(&mut self, now: TenthMillis, parameters: &Parameters) {
        let rate = self.reserved + self.leased;
        if let Usage::Rate {
            tokens,
            cap,
            counted_until,
        } = &mut self.usage
        {
            let elapsed = now.saturating_sub(*counted_until);
            let mut added = rate.saturating_mul(elapsed);
            if parameters.safeguards.drift {
                // A clock that is too fast must not make more of a second than there is.
                added = added.saturating_mul(1_000) / (1_000 + parameters.drift);
            }
            *tokens = tokens.saturating_add(added).min(*cap);
            *counted_until = now.max(*counted_until);
        }
    }

    /// What may be used now, the reserved minimum included.
    pub fn usable(&mut self, now: TenthMillis, parameters: &Parameters) -> Units {
        self.settle(now, parameters);
        self.leased
            + if now >= self.reserved_from {
                self.reserved
            } else {
                0
            }
    }

    /// Acquires one unit.
    ///
    /// # Errors
    /// None is left: how long to wait before asking again, in tenths of a millisecond.
    pub fn acquire(
        &mut self,
        now: TenthMillis,
        parameters: &Parameters,
    ) -> Result<(), TenthMillis> {
        let usable = self.usable(now, parameters);
        let rate = self.reserved + self.leased;
        let (taken, in_use) = match &mut self.usage {
            Usage::Rate { tokens, cap, .. } => {
                if *tokens >= TOKEN {
                    *tokens -= TOKEN;
                    (Ok(()), 0)
                } else if *cap >= TOKEN && rate > 0 {
                    (Err((TOKEN - *tokens).div_ceil(rate).max(1)), 0)
                } else {
                    (Err(parameters.round), 0)
                }
            }
            Usage::Concurrency { in_use } => {
                let taken = if *in_use < usable {
                    Ok(())
                } else {
                    Err(parameters.round)
                };
                *in_use += Units::from(taken.is_ok());
                (taken, *in_use)
            }
        };
        self.rejected += u64::from(taken.is_err());
        self.need.on_request(taken.is_ok(), in_use);
        taken
    }

    /// Gives back a unit: of a concurrency always, of a rate only if it was not used.
    pub fn release(&mut self, used: bool) {
        match &mut self.usage {
            Usage::Rate { tokens, cap, .. } if !used => *tokens = (*tokens + TOKEN).min(*cap),
            Usage::Rate { .. } => {}
            Usage::Concurrency { in_use } => *in_use = in_use.saturating_sub(1),
        }
    }

    /// Whether requests were rejected since the last round.
    pub fn is_short(&self) -> bool {
        self.need.is_short()
    }

    /// Units held; 0 for a rate.
    pub fn in_use(&self) -> Units {
        match self.usage {
            Usage::Rate { .. } => 0,
            Usage::Concurrency { in_use } => in_use,
        }
    }

    /// The item of a report; with `round` it ends a round of the measured need.
    pub fn item(
        &mut self,
        now: TenthMillis,
        parameters: &Parameters,
        round: bool,
        leaving: bool,
    ) -> ReportItem {
        self.settle(now, parameters);
        let in_use = self.in_use();
        let need = if round {
            self.need.end_round(now, &self.budget, in_use)
        } else {
            self.need.last_reported()
        };
        ReportItem {
            id: self.budget.id(),
            need: if leaving {
                0
            } else {
                need.saturating_sub(self.reserved)
            },
            holding: self.leased.max(in_use.saturating_sub(self.reserved)),
            accepted: self.accepted,
            limit: self.budget.limit(),
            reserved: self.budget.reserved(),
        }
    }

    /// Applies the leader's answer to report `seq`, whose lease expires at `until`. Returns what
    /// was leased and what is now.
    pub fn apply_grant(
        &mut self,
        now: TenthMillis,
        seq: u64,
        grant: Grant,
        until: TenthMillis,
        parameters: &Parameters,
    ) -> (Units, Units) {
        self.settle(now, parameters);
        let previous = self.leased;
        // A leader that prolongs may not know that this has been granted to another since it was
        // over here.
        let max = if grant.prolongs && parameters.safeguards.prolong {
            previous
        } else {
            Units::MAX
        };
        self.leased = grant.allocation.min(max).min(
            self.budget
                .grantable(self.budget.limit(), self.budget.reserved()),
        );
        (self.lease_until, self.accepted, self.expired_lease) = (until, seq, None);
        self.apply_cap();
        (previous, self.leased)
    }

    /// What was on a lease that expired since this was last asked.
    pub fn take_expired_lease(
        &mut self,
        now: TenthMillis,
        parameters: &Parameters,
    ) -> Option<Units> {
        self.settle(now, parameters);
        self.expired_lease.take()
    }

    /// When the lease expires, if there is one.
    pub fn lease_until(&self) -> Option<TenthMillis> {
        (self.leased > 0).then_some(self.lease_until)
    }

    /// What is on a lease.
    pub fn leased(&self) -> Units {
        self.leased
    }

    /// The need as last reported.
    pub fn need(&self) -> Units {
        self.need.last_reported()
    }
}
