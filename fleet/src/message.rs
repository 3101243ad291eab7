//! What nodes send to one another.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberUpdate, Name};

/// Updates that one datagram carries at the most: with the longest names and addresses 10 are 1,090 bytes.
pub const MAX_UPDATES: usize = 10;

/// Who says it, and to whom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The sender on itself.
    pub sender: MemberUpdate,
    /// Which incarnation it is meant for; 0 where the sender does not know.
    pub to: Incarnation,
    /// Grows with each datagram of the sender's incarnation.
    pub nth: u64,
    /// The digest of the sender's view, and its number.
    pub digest: u64,
    pub view: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the table from its start, from one whose incarnation is not known.
    Join,
    Ping {
        nonce: u32,
    },
    Ack {
        nonce: u32,
    },
    /// Asks the receiver to probe another member.
    PingRequest {
        nonce: u32,
        name: Name,
        incarnation: Incarnation,
    },
    /// Carries updates, and nothing else.
    Updates,
    /// Asks for the table from behind this name.
    Ask {
        after: Option<Name>,
    },
    /// A page of the table; `next` is where to go on, if there is more.
    Page {
        next: Option<Name>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    pub head: Head,
    pub message: Message,
    pub updates: Vec<MemberUpdate>,
}
