//! A voter, which gives its vote to one candidate at a time, for a bounded time.

use crate::{NodeId, Parameters};
use doortrack_time::TenthMillis;

/// The state of a voter. It is lost when the process ends, so that a voter that has just started
/// abstains for as long as a vote of its predecessor may last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    abstains_until: TenthMillis,
    vote: Option<Vote>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    to: NodeId,
    ballot: u64,
    expires_at: TenthMillis,
}

impl Voter {
    /// Creates a voter that has just started.
    pub fn new(now: TenthMillis, parameters: &Parameters) -> Voter {
        let abstention = if parameters.safeguards.abstain_after_start {
            parameters.vote_duration
        } else {
            0
        };
        Voter {
            abstains_until: now + abstention,
            vote: None,
        }
    }

    /// Handles a request for the vote. Returns true if the candidate has the vote for
    /// `vote_duration` from now.
    pub fn request_vote(
        &mut self,
        now: TenthMillis,
        from: &NodeId,
        ballot: u64,
        parameters: &Parameters,
    ) -> bool {
        let is_given_to_other = self
            .vote
            .as_ref()
            .is_some_and(|vote| vote.expires_at > now && vote.to != *from);
        if now < self.abstains_until || is_given_to_other {
            return false;
        }
        let last_ballot = self
            .vote
            .as_ref()
            .filter(|vote| vote.to == *from)
            .map_or(0, |vote| vote.ballot);
        let expires_at = now + parameters.vote_duration;
        self.vote = Some(Vote {
            to: from.clone(),
            ballot: ballot.max(last_ballot),
            expires_at,
        });
        true
    }

    /// Frees the vote if the candidate has it by this ballot; a late release of an earlier ballot
    /// has no effect. Returns true if the vote was freed.
    pub fn release(&mut self, from: &NodeId, ballot: u64) -> bool {
        self.vote
            .take_if(|vote| vote.to == *from && vote.ballot == ballot)
            .is_some()
    }

    /// The node that has the vote now, if any.
    pub fn leader(&self, now: TenthMillis) -> Option<&NodeId> {
        self.vote
            .as_ref()
            .filter(|vote| vote.expires_at > now)
            .map(|vote| &vote.to)
    }

    /// When the vote can be given to another candidate at the earliest.
    pub fn free_at(&self) -> TenthMillis {
        self.vote
            .as_ref()
            .map_or(0, |vote| vote.expires_at)
            .max(self.abstains_until)
    }
}
