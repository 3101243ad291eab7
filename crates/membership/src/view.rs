//! Views: the members that count as present.

use std::net::SocketAddr;

use imbl::OrdMap;

use crate::{Incarnation, Name};

/// One member of a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The member's address (UDP).
    pub address: SocketAddr,
    /// The member's capacity, in a unit that all members share.
    pub weight: u32,
}

/// The present members as one node sees them, including itself, ordered by name. Cloning is cheap
/// because clones share structure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Grows by one with each change on this node; not comparable between nodes.
    pub number: u64,
    /// Equal on two nodes exactly when their members, incarnations and weights are, except for a
    /// collision with probability 2^-64.
    pub digest: u64,
    /// The members by name.
    pub members: OrdMap<Name, Member>,
}

impl View {
    pub(crate) fn put(&mut self, name: &Name, member: Member) {
        if self.members.get(name) == Some(&member) {
            return;
        }
        if let Some(old) = self.members.insert(name.clone(), member) {
            self.digest ^= member_digest(name, old);
        }
        self.digest ^= member_digest(name, member);
        self.number += 1;
    }

    pub(crate) fn remove(&mut self, name: &Name) {
        if let Some(old) = self.members.remove(name) {
            self.digest ^= member_digest(name, old);
            self.number += 1;
        }
    }

    /// The sum of the members' weights.
    pub fn weight(&self) -> u64 {
        self.members
            .values()
            .map(|member| u64::from(member.weight))
            .sum()
    }
}

/// The contribution of a member to the digest. It must be the same in every build, because nodes of
/// different builds compare digests.
fn member_digest(name: &str, member: Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&member.incarnation.0.to_le_bytes());
    hasher.update(&member.weight.to_le_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
