//! Dissemination: the updates that are still to be sent on, the least often sent first.

use std::collections::VecDeque;

use crate::MAX_UPDATES;
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
/// Updates of one datagram while no more than [`BACKLOG`] wait. A few at a time reach a member by more
/// datagrams, so that less hangs on each that is lost; but hundreds would take seconds to go round.
const FEW_UPDATES: usize = 10;
const BACKLOG: usize = 100;
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
            self.by_transmissions
                .resize_with(MAX_TRANSMISSIONS, VecDeque::new);
        }
        if self.queued >= MAX_QUEUED {
            // What was sent most often is missed least.
            let often = self
                .by_transmissions
                .iter_mut()
                .rev()
                .find(|queue| !queue.is_empty());
            self.queued -= usize::from(often.is_some_and(|queue| queue.pop_front().is_some()));
        }
        self.by_transmissions[0].push_back((index, revision));
        self.queued += 1;
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Chooses updates for one datagram until they fill `room` bytes, few of them unless many wait, and adds
    /// their members to `into`. `already` are in the datagram by another way; `members` is the size of the
    /// fleet; `bytes` tells how long an entry's update is, and nothing if the entry is outdated.
    pub fn next_updates(
        &mut self,
        (mut room, already): (usize, usize),
        members: usize,
        bytes: impl Fn(MemberIndex, u32) -> Option<usize>,
        into: &mut Vec<MemberIndex>,
    ) {
        let max = transmissions(members);
        let max_updates = if self.queued > BACKLOG {
            MAX_UPDATES
        } else {
            FEW_UPDATES
        };
        let mut taken: Vec<(usize, (MemberIndex, u32))> = Vec::new();
        'full: for (sent, queue) in self.by_transmissions.iter_mut().enumerate() {
            while let Some(entry) = queue.pop_front() {
                self.queued -= 1;
                let Some(bytes) = bytes(entry.0, entry.1) else {
                    continue;
                };
                taken.push((sent + 1, entry));
                room = room.saturating_sub(bytes);
                if room == 0 || taken.len() + already >= max_updates {
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
