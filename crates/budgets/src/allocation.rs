//! The allocation of one budget at this node, and what of it is in use.

use crate::need::NeedEstimate;
use crate::token_bucket::TokenBucket;
use crate::{Budget, Grant, Kind, Parameters, ReportItem, Units};
use doortrack_time::TenthMillis;

/// How use is counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Usage {
    /// Each use takes a token.
    Rate(TokenBucket),
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
            Kind::Rate { .. } => Usage::Rate(TokenBucket::new(now)),
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
        allocation.update_capacity();
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
        self.update_capacity();
    }

    /// Takes back everything: nothing may be used any more.
    pub fn close(&mut self) {
        (self.reserved, self.leased, self.lease_until) = (0, 0, 0);
        self.update_capacity();
    }

    /// Adapts the token bucket to what is allocated.
    fn update_capacity(&mut self) {
        let rate = self.reserved + self.leased;
        if let (Usage::Rate(bucket), Kind::Rate { burst }) = (&mut self.usage, self.budget.kind) {
            bucket.set_capacity(burst, rate, self.budget.limit());
        }
    }

    /// Accounts for the time up to now, and ends a lease that has expired.
    fn advance(&mut self, now: TenthMillis, parameters: &Parameters) {
        if self.leased > 0 && self.lease_until <= now && parameters.safeguards.lease_expiry {
            self.refill(self.lease_until, parameters);
            self.expired_lease = Some(self.leased);
            self.leased = 0;
            self.update_capacity();
        }
        self.refill(now, parameters);
    }

    fn refill(&mut self, now: TenthMillis, parameters: &Parameters) {
        let rate = self.reserved + self.leased;
        if let Usage::Rate(bucket) = &mut self.usage {
            bucket.refill(now, rate, parameters);
        }
    }

    /// What may be used now, the reserved minimum included.
    pub fn usable(&mut self, now: TenthMillis, parameters: &Parameters) -> Units {
        self.advance(now, parameters);
        if now >= self.reserved_from {
            self.leased + self.reserved
        } else {
            self.leased
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
        let (acquired, in_use) = match &mut self.usage {
            Usage::Rate(bucket) => {
                let taken = bucket.try_take(rate);
                (
                    taken.map_err(|wait| wait.unwrap_or(parameters.report_interval)),
                    0,
                )
            }
            Usage::Concurrency { in_use } if *in_use < usable => {
                *in_use += 1;
                (Ok(()), *in_use)
            }
            Usage::Concurrency { in_use } => (Err(parameters.report_interval), *in_use),
        };
        self.rejected += u64::from(acquired.is_err());
        self.need.on_request(acquired.is_ok(), in_use);
        acquired
    }

    /// Gives back a unit: of a concurrency always, of a rate only if it was not used.
    pub fn release(&mut self, used: bool) {
        match &mut self.usage {
            Usage::Rate(_) if used => {}
            Usage::Rate(bucket) => bucket.put_back(),
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
            Usage::Rate(_) => 0,
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
        self.advance(now, parameters);
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
        self.advance(now, parameters);
        let previous = self.leased;
        // A leader that prolongs may not know that this has been granted to another since it was
        // over here.
        let max = if grant.prolongs && parameters.safeguards.prolong_unexpired_only {
            previous
        } else {
            Units::MAX
        };
        self.leased = grant.allocation.min(max).min(
            self.budget
                .grantable(self.budget.limit(), self.budget.reserved()),
        );
        (self.lease_until, self.accepted, self.expired_lease) = (until, seq, None);
        self.update_capacity();
        (previous, self.leased)
    }

    /// What was on a lease that expired since this was last asked.
    pub fn take_expired_lease(
        &mut self,
        now: TenthMillis,
        parameters: &Parameters,
    ) -> Option<Units> {
        self.advance(now, parameters);
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
