//! Views: the members on which decisions may rest.

use std::net::SocketAddr;

use imbl::OrdMap;

use crate::{Incarnation, Name};

/// One member of a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Where it is reached (UDP).
    pub address: SocketAddr,
    /// Its capacity, in a unit that all members share.
    pub weight: u32,
}

/// The present members as one node sees them, itself among them, in the order of their names. A
/// copy is cheap, as it shares what has not changed since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Grows by one with each change in this node; not comparable between nodes.
    pub number: u64,
    /// Equal in two nodes exactly when their members, incarnations and weights are, but for a
    /// chance of 2^-64.
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
            self.digest ^= mark(name, old);
        }
        self.digest ^= mark(name, member);
        self.number += 1;
    }

    pub(crate) fn remove(&mut self, name: &Name) {
        if let Some(old) = self.members.remove(name) {
            self.digest ^= mark(name, old);
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

/// What a member adds to the digest. The same in every build, as nodes of two builds compare
/// theirs.
fn mark(name: &str, member: Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&member.incarnation.0.to_le_bytes());
    hasher.update(&member.weight.to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
