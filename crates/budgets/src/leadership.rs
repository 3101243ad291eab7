//! Elections: how a voter becomes the leader, remains it and steps down.

use doortrack_time::TenthMillis;

use crate::election::Election;
use crate::ledger::{HolderReport, Ledger};
use crate::voter::Voter;
use crate::{Action, Budget, Budgets, Change, Message, NodeId, Parameters};

/// The node's role in elections.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Leadership {
    /// It follows the leader, if there is one.
    Follower {
        /// When it may start an election; never if it is no voter.
        try_at: TenthMillis,
    },
    /// It has requested votes.
    Candidate {
        election: Election,
        /// When it abandons the election.
        until: TenthMillis,
    },
    /// It holds the votes of a majority.
    Leader(Term),
}

/// One uninterrupted term as the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Term {
    pub election: Election,
    /// When votes are requested again.
    pub renew_at: TenthMillis,
    /// When the term began. A lease of an earlier leader has expired one lease later; what a
    /// budget's units may be held beyond that is added.
    pub since: TenthMillis,
    /// When the budgets are divided next.
    pub divide_at: TenthMillis,
}

impl Leadership {
    /// When the next step is due at the latest.
    pub fn next_due(&self, parameters: &Parameters) -> TenthMillis {
        match self {
            Leadership::Follower { try_at } => *try_at,
            Leadership::Candidate { until, .. } => *until,
            Leadership::Leader(term) => term
                .renew_at
                .min(term.divide_at)
                .min(term.election.held_until(parameters)),
        }
    }
}

impl Budgets {
    /// Takes the steps that are due in elections and, as the leader, in divisions.
    pub(crate) fn leadership_tick(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        match &self.leadership {
            Leadership::Follower { try_at } if now >= *try_at => self.start_election(now, actions),
            Leadership::Candidate { until, .. } if now >= *until => {
                self.abandon_election(now, actions)
            }
            Leadership::Leader(term) => {
                if now >= term.election.held_until(&self.parameters) {
                    // Another may be leader by now.
                    self.step_down(now, actions);
                } else if now >= term.renew_at {
                    self.request_votes(now, actions);
                }
            }
            _ => {}
        }
        if let Leadership::Leader(term) = &mut self.leadership
            && now >= term.divide_at
        {
            term.divide_at = now + self.parameters.report_interval.div_ceil(2);
            self.ledger.divide(now, &self.parameters);
        }
    }

    fn start_election(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        let jitter = self.random(self.parameters.report_interval);
        let free_at = self.voter.as_ref().map_or(TenthMillis::MAX, Voter::free_at);
        if self.voters.len() < self.parameters.majority() || free_at > now {
            self.leadership = Leadership::Follower {
                try_at: free_at
                    .max(now + self.parameters.report_interval)
                    .saturating_add(jitter),
            };
            return;
        }
        let until = now + self.parameters.report_interval;
        self.leadership = Leadership::Candidate {
            election: Election::default(),
            until,
        };
        self.request_votes(now, actions);
    }

    /// Requests the votes of all voters, this node included, under a new ballot.
    fn request_votes(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        self.ballot += 1;
        let ballot = self.ballot;
        match &mut self.leadership {
            Leadership::Follower { .. } => return,
            Leadership::Candidate { election, .. } => election.ballot_sent(ballot, now),
            Leadership::Leader(term) => {
                term.election.ballot_sent(ballot, now);
                term.renew_at = now + self.parameters.report_interval;
            }
        }
        self.send_to_voters(&Message::VoteRequest { ballot }, actions);
    }

    fn release_votes(&mut self, actions: &mut Vec<Action>) {
        let election = match &self.leadership {
            Leadership::Follower { .. } => return,
            Leadership::Candidate { election, .. } => election,
            Leadership::Leader(term) => &term.election,
        };
        let Some(ballot) = election.last_ballot() else {
            return;
        };
        self.send_to_voters(&Message::Release { ballot }, actions);
    }

    /// Sends to all voters, this node first.
    fn send_to_voters(&mut self, message: &Message, actions: &mut Vec<Action>) {
        let others: Vec<NodeId> = self.other_voters().collect();
        for voter in [self.me.clone()].into_iter().chain(others) {
            self.send(voter, message.clone(), actions);
        }
    }

    /// Gives up for want of votes; those given are released, so that another may have them.
    fn abandon_election(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        self.release_votes(actions);
        let wait =
            self.parameters.report_interval / 2 + self.random(2 * self.parameters.report_interval);
        self.leadership = Leadership::Follower { try_at: now + wait };
    }

    fn step_down(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        self.leadership = Leadership::Follower {
            try_at: now + self.parameters.report_interval,
        };
        self.ledger = Ledger::default();
        self.follow(None, actions);
        actions.push(Action::Report(Change::SteppedDown));
    }

    /// Steps down for good and releases all votes, so that another can be elected at once.
    pub(crate) fn resign(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        let held = matches!(self.leadership, Leadership::Leader(_));
        self.release_votes(actions);
        if held {
            self.step_down(now, actions);
        }
        self.leadership = Leadership::Follower {
            try_at: TenthMillis::MAX,
        };
    }

    fn on_vote(&mut self, now: TenthMillis, from: &NodeId, ballot: u64, actions: &mut Vec<Action>) {
        match &mut self.leadership {
            Leadership::Follower { .. } => {}
            Leadership::Leader(term) => {
                term.election
                    .count_vote(&from.name, ballot, &self.parameters)
            }
            Leadership::Candidate { election, .. } => {
                election.count_vote(&from.name, ballot, &self.parameters);
                if election.held_until(&self.parameters) > now {
                    let election = std::mem::take(election);
                    self.begin_term(now, election, actions);
                }
            }
        }
    }

    /// Begins a term as the leader with an empty ledger.
    fn begin_term(&mut self, now: TenthMillis, election: Election, actions: &mut Vec<Action>) {
        self.leadership = Leadership::Leader(Term {
            election,
            renew_at: now + self.parameters.report_interval,
            since: now,
            divide_at: now,
        });
        let list: Vec<Budget> = self.list().cloned().collect();
        self.ledger = Ledger::new(&list);
        let grants_after = if self.parameters.safeguards.wait_for_old_leases {
            self.parameters.lease_duration
        } else {
            0
        };
        actions.push(Action::Report(Change::Elected { grants_after }));
        self.follow(Some(self.me.clone()), actions);
    }

    /// Handles the messages to voters, candidates and leaders.
    pub(crate) fn on_voter_message(
        &mut self,
        now: TenthMillis,
        from: NodeId,
        message: Message,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::VoteRequest { ballot } => self.on_vote_request(now, from, ballot, actions),
            Message::Vote { ballot } if self.parameters.voters.contains(&from.name) => {
                self.on_vote(now, &from, ballot, actions);
            }
            Message::Release { ballot } => self.on_release(now, &from, ballot),
            Message::Report { seq, weight, items } => {
                let items = &items;
                self.on_report(now, from, HolderReport { seq, weight, items }, actions);
            }
            _ => {}
        }
    }

    fn on_vote_request(
        &mut self,
        now: TenthMillis,
        from: NodeId,
        ballot: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let granted = self.parameters.voters.contains(&from.name)
            && voter.request_vote(now, &from, ballot, &self.parameters);
        let answer = if granted {
            Message::Vote { ballot }
        } else {
            Message::Refused { ballot }
        };
        self.send(from, answer, actions);
    }

    /// A candidate gives a vote back: this node may start an election soon.
    fn on_release(&mut self, now: TenthMillis, from: &NodeId, ballot: u64) {
        let released = self
            .voter
            .as_mut()
            .is_some_and(|voter| voter.release(from, ballot));
        let earliest = now + self.random(self.parameters.report_interval);
        if let Leadership::Follower { try_at } = &mut self.leadership
            && released
            && *from != self.me
            && !self.leaving
        {
            *try_at = earliest.min(*try_at);
        }
    }

    fn on_report(
        &mut self,
        now: TenthMillis,
        from: NodeId,
        report: HolderReport,
        actions: &mut Vec<Action>,
    ) {
        let seq = report.seq;
        let answer = match &self.leadership {
            // The check of its own votes comes before every allocation that it grants.
            Leadership::Leader(term) if term.election.held_until(&self.parameters) > now => {
                let (parameters, since) = (&self.parameters, term.since);
                let settled = |budget: &Budget| {
                    let settled_at =
                        since + parameters.lease_duration + parameters.max_hold_after_lease(budget);
                    !parameters.safeguards.wait_for_old_leases || now >= settled_at
                };
                let grants = self
                    .ledger
                    .apply_report(now, &from, report, settled, parameters);
                grants.map(|grants| Message::Grant { seq, grants })
            }
            _ => {
                let leader = self.voter.as_ref().and_then(|voter| voter.leader(now));
                let leader = leader.filter(|leader| **leader != self.me).cloned();
                Some(Message::NotLeader { seq, leader })
            }
        };
        if let Some(answer) = answer {
            self.send(from, answer, actions);
        }
    }
}
