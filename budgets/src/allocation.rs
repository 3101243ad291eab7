//! What this node may use of one budget, and what it has in use.

use doortrack::Tenths;

use crate::need::Need;
use crate::{Budget, Grant, Item, Kind, Parameters, Units};

/// What a unit is counted in, so that thousandths of a unit a second for a tenth of a ms are whole.
const TOKEN: u64 = 10_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Uses {
    /// Saved up, at most `cap`, as of `counted`.
    Rate {
        tokens: u64,
        cap: u64,
        counted: Tenths,
    },
    Concurrency {
        in_use: Units,
    },
}

/// One budget at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Allocation {
    pub budget: Budget,
    reserved: Units,
    /// The reserved minimum may be used from here on: what an earlier incarnation had may be in use
    /// until then.
    reserved_from: Tenths,
    leased: Units,
    till: Tenths,
    /// The newest report whose answer is in force.
    pub accepted: u64,
    uses: Uses,
    need: Need,
    /// Ran out with so much, and nobody was told yet.
    ran_out: Option<Units>,
    pub rejected: u64,
}

impl Allocation {
    pub fn new(budget: Budget, name: &str, now: Tenths, parameters: &Parameters) -> Allocation {
        let held = if parameters.safeguards.held { budget.max_hold() } else { 0 };
        let uses = match budget.kind {
            Kind::Rate { .. } => Uses::Rate { tokens: 0, cap: 0, counted: now },
            Kind::Concurrency { .. } => Uses::Concurrency { in_use: 0 },
        };
        let mut allocation = Allocation {
            reserved: budget.reserved_at(name),
            reserved_from: now + held,
            budget,
            leased: 0,
            till: 0,
            accepted: 0,
            uses,
            need: Need::new(now),
            ran_out: None,
            rejected: 0,
        };
        allocation.apply_cap();
        allocation
    }

    /// The same budget told of anew: what is in use stays so.
    pub fn change(&mut self, budget: Budget, name: &str) {
        self.reserved = budget.reserved_at(name);
        // A lower limit holds at once for what this node may use.
        self.leased = self.leased.min(budget.grantable(budget.limit(), budget.reserved()));
        self.budget = budget;
        self.apply_cap();
    }

    /// Nothing of it may be used any more.
    pub fn close(&mut self) {
        (self.reserved, self.leased, self.till) = (0, 0, 0);
        self.apply_cap();
    }

    fn apply_cap(&mut self) {
        let (usable, limit) = (self.reserved + self.leased, self.budget.limit());
        if let (Uses::Rate { tokens, cap, .. }, Kind::Rate { burst }) = (&mut self.uses, self.budget.kind) {
            let all = u128::from(burst) * u128::from(TOKEN);
            *cap = (all * u128::from(usable.min(limit)) / u128::from(limit.max(1))) as u64;
            *tokens = (*tokens).min(*cap);
        }
    }

    /// Counts up to now; a lease that is over ends.
    fn settle(&mut self, now: Tenths, parameters: &Parameters) {
        if self.leased > 0 && self.till <= now && parameters.safeguards.run_out {
            self.count(self.till, parameters);
            self.ran_out = Some(self.leased);
            self.leased = 0;
            self.apply_cap();
        }
        self.count(now, parameters);
    }

    fn count(&mut self, now: Tenths, parameters: &Parameters) {
        let rate = self.reserved + self.leased;
        if let Uses::Rate { tokens, cap, counted } = &mut self.uses {
            let span = now.saturating_sub(*counted);
            let mut more = rate.saturating_mul(span);
            if parameters.safeguards.drift {
                // A clock that is too fast must not make more of a second than there is.
                more = more.saturating_mul(1_000) / (1_000 + parameters.drift);
            }
            *tokens = tokens.saturating_add(more).min(*cap);
            *counted = now.max(*counted);
        }
    }

    /// What may be used now, in all.
    pub fn usable(&mut self, now: Tenths, parameters: &Parameters) -> Units {
        self.settle(now, parameters);
        self.leased + if now >= self.reserved_from { self.reserved } else { 0 }
    }

    /// Uses one unit, or says how long to wait before asking again.
    pub fn acquire(&mut self, now: Tenths, parameters: &Parameters) -> Result<(), Tenths> {
        let usable = self.usable(now, parameters);
        let rate = self.reserved + self.leased;
        let (taken, in_use) = match &mut self.uses {
            Uses::Rate { tokens, cap, .. } => {
                if *tokens >= TOKEN {
                    *tokens -= TOKEN;
                    (Ok(()), 0)
                } else if *cap >= TOKEN && rate > 0 {
                    (Err((TOKEN - *tokens).div_ceil(rate).max(1)), 0)
                } else {
                    (Err(parameters.round), 0)
                }
            }
            Uses::Concurrency { in_use } => {
                let taken = if *in_use < usable { Ok(()) } else { Err(parameters.round) };
                *in_use += Units::from(taken.is_ok());
                (taken, *in_use)
            }
        };
        self.rejected += u64::from(taken.is_err());
        self.need.asked(taken.is_ok(), in_use);
        taken
    }

    /// What was taken was not used, or, of a concurrency, is used no more.
    pub fn release(&mut self, used: bool) {
        match &mut self.uses {
            Uses::Rate { tokens, cap, .. } if !used => *tokens = (*tokens + TOKEN).min(*cap),
            Uses::Rate { .. } => {}
            Uses::Concurrency { in_use } => *in_use = in_use.saturating_sub(1),
        }
    }

    /// Whether some were rejected since the last round.
    pub fn is_short(&self) -> bool {
        self.need.is_short()
    }

    pub fn in_use(&self) -> Units {
        match self.uses {
            Uses::Rate { .. } => 0,
            Uses::Concurrency { in_use } => in_use,
        }
    }

    /// What a report is to say; the end of a round for the measured need.
    pub fn item(&mut self, now: Tenths, parameters: &Parameters, round: bool, leaves: bool) -> Item {
        self.settle(now, parameters);
        let in_use = self.in_use();
        let need = if round { self.need.round(now, &self.budget, in_use) } else { self.need.last() };
        Item {
            id: self.budget.id(),
            need: if leaves { 0 } else { need.saturating_sub(self.reserved) },
            holding: self.leased.max(in_use.saturating_sub(self.reserved)),
            accepted: self.accepted,
            limit: self.budget.limit(),
            reserved: self.budget.reserved(),
        }
    }

    /// The leader's answer to report `seq`, sent so that the allocation lasts till `till`. What was, and is.
    pub fn apply_grant(
        &mut self,
        now: Tenths,
        seq: u64,
        grant: Grant,
        till: Tenths,
        parameters: &Parameters,
    ) -> (Units, Units) {
        self.settle(now, parameters);
        let was = self.leased;
        // A leader that prolongs may not know that this has been granted to another since it was over here.
        let max = if grant.prolongs && parameters.safeguards.prolong { was } else { Units::MAX };
        self.leased =
            grant.allocation.min(max).min(self.budget.grantable(self.budget.limit(), self.budget.reserved()));
        (self.till, self.accepted, self.ran_out) = (till, seq, None);
        self.apply_cap();
        (was, self.leased)
    }

    /// What ran out since the last time this was asked.
    pub fn ran_out(&mut self, now: Tenths, parameters: &Parameters) -> Option<Units> {
        self.settle(now, parameters);
        self.ran_out.take()
    }

    /// When the lease is over, if there is one.
    pub fn till(&self) -> Option<Tenths> {
        (self.leased > 0).then_some(self.till)
    }

    pub fn leased(&self) -> Units {
        self.leased
    }

    pub fn need(&self) -> Units {
        self.need.last()
    }
}
