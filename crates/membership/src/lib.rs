//! Membership: decides which nodes of a fleet are present.
//!
//! Every node holds a [`Fleet`]. It is driven by [`Event`]s with the time of each, and returns
//! [`Action`]s to execute. There are neither sockets nor a clock here, and the same events with the
//! same seed give the same actions, so that the node, the simulation and the tests drive the same
//! code.
//!
//! ```text
//! let mut fleet = Fleet::new(me, parameters, seed, now);
//! fleet.handle(now, Event::Tick, &mut actions);            // at fleet.next_due() at the latest
//! fleet.handle(now, Event::Received { from, datagram }, &mut actions);
//! ```
//!
//! The protocol is SWIM: each node probes one other in each period, asks indirect probers to try
//! before it suspects the member, and updates travel on the datagrams that are sent anyway.
//! Additions, and why:
//! - **Incarnations.** A node is identified by its name and an [`Incarnation`], a number that is
//!   never used twice. Updates on an earlier incarnation are ignored, and a datagram names the
//!   incarnation that it is meant for, so that replays change nothing.
//! - **A process that was paused suspects nobody.** A tick that comes late by more than
//!   [`Parameters::max_lateness`] drops all probes and restarts all suspicions; until another node
//!   has answered, nobody is suspected.
//! - **A node that nobody answers considers itself isolated**, and declares nobody dead.
//! - **Confirmations.** Some of the nodes that hear of a suspicion probe the member themselves.
//!   Each probe that fails shortens the suspicion; an unconfirmed one lasts longest.
//! - **Left is not dead**, and a member that comes back repeatedly is held back longer each time.
//! - **[`View`]s.** The members on which decisions may rest, in order, with a number that grows by
//!   one with each change and a digest that is equal in two nodes exactly when their members are.
//!
//! Assumptions: the time of events does not go back within one process; it need not agree between
//! two. Any datagram may be lost, delayed, duplicated or replayed. A member may die, pause and
//! resume at any point. Two processes may use the same name: the incarnation that joined later
//! stays. Members of one fleet do not lie; whoever does not hold the key is kept out before
//! anything gets here.
//!
//! Not guaranteed: that two nodes have the same view at the same time. A decision that needs this
//! has to rest on leases or a majority, not on a view.
//!
//! Bounds: members ([`Parameters::max_members`]), probes under way, updates in a datagram,
//! datagrams in a period. The cost of an event grows at most with the logarithm of the members.

mod answers;
mod applying;
mod evidence;
mod fleet;
mod gossip;
mod joining;
mod message;
mod parameters;
mod probes;
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

/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One run of a node's process. Of two incarnations of one name the greater one is the later; 0
/// stands for none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(
    /// Its number.
    pub u64,
);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Incarnation {
    /// The incarnation of a process started at this Unix time in ms. Its low 16 bits are random, so
    /// that two processes started in the same ms differ.
    pub fn from_start_time(unix_ms: u64, random: u64) -> Incarnation {
        Incarnation((unix_ms << 16) | (random & 0xffff))
    }
}

/// An input of [`Fleet::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due by [`Fleet::next_due`] at the latest.
    Tick,
    /// A datagram arrived that is intact and belongs to this fleet.
    Received {
        /// The address that it came from.
        from: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// The node was asked to leave.
    Leave,
    /// The parameters and seeds were changed.
    ParametersChanged {
        /// The new ones.
        parameters: Box<Parameters>,
    },
}

/// An output of [`Fleet::handle`], to be executed in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram to this address; it may get lost.
    Send {
        /// Where it goes (UDP).
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// Notify the log, and those whose decisions rest on the view.
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
        /// Whether it was dead before.
        back: bool,
    },
    /// A probe of a member failed, here or elsewhere.
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
    /// A member was declared dead and left the view.
    Dead {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A member announced that it leaves, and left the view.
    Left {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// A member came back too often.
    HeldBack {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
        /// How long it is kept out of the view.
        wait: TenthMillis,
    },
    /// A member answers, but late.
    Slow {
        /// The member.
        name: Name,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its smoothed response time.
        after: TenthMillis,
    },
    /// Nobody answers this node (`true`), or somebody does again.
    Isolated(bool),
    /// This process was paused and has resumed.
    Resumed {
        /// How late it runs by its own clock.
        late: TenthMillis,
    },
    /// This node continues under another incarnation, as a later one of its name was known.
    NewIncarnation {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Another process of this node's name joined later: this one no longer takes part.
    Superseded {
        /// The incarnation of the other process.
        by: Incarnation,
        /// Its address.
        address: SocketAddr,
    },
    /// Another process of this node's name joined earlier; it is notified that it is superseded.
    DuplicateName {
        /// The incarnation of the other process.
        incarnation: Incarnation,
        /// Its address.
        address: SocketAddr,
    },
    /// The table is full: a new member was left out.
    TableFull {
        /// The member.
        name: Name,
    },
}

impl Change {
    /// Its name in logs and histories.
    pub fn name(&self) -> &'static str {
        match self {
            Change::Alive { back: false, .. } => "alive",
            Change::Alive { back: true, .. } => "back",
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

    /// The member that it is about, unless that is this node.
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

/// Whether this can be a node's name: 1 to 64 bytes without control characters.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}
