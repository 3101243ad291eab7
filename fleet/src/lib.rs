//! Decides which nodes of a fleet are there.
//!
//! Every node holds a [`Fleet`]: what it heard is told to it with the time ([`Event`]), what is to be done
//! comes back as [`Action`]s. Neither sockets nor a clock, and the same events with the same seed give the
//! same actions, so the node, the emulator and the tests drive the same code.
//!
//! ```text
//! let mut fleet = Fleet::new(me, parameters, seed, now);
//! fleet.handle(now, Event::Tick, &mut actions);            // at fleet.next_due() at the latest
//! fleet.handle(now, Event::Received { from, datagram }, &mut actions);
//! ```
//!
//! The way is that of SWIM: each node probes one other a period, asks indirect probers to try before it
//! suspects, and updates travel on whatever is sent. What is added, and why:
//! - **Incarnations.** A node is known by its name and an [`Incarnation`], a number that is never used twice.
//!   What concerns an earlier incarnation counts for nothing, and a datagram names the incarnation it is
//!   meant for.
//! - **Who was paused suspects nobody.** A turn that comes late by more than [`Parameters::max_lateness`]
//!   drops all probes and starts all suspicions anew; until another has answered, nobody is suspected.
//! - **Who gets no answer from anybody considers itself isolated**, and declares nobody dead.
//! - **Second opinions.** Some of those that hear of a suspicion try for themselves. Each that fails shortens
//!   it; the word of one alone takes the longest time.
//! - **Left is not dead**, and a node that comes back again and again is held back longer each time.
//! - **[`View`]s.** The members on which decisions may rest, in order, with a number that grows by one with
//!   each change and a digest that is the same in two nodes exactly when their members are.
//!
//! Assumptions: time as told does not go back within one process; it need not agree between two. Any
//! datagram may be lost, delayed, doubled or replayed. A member may die, stop and wake at any point. Names
//! are told apart, but two processes may use the same one: the incarnation that joined later stays. Members
//! of one fleet do not lie; who does not hold the key is kept out before anything gets here.
//!
//! What is never promised: that two nodes hold the same view at the same time. A decision that needs this
//! has to rest on leases or a majority, not on a view.
//!
//! Bounds: members ([`Parameters::max_members`]), probes under way, updates a datagram, datagrams a period.
//! The cost of an event grows with the logarithm of the members at the most.

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
pub use message::{Datagram, Head, MAX_UPDATES, Message};
pub use parameters::Parameters;
pub use report::{MemberReport, ReportedState};
pub use update::{MemberState, MemberUpdate};
pub use view::{Member, View};

/// The name of a node; see [`name`].
pub type Name = Arc<str>;

/// Bytes of a name.
pub const MAX_NAME_LEN: usize = 64;

/// One run of a node's process. Of two incarnations of one name the greater is the later; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Incarnation {
    /// That of a process started at this Unix time. The low bits are chance, so that two processes started
    /// in one ms differ.
    pub fn started(unix_ms: u64, chance: u64) -> Incarnation {
        Incarnation((unix_ms << 16) | (chance & 0xffff))
    }
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has come to where [`Fleet::next_due`] said, or simply passes.
    Tick,
    /// A datagram came that was found whole and of this fleet.
    Received { from: SocketAddr, datagram: Datagram },
    /// The node was told to leave.
    Leave,
    /// Other parameters and seeds from here on.
    Changed { parameters: Box<Parameters> },
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    Send { to: SocketAddr, datagram: Box<Datagram> },
    Report(Change),
}

/// What has changed, for the log and for those whose decisions rest on it. `incarnation` is that of the
/// member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is in the view from here on; `back` if this incarnation was dead before.
    Alive {
        name: Name,
        incarnation: Incarnation,
        back: bool,
    },
    Suspected {
        name: Name,
        incarnation: Incarnation,
    },
    /// It answered after all.
    Cleared {
        name: Name,
        incarnation: Incarnation,
    },
    Dead {
        name: Name,
        incarnation: Incarnation,
    },
    Left {
        name: Name,
        incarnation: Incarnation,
    },
    /// It has come back too often; it is in the view again after so many tenths of a ms.
    HeldBack {
        name: Name,
        incarnation: Incarnation,
        wait: u64,
    },
    /// It answers, but late: its smoothed time to answer, in tenths of a ms.
    Slow {
        name: Name,
        incarnation: Incarnation,
        after: u64,
    },
    /// Nobody answers this node, or somebody does again.
    Isolated(bool),
    /// This process was paused, and woke so many tenths of a ms late.
    Resumed {
        late: u64,
    },
    /// This node goes on under another incarnation, as its name had been in use.
    NewIncarnation {
        incarnation: Incarnation,
    },
    /// Another process goes by this node's name and joined later: this one no longer takes part.
    Superseded {
        by: Incarnation,
        address: SocketAddr,
    },
    /// Another process goes by this node's name and joined earlier; it is to stop taking part.
    DuplicateName {
        incarnation: Incarnation,
        address: SocketAddr,
    },
    /// The table is full: a newcomer was left out.
    NoRoom {
        name: Name,
    },
}

impl Change {
    /// Its name in logs and histories.
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

    /// The other member that it is about, and its incarnation.
    pub fn about(&self) -> Option<(&Name, Incarnation)> {
        match self {
            Change::Alive { name, incarnation, .. }
            | Change::Suspected { name, incarnation }
            | Change::Cleared { name, incarnation }
            | Change::Dead { name, incarnation }
            | Change::Left { name, incarnation }
            | Change::HeldBack { name, incarnation, .. }
            | Change::Slow { name, incarnation, .. } => Some((name, *incarnation)),
            _ => None,
        }
    }
}

/// Whether this can be a node's name: 1 to 64 bytes without control characters.
pub fn is_name(word: &str) -> bool {
    (1..=MAX_NAME_LEN).contains(&word.len()) && !word.chars().any(char::is_control)
}
