//! Fleet-wide budgets: decides how much of each budget this node may use, so that all nodes
//! together never use more than its limit.
//!
//! Every node holds one [`Budgets`]. It is driven by [`Event`]s with the time of each, returns
//! [`Action`]s to execute, and is asked before each use ([`Budgets::acquire`]). There are neither
//! sockets nor a clock here, and the same events with the same seed give the same actions.
//!
//! ```text
//! let mut budgets = Budgets::new(me, weight, parameters, list, seed, now);
//! budgets.handle(now, Event::Tick, &mut actions);          // at budgets.next_due() at the latest
//! if let Err(retry_after) = budgets.acquire(index, now) { .. }  // with the clock read just before
//! ```
//!
//! A **leader**, one of the fleet's voters, grants allocations to all nodes on leases. Nothing is
//! written to disk:
//! - **Votes.** A voter gives its vote to one candidate for [`Parameters::vote_duration`] and to no
//!   other meanwhile; a candidate with the votes of a majority is the leader, by its own clock from
//!   when it *asked*. A voter that has just started may have forgotten a vote, and gives none for
//!   as long as one lasts.
//! - **Leases.** A lease runs, for its holder, from when it *asked*, and for the leader from when
//!   it *answered*, so that under any delay the holder's lease ends first. It is shortened for the
//!   holder by what two clocks may drift apart.
//! - **Moved allocations.** What one holder is to give up is granted to another only once the first
//!   has confirmed that it uses no more, or its lease has expired. Whatever was sent and not
//!   confirmed counts as granted.
//! - **A new leader** knows nothing of what was granted. Until every lease of an earlier leader has
//!   expired, it only prolongs what holders report, and only where they still hold it when its
//!   answer arrives.
//! - **Reserved minimums** are set aside from the limit, for named nodes, and need no leader.
//!
//! Assumptions: each process's time goes forward, and drifts from true time by no more than
//! [`Parameters::max_drift_permille`]. Datagrams may be lost, duplicated, delayed without bound and reordered.
//! Any process may die (and restart with nothing), pause and resume. One process at a time uses a
//! name; nodes do not lie about what they hold. `docs/budgets.md` says what a broken assumption
//! costs.
//!
//! Bounds: budgets ([`MAX_BUDGETS`]), items in a datagram, unconfirmed allocations of a holder. A
//! check takes constant time; a report costs the leader the logarithm of the holders, and a
//! division, twice a round, as much for each holder.

mod allocation;
mod budgets;
mod divide;
mod election;
mod envelope;
mod holder;
mod leadership;
mod ledger;
mod need;
mod parameters;
mod reporting;
mod token_bucket;
mod voter;

use doortrack_membership::View;
use doortrack_time::TenthMillis;

pub use budgets::Budgets;
pub use divide::{HolderDemand, divide};
pub use envelope::{Envelope, Grant, MAX_REPORT_ITEMS, Message, NodeId, ReportItem};
pub use parameters::{Budget, BudgetId, Kind, Parameters, Safeguards, Units, budget_id};
pub use reporting::AllocationStatus;

/// Budgets that one fleet may have.
pub const MAX_BUDGETS: usize = 256;

/// An input of [`Budgets::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due by [`Budgets::next_due`] at the latest.
    Tick,
    /// A message arrived from another node.
    Received(Envelope),
    /// The members present have changed.
    ViewChanged(View),
    /// The node is to leave: it asks for nothing more, and steps down as the leader.
    Leave,
    /// A later process uses this node's name: this one uses nothing more, reserved minimums
    /// included.
    Superseded,
    /// The budgets were changed. Use of those that remain is kept.
    BudgetsChanged {
        /// All budgets from here on, each with an id of its own.
        list: Vec<Budget>,
    },
}

/// An output of [`Budgets::handle`], to be executed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the node that it names; it may get lost.
    Send(Envelope),
    /// Notify the log.
    Report(Change),
}

/// A change for the log. Allocations are in [`Units`], times in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This node became the leader.
    Elected {
        /// How long it only prolongs leases before it grants what is free.
        grants_after: TenthMillis,
    },
    /// This node is no longer the leader.
    SteppedDown,
    /// The leader that this node reports to from here on.
    Leader(NodeId),
    /// The leader has not answered for some rounds.
    LeaderSilent(NodeId),
    /// The allocation of a budget changed.
    Allocation {
        /// The index of the budget.
        index: usize,
        /// What was on the lease before.
        previous: Units,
        /// What is on the lease now.
        allocation: Units,
        /// How long the lease lasts.
        lease_remaining: TenthMillis,
    },
    /// A lease expired.
    LeaseExpired {
        /// The index of the budget.
        index: usize,
        /// What was on the lease.
        allocation: Units,
    },
}

impl Change {
    /// Its name in logs and histories.
    pub fn name(&self) -> &'static str {
        match self {
            Change::Elected { .. } => "elected",
            Change::SteppedDown => "stepped_down",
            Change::Leader(_) => "leader",
            Change::LeaderSilent(_) => "leader_silent",
            Change::Allocation {
                previous,
                allocation,
                ..
            } if allocation < previous => "returned",
            Change::Allocation { .. } => "taken",
            Change::LeaseExpired { .. } => "ran_out",
        }
    }
}
