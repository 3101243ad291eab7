//! Dissemination: the queue of updates to send, those sent least often first.

use std::collections::VecDeque;

use crate::MAX_UPDATES;
use crate::table::MemberIndex;

/// Maximum number of queue entries. Several times the members of a table, because outdated entries
/// are dropped only when they reach the front.
const MAX_QUEUED: usize = 20_000;
/// Maximum number of updates in one datagram while at most [`BACKLOG_THRESHOLD`] are queued, so
/// that a lost datagram loses few updates.
const MAX_UPDATES_WITHOUT_BACKLOG: usize = 10;
/// Number of queued updates above which datagrams are filled; hundreds of updates would otherwise
/// take seconds to spread.
const BACKLOG_THRESHOLD: usize = 100;
/// Upper bound of [`transmission_limit`], however large the fleet.
const MAX_TRANSMISSIONS: usize = 20;

/// How often each node sends an update in a fleet of this size, so that the update reaches every
/// node with near certainty. The result grows with the logarithm of the members.
fn transmission_limit(members: usize) -> usize {
    let digits = (members + 1).ilog2() as usize + 1;
    (digits + 2).min(MAX_TRANSMISSIONS)
}

/// A member, and the revision of its update to send.
type QueueEntry = (MemberIndex, u32);

/// The space that a datagram has left for updates, and the updates that it already holds.
pub struct DatagramFill {
    /// Bytes that are left for updates.
    pub free_bytes: usize,
    /// Number of updates in the datagram.
    pub updates: usize,
}

/// Queue of members whose latest update is still to be sent, by how often it was sent. A member has
/// at most one entry of its current revision; entries of earlier revisions are dropped when they
/// reach the front.
#[derive(Default)]
pub struct Gossip {
    by_transmissions: Vec<VecDeque<QueueEntry>>,
    queued: usize,
}

impl Gossip {
    /// Queues the latest update of a member, given its revision.
    pub fn add(&mut self, index: MemberIndex, revision: u32) {
        if self.by_transmissions.is_empty() {
            self.by_transmissions
                .resize_with(MAX_TRANSMISSIONS, VecDeque::new);
        }
        if self.queued >= MAX_QUEUED {
            // An entry that was sent most often is the least useful one.
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

    /// Returns true if nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Selects updates for one datagram and returns their members. Without a backlog the datagram
    /// holds at most [`MAX_UPDATES_WITHOUT_BACKLOG`]. `members` is the size of the fleet; `size`
    /// returns the size in bytes of an entry's update, and none if the entry is outdated.
    pub fn take_updates(
        &mut self,
        mut fill: DatagramFill,
        members: usize,
        size: impl Fn(MemberIndex, u32) -> Option<usize>,
    ) -> Vec<MemberIndex> {
        let max_updates = if self.queued > BACKLOG_THRESHOLD {
            MAX_UPDATES
        } else {
            MAX_UPDATES_WITHOUT_BACKLOG
        };
        let mut selected: Vec<(usize, QueueEntry)> = Vec::new();
        'full: for (sent, queue) in self.by_transmissions.iter_mut().enumerate() {
            while let Some((index, revision)) = queue.pop_front() {
                self.queued -= 1;
                let Some(size) = size(index, revision) else {
                    continue;
                };
                selected.push((sent + 1, (index, revision)));
                fill.free_bytes = fill.free_bytes.saturating_sub(size);
                fill.updates += 1;
                if fill.free_bytes == 0 || fill.updates >= max_updates {
                    break 'full;
                }
            }
        }
        self.requeue(&selected, transmission_limit(members));
        selected.iter().map(|(_, (index, _))| *index).collect()
    }

    /// Requeues the entries that were sent less often than `max_transmissions`.
    fn requeue(&mut self, sent_entries: &[(usize, QueueEntry)], max_transmissions: usize) {
        for (sent, entry) in sent_entries {
            if *sent < max_transmissions {
                self.by_transmissions[*sent].push_back(*entry);
                self.queued += 1;
            }
        }
    }
}
