//! Dissemination: the updates that are still to be sent on, the least often sent first.

use std::collections::VecDeque;

use crate::table::MemberIndex;

/// Members whose latest update is still to be sent, by how often it was sent. A member has at most one entry
/// of its current revision; entries of earlier ones are dropped when they come up.
#[derive(Default)]
pub struct Gossip {
    by_transmissions: Vec<VecDeque<(MemberIndex, u32)>>,
    queued: usize,
}

/// Entries that wait at once: several times the members of a table, as outdated ones are dropped only when
/// they come up.
const MAX_QUEUED: usize = 20_000;
/// Upper bound of [`transmissions`], however large the fleet.
const MAX_TRANSMISSIONS: usize = 20;

/// How often each node sends an update in a fleet of this size, so that it reaches everyone with near
/// certainty: it grows with the logarithm of the members.
fn transmissions(members: usize) -> usize {
    let digits = (members + 1).ilog2() as usize + 1;
    (digits + 2).min(MAX_TRANSMISSIONS)
}

impl Gossip {
    /// Queues the latest update of a member, which has this revision.
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

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Chooses up to `room` updates for one datagram and adds their members to `into`. `members` is the size
    /// of the fleet; `current` tells whether an entry has its member's latest revision.
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
