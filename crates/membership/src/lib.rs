//! Membership: decides which nodes of a fleet are present.
//!
//! Every node holds a [`Fleet`]. It is driven by [`Event`]s with the time of each, and returns [`Action`]s to
//! carry out. There are neither sockets nor a clock here, and the same events with the same seed give the
//! same actions, so that the node, the emulator and the tests drive the same code.
//!
//! ```text
//! let mut fleet = Fleet::new(me, parameters, seed, now);
//! fleet.handle(now, Event::Tick, &mut actions);            // at fleet.next_due() at the latest
//! fleet.handle(now, Event::Received { from, datagram }, &mut actions);
//! ```
//!
//! The protocol is SWIM: each node probes one other in each period, asks indirect probers to try before it
//! suspects the member, and updates travel on the datagrams that are sent anyway. Additions, and why:
//! - **Incarnations.** A node is identified by its name and an [`Incarnation`], a number that is never used
//!   twice. Updates on an earlier incarnation are ignored, and a datagram names the incarnation that it is
//!   meant for, so that replays change nothing.
//! - **A process that was paused suspects nobody.** A tick that comes late by more than
//!   [`Parameters::max_lateness`] drops all probes and restarts all suspicions; until another node has
//!   answered, nobody is suspected.
//! - **A node that nobody answers considers itself isolated**, and declares nobody dead.
//! - **Confirmations.** Some of the nodes that hear of a suspicion probe the member themselves. Each probe
//!   that fails shortens the suspicion; an unconfirmed one lasts longest.
//! - **Left is not dead**, and a member that comes back repeatedly is held back longer each time.
//! - **[`View`]s.** The members on which decisions may rest, in order, with a number that grows by one with
//!   each change and a digest that is equal in two nodes exactly when their members are.
//!
//! Assumptions: the time of events does not go back within one process; it need not agree between two. Any
//! datagram may be lost, delayed, duplicated or replayed. A member may die, pause and resume at any point.
//! Two processes may use the same name: the incarnation that joined later stays. Members of one fleet do not
//! lie; whoever does not hold the key is kept out before anything gets here.
//!
//! Not guaranteed: that two nodes have the same view at the same time. A decision that needs this has to rest
//! on leases or a majority, not on a view.
//!
//! Bounds: members ([`Parameters::max_members`]), probes under way, updates in a datagram, datagrams in a
//! period. The cost of an event grows at most with the logarithm of the members.

mod applying;
mod fleet;
mod gossip;
mod joining;
mod message;
mod parameters;
mod probes;
mod receiving;
mod report;
mod suspicion;
mod table;
mod timers;
mod update;
mod view;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use fleet::Fleet;
pub use message::{Datagram, Head, MAX_UPDATES, Message, UPDATE_BYTES};
pub use parameters::Parameters;
pub use report::{MemberReport, ReportedState};
pub use update::{MemberState, MemberUpdate};
pub use view::{Member, View};

/// The name of a node; see [`is_name`].
pub type Name = Arc<str>;

/// The longest name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// One run of a node's process. Of two incarnations of one name the greater one is the later; 0 stands for
/// none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Incarnation {
    /// The incarnation of a process started at this Unix time in ms. Its low 16 bits are random, so that two
    /// processes started in the same ms differ.
    pub fn started(unix_ms: u64, chance: u64) -> Incarnation {
        Incarnation((unix_ms << 16) | (chance & 0xffff))
    }
}

/// An input of [`Fleet::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due by [`Fleet::next_due`] at the latest.
    Tick,
    /// A datagram arrived that is intact and belongs to this fleet.
    Received {
        from: SocketAddr,
        datagram: Datagram,
    },
    /// The node was told to leave.
    Leave,
    /// The parameters and seeds were changed.
    Changed { parameters: Box<Parameters> },
}

/// An output of [`Fleet::handle`], to be carried out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram to this address; it may get lost.
    Send {
        to: SocketAddr,
        datagram: Box<Datagram>,
    },
    /// Tell the log, and those whose decisions rest on the view.
    Report(Change),
}

/// A change of membership. `name` and `incarnation` are those of the member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member entered the view; `back` if it was dead before.
    Alive {
        name: Name,
        incarnation: Incarnation,
        back: bool,
    },
    /// A probe of a member failed, here or elsewhere.
    Suspected {
        name: Name,
        incarnation: Incarnation,
    },
    /// A suspected member refuted the suspicion.
    Cleared {
        name: Name,
        incarnation: Incarnation,
    },
    /// A member was declared dead and left the view.
    Dead {
        name: Name,
        incarnation: Incarnation,
    },
    /// A member announced that it leaves, and left the view.
    Left {
        name: Name,
        incarnation: Incarnation,
    },
    /// A member came back too often; it enters the view again after `wait`, in tenths of a ms.
    HeldBack {
        name: Name,
        incarnation: Incarnation,
        wait: u64,
    },
    /// A member answers, but late: `after` is its smoothed response time in tenths of a ms.
    Slow {
        name: Name,
        incarnation: Incarnation,
        after: u64,
    },
    /// Nobody answers this node (`true`), or somebody does again.
    Isolated(bool),
    /// This process was paused and resumed `late`, in tenths of a ms, by its own clock.
    Resumed { late: u64 },
    /// This node continues under another incarnation, as a later one of its name was known.
    NewIncarnation { incarnation: Incarnation },
    /// Another process of this node's name joined later: this one takes part no longer.
    Superseded {
        by: Incarnation,
        address: SocketAddr,
    },
    /// Another process of this node's name joined earlier; it is told to stop taking part.
    DuplicateName {
        incarnation: Incarnation,
        address: SocketAddr,
    },
    /// The table is full: a new member was left out.
    NoRoom { name: Name },
}

impl Change {
    /// Its word in logs and histories.
    pub fn word(&self) -> &'static str {
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
            Change::NoRoom { .. } => "no_room",
        }
    }

    /// The member that it is about, unless that is this node.
    pub fn about(&self) -> Option<(&Name, Incarnation)> {
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
pub fn is_name(word: &str) -> bool {
    (1..=MAX_NAME_LEN).contains(&word.len()) && !word.chars().any(char::is_control)
}
