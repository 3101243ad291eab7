//! A voter: it gives one vote at a time, to one candidate, for a bounded time.

use crate::{NodeId, Parameters};
use doortrack_time::TenthMillis;

/// One voter's state. It does not outlast the process, so a voter that has just started gives no
/// vote for as long as one of its predecessor may last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    silent_until: TenthMillis,
    vote: Option<Vote>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    to: NodeId,
    ballot: u64,
    until: TenthMillis,
}

impl Voter {
    /// A voter that has just started.
    pub fn new(now: TenthMillis, parameters: &Parameters) -> Voter {
        let silent = if parameters.safeguards.abstain_after_start {
            parameters.vote_duration
        } else {
            0
        };
        Voter {
            silent_until: now + silent,
            vote: None,
        }
    }

    /// Handles a request for the vote; whether the candidate has it from now on, for
    /// `vote_duration`.
    pub fn request_vote(
        &mut self,
        now: TenthMillis,
        from: &NodeId,
        ballot: u64,
        parameters: &Parameters,
    ) -> bool {
        let given_to_other = self
            .vote
            .as_ref()
            .is_some_and(|vote| vote.until > now && vote.to != *from);
        if now < self.silent_until || given_to_other {
            return false;
        }
        let newest = self
            .vote
            .as_ref()
            .filter(|vote| vote.to == *from)
            .map_or(0, |vote| vote.ballot);
        let until = now + parameters.vote_duration;
        self.vote = Some(Vote {
            to: from.clone(),
            ballot: ballot.max(newest),
            until,
        });
        true
    }

    /// Takes the vote of this ballot back from the candidate; a late release of an earlier one
    /// changes nothing.
    pub fn release(&mut self, from: &NodeId, ballot: u64) -> bool {
        self.vote
            .take_if(|vote| vote.to == *from && vote.ballot == ballot)
            .is_some()
    }

    /// The node that has the vote now.
    pub fn leader(&self, now: TenthMillis) -> Option<&NodeId> {
        self.vote
            .as_ref()
            .filter(|vote| vote.until > now)
            .map(|vote| &vote.to)
    }

    /// When the vote can next be given to another candidate.
    pub fn free_at(&self) -> TenthMillis {
        self.vote
            .as_ref()
            .map_or(0, |vote| vote.until)
            .max(self.silent_until)
    }
}
