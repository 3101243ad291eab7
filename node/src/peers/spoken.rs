//! What is spoken between nodes, and with those that ask a node how things are.

use doortrack_budgets::{Envelope, Units};
use doortrack_fleet::{Datagram, Incarnation, MemberReport, Name};
use serde::{Deserialize, Serialize};

/// One datagram, unsealed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Spoken {
    Fleet(Datagram),
    Ask(Ask),
    Status(Box<Status>),
    // What follows is read by builds of this version that have budgets; others count it as no message.
    Budgets(Envelope),
    AskBudgets { nonce: u64, from: u16 },
    BudgetStatus(Box<BudgetPage>),
}

/// Asks for the members from behind a name on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Comes back with the answer.
    pub nonce: u64,
    pub after: Option<Name>,
}

/// Members that one answer tells of; more are asked for from the last one on.
pub const PAGE: usize = 8;

/// How a node sees its fleet.
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

/// Budgets that one answer tells of.
pub const BUDGET_PAGE: usize = 6;

/// How a node's budgets stand, from an index on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetPage {
    pub nonce: u64,
    pub leader: Option<Name>,
    pub budgets: Vec<BudgetStatus>,
    pub more: bool,
}

/// One budget; allocations and needs are units held at once, or thousandths of an exchange a second.
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
    /// For how long what is beyond the reserved minimum lasts.
    pub until_ms: Option<u64>,
    /// What this node has granted, as the leader.
    pub granted: Option<Units>,
}
