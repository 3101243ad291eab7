//! The messages between nodes. They are encoded by position (postcard): the order of fields and
//! variants is part of the wire format, their names are not.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberUpdate, Name};

/// Updates that one datagram carries at most; builds of this version read 64.
pub const MAX_UPDATES: usize = 40;
/// Bytes of updates past which a datagram takes no more: with the longest update (110) that comes
/// last, and all else in the datagram (at most 300), it is below 1,472.
pub const UPDATE_BYTES_THRESHOLD: usize = 1_000;

/// The sender of a datagram, and the incarnation that it is meant for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// What the sender announces about itself.
    pub sender: MemberUpdate,
    /// The receiver's incarnation; 0 where the sender does not know it.
    pub to: Incarnation,
    /// The number of the datagram, which grows within the sender's incarnation: replays are
    /// recognized by it.
    pub sequence: u64,
    /// The digest of the sender's [`View`](crate::View).
    pub digest: u64,
    /// The number of the sender's view.
    pub view: u64,
}

/// What a datagram is for, beside the updates that it carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a node whose incarnation is not known for its table, from the start.
    Join,
    /// Probes the receiver, which answers with [`Message::Ack`].
    Ping {
        /// Returned with the answer.
        nonce: u32,
    },
    /// Answers a probe, made directly or through the sender.
    Ack {
        /// That of the probe.
        nonce: u32,
    },
    /// Asks the receiver to probe another member.
    PingRequest {
        /// Returned with the answer, if there is one.
        nonce: u32,
        /// The member to probe.
        name: Name,
        /// Its incarnation, as the sender knows it.
        incarnation: Incarnation,
    },
    /// Carries updates and nothing else.
    Updates,
    /// Requests a page of the table.
    PageRequest {
        /// The name behind which the page starts; none for the start of the table.
        after: Option<Name>,
    },
    /// A page of the table, as updates.
    Page {
        /// The name behind which the next page starts, if there is more.
        next: Option<Name>,
    },
}

/// One datagram, before it is sealed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Its sender and receiver.
    pub head: DatagramHeader,
    /// Its purpose.
    pub message: Message,
    /// Updates on any members; at most [`MAX_UPDATES`] but on a page of the table.
    pub updates: Vec<MemberUpdate>,
}
