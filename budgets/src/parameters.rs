//! What budgets are made of, and how fast they are divided.

use std::sync::Arc;

use doortrack::Tenths;
use doortrack_fleet::Name;

const MS: Tenths = 10;

/// A part of a budget: units held at once, or thousandths of a unit a second.
pub type Units = u64;

/// By what nodes know a budget: its name and kind, hashed. The same in every build. Nodes that were told of
/// another kind under the name do not take one another's units for their own.
pub type Id = u32;

/// The id of a budget. Two of one installation may not share one.
pub fn id_of(name: &str, kind: Kind) -> Id {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::from(matches!(kind, Kind::Rate { .. }))]).update(name.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    Id::from_le_bytes(first)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Units a second. In any span the fleet uses at most `limit` times the span and `burst` beyond.
    Rate {
        /// Units.
        burst: u32,
    },
    /// Units held at once.
    Concurrency {
        /// What one is held for at the longest, also by who is parted from all or has died.
        max_hold: Tenths,
    },
}

/// One budget of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub name: Arc<str>,
    pub kind: Kind,
    /// Units a second, or units held at once.
    pub limit: u32,
    /// Set aside for each of `reserved_for`, in the same.
    pub reserved: u32,
    /// Names of the nodes that have a reserved minimum.
    pub reserved_for: Arc<[Name]>,
    /// The most that any one node may have, its reserved minimum included.
    pub max_per_node: u32,
}

impl Budget {
    fn scale(&self) -> Units {
        match self.kind {
            Kind::Rate { .. } => 1_000,
            Kind::Concurrency { .. } => 1,
        }
    }

    pub fn id(&self) -> Id {
        id_of(&self.name, self.kind)
    }

    pub fn limit(&self) -> Units {
        Units::from(self.limit) * self.scale()
    }

    pub fn reserved(&self) -> Units {
        Units::from(self.reserved) * self.scale()
    }

    /// What can be granted, where all think so of the limit and the reserved minimum.
    pub fn grantable(&self, limit: Units, reserved: Units) -> Units {
        limit.saturating_sub(reserved * self.reserved_for.len() as Units)
    }

    /// The most that one node may be granted.
    pub fn max_grant(&self, name: &str) -> Units {
        (Units::from(self.max_per_node) * self.scale()).saturating_sub(self.reserved_at(name))
    }

    pub fn reserved_at(&self, name: &str) -> Units {
        if self.reserved_for.iter().any(|node| **node == *name) { self.reserved() } else { 0 }
    }

    /// Allocations are multiples of this: a smaller one has no whole unit of the burst, and can't be used.
    pub fn step(&self) -> Units {
        match self.kind {
            Kind::Rate { burst } => self.limit().div_ceil(Units::from(burst.max(1))).max(1),
            Kind::Concurrency { .. } => 1,
        }
    }

    /// How long after its lease something of it may still be in use.
    pub fn max_hold(&self) -> Tenths {
        match self.kind {
            Kind::Rate { .. } => 0,
            Kind::Concurrency { max_hold } => max_hold,
        }
    }
}

/// Times and bounds. All nodes of a fleet are to have the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// Of whom a majority elects a leader.
    pub voters: Arc<[Name]>,
    /// Needs are told, and allocations answered, so often.
    pub round: Tenths,
    pub vote_lasts: Tenths,
    pub lease: Tenths,
    /// How far a clock may gain or lose against true time, in thousandths.
    pub drift: u64,
    pub safeguards: Safeguards,
}

impl Default for Parameters {
    fn default() -> Parameters {
        Parameters {
            voters: Arc::new([]),
            round: 200 * MS,
            vote_lasts: 800 * MS,
            lease: 1_500 * MS,
            drift: 20,
            safeguards: Safeguards::default(),
        }
    }
}

impl Parameters {
    /// A span that is over by a clock that is too slow before it is by one that is too fast.
    pub(crate) fn surely(&self, span: Tenths) -> Tenths {
        if self.safeguards.drift { span * (1_000 - self.drift) / (1_000 + self.drift) } else { span }
    }

    pub(crate) fn majority(&self) -> usize {
        if self.safeguards.majority { self.voters.len() / 2 + 1 } else { 1 }
    }
}

/// What keeps the sum within the limit. All are on; tests show that each is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Safeguards {
    /// A voter that has just started gives no vote.
    pub silent_start: bool,
    /// A majority of the voters makes a leader, not one.
    pub majority: bool,
    /// A new leader grants nothing new until earlier leases are over.
    pub settle: bool,
    /// What was granted to another counts until it is confirmed as given up.
    pub confirm: bool,
    /// A holder looks whether its lease is over.
    pub run_out: bool,
    /// Leases are shorter for their holders by what clocks may drift.
    pub drift: bool,
    /// A holder takes only answers to what it asked of its present leader, the newest first.
    pub in_order: bool,
    /// What is prolonged has to be in force yet.
    pub prolong: bool,
    /// Units count as in use for as long as they may be, beyond a lease and after a start.
    pub held: bool,
}

impl Default for Safeguards {
    fn default() -> Safeguards {
        Safeguards {
            silent_start: true,
            majority: true,
            settle: true,
            confirm: true,
            run_out: true,
            drift: true,
            in_order: true,
            prolong: true,
            held: true,
        }
    }
}
