//! The messages between nodes. They are encoded by position (postcard): the order of fields and
//! variants is part of the wire format, their names are not.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberUpdate, Name};

/// Maximum number of updates that a node puts into one datagram; receivers accept 64.
pub const MAX_UPDATES: usize = 40;
/// Size of the updates in a datagram, in bytes, at which no further update is added. With a last
/// update of maximum size (110) and the rest of the datagram (at most 300) the total stays below
/// 1,472.
pub const UPDATE_BYTES_THRESHOLD: usize = 1_000;

/// The header of a datagram: its sender, and the incarnation that it is addressed to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DatagramHeader {
    /// What the sender announces about itself.
    pub sender: MemberUpdate,
    /// The receiver's incarnation; 0 if the sender does not know it.
    pub to: Incarnation,
    /// The sequence number of the datagram, which grows within the sender's incarnation. Replays
    /// are recognized by it.
    pub sequence: u64,
    /// The digest of the sender's [`View`](crate::View).
    pub digest: u64,
    /// The number of the sender's view.
    pub view: u64,
}

/// The purpose of a datagram, apart from the updates that it carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the table, from its start, of a node whose incarnation is not known.
    Join,
    /// Probes the receiver, which answers with [`Message::Ack`].
    Ping {
        /// Returned in the answer.
        nonce: u32,
    },
    /// Answers a direct probe, or an indirect one that the sender made.
    Ack {
        /// The nonce of the probe or of the request for it.
        nonce: u32,
    },
    /// Asks the receiver to probe another member.
    PingRequest {
        /// Returned in the answer, if there is one.
        nonce: u32,
        /// The member to probe.
        name: Name,
        /// Its incarnation, as the sender knows it.
        incarnation: Incarnation,
    },
    /// Carries only updates.
    Updates,
    /// Requests a page of the table.
    PageRequest {
        /// The page starts after this name; none for the start of the table.
        after: Option<Name>,
    },
    /// A page of the table, as updates.
    Page {
        /// The next page starts after this name; none on the last page.
        next: Option<Name>,
    },
}

/// One datagram, without the envelope that authenticates it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender and receiver.
    pub head: DatagramHeader,
    /// The purpose of the datagram.
    pub message: Message,
    /// Updates on any members; at most [`MAX_UPDATES`], except on a page of the table.
    pub updates: Vec<MemberUpdate>,
}
