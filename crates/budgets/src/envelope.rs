//! The messages between nodes about budgets. They are encoded by position (postcard): the order of fields and
//! variants is part of the wire format, their names are not.

use doortrack_membership::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::{Id, Units};

/// Budgets in one message, so that it fits a datagram.
pub const MAX_ITEMS: usize = 40;

/// One incarnation of a node: its name, and the run of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    pub name: Name,
    pub incarnation: Incarnation,
}

/// A message with its sender and receiver. A message for another incarnation is ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

/// What is sent. A ballot is the number of a request for votes, `seq` that of a report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate, or the leader, asks for a vote.
    Ask { ballot: u64 },
    /// The voter gives its vote.
    Vote { ballot: u64 },
    /// The voter refuses: another has its vote, or it gives none yet.
    Refused { ballot: u64 },
    /// The candidate gives the vote of this ballot back.
    Release { ballot: u64 },
    /// A holder's needs, and what it may have in use.
    Report {
        seq: u64,
        weight: u32,
        items: Vec<ReportItem>,
    },
    /// The leader's answer to a report: what the holder may use, on a lease that runs from when it sent the
    /// report.
    Grant { seq: u64, grants: Vec<Grant> },
    /// The receiver of the report is not the leader; who is, as far as it knows.
    Elsewhere { seq: u64, leader: Option<NodeId> },
}

/// One budget in a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub id: Id,
    /// Units beyond the reserved minimum.
    pub allocation: Units,
    /// It only prolongs what the holder has, and is void if that has expired meanwhile.
    pub prolongs: bool,
}

/// One budget in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportItem {
    pub id: Id,
    /// Units that could be used now, beyond the reserved minimum.
    pub need: Units,
    /// Units that may be in use at most, beyond the reserved minimum.
    pub holding: Units,
    /// The latest report whose answer is in force.
    pub accepted: u64,
    /// Limit and reserved minimum of the budget as this node is configured.
    pub limit: Units,
    pub reserved: Units,
}
