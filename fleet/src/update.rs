//! What one node says of another, and which of two such words holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Name, is_name};

/// The most capacity that a member can announce.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    Alive,
    /// `by` tells suspecting nodes apart: a word passed on is no second one.
    Suspected {
        by: u32,
    },
    Dead,
    /// Said by the member itself; final for its incarnation.
    Left,
}

impl MemberState {
    /// Which of two words of the same version holds.
    fn rank(self) -> u8 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspected { .. } => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
        }
    }

    /// Whether it is or may be there.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspected { .. })
    }
}

/// One node's word on a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub name: Name,
    pub incarnation: Incarnation,
    /// Raised by the member alone, to contradict a suspicion.
    pub version: u32,
    pub state: MemberState,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its capacity, in any unit that all members share; at least 1.
    pub weight: u32,
}

impl MemberUpdate {
    /// Whether the figures can be meant.
    pub fn is_valid(&self) -> bool {
        let reachable = self.address.port() != 0 && !self.address.ip().is_unspecified();
        is_name(&self.name)
            && self.incarnation != Incarnation(0)
            && reachable
            && (1..=MAX_WEIGHT).contains(&self.weight)
    }

    /// Whether this word holds against `other` on the same name: a later incarnation; in one incarnation
    /// having left, then the later version, then the graver word.
    pub fn overrides(&self, other: &MemberUpdate) -> bool {
        let left = |update: &MemberUpdate| update.state == MemberState::Left;
        let key =
            |update: &MemberUpdate| (update.incarnation, left(update), update.version, update.state.rank());
        key(self) > key(other)
    }
}
