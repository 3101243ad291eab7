//! Updates on members, and the precedence of two updates on the same member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Member, Name, is_valid_name};

/// Maximum accepted [`MemberUpdate::weight`].
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The state of a member, as one node sees it. The order of the variants is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// A probe of the member failed; the member is declared dead unless it refutes the suspicion
    /// in time.
    Suspected {
        /// A random id of the node that suspects the member, so that a forwarded suspicion is not
        /// counted as an independent one.
        by: u32,
    },
    /// The suspicion was not refuted in time. Overridden by a later version or incarnation.
    Dead,
    /// The member announced that it leaves; final for its incarnation.
    Left,
}

impl MemberState {
    /// Precedence among updates of one version; the update with the greater value is kept.
    fn precedence(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspected { .. } => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }

    /// Returns true if the member counts as present: alive or suspected.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspected { .. })
    }
}

/// Maximum encoded size of an update without name and address, in bytes: the name's length 1,
/// incarnation 10, version 5, state 6, weight 3.
const MAX_OVERHEAD_BYTES: usize = 25;
/// Maximum encoded size of an IPv4 address with its tag and port, in bytes.
const MAX_IPV4_ADDRESS_BYTES: usize = 1 + 4 + 3;
/// Maximum encoded size of an IPv6 address with its tag and port, in bytes.
const MAX_IPV6_ADDRESS_BYTES: usize = 1 + 16 + 3;

/// An announcement of a member's state. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: Name,
    /// The incarnation that the update is about.
    pub incarnation: Incarnation,
    /// Raised only by the member itself, to refute a suspicion of this incarnation.
    pub version: u32,
    /// The member's state.
    pub state: MemberState,
    /// The member's address (UDP).
    pub address: SocketAddr,
    /// The member's capacity, 1 to `MAX_WEIGHT`, in any unit that all members share.
    pub weight: u32,
}

impl MemberUpdate {
    /// The entry of the member in a view.
    pub fn member(&self) -> Member {
        Member {
            incarnation: self.incarnation,
            address: self.address,
            weight: self.weight,
        }
    }

    /// Maximum encoded size of the update, in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        let address = if self.address.is_ipv4() {
            MAX_IPV4_ADDRESS_BYTES
        } else {
            MAX_IPV6_ADDRESS_BYTES
        };
        self.name.len() + MAX_OVERHEAD_BYTES + address
    }

    /// Returns true if every field is within its bounds. Invalid updates are ignored.
    pub fn is_valid(&self) -> bool {
        let reachable = self.address.port() != 0 && !self.address.ip().is_unspecified();
        is_valid_name(&self.name)
            && self.incarnation != Incarnation(0)
            && reachable
            && (1..=MAX_WEIGHT).contains(&self.weight)
    }

    /// Returns true if this update takes precedence over another on the same name. Compared in this
    /// order: the later incarnation, having left, the later version, the state of higher
    /// precedence.
    pub fn overrides(&self, other: &MemberUpdate) -> bool {
        let left = |update: &MemberUpdate| update.state == MemberState::Left;
        let key = |update: &MemberUpdate| {
            (
                update.incarnation,
                left(update),
                update.version,
                update.state.precedence(),
            )
        };
        key(self) > key(other)
    }
}
