//! What nodes say to one another about budgets.

use doortrack_fleet::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::{Id, Units};

/// Budgets that one message tells of, so that it fits a datagram.
pub const MAX_ITEMS: usize = 40;

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    pub name: Name,
    pub incarnation: Incarnation,
}

/// A message on its way. What is meant for another incarnation is not read.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate, or the leader, asks for a vote.
    Ask {
        ballot: u64,
    },
    Vote {
        ballot: u64,
    },
    Refused {
        ballot: u64,
    },
    /// The vote of this ballot is given back: it makes nobody the leader.
    Release {
        ballot: u64,
    },
    /// A holder's needs and what it may have in use.
    Report {
        seq: u64,
        weight: u32,
        items: Vec<Item>,
    },
    /// What the holder may use from the sending of that report on.
    Grant {
        seq: u64,
        grants: Vec<Grant>,
    },
    /// The one that was reported to is not the leader; who is, as far as it knows.
    Elsewhere {
        seq: u64,
        leader: Option<NodeId>,
    },
}

/// One budget in a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub id: Id,
    pub allocation: Units,
    /// It prolongs what the holder has: where that is over meanwhile, it is nothing.
    pub prolongs: bool,
}

/// One budget in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    pub id: Id,
    /// What could be used now, beyond the reserved minimum.
    pub need: Units,
    /// What may be in use at the most, beyond the reserved minimum.
    pub holding: Units,
    /// The newest report whose answer counts here.
    pub accepted: u64,
    /// The budget as this node was told of it.
    pub limit: Units,
    pub reserved: Units,
}
