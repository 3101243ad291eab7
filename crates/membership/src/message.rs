//! The messages between nodes. They are encoded by position (postcard): the order of fields and variants is
//! part of the wire format, their names are not.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberUpdate, Name};

/// Updates that one datagram carries at most; builds of this version read 64.
pub const MAX_UPDATES: usize = 40;
/// Bytes of updates past which a datagram takes no more: with the longest update (110) that comes last, and
/// all else that lies round them (at most 300), it is below 1,472.
pub const UPDATE_BYTES: usize = 1_000;

/// The sender of a datagram, and the incarnation that it is meant for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// What the sender announces about itself.
    pub sender: MemberUpdate,
    /// The receiver's incarnation; 0 where the sender does not know it.
    pub to: Incarnation,
    /// The number of the datagram, which grows within the sender's incarnation: replays are recognized by it.
    pub nth: u64,
    /// Digest and number of the sender's [`View`](crate::View).
    pub digest: u64,
    pub view: u64,
}

/// What a datagram is for, beside the updates that it carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a node whose incarnation is not known for its table, from the start.
    Join,
    /// Probes the receiver, which answers with [`Message::Ack`].
    Ping { nonce: u32 },
    /// Answers a probe, made directly or through the sender.
    Ack { nonce: u32 },
    /// Asks the receiver to probe another member.
    PingRequest {
        nonce: u32,
        name: Name,
        incarnation: Incarnation,
    },
    /// Carries updates and nothing else.
    Updates,
    /// Asks for the table from behind this name; from its start for none.
    Ask { after: Option<Name> },
    /// A page of the table, as updates; `next` is the name to go on from, if there is more.
    Page { next: Option<Name> },
}

/// One datagram, before it is sealed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    pub head: Head,
    pub message: Message,
    /// Updates on any members; at most [`MAX_UPDATES`] but on a page of the table.
    pub updates: Vec<MemberUpdate>,
}
