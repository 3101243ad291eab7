//! Fleet-wide budgets: decides how much of each budget this node may use, so that all nodes
//! together never exceed its limit.
//!
//! Every node runs one [`Budgets`], a state machine that takes [`Event`]s with the time of each and
//! returns [`Action`]s to execute. Each use of a budget is first acquired from it
//! ([`Budgets::acquire`]). It does no I/O and reads no clock. The same events with the same seed
//! give the same actions.
//!
//! ```text
//! let mut budgets = Budgets::new(me, weight, parameters, list, seed, now);
//! budgets.handle(now, Event::Tick, &mut actions);          // at budgets.next_due() at the latest
//! if let Err(retry_after) = budgets.acquire(index, now) { .. }  // with the clock read just before
//! ```
//!
//! A **leader**, one of the fleet's voters, grants allocations to all nodes on leases. No state is
//! stored on disk:
//! - **Votes.** A voter gives its vote to one candidate for [`Parameters::vote_duration`] and to no
//!   other during that time. A candidate with the votes of a majority is the leader; it counts the
//!   duration of a vote from when it *requested* it. A voter that has just started may have
//!   forgotten a vote, and abstains for the duration of one.
//! - **Leases.** The holder counts the duration of a lease from when it *requested* it, the leader
//!   from when it *answered*, so that the holder's lease ends first under any delay. The holder
//!   also shortens its lease by the maximum drift between two clocks.
//! - **Moved allocations.** Units that one holder is to give up are granted to another only when
//!   the first has confirmed that it no longer uses them, or its lease has expired. Whatever was
//!   sent and not confirmed counts as granted.
//! - **A new leader** does not know what was granted before. Until every lease of an earlier leader
//!   has expired, it only prolongs what holders report, and only if they still hold it when the
//!   answer arrives.
//! - **Reserved minimums** are subtracted from the limit, for named nodes, and need no leader.
//!
//! Assumptions: each process's time never goes back, and drifts from true time by no more than
//! [`Parameters::max_drift_permille`]. Datagrams may be lost, duplicated, delayed without bound and
//! reordered. Any process may die (and restart without state), pause and resume. Only one process
//! at a time uses a name; nodes do not lie about what they hold. `docs/budgets.md` describes the
//! effect of a broken assumption.
//!
//! The number of budgets ([`MAX_BUDGETS`]), of items per datagram and of unconfirmed allocations
//! per holder is bounded. Acquiring a unit takes constant time. A report costs the leader time
//! logarithmic in the number of holders; a division, twice per report interval, costs as much for
//! each holder.

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
mod status;
mod token_bucket;
mod voter;

use doortrack_membership::View;
use doortrack_time::TenthMillis;

pub use budgets::Budgets;
pub use divide::{HolderDemand, divide};
pub use envelope::{Envelope, Grant, MAX_REPORT_ITEMS, Message, NodeId, ReportItem};
pub use parameters::{Budget, BudgetId, Kind, Parameters, Safeguards, Units, budget_id};
pub use status::AllocationStatus;

/// Maximum number of budgets of a fleet.
pub const MAX_BUDGETS: usize = 256;

/// An input of [`Budgets::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Takes the steps that are due. Needed by [`Budgets::next_due`] at the latest.
    Tick,
    /// A message arrived from another node.
    Received(Envelope),
    /// The view of present members has changed.
    ViewChanged(View),
    /// The node is to leave: it reports no more need, and resigns if it is the leader.
    Leave,
    /// A later process uses this node's name: this process loses all allocations, including
    /// reserved minimums.
    Superseded,
    /// The list of budgets was changed. The usage of budgets that remain is kept.
    BudgetsChanged {
        /// All budgets, each with a unique id.
        list: Vec<Budget>,
    },
}

/// An output of [`Budgets::handle`], to be executed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the receiver that it names; it may be lost.
    Send(Envelope),
    /// Log a change.
    Report(Change),
}

/// A change to be logged. Allocations are in [`Units`], times in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This node became the leader.
    Elected {
        /// How long the leader only prolongs leases before it makes new grants.
        grants_after: TenthMillis,
    },
    /// This node is no longer the leader.
    SteppedDown,
    /// This node now reports to this leader.
    Leader(NodeId),
    /// The leader has not answered several reports and was given up.
    LeaderSilent(NodeId),
    /// The allocation of a budget changed.
    Allocation {
        /// The index of the budget.
        index: usize,
        /// The leased units before.
        previous: Units,
        /// The leased units now.
        allocation: Units,
        /// The remaining time of the lease.
        lease_remaining: TenthMillis,
    },
    /// A lease expired.
    LeaseExpired {
        /// The index of the budget.
        index: usize,
        /// The units that were leased.
        allocation: Units,
    },
}

impl Change {
    /// The name of the change in logs and histories.
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
