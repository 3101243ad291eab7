//! Updates on members, and which of two updates on the same member takes precedence.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Member, Name, is_valid_name};

/// The greatest [`MemberUpdate::weight`] that is accepted.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The state of a member, as one node sees it. The order of the variants is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// A probe of it failed; it is declared dead unless it refutes this in time.
    Suspected {
        /// A random mark of the node that suspects it, so that a suspicion which is passed on is
        /// not taken for a second, independent one.
        by: u32,
    },
    /// Its suspicion was not refuted in time. Undone by a later version or incarnation.
    Dead,
    /// It announced that it leaves; final for its incarnation.
    Left,
}

impl MemberState {
    /// Precedence among updates of one version: the greater one is kept.
    fn rank(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspected { .. } => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }

    /// Whether the member counts as present: alive, or suspected only.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspected { .. })
    }
}

/// The most bytes that an update takes in a datagram beside name and address: the name's length 1,
/// incarnation 10, version 5, state 6, weight 3.
const OVERHEAD: usize = 25;
/// The most bytes of an address with its tag and port.
const IPV4_BYTES: usize = 1 + 4 + 3;
/// As [`IPV4_BYTES`].
const IPV6_BYTES: usize = 1 + 16 + 3;

/// What one node announces about a member. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub name: Name,
    /// The run of its process that the update is about.
    pub incarnation: Incarnation,
    /// Raised by the member alone, to refute a suspicion of this incarnation.
    pub version: u32,
    /// Its state.
    pub state: MemberState,
    /// Where other nodes reach it (UDP).
    pub address: SocketAddr,
    /// Its capacity, 1 to `MAX_WEIGHT`, in any unit that all members share.
    pub weight: u32,
}

impl MemberUpdate {
    /// The member as it stands in a view.
    pub fn member(&self) -> Member {
        Member {
            incarnation: self.incarnation,
            address: self.address,
            weight: self.weight,
        }
    }

    /// The most bytes that it takes in a datagram.
    pub(crate) fn max_bytes(&self) -> usize {
        let address = if self.address.is_ipv4() {
            IPV4_BYTES
        } else {
            IPV6_BYTES
        };
        self.name.len() + OVERHEAD + address
    }

    /// Whether every field is within its bounds; updates that are not are ignored.
    pub fn is_valid(&self) -> bool {
        let reachable = self.address.port() != 0 && !self.address.ip().is_unspecified();
        is_valid_name(&self.name)
            && self.incarnation != Incarnation(0)
            && reachable
            && (1..=MAX_WEIGHT).contains(&self.weight)
    }

    /// Whether this update takes precedence over another on the same name. In order: the later
    /// incarnation, having left, the later version, the graver state.
    pub fn overrides(&self, other: &MemberUpdate) -> bool {
        let left = |update: &MemberUpdate| update.state == MemberState::Left;
        let key = |update: &MemberUpdate| {
            (
                update.incarnation,
                left(update),
                update.version,
                update.state.rank(),
            )
        };
        key(self) > key(other)
    }
}
