//! Decides which nodes of a fleet are there.
//!
//! Every node holds a [`Fleet`]: what it heard is told to it with the time ([`Event`]), what is to be done
//! comes back as [`Action`]s. Neither sockets nor a clock, and the same events with the same seed give the
//! same actions, so the node, the emulator and the tests drive the same code.
//!
//! ```text
//! let mut fleet = Fleet::new(me, terms, seed, now);
//! fleet.handle(now, Event::Turn, &mut actions);            // at fleet.next_due() at the latest
//! fleet.handle(now, Event::Received { from, datagram }, &mut actions);
//! ```
//!
//! The way is that of SWIM: each node probes one other a period, asks helpers to try before it doubts, and
//! news travels on whatever is sent. What is added, and why:
//! - **Lives.** A node is known by its name and a [`Life`], a number that is never used twice. What concerns
//!   an earlier life counts for nothing, and a datagram names the life it is meant for.
//! - **Who stood still doubts nobody.** A turn that comes late by more than [`Terms::stall`] drops all
//!   probes and starts all doubts anew; until another has answered, nobody is doubted.
//! - **Who gets no answer from anybody holds itself for the one that is cut off**, and lets nobody be lost.
//! - **Second opinions.** Some of those that hear of a doubt try for themselves. Each that fails shortens it;
//!   the word of one alone takes the longest time.
//! - **Left is not lost**, and a node that comes back again and again is held back longer each time.
//! - **[`View`]s.** The members on which decisions may rest, in order, with a number that grows by one with
//!   each change and a digest that is the same in two nodes exactly when their members are.
//!
//! Assumptions: time as told does not go back within one process; it need not agree between two. Any
//! datagram may be lost, delayed, doubled or replayed. A member may die, stop and wake at any point. Names
//! are told apart, but two processes may claim the same one: the life that joined later stays. Members of
//! one fleet do not lie; who does not hold the key is kept out before anything gets here.
//!
//! What is never promised: that two nodes hold the same view at the same time. A decision that needs this
//! has to rest on leases or a majority, not on a view.
//!
//! Bounds: members ([`Terms::most_members`]), probes under way, claims a datagram, datagrams a period. The
//! cost of an event grows with the logarithm of the members at the most.

mod claim;
mod doubt;
mod fleet;
mod gossip;
mod joining;
mod message;
mod probes;
mod receiving;
mod report;
mod table;
mod terms;
mod turning;
mod view;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use claim::{Claim, Stand};
pub use fleet::Fleet;
pub use message::{CLAIM_BYTES, Datagram, Head, MOST_CLAIMS, Message};
pub use report::{Report, State};
pub use terms::Terms;
pub use view::{Seat, View};

/// The name of a node; see [`name`].
pub type Name = Arc<str>;

/// Bytes of a name.
pub const LONGEST_NAME: usize = 64;

/// One run of a node's process. Of two lives of one name the greater is the younger; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Life {
    /// That of a process started at this Unix time. The low bits are chance, so that two processes started
    /// in one ms differ.
    pub fn started(unix_ms: u64, chance: u64) -> Life {
        Life((unix_ms << 16) | (chance & 0xffff))
    }
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has come to where [`Fleet::next_due`] said, or simply passes.
    Turn,
    /// A datagram came that was found whole and of this fleet.
    Received { from: SocketAddr, datagram: Datagram },
    /// The node was told to leave.
    Leave,
    /// Other terms and seeds from here on.
    Changed { terms: Box<Terms> },
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    Send { to: SocketAddr, datagram: Box<Datagram> },
    Report(News),
}

/// What has changed, for the log and for those whose decisions rest on it. `life` is that of the member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A member is in the view from here on; `back` if this life was lost before.
    Alive {
        name: Name,
        life: Life,
        back: bool,
    },
    Suspected {
        name: Name,
        life: Life,
    },
    /// It answered after all.
    Cleared {
        name: Name,
        life: Life,
    },
    Lost {
        name: Name,
        life: Life,
    },
    Left {
        name: Name,
        life: Life,
    },
    /// It has come back too often; it is in the view again after so many tenths of a ms.
    HeldBack {
        name: Name,
        life: Life,
        wait: u64,
    },
    /// It answers, but late: its smoothed time to answer, in tenths of a ms.
    Slow {
        name: Name,
        life: Life,
        after: u64,
    },
    /// Nobody answers this node, or somebody does again.
    CutOff(bool),
    /// This node stood still for so many tenths of a ms.
    StoodStill {
        late: u64,
    },
    /// This node goes on under another life, as its name had been in use.
    NewLife {
        life: Life,
    },
    /// Another process goes by this node's name and joined later: this one no longer takes part.
    Displaced {
        by: Life,
        address: SocketAddr,
    },
    /// Another process goes by this node's name and joined earlier; it is to stop taking part.
    Twin {
        life: Life,
        address: SocketAddr,
    },
    /// The table is full: a newcomer was left out.
    NoRoom {
        name: Name,
    },
}

impl News {
    /// Its name in logs and histories.
    pub fn word(&self) -> &'static str {
        match self {
            News::Alive { back: false, .. } => "alive",
            News::Alive { back: true, .. } => "back",
            News::Suspected { .. } => "suspected",
            News::Cleared { .. } => "cleared",
            News::Lost { .. } => "lost",
            News::Left { .. } => "left",
            News::HeldBack { .. } => "held_back",
            News::Slow { .. } => "slow",
            News::CutOff(true) => "cut_off",
            News::CutOff(false) => "reconnected",
            News::StoodStill { .. } => "stood_still",
            News::NewLife { .. } => "new_life",
            News::Displaced { .. } => "displaced",
            News::Twin { .. } => "twin",
            News::NoRoom { .. } => "no_room",
        }
    }

    /// The other member that it is about, and its life.
    pub fn about(&self) -> Option<(&Name, Life)> {
        match self {
            News::Alive { name, life, .. }
            | News::Suspected { name, life }
            | News::Cleared { name, life }
            | News::Lost { name, life }
            | News::Left { name, life }
            | News::HeldBack { name, life, .. }
            | News::Slow { name, life, .. } => Some((name, *life)),
            _ => None,
        }
    }
}

/// Whether this can be a node's name: 1 to 64 bytes without control characters.
pub fn is_name(word: &str) -> bool {
    (1..=LONGEST_NAME).contains(&word.len()) && !word.chars().any(char::is_control)
}
