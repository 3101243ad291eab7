//! What nodes send to one another.

use serde::{Deserialize, Serialize};

use crate::{Claim, Life, Name};

/// Claims that one datagram carries at the most; builds of this version read 64.
pub const MOST_CLAIMS: usize = 40;
/// Bytes of claims past which a datagram takes no more: with the longest claim (110) that comes last, and all
/// else that lies round them (at most 300), it is below 1,472.
pub const CLAIM_BYTES: usize = 1_000;

/// Who says it, and to whom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The sender on itself.
    pub of: Claim,
    /// Which life it is meant for; 0 where the sender does not know.
    pub to: Life,
    /// Grows with each datagram of the sender's life.
    pub nth: u64,
    /// The digest of the sender's view, and its number.
    pub digest: u64,
    pub view: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the table from its start, from one whose life is not known.
    Join,
    Ping {
        nonce: u32,
    },
    Ack {
        nonce: u32,
    },
    /// Asks a helper to probe another.
    PingFor {
        nonce: u32,
        name: Name,
        life: Life,
    },
    /// Carries claims, and nothing else.
    News,
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
    pub claims: Vec<Claim>,
}
