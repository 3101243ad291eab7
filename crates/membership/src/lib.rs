//! Membership: decides which nodes of a fleet are present.
//!
//! Every node runs a [`Fleet`], a state machine that takes [`Event`]s with the time of each and
//! returns [`Action`]s to execute. It does no I/O and reads no clock. The same events with the same
//! seed give the same actions, so that the node, the simulation and the tests run the same code.
//!
//! ```text
//! let mut fleet = Fleet::new(me, parameters, seed, now);
//! fleet.handle(now, Event::Tick, &mut actions);            // at fleet.next_due() at the latest
//! fleet.handle(now, Event::Received { from, datagram }, &mut actions);
//! ```
//!
//! The protocol is SWIM: each node probes one other member per period, asks indirect probers to
//! probe a member before it suspects it, and piggybacks updates on the datagrams that are sent
//! anyway. The following is added to SWIM:
//! - **Incarnations.** A node is identified by its name and an [`Incarnation`], a number that is
//!   never reused. Updates on an earlier incarnation are ignored, and a datagram names the
//!   incarnation that it is addressed to, so that replays change nothing.
//! - **A process that was paused suspects nobody.** A tick that is late by more than
//!   [`Parameters::max_lateness`] drops all probes and restarts all suspicions. Nobody is suspected
//!   until another node has answered.
//! - **A node that receives no answers considers itself isolated**, and declares nobody dead.
//! - **Confirmations.** Some of the nodes that learn of a suspicion probe the member themselves.
//!   Each such probe that fails shortens the suspicion; an unconfirmed suspicion lasts longest.
//! - **A member that left is not dead**, and a member that returns repeatedly is held back longer
//!   each time.
//! - **[`View`]s.** A view is the ordered set of present members, with a number that grows by one
//!   with each change and a digest that is equal on two nodes exactly when their members are.
//!
//! Assumptions: the time of events never goes back within one process; the clocks of two processes
//! need not agree. Any datagram may be lost, delayed, duplicated or replayed. A member may die,
//! pause and resume at any point. Two processes may use the same name: the incarnation that joined
//! later stays. Members of one fleet do not lie; datagrams of senders without the key are rejected
//! before they reach this package.
//!
//! Not guaranteed: that two nodes have the same view at the same time. A decision that needs this
//! has to rest on leases or a majority, not on a view.
//!
//! The number of members ([`Parameters::max_members`]), of pending probes, of updates per datagram
//! and of datagrams per period is bounded. The cost of an event grows at most with the logarithm of
//! the number of members.

mod answers;
mod applying;
mod fleet;
mod gossip;
mod joining;
mod message;
mod parameters;
mod probes;
mod received_updates;
mod receiving;
mod report;
mod sending;
mod suspicion;
mod table;
mod timers;
mod update;
mod view;
mod view_sync;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use doortrack_time::TenthMillis;
use serde::{Deserialize, Serialize};

pub use fleet::Fleet;
pub use message::{Datagram, DatagramHeader, MAX_UPDATES, Message, UPDATE_BYTES_THRESHOLD};
pub use parameters::Parameters;
pub use report::{MemberReport, ReportedState};
pub use update::{MemberState, MemberUpdate};
pub use view::{Member, View};

/// The name of a node; see [`is_valid_name`].
pub type Name = Arc<str>;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies one process lifetime of a node. The greater of two incarnations of a name is the
/// later one; 0 stands for none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(
    /// The number of the incarnation.
    pub u64,
);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Incarnation {
    /// The incarnation of a process started at this Unix time in ms. The low 16 bits are random, so
    /// that two processes started in the same ms differ.
    pub fn from_start_time(unix_ms: u64, random: u64) -> Incarnation {
        Incarnation((unix_ms << 16) | (random & 0xffff))
    }
}

/// An input of [`Fleet::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Runs the timers that are due. Needed by [`Fleet::next_due`] at the latest.
    Tick,
    /// An authenticated datagram of this fleet arrived.
    Received {
        /// The source address.
        from: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// The node is to leave the fleet.
    Leave,
    /// The parameters, seeds included, were changed.
    ParametersChanged {
        /// The new parameters.
        parameters: Box<Parameters>,
    },
}

/// An output of [`Fleet::handle`], to be executed in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram; it may be lost.
    Send {
        /// The destination address (UDP).
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// Log the change, and notify the users of the view.
    Report(Change),
}

/// A change of membership. Times are in tenths of a millisecond.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member entered the view.
    Alive {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whether it was declared dead before.
        returned: bool,
    },
    /// A probe of a member failed, on this node or another.
    Suspected {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A suspected member refuted the suspicion.
    Cleared {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A member was declared dead and removed from the view.
    Dead {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A member announced that it leaves, and was removed from the view.
    Left {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A member returned too often and is kept out of the view.
    HeldBack {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
        /// How long the member is kept out of the view.
        wait: TenthMillis,
    },
    /// A member answers, but slowly.
    Slow {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The smoothed response time.
        smoothed_response_time: TenthMillis,
    },
    /// This node became isolated (`true`) or received an answer again (`false`).
    Isolated(bool),
    /// This process resumed after a pause.
    Resumed {
        /// By how much the timer that was due next is overdue.
        late: TenthMillis,
    },
    /// This node adopted a new incarnation because a later one of its name was already known.
    NewIncarnation {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Another process with this node's name joined later; this process no longer takes part.
    Superseded {
        /// The incarnation of the other process.
        by: Incarnation,
        /// Its address.
        address: SocketAddr,
    },
    /// Another process with this node's name joined earlier; it is notified that it is superseded.
    DuplicateName {
        /// The incarnation of the other process.
        incarnation: Incarnation,
        /// Its address.
        address: SocketAddr,
    },
    /// A new member was not added because the table is full.
    TableFull {
        /// The member.
        name: Name,
    },
}

impl Change {
    /// The name of the change in logs and histories.
    pub fn name(&self) -> &'static str {
        match self {
            Change::Alive {
                returned: false, ..
            } => "alive",
            Change::Alive { returned: true, .. } => "back",
            Change::Suspected { .. } => "suspected",
            Change::Cleared { .. } => "cleared",
            Change::Dead { .. } => "dead",
            Change::Left { .. } => "left",
            Change::HeldBack { .. } => "held_back",
            Change::Slow { .. } => "slow",
            Change::Isolated(true) => "isolated",
            Change::Isolated(false) => "reconnected",
            Change::Resumed { .. } => "resumed",
            Change::NewIncarnation { .. } => "new_incarnation",
            Change::Superseded { .. } => "superseded",
            Change::DuplicateName { .. } => "duplicate_name",
            Change::TableFull { .. } => "no_room",
        }
    }

    /// The member that changed; none if the change concerns this node.
    pub fn member(&self) -> Option<(&Name, Incarnation)> {
        match self {
            Change::Alive {
                name, incarnation, ..
            }
            | Change::Suspected { name, incarnation }
            | Change::Cleared { name, incarnation }
            | Change::Dead { name, incarnation }
            | Change::Left { name, incarnation }
            | Change::HeldBack {
                name, incarnation, ..
            }
            | Change::Slow {
                name, incarnation, ..
            } => Some((name, *incarnation)),
            _ => None,
        }
    }
}

/// Returns true if this is a valid node name: 1 to 64 bytes without control characters.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}
