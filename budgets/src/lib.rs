//! Decides how much of each budget of the whole fleet this node may use, so that all nodes together never use
//! more than the limit.
//!
//! Every node holds one [`Budgets`]: what it heard is told to it with the time ([`Event`]), what is to be
//! done comes back as [`Action`]s, and before each use it is asked ([`Budgets::acquire`]). Neither sockets
//! nor a clock, and the same events with the same seed give the same actions.
//!
//! ```text
//! let mut budgets = Budgets::new(me, weight, parameters, list, seed, now);
//! budgets.handle(now, Event::Tick, &mut actions);          // at budgets.next_due() at the latest
//! if let Err(retry_after) = budgets.acquire(place, now) { .. }  // with the clock read just before
//! ```
//!
//! A **leader**, one of the fleet's voters, grants allocations to all nodes on leases. Nothing is written to
//! disk:
//! - **Votes.** A voter gives its vote to one candidate for [`Parameters::vote_lasts`] and to no other
//!   meanwhile; who holds the votes of a majority is leader, by its own clock from when it *asked*. A voter
//!   that has just started may have forgotten a vote, and gives none for as long as one lasts.
//! - **Leases.** An allocation counts, for its holder, from when it *asked* for it, and for the leader from
//!   when it *answered*, so no delay makes the holder's end come after the leader's. A lease is shorter for
//!   its holder by what two clocks may drift apart.
//! - **Moved allocations.** What one holder is to give up is granted to another only once the first has said
//!   that it uses no more, or its lease is over. Whatever was sent and not confirmed counts as granted.
//! - **A new leader** knows nothing of what was granted. Until all that an earlier one can have granted is
//!   over, it only prolongs what holders say they hold, and only where they still do when its word comes.
//! - **Reserved minimums** are set aside from the limit, for named nodes, and need no leader.
//!
//! Assumptions: each process's time goes forward, and against true time by no more than [`Parameters::drift`]
//! too fast or too slow. Datagrams may be lost, doubled, delayed without bound and reordered. Any process may
//! die (and start anew with nothing), stop and wake. One process at a time goes by a name; nodes do not lie
//! about what they hold. What a broken assumption costs stands in `docs/budgets.md`.
//!
//! Bounds: budgets ([`MAX_BUDGETS`]), items a datagram, unconfirmed allocations a holder. A check costs the
//! same whatever there is; a report costs the leader the logarithm of the holders, and a division, twice a
//! round, as much for each.

mod account;
mod allocation;
mod budgets;
mod divide;
mod envelope;
mod leadership;
mod need;
mod parameters;
mod reporting;
mod voter;

use doortrack::Tenths;
use doortrack_fleet::View;

pub use budgets::Budgets;
pub use divide::{Asks, divide};
pub use envelope::{Envelope, Grant, Item, MAX_ITEMS, Message, NodeId};
pub use parameters::{Budget, Id, Kind, Parameters, Safeguards, Units, id_of};
pub use reporting::Standing;

/// Budgets of one fleet.
pub const MAX_BUDGETS: usize = 256;

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has come to where [`Budgets::next_due`] said, or simply passes.
    Tick,
    Received(Envelope),
    /// Who is there has changed.
    Members(View),
    /// The node was told to leave: it asks for nothing more, and steps down as the leader.
    Leave,
    /// Another process goes by this node's name: this one uses nothing more, reserved minimums included.
    Superseded,
    /// Other budgets from here on. What one that stays has in use is kept.
    Changed {
        list: Vec<Budget>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// To the node of that name, wherever it is reached; lost where it is not.
    Send(Envelope),
    Report(Change),
}

/// What has changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This node is the leader from here on, and grants what is free after so many tenths of a ms.
    Elected {
        grants_after: Tenths,
    },
    SteppedDown,
    /// Whom this node reports to.
    Leader(NodeId),
    /// No answer from the leader for some rounds.
    LeaderSilent(NodeId),
    /// An allocation of the budget at this index has changed to so many units, for so many tenths of a ms.
    Allocation {
        index: usize,
        was: Units,
        allocation: Units,
        lasts: Tenths,
    },
    /// The lease is over with so many units.
    RanOut {
        index: usize,
        allocation: Units,
    },
}

impl Change {
    /// Its name in logs and histories.
    pub fn word(&self) -> &'static str {
        match self {
            Change::Elected { .. } => "elected",
            Change::SteppedDown => "stepped_down",
            Change::Leader(_) => "leader",
            Change::LeaderSilent(_) => "leader_silent",
            Change::Allocation { was, allocation, .. } if allocation < was => "returned",
            Change::Allocation { .. } => "taken",
            Change::RanOut { .. } => "ran_out",
        }
    }
}
