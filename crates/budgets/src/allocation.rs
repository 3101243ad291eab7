//! The allocation of one budget at this node, and its usage.

use crate::need::NeedEstimate;
use crate::token_bucket::TokenBucket;
use crate::{Budget, Grant, Kind, Parameters, ReportItem, Units};
use doortrack_time::TenthMillis;

/// The usage counter of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Usage {
    /// Each use takes a token.
    Rate(TokenBucket),
    /// Counts the units held.
    Concurrency { in_use: Units },
}

/// The allocation of one budget at this node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Allocation {
    pub budget: Budget,
    reserved: Units,
    /// When the reserved minimum may first be used. Units held by an earlier incarnation may be in
    /// use until then.
    reserved_usable_from: TenthMillis,
    leased: Units,
    lease_until: TenthMillis,
    /// The number of the latest report whose answer is in force.
    pub accepted: u64,
    usage: Usage,
    need: NeedEstimate,
    /// The units of an expired lease, until they are reported.
    expired_lease: Option<Units>,
    /// Number of rejected requests for a unit since the start.
    pub rejected: u64,
}

impl Allocation {
    /// Creates an allocation without a lease; `name` is the name of this node.
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
            reserved_usable_from: now + parameters.max_hold_after_lease(&budget),
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

    /// Changes the configuration of the budget; units in use stay in use.
    pub fn change_budget(&mut self, budget: Budget, name: &str) {
        self.reserved = budget.reserved_at(name);
        // A lower limit takes effect immediately.
        self.leased = self
            .leased
            .min(budget.grantable(budget.limit(), budget.reserved()));
        self.budget = budget;
        self.update_capacity();
    }

    /// Revokes the lease and the reserved minimum, so that nothing more may be used.
    pub fn revoke_all(&mut self) {
        (self.reserved, self.leased, self.lease_until) = (0, 0, 0);
        self.update_capacity();
    }

    /// Adapts the capacity of the token bucket to the allocation.
    fn update_capacity(&mut self) {
        let rate = self.reserved + self.leased;
        if let (Usage::Rate(bucket), Kind::Rate { burst }) = (&mut self.usage, self.budget.kind) {
            bucket.set_capacity(burst, rate, self.budget.limit());
        }
    }

    /// Refills the token bucket up to now, and ends a lease that has expired.
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

    /// The units that may be used now, including the reserved minimum.
    pub fn usable(&mut self, now: TenthMillis, parameters: &Parameters) -> Units {
        self.advance(now, parameters);
        if now >= self.reserved_usable_from {
            self.leased + self.reserved
        } else {
            self.leased
        }
    }

    /// Acquires one unit.
    ///
    /// # Errors
    /// If no unit is left: the time to wait before trying again, in tenths of a millisecond.
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

    /// Releases a unit. A unit of a rate is returned only if it was not used.
    pub fn release(&mut self, used: bool) {
        match &mut self.usage {
            Usage::Rate(_) if used => {}
            Usage::Rate(bucket) => bucket.put_back(),
            Usage::Concurrency { in_use } => *in_use = in_use.saturating_sub(1),
        }
    }

    /// Returns true if requests were rejected in this round.
    pub fn had_rejections(&self) -> bool {
        self.need.had_rejections()
    }

    /// Units held; 0 for a rate.
    pub fn in_use(&self) -> Units {
        match self.usage {
            Usage::Rate(_) => 0,
            Usage::Concurrency { in_use } => in_use,
        }
    }

    /// The item of this budget in a report. With `ends_round` it ends a round of the need estimate.
    pub fn report_item(
        &mut self,
        now: TenthMillis,
        parameters: &Parameters,
        ends_round: bool,
        leaving: bool,
    ) -> ReportItem {
        self.advance(now, parameters);
        let in_use = self.in_use();
        let need = if ends_round {
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

    /// Applies the leader's answer to report `seq`, whose lease expires at `until`. Returns the
    /// leased units before and after.
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
        // The lease may have expired here, and its units may have been granted to another holder
        // without the knowledge of a leader that only prolongs.
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

    /// The units of a lease that expired since the last call.
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

    /// The leased units.
    pub fn leased(&self) -> Units {
        self.leased
    }

    /// The need that was last reported.
    pub fn need(&self) -> Units {
        self.need.last_reported()
    }
}
