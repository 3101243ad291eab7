//! The messages between nodes about budgets. They are encoded by position (postcard): the order of
//! fields and variants is part of the wire format, their names are not.

use doortrack_membership::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::{BudgetId, Units};

/// Maximum number of budgets in one message, so that it fits into a datagram.
pub const MAX_REPORT_ITEMS: usize = 40;

/// Identifies one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// The node's name.
    pub name: Name,
    /// The node's incarnation.
    pub incarnation: Incarnation,
}

/// A message with its sender and receiver. A message to another incarnation is ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// A message. `ballot` numbers the requests for votes of a node, `seq` its reports.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate, or the leader, requests a vote.
    VoteRequest {
        /// The number of the request.
        ballot: u64,
    },
    /// A voter gives its vote.
    Vote {
        /// The number of the request.
        ballot: u64,
    },
    /// A voter refuses its vote, because another node has it or because it still abstains.
    Refused {
        /// The number of the request.
        ballot: u64,
    },
    /// A candidate or the leader releases the votes of a ballot.
    Release {
        /// The number of the request.
        ballot: u64,
    },
    /// A holder reports its needs, and the units that it may have in use.
    Report {
        /// The number of the report.
        seq: u64,
        /// The holder's capacity, in a unit that all nodes share.
        weight: u32,
        /// One item per budget; at most [`MAX_REPORT_ITEMS`].
        items: Vec<ReportItem>,
    },
    /// The leader answers a report with what the holder may use, on a lease that runs from when the
    /// holder sent the report.
    Grant {
        /// The number of the report.
        seq: u64,
        /// One grant per budget that the leader knows.
        grants: Vec<Grant>,
    },
    /// The receiver of a report is not the leader.
    NotLeader {
        /// The number of the report.
        seq: u64,
        /// The leader, if the receiver of the report knows it.
        leader: Option<NodeId>,
    },
}

/// One budget in a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub id: BudgetId,
    /// Units in addition to the reserved minimum.
    pub allocation: Units,
    /// Whether the grant only prolongs the units that the holder has. It grants nothing if their
    /// lease has expired in the meantime.
    pub prolongs: bool,
}

/// One budget in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReportItem {
    /// The budget.
    pub id: BudgetId,
    /// Units that the node could use now, in addition to the reserved minimum.
    pub need: Units,
    /// Maximum number of units that may be in use, in addition to the reserved minimum.
    pub holding: Units,
    /// The number of the latest report whose answer is in force.
    pub accepted: u64,
    /// The limit of the budget in the sender's configuration.
    pub limit: Units,
    /// The reserved minimum of the budget in the sender's configuration.
    pub reserved: Units,
}
