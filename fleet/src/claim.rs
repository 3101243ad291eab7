//! What one node says of another, and which of two such words holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Life, Name, is_name};

/// The most capacity that a member can claim.
pub const MOST_WEIGHT: u32 = 1_000_000;

/// The most that a claim takes as the link writes it, beside its name: the name's length 1, life 10, turn 5,
/// stand 6, weight 3, and an address of either kind with its tag and port.
const BESIDE_NAME: usize = 25;
const IPV4_BYTES: usize = 1 + 4 + 3;
const IPV6_BYTES: usize = 1 + 16 + 3;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stand {
    Alive,
    /// `by` tells doubters apart: a word passed on is no second one.
    Suspected {
        by: u32,
    },
    Lost,
    /// Said by the member itself; final for its life.
    Left,
}

impl Stand {
    /// Which of two words of the same turn holds.
    fn rank(self) -> u8 {
        match self {
            Stand::Alive => 0,
            Stand::Suspected { .. } => 1,
            Stand::Lost => 2,
            Stand::Left => 3,
        }
    }

    /// Whether it is or may be there.
    pub fn is_there(self) -> bool {
        matches!(self, Stand::Alive | Stand::Suspected { .. })
    }
}

/// One node's word on a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub name: Name,
    pub life: Life,
    /// Raised by the member alone, to contradict a doubt.
    pub turn: u32,
    pub stand: Stand,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its capacity, in any unit that all members share; at least 1.
    pub weight: u32,
}

impl Claim {
    /// Whether the figures can be meant.
    pub fn is_sound(&self) -> bool {
        let reachable = self.address.port() != 0 && !self.address.ip().is_unspecified();
        is_name(&self.name) && self.life != Life(0) && reachable && (1..=MOST_WEIGHT).contains(&self.weight)
    }

    /// The most bytes that it takes in a datagram.
    pub(crate) fn most_bytes(&self) -> usize {
        let address = if self.address.is_ipv4() { IPV4_BYTES } else { IPV6_BYTES };
        self.name.len() + BESIDE_NAME + address
    }

    /// Whether this word holds against `other` on the same name: a younger life; in one life having left,
    /// then the later turn, then the graver word.
    pub fn beats(&self, other: &Claim) -> bool {
        let left = |claim: &Claim| claim.stand == Stand::Left;
        let key = |claim: &Claim| (claim.life, left(claim), claim.turn, claim.stand.rank());
        key(self) > key(other)
    }
}
