//! Dissemination: the updates that are still to be sent on, the least often sent first.

use std::collections::VecDeque;

use crate::MAX_UPDATES;
use crate::table::MemberIndex;

/// Entries that wait at once: several times the members of a table, as outdated ones are dropped
/// only when they come up.
const MAX_QUEUED: usize = 20_000;
/// Updates of one datagram while no more than [`BACKLOG`] wait, so that less depends on each
/// datagram that is lost.
const FEW_UPDATES: usize = 10;
/// Waiting updates above which datagrams are filled, as hundreds would take seconds otherwise.
const BACKLOG: usize = 100;
/// Upper bound of [`transmissions`], however large the fleet.
const MAX_TRANSMISSIONS: usize = 20;

/// How often each node sends an update in a fleet of this size, so that it reaches everyone with
/// near certainty: it grows with the logarithm of the members.
fn transmissions(members: usize) -> usize {
    let digits = (members + 1).ilog2() as usize + 1;
    (digits + 2).min(MAX_TRANSMISSIONS)
}

/// A member, and the revision of its update that is to be sent.
type QueueEntry = (MemberIndex, u32);

/// What a datagram holds of updates already.
pub struct DatagramFill {
    /// Bytes that updates may still take.
    pub free_bytes: usize,
    /// Updates in it.
    pub updates: usize,
}

/// Members whose latest update is still to be sent, by how often it was sent. A member has at most
/// one entry of its current revision; entries of earlier ones are dropped when they come up.
#[derive(Default)]
pub struct Gossip {
    by_transmissions: Vec<VecDeque<QueueEntry>>,
    queued: usize,
}

impl Gossip {
    /// Queues the latest update of a member, which has this revision.
    pub fn add(&mut self, index: MemberIndex, revision: u32) {
        if self.by_transmissions.is_empty() {
            self.by_transmissions
                .resize_with(MAX_TRANSMISSIONS, VecDeque::new);
        }
        if self.queued >= MAX_QUEUED {
            // Dropping what was sent most often costs least.
            let most_sent = self
                .by_transmissions
                .iter_mut()
                .rev()
                .find(|queue| !queue.is_empty());
            self.queued -= usize::from(most_sent.is_some_and(|queue| queue.pop_front().is_some()));
        }
        self.by_transmissions[0].push_back((index, revision));
        self.queued += 1;
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Chooses updates for one datagram until it is full, few of them unless many wait, and returns
    /// their members. `members` is the size of the fleet; `size` is the size in bytes of an entry's
    /// update, and none if the entry is outdated.
    pub fn next_updates(
        &mut self,
        mut fill: DatagramFill,
        members: usize,
        size: impl Fn(MemberIndex, u32) -> Option<usize>,
    ) -> Vec<MemberIndex> {
        let max_updates = if self.queued > BACKLOG {
            MAX_UPDATES
        } else {
            FEW_UPDATES
        };
        let mut taken: Vec<(usize, QueueEntry)> = Vec::new();
        'full: for (sent, queue) in self.by_transmissions.iter_mut().enumerate() {
            while let Some((index, revision)) = queue.pop_front() {
                self.queued -= 1;
                let Some(size) = size(index, revision) else {
                    continue;
                };
                taken.push((sent + 1, (index, revision)));
                fill.free_bytes = fill.free_bytes.saturating_sub(size);
                fill.updates += 1;
                if fill.free_bytes == 0 || fill.updates >= max_updates {
                    break 'full;
                }
            }
        }
        self.requeue(&taken, transmissions(members));
        taken.iter().map(|(_, (index, _))| *index).collect()
    }

    /// Queues entries again that were sent less often than `max_transmissions`.
    fn requeue(&mut self, sent_entries: &[(usize, QueueEntry)], max_transmissions: usize) {
        for (sent, entry) in sent_entries {
            if *sent < max_transmissions {
                self.by_transmissions[*sent].push_back(*entry);
                self.queued += 1;
            }
        }
    }
}
