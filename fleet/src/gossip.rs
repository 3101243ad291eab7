//! What is still to be passed on: of each member the latest claim, the least often sent first.

use std::collections::VecDeque;

use crate::MOST_CLAIMS;
use crate::table::Place;

/// Members whose claim is still to be sent, by how often it was. At most one current entry a member, and
/// older ones are dropped when met, so the whole is bounded by the news of one round and the members.
#[derive(Default)]
pub struct Gossip {
    by_times: Vec<VecDeque<(Place, u32)>>,
    queued: usize,
}

/// Entries that wait at once: several times the members that a table can hold, as older ones of one member
/// are dropped only when met.
const MOST_QUEUED: usize = 20_000;
/// Claims of one datagram while no more than [`BACKLOG`] wait. Few claims a datagram reach a member by more
/// datagrams, so that less hangs on each that is lost; but news of hundreds at once would take seconds.
const FEW_CLAIMS: usize = 10;
const BACKLOG: usize = 100;
/// Past this many sendings nothing is passed on, however large the fleet.
const MOST_TIMES: usize = 20;

/// How often a claim is sent in a fleet of so many, so that all but surely everyone hears it.
fn times(members: usize) -> usize {
    let digits = (members + 1).ilog2() as usize + 1;
    (digits + 2).min(MOST_TIMES)
}

impl Gossip {
    /// `version` is that of the member's claim; entries of earlier ones are passed over.
    pub fn add(&mut self, place: Place, version: u32) {
        if self.by_times.is_empty() {
            self.by_times.resize_with(MOST_TIMES, VecDeque::new);
        }
        if self.queued >= MOST_QUEUED {
            // What was sent most often is missed least.
            let often = self.by_times.iter_mut().rev().find(|queue| !queue.is_empty());
            self.queued -= usize::from(often.is_some_and(|queue| queue.pop_front().is_some()));
        }
        self.by_times[0].push_back((place, version));
        self.queued += 1;
    }

    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Takes claims for one datagram until they fill `room` bytes; few of them unless many wait. `already`
    /// are in it by another way. `bytes` tells how long the claim of an entry is, and nothing if the entry is
    /// no longer the latest of its member.
    pub fn take(
        &mut self,
        (mut room, already): (usize, usize),
        members: usize,
        bytes: impl Fn(Place, u32) -> Option<usize>,
        into: &mut Vec<Place>,
    ) {
        let most = times(members);
        let most_claims = if self.queued > BACKLOG { MOST_CLAIMS } else { FEW_CLAIMS };
        let mut taken: Vec<(usize, (Place, u32))> = Vec::new();
        'full: for (sent, queue) in self.by_times.iter_mut().enumerate() {
            while let Some(entry) = queue.pop_front() {
                self.queued -= 1;
                let Some(bytes) = bytes(entry.0, entry.1) else { continue };
                taken.push((sent + 1, entry));
                room = room.saturating_sub(bytes);
                if room == 0 || taken.len() + already >= most_claims {
                    break 'full;
                }
            }
        }
        for (sent, entry) in taken {
            into.push(entry.0);
            if sent < most {
                self.by_times[sent].push_back(entry);
                self.queued += 1;
            }
        }
    }
}
