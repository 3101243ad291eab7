//! Messages between nodes, and status queries with their answers. Encoded with postcard: the order of variants
//! and of fields is the format.

use doortrack_budgets::{Envelope, Units};
use doortrack_membership::{Datagram, Incarnation, MemberReport, Name};
use serde::{Deserialize, Serialize};

/// The message of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the membership protocol.
    Membership(Datagram),
    /// A query for a node's state and members.
    StatusQuery(StatusQuery),
    /// The answer to [`PeerMessage::StatusQuery`].
    Status(Box<Status>),
    // Builds of this version without budgets count the following as no message.
    /// Of the protocol that divides budgets.
    Budgets(Envelope),
    /// A query for a node's budgets.
    BudgetQuery {
        /// Repeated in the answer.
        nonce: u64,
        /// Index of the first budget wanted.
        from: u16,
    },
    /// The answer to [`PeerMessage::BudgetQuery`].
    BudgetStatus(Box<BudgetPage>),
}

/// A query for members in the order of their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Repeated in the answer.
    pub nonce: u64,
    /// Only members after this name are wanted.
    pub after: Option<Name>,
}

/// Members in one answer; the next page starts after the last of them.
pub const MEMBERS_PER_PAGE: usize = 8;

/// A node's view of its fleet, with one page of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// That of the query.
    pub nonce: u64,
    /// The fleet's name.
    pub fleet: String,
    /// The node's name.
    pub name: Name,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// Number of the view: it grows with each change.
    pub view: u64,
    /// Digest of the view, by which views of two nodes are compared.
    pub digest: u64,
    /// Members of the view.
    pub in_view: u32,
    /// Whether the node reaches no other.
    pub isolated: bool,
    /// Whether a later process has taken the node's name.
    pub superseded: bool,
    /// One page of members.
    pub members: Vec<MemberReport>,
    /// Whether more members follow.
    pub more: bool,
}

/// Budgets in one answer.
pub const BUDGETS_PER_PAGE: usize = 6;

/// The status of a node's budgets, one page from an index on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetPage {
    /// That of the query.
    pub nonce: u64,
    /// The leader that the node knows.
    pub leader: Option<Name>,
    /// One page of budgets.
    pub budgets: Vec<BudgetStatus>,
    /// Whether more budgets follow.
    pub more: bool,
}

/// One budget; allocations and needs are units held at once, or thousandths of a request a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Its name.
    pub name: String,
    /// Whether it limits a rate; otherwise it limits concurrency.
    pub rate: bool,
    /// The fleet's limit.
    pub limit: u32,
    /// The node's part of it.
    pub allocation: Units,
    /// Units used at this node since its start.
    pub used: u64,
    /// Requests rejected at this node for want of the budget.
    pub rejected: u64,
    /// What the node needs of it.
    pub need: Units,
    /// Units in use now.
    pub in_use: Units,
    /// Remaining time, in ms, of what exceeds the reserved minimum.
    pub until_ms: Option<u64>,
    /// What this node has granted as the leader; `None` if it is not.
    pub granted: Option<Units>,
}
