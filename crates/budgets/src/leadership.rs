//! Elections: how a voter becomes the leader, remains it and steps down.

use std::collections::{BTreeMap, VecDeque};

use doortrack_membership::Name;
use doortrack_time::TenthMillis;

use crate::ledger::Ledger;
use crate::voter::Voter;
use crate::{Action, Budget, Budgets, Change, Message, NodeId, Parameters, ReportItem};

/// Ballots that are remembered, as a vote counts from when its ballot was sent.
const MAX_ASKED: usize = 8;

/// The votes that a candidate or leader holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Election {
    /// Ballots, and when each was sent.
    asked: VecDeque<(u64, TenthMillis)>,
    /// When each voter's vote expires.
    votes: BTreeMap<Name, TenthMillis>,
}

impl Election {
    /// Takes note of a ballot that is sent now.
    pub fn asked(&mut self, ballot: u64, now: TenthMillis) {
        if self.asked.len() >= MAX_ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((ballot, now));
    }

    /// Counts a vote; one for a ballot that is not remembered is ignored.
    pub fn vote(&mut self, from: &Name, ballot: u64, parameters: &Parameters) {
        let Some((_, sent)) = self.asked.iter().find(|(asked, _)| *asked == ballot) else {
            return;
        };
        let till = sent + parameters.shortened_by_drift(parameters.vote_duration);
        let known = self.votes.entry(from.clone()).or_default();
        *known = till.max(*known);
    }

    /// When the votes no longer make a majority; 0 if they never did.
    pub fn till(&self, parameters: &Parameters) -> TenthMillis {
        let mut ends: Vec<TenthMillis> = self.votes.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(parameters.majority() - 1).copied().unwrap_or(0)
    }

    /// The ballot sent last.
    pub fn last_ballot(&self) -> Option<u64> {
        self.asked.back().map(|(ballot, _)| *ballot)
    }
}

/// The node's role in elections.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Leadership {
    /// It may start an election at this time; never if it is no voter.
    Follower { try_at: TenthMillis },
    /// It has asked for votes, and abandons the election at a time.
    Candidate {
        election: Election,
        till: TenthMillis,
    },
    /// It holds the votes of a majority.
    Leader(Term),
}

/// One uninterrupted term as the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Term {
    pub election: Election,
    /// When votes are asked for again.
    pub renew_at: TenthMillis,
    /// When the term began. A lease of an earlier leader has expired one lease later; what a budget's units
    /// may be held beyond that is added.
    pub since: TenthMillis,
    /// When the budgets are divided next.
    pub divide_at: TenthMillis,
}

impl Leadership {
    /// When there is something to do at the latest.
    pub fn next_due(&self, parameters: &Parameters) -> TenthMillis {
        match self {
            Leadership::Follower { try_at } => *try_at,
            Leadership::Candidate { till, .. } => *till,
            Leadership::Leader(term) => term
                .renew_at
                .min(term.divide_at)
                .min(term.election.till(parameters)),
        }
    }
}

impl Budgets {
    /// Does what is due of elections and, as the leader, of divisions.
    pub(crate) fn leadership_tick(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        match &self.leadership {
            Leadership::Follower { try_at } if now >= *try_at => self.start_election(now, out),
            Leadership::Candidate { till, .. } if now >= *till => self.abandon_election(now, out),
            Leadership::Leader(term) => {
                if now >= term.election.till(&self.parameters) {
                    // Another may be leader by now.
                    self.step_down(now, out);
                } else if now >= term.renew_at {
                    self.ask_all(now, out);
                }
            }
            _ => {}
        }
        if let Leadership::Leader(term) = &mut self.leadership
            && now >= term.divide_at
        {
            term.divide_at = now + self.parameters.round.div_ceil(2);
            self.ledger.divide(now, &self.parameters);
        }
    }

    fn start_election(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        let jitter = self.random(self.parameters.round);
        let free_at = self.voter.as_ref().map_or(TenthMillis::MAX, Voter::free_at);
        if self.voters.len() < self.parameters.majority() || free_at > now {
            self.leadership = Leadership::Follower {
                try_at: free_at
                    .max(now + self.parameters.round)
                    .saturating_add(jitter),
            };
            return;
        }
        let till = now + self.parameters.round;
        self.leadership = Leadership::Candidate {
            election: Election::default(),
            till,
        };
        self.ask_all(now, out);
    }

    /// Asks all voters, this node included, for their votes under a new ballot.
    fn ask_all(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        self.ballot += 1;
        let ballot = self.ballot;
        match &mut self.leadership {
            Leadership::Follower { .. } => return,
            Leadership::Candidate { election, .. } => election.asked(ballot, now),
            Leadership::Leader(term) => {
                term.election.asked(ballot, now);
                term.renew_at = now + self.parameters.round;
            }
        }
        let others: Vec<NodeId> = self.others().collect();
        for who in [self.me.clone()].into_iter().chain(others) {
            self.send(who, Message::Ask { ballot }, out);
        }
    }

    fn release_votes(&mut self, out: &mut Vec<Action>) {
        let election = match &self.leadership {
            Leadership::Follower { .. } => return,
            Leadership::Candidate { election, .. } => election,
            Leadership::Leader(term) => &term.election,
        };
        let Some(ballot) = election.last_ballot() else {
            return;
        };
        let others: Vec<NodeId> = self.others().collect();
        for who in [self.me.clone()].into_iter().chain(others) {
            self.send(who, Message::Release { ballot }, out);
        }
    }

    /// Gives up for want of votes; those given are released, so that another may have them.
    fn abandon_election(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        self.release_votes(out);
        let wait = self.parameters.round / 2 + self.random(2 * self.parameters.round);
        self.leadership = Leadership::Follower { try_at: now + wait };
    }

    fn step_down(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        self.leadership = Leadership::Follower {
            try_at: now + self.parameters.round,
        };
        self.ledger = Ledger::default();
        self.follow(None, out);
        out.push(Action::Report(Change::SteppedDown));
    }

    /// Steps down for good and releases all votes, so that another can be elected at once.
    pub(crate) fn resign(&mut self, now: TenthMillis, out: &mut Vec<Action>) {
        let held = matches!(self.leadership, Leadership::Leader(_));
        self.release_votes(out);
        if held {
            self.step_down(now, out);
        }
        self.leadership = Leadership::Follower {
            try_at: TenthMillis::MAX,
        };
    }

    fn on_vote(&mut self, now: TenthMillis, from: &NodeId, ballot: u64, out: &mut Vec<Action>) {
        match &mut self.leadership {
            Leadership::Follower { .. } => {}
            Leadership::Leader(term) => term.election.vote(&from.name, ballot, &self.parameters),
            Leadership::Candidate { election, .. } => {
                election.vote(&from.name, ballot, &self.parameters);
                if election.till(&self.parameters) > now {
                    let (renew_at, divide_at) = (now + self.parameters.round, now);
                    let election = std::mem::take(election);
                    self.leadership = Leadership::Leader(Term {
                        election,
                        renew_at,
                        since: now,
                        divide_at,
                    });
                    let list: Vec<Budget> = self
                        .allocations
                        .iter()
                        .map(|allocation| allocation.budget.clone())
                        .collect();
                    self.ledger = Ledger::new(&list);
                    let grants_after = if self.parameters.safeguards.settle {
                        self.parameters.lease
                    } else {
                        0
                    };
                    out.push(Action::Report(Change::Elected { grants_after }));
                    self.follow(Some(self.me.clone()), out);
                }
            }
        }
    }

    /// Handles the messages to voters, candidates and leaders.
    pub(crate) fn on_voter_message(
        &mut self,
        now: TenthMillis,
        from: NodeId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ask { ballot } => {
                let Some(voter) = &mut self.voter else { return };
                let given = self.parameters.voters.contains(&from.name)
                    && voter.ask(now, &from, ballot, &self.parameters);
                let answer = if given {
                    Message::Vote { ballot }
                } else {
                    Message::Refused { ballot }
                };
                self.send(from, answer, out);
            }
            Message::Vote { ballot } if self.parameters.voters.contains(&from.name) => {
                self.on_vote(now, &from, ballot, out);
            }
            Message::Release { ballot } => {
                let released = self
                    .voter
                    .as_mut()
                    .is_some_and(|voter| voter.release(&from, ballot));
                let try_at = now + self.random(self.parameters.round);
                if let Leadership::Follower { try_at: at } = &mut self.leadership
                    && released
                    && from != self.me
                    && !self.leaving
                {
                    *at = try_at.min(*at);
                }
            }
            Message::Report { seq, weight, items } => {
                self.on_report(now, from, (seq, weight), &items, out)
            }
            _ => {}
        }
    }

    fn on_report(
        &mut self,
        now: TenthMillis,
        from: NodeId,
        (seq, weight): (u64, u32),
        items: &[ReportItem],
        out: &mut Vec<Action>,
    ) {
        let answer = match &self.leadership {
            // The look at its own votes comes before every allocation that it grants.
            Leadership::Leader(term) if term.election.till(&self.parameters) > now => {
                let (parameters, since) = (&self.parameters, term.since);
                let settled = |budget: &Budget| {
                    let held = if parameters.safeguards.held {
                        budget.max_hold()
                    } else {
                        0
                    };
                    !parameters.safeguards.settle || now >= since + parameters.lease + held
                };
                let grants =
                    self.ledger
                        .report(now, &from, (seq, weight), items, settled, parameters);
                grants.map(|grants| Message::Grant { seq, grants })
            }
            _ => {
                let leader = self
                    .voter
                    .as_ref()
                    .and_then(|voter| voter.leader(now))
                    .cloned();
                Some(Message::Elsewhere {
                    seq,
                    leader: leader.filter(|leader| *leader != self.me),
                })
            }
        };
        if let Some(answer) = answer {
            self.send(from, answer, out);
        }
    }
}
