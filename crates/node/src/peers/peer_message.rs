//! Messages between nodes, and status queries with their answers.

use doortrack_budgets::{Envelope, Units};
use doortrack_membership::{Datagram, Incarnation, MemberReport, Name};
use serde::{Deserialize, Serialize};

/// The message of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Fleet(Datagram),
    Ask(Ask),
    Status(Box<Status>),
    // Builds of this version without budgets count the following as no message.
    Budgets(Envelope),
    AskBudgets { nonce: u64, from: u16 },
    BudgetStatus(Box<BudgetPage>),
}

/// A query for members, by name, after `after`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Repeated in the answer.
    pub nonce: u64,
    pub after: Option<Name>,
}

/// Members in one answer; the next page starts after the last of them.
pub const PAGE: usize = 8;

/// A node's view of its fleet, with one page of members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub nonce: u64,
    pub fleet: String,
    pub name: Name,
    pub incarnation: Incarnation,
    pub view: u64,
    pub digest: u64,
    pub in_view: u32,
    pub isolated: bool,
    pub superseded: bool,
    pub members: Vec<MemberReport>,
    pub more: bool,
}

/// Budgets in one answer.
pub const BUDGET_PAGE: usize = 6;

/// The status of a node's budgets, one page from an index on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetPage {
    pub nonce: u64,
    pub leader: Option<Name>,
    pub budgets: Vec<BudgetStatus>,
    pub more: bool,
}

/// One budget; allocations and needs are units held at once, or thousandths of a request a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    pub name: String,
    pub rate: bool,
    pub limit: u32,
    pub allocation: Units,
    pub used: u64,
    pub rejected: u64,
    pub need: Units,
    pub in_use: Units,
    /// Remaining time, in ms, of what exceeds the reserved minimum.
    pub until_ms: Option<u64>,
    /// What this node has granted as the leader; `None` if it is not.
    pub granted: Option<Units>,
}
