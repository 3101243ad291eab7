//! A suspicion of one member, and when it ends with the member declared dead.
//!
//! As in Lifeguard's extension of SWIM, the timeout shrinks with each independent confirmation.

use crate::Parameters;
use doortrack_time::TenthMillis;

/// Confirmations by other nodes that shorten a suspicion; further ones change nothing.
const MAX_CONFIRMATIONS: usize = 2;

/// The suspicion of one member.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// When it began, in tenths of a millisecond of the node's own clock.
    pub since: TenthMillis,
    /// The mark of the node that suspected first.
    first: u32,
    /// The marks of those that confirmed it.
    confirmed_by: [u32; MAX_CONFIRMATIONS],
    confirmations: usize,
    /// It ends no earlier: one that began long ago must not end at a report of others before the
    /// member was probed once more.
    not_before: TenthMillis,
}

impl Suspicion {
    /// A suspicion by the node with this mark.
    pub fn new(by: u32, since: TenthMillis) -> Suspicion {
        Suspicion {
            since,
            first: by,
            confirmed_by: [0; MAX_CONFIRMATIONS],
            confirmations: 0,
            not_before: 0,
        }
    }

    /// Whether a confirmation by this node is counted already, or no more are counted.
    pub fn is_confirmed_by(&self, by: u32) -> bool {
        by == self.first
            || self.confirmed_by[..self.confirmations].contains(&by)
            || self.confirmations == MAX_CONFIRMATIONS
    }

    /// Counts a confirmation by another node, unless [`Suspicion::is_confirmed_by`] it already.
    pub fn confirm(&mut self, by: u32) {
        if !self.is_confirmed_by(by) {
            self.confirmed_by[self.confirmations] = by;
            self.confirmations += 1;
        }
    }

    /// Counts all confirmations at once, as other nodes have already declared the member dead; it
    /// still ends no earlier than `not_before`. Returns whether any were still missing.
    pub fn confirm_fully(&mut self, not_before: TenthMillis) -> bool {
        let missing =
            std::mem::replace(&mut self.confirmations, MAX_CONFIRMATIONS) < MAX_CONFIRMATIONS;
        if missing {
            self.not_before = not_before;
        }
        missing
    }

    /// When the member is declared dead, in tenths of a millisecond, given the members in the
    /// node's view.
    ///
    /// The suspicion lasts `suspicion_max`, less in proportion to the confirmations, down to
    /// `suspicion_min` once all that can be expected are there. Fewer than [`MAX_CONFIRMATIONS`]
    /// are expected of a small view, and none of a view of two, where it always lasts
    /// `suspicion_max`. Time before `resumed_at`, when this process was paused or isolated, does
    /// not count.
    pub fn ends_at(
        &self,
        parameters: &Parameters,
        members: usize,
        resumed_at: TenthMillis,
    ) -> TenthMillis {
        let since = self.since.max(resumed_at);
        let wanted = members.saturating_sub(2).min(MAX_CONFIRMATIONS);
        let min = parameters.suspicion_min;
        let max = parameters.suspicion_max.max(min);
        if wanted == 0 {
            return since + max;
        }
        let missing = wanted.saturating_sub(self.confirmations) as u64;
        (since + min + (max - min) * missing / wanted as u64).max(self.not_before)
    }
}
