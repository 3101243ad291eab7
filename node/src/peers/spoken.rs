//! What is spoken between nodes, and with those that ask a node how things are.

use doortrack_fleet::{Datagram, Life, Name, Report};
use serde::{Deserialize, Serialize};

/// One datagram, unsealed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Spoken {
    Fleet(Datagram),
    Ask(Ask),
    Told(Box<Status>),
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
    pub life: Life,
    pub view: u64,
    pub digest: u64,
    pub in_view: u32,
    pub cut_off: bool,
    pub displaced: bool,
    pub members: Vec<Report>,
    pub more: bool,
}
