//! What is still to be passed on: of each member the latest update, the least often sent first.

use std::collections::VecDeque;

use crate::table::MemberIndex;

/// Members whose update is still to be sent, by how often it was. At most one current entry a member, and
/// older ones are dropped when met, so the whole is bounded by the updates of one round and the members.
#[derive(Default)]
pub struct Gossip {
    by_transmissions: Vec<VecDeque<(MemberIndex, u32)>>,
    queued: usize,
}

/// Entries that wait at once: several times the members that a table can hold, as older ones of one member
/// are dropped only when met.
const MAX_QUEUED: usize = 20_000;
/// Past this many sendings nothing is passed on, however large the fleet.
const MAX_TRANSMISSIONS: usize = 20;

/// How often an update is sent in a fleet of so many, so that all but surely everyone hears it.
fn transmissions(members: usize) -> usize {
    let digits = (members + 1).ilog2() as usize + 1;
    (digits + 2).min(MAX_TRANSMISSIONS)
}

impl Gossip {
    /// `revision` is that of the member's update; entries of earlier ones are passed over.
    pub fn add(&mut self, index: MemberIndex, revision: u32) {
        if self.by_transmissions.is_empty() {
            self.by_transmissions.resize_with(MAX_TRANSMISSIONS, VecDeque::new);
        }
        if self.queued >= MAX_QUEUED {
            // What was sent most often is missed least.
            let often = self.by_transmissions.iter_mut().rev().find(|queue| !queue.is_empty());
            self.queued -= usize::from(often.is_some_and(|queue| queue.pop_front().is_some()));
        }
        self.by_transmissions[0].push_back((index, revision));
        self.queued += 1;
    }

    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Takes up to `room` updates, for one datagram. `current` tells whether an entry is still the latest of
    /// its member.
    pub fn next_updates(
        &mut self,
        room: usize,
        members: usize,
        current: impl Fn(MemberIndex, u32) -> bool,
        into: &mut Vec<MemberIndex>,
    ) {
        let max = transmissions(members);
        let mut taken: Vec<(usize, (MemberIndex, u32))> = Vec::new();
        'full: for (sent, queue) in self.by_transmissions.iter_mut().enumerate() {
            while let Some(entry) = queue.pop_front() {
                self.queued -= 1;
                if !current(entry.0, entry.1) {
                    continue;
                }
                taken.push((sent + 1, entry));
                if taken.len() >= room {
                    break 'full;
                }
            }
        }
        for (sent, entry) in taken {
            into.push(entry.0);
            if sent < max {
                self.by_transmissions[sent].push_back(entry);
                self.queued += 1;
            }
        }
    }
}
