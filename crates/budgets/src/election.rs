//! The votes for a candidate or leader, and until when they make a majority.

use std::collections::{BTreeMap, VecDeque};

use doortrack_membership::Name;
use doortrack_time::TenthMillis;

use crate::Parameters;

/// Maximum number of remembered ballots. Their times are needed because the duration of a vote
/// counts from when its ballot was sent.
const MAX_SENT_BALLOTS: usize = 8;

/// The votes that a candidate or leader holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Election {
    /// The ballots, and when each was sent.
    sent_ballots: VecDeque<(u64, TenthMillis)>,
    /// When each voter's vote expires.
    votes: BTreeMap<Name, TenthMillis>,
}

impl Election {
    /// Records a ballot sent at `now`.
    pub fn ballot_sent(&mut self, ballot: u64, now: TenthMillis) {
        if self.sent_ballots.len() >= MAX_SENT_BALLOTS {
            self.sent_ballots.pop_front();
        }
        self.sent_ballots.push_back((ballot, now));
    }

    /// Counts a vote; a vote for a ballot that is not remembered is ignored.
    pub fn count_vote(&mut self, from: &Name, ballot: u64, parameters: &Parameters) {
        let Some((_, sent_at)) = self.sent_ballots.iter().find(|(sent, _)| *sent == ballot) else {
            return;
        };
        let until = sent_at + parameters.shortened_by_drift(parameters.vote_duration);
        let known = self.votes.entry(from.clone()).or_default();
        *known = until.max(*known);
    }

    /// The time from which the votes no longer make a majority; 0 if they never did.
    pub fn held_until(&self, parameters: &Parameters) -> TenthMillis {
        let mut ends: Vec<TenthMillis> = self.votes.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(parameters.majority() - 1).copied().unwrap_or(0)
    }

    /// The ballot that was sent last.
    pub fn last_ballot(&self) -> Option<u64> {
        self.sent_ballots.back().map(|(ballot, _)| *ballot)
    }
}
