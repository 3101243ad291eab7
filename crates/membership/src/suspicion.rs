//! The suspicion of a member, and when it ends with the member declared dead.
//!
//! As in Lifeguard's extension of SWIM, the timeout shrinks with each independent confirmation.

use crate::Parameters;
use doortrack_time::TenthMillis;

/// Number of confirmations by other nodes that shorten a suspicion; further ones change nothing.
const MAX_CONFIRMATIONS: usize = 2;

/// The suspicion of one member.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// When the suspicion began, in tenths of a millisecond of the node's own clock.
    pub since: TenthMillis,
    /// The id of the node that suspected the member first.
    first_suspecter: u32,
    /// The ids of the nodes that confirmed the suspicion.
    confirmed_by: [u32; MAX_CONFIRMATIONS],
    confirmations: usize,
    /// The suspicion ends no earlier than this. A report of other nodes must not end an old
    /// suspicion before the member was probed once more.
    not_before: TenthMillis,
}

impl Suspicion {
    /// Creates a suspicion by the node with this id.
    pub fn new(by: u32, since: TenthMillis) -> Suspicion {
        Suspicion {
            since,
            first_suspecter: by,
            confirmed_by: [0; MAX_CONFIRMATIONS],
            confirmations: 0,
            not_before: 0,
        }
    }

    /// Returns true if a confirmation by this node is already counted, or no more are counted.
    pub fn is_confirmed_by(&self, by: u32) -> bool {
        by == self.first_suspecter
            || self.confirmed_by[..self.confirmations].contains(&by)
            || self.confirmations == MAX_CONFIRMATIONS
    }

    /// Counts a confirmation by another node, unless [`Suspicion::is_confirmed_by`] returns true.
    pub fn confirm(&mut self, by: u32) {
        if !self.is_confirmed_by(by) {
            self.confirmed_by[self.confirmations] = by;
            self.confirmations += 1;
        }
    }

    /// Marks the suspicion as fully confirmed, because other nodes have already declared the member
    /// dead. It still ends no earlier than `not_before`. Returns true if confirmations were
    /// missing.
    pub fn confirm_fully(&mut self, not_before: TenthMillis) -> bool {
        let missing =
            std::mem::replace(&mut self.confirmations, MAX_CONFIRMATIONS) < MAX_CONFIRMATIONS;
        if missing {
            self.not_before = not_before;
        }
        missing
    }

    /// When the member is declared dead, in tenths of a millisecond. `members` is the number of
    /// members in the node's view.
    ///
    /// Without confirmations the suspicion lasts `suspicion_max`. Each confirmation shortens it,
    /// down to `suspicion_min` when all expected ones have arrived. A small view expects fewer than
    /// [`MAX_CONFIRMATIONS`]; a view of two expects none, and the suspicion always lasts
    /// `suspicion_max`. Time before `reconnected_at`, when this process was paused or isolated,
    /// does not count.
    pub fn ends_at(
        &self,
        parameters: &Parameters,
        members: usize,
        reconnected_at: TenthMillis,
    ) -> TenthMillis {
        let since = self.since.max(reconnected_at);
        let expected = members.saturating_sub(2).min(MAX_CONFIRMATIONS);
        let min = parameters.suspicion_min;
        let max = parameters.suspicion_max.max(min);
        if expected == 0 {
            return since + max;
        }
        let missing = expected.saturating_sub(self.confirmations) as u64;
        (since + min + (max - min) * missing / expected as u64).max(self.not_before)
    }
}
