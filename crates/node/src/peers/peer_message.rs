//! Messages between nodes, and status queries with their answers. They are encoded with postcard, by position: the
//! order of variants and fields is part of the format.

use doortrack_budgets::{Envelope, Units};
use doortrack_membership::{Datagram, Incarnation, MemberReport, Name};
use serde::{Deserialize, Serialize};

/// The message in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the membership protocol.
    Membership(Datagram),
    /// A query for a node's state and members.
    StatusQuery(StatusQuery),
    /// The answer to [`PeerMessage::StatusQuery`].
    Status(Box<Status>),
    // Builds of this protocol version without budgets count the following variants as unreadable.
    /// A message of the protocol that divides budgets.
    Budgets(Envelope),
    /// A query for a node's budgets.
    BudgetQuery {
        /// Random number that the answer repeats.
        nonce: u64,
        /// Index of the first requested budget.
        from: u16,
    },
    /// The answer to [`PeerMessage::BudgetQuery`].
    BudgetStatus(Box<BudgetPage>),
}

/// A query for members, in the order of their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Random number that the answer repeats.
    pub nonce: u64,
    /// Only members after this name are requested; `None` for the first page.
    pub after: Option<Name>,
}

/// Maximum number of members in one answer. The next page starts after the last of them.
pub const MEMBERS_PER_PAGE: usize = 8;

/// A node's view of its fleet, with one page of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The query's nonce.
    pub nonce: u64,
    /// The fleet's name.
    pub fleet: String,
    /// The node's name.
    pub name: Name,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// Number of the view, which grows with each change.
    pub view: u64,
    /// Digest of the view, for comparing the views of two nodes.
    pub digest: u64,
    /// Number of members in the view.
    pub in_view: u32,
    /// True if the node reaches no other node.
    pub isolated: bool,
    /// True if a later process has taken the node's name.
    pub superseded: bool,
    /// One page of members.
    pub members: Vec<MemberReport>,
    /// True if more members follow.
    pub more: bool,
}

/// Maximum number of budgets in one answer.
pub const BUDGETS_PER_PAGE: usize = 6;

/// The status of a node's budgets, one page starting at the requested index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetPage {
    /// The query's nonce.
    pub nonce: u64,
    /// The leader as far as the node knows.
    pub leader: Option<Name>,
    /// One page of budgets.
    pub budgets: Vec<BudgetStatus>,
    /// True if more budgets follow.
    pub more: bool,
}

/// The status of one budget. Allocations and needs are in units held at the same time for a concurrency budget, and in
/// thousandths of a request per second for a rate budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The budget's name.
    pub name: String,
    /// True for a rate budget, false for a concurrency budget.
    pub rate: bool,
    /// The limit for the whole fleet.
    pub limit: u32,
    /// The node's part of the limit.
    pub allocation: Units,
    /// Units used at this node since its start.
    pub used: u64,
    /// Requests that this node rejected because the budget was used up.
    pub rejected: u64,
    /// The node's estimated need.
    pub need: Units,
    /// Units in use now.
    pub in_use: Units,
    /// Remaining time, in ms, of the lease on the part of the allocation above the reserved minimum.
    pub until_ms: Option<u64>,
    /// Units that this node has granted as the leader; `None` if it is not the leader.
    pub granted: Option<Units>,
}
