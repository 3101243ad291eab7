//! The messages between nodes about budgets. They are encoded by position (postcard): the order of
//! fields and variants is part of the wire format, their names are not.

use doortrack_membership::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::{BudgetId, Units};

/// Budgets in one message, so that it fits a datagram.
pub const MAX_REPORT_ITEMS: usize = 40;

/// One incarnation of a node: its name, and the run of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The node's name.
    pub name: Name,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// A message with its sender and receiver. A message for another incarnation is ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// What is sent.
    pub message: Message,
}

/// A message. A ballot is the number of a request for votes, `seq` that of a report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate, or the leader, requests a vote.
    VoteRequest {
        /// The number of the request.
        ballot: u64,
    },
    /// The voter gives its vote.
    Vote {
        /// The number of the request.
        ballot: u64,
    },
    /// The voter refuses: another has its vote, or it gives none yet.
    Refused {
        /// The number of the request.
        ballot: u64,
    },
    /// The candidate gives the vote of this ballot back.
    Release {
        /// The number of the request.
        ballot: u64,
    },
    /// A holder's needs, and what it may have in use.
    Report {
        /// The number of the report.
        seq: u64,
        /// The holder's capacity, in a unit that all nodes share.
        weight: u32,
        /// One for each budget; at most [`MAX_REPORT_ITEMS`].
        items: Vec<ReportItem>,
    },
    /// The leader's answer to a report: what the holder may use, on a lease that runs from when it
    /// sent the report.
    Grant {
        /// The number of the report.
        seq: u64,
        /// One for each budget that the leader knows.
        grants: Vec<Grant>,
    },
    /// The receiver of the report is not the leader.
    NotLeader {
        /// The number of the report.
        seq: u64,
        /// The leader, if the receiver knows it.
        leader: Option<NodeId>,
    },
}

/// One budget in a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub id: BudgetId,
    /// Units beyond the reserved minimum.
    pub allocation: Units,
    /// It only prolongs what the holder has, and is void if that has expired meanwhile.
    pub prolongs: bool,
}

/// One budget in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportItem {
    /// The budget.
    pub id: BudgetId,
    /// Units that could be used now, beyond the reserved minimum.
    pub need: Units,
    /// Units that may be in use at most, beyond the reserved minimum.
    pub holding: Units,
    /// The latest report whose answer is in force.
    pub accepted: u64,
    /// The limit of the budget as this node is configured.
    pub limit: Units,
    /// The reserved minimum of the budget as this node is configured.
    pub reserved: Units,
}
