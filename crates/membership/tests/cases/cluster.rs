//! A small cluster of nodes whose datagrams are delivered directly.

use std::collections::VecDeque;
use std::net::SocketAddr;

use doortrack_membership::{
    Action, Change, Datagram, Event, Fleet, Incarnation, MemberState, MemberUpdate, Parameters,
    ReportedState,
};
use doortrack_time::MILLISECOND;

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_400))
}

pub fn update(node: usize, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: format!("n{node}").into(),
        incarnation: Incarnation(incarnation),
        version: 0,
        state: MemberState::Alive,
        address: address(node),
        weight: 4,
    }
}

/// Nodes between which every datagram arrives immediately, unless `is_cut` drops it.
pub struct Cluster {
    pub fleets: Vec<Fleet>,
    pub now: u64,
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    pub stopped: Vec<bool>,
    pub changes: Vec<(usize, Change)>,
    pub sent: Vec<(usize, usize, Datagram)>,
}

impl Cluster {
    pub fn new(count: usize) -> Cluster {
        let fleets = (0..count)
            .map(|node| Cluster::new_node(node, 100, 0))
            .collect();
        Cluster {
            fleets,
            now: 0,
            is_cut: Box::new(|_, _| false),
            stopped: vec![false; count],
            changes: Vec::new(),
            sent: Vec::new(),
        }
    }

    pub fn new_node(node: usize, incarnation: u64, now: u64) -> Fleet {
        let parameters = Parameters {
            seeds: vec![address(0), address(1)],
            ..Parameters::default()
        };
        Fleet::new(update(node, incarnation), parameters, 7 + node as u64, now)
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let mut queue = VecDeque::from([(node, event)]);
        while let Some((node, event)) = queue.pop_front() {
            let mut actions = Vec::new();
            self.fleets[node].handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Report(change) => self.changes.push((node, change)),
                    Action::Send { to, datagram } => {
                        let Some(to) = (0..self.fleets.len()).find(|n| address(*n) == to) else {
                            continue;
                        };
                        self.sent.push((node, to, (*datagram).clone()));
                        if !(self.is_cut)(node, to) && !self.stopped[to] {
                            let from = address(node);
                            queue.push_back((
                                to,
                                Event::Received {
                                    from,
                                    datagram: *datagram,
                                },
                            ));
                        }
                    }
                }
            }
        }
    }

    /// Advances the time, and handles every timer when it is due.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms * MILLISECOND;
        loop {
            let running = (0..self.fleets.len()).filter(|node| !self.stopped[*node]);
            let Some((due, node)) = running
                .map(|node| (self.fleets[node].next_due(), node))
                .min()
            else {
                break;
            };
            if due > until {
                break;
            }
            self.now = self.now.max(due);
            self.handle(node, Event::Tick);
        }
        self.now = until;
    }

    pub fn reported(&self, node: usize, change_name: &str, member: &str) -> bool {
        let concerns_member =
            |change: &Change| change.member().is_some_and(|(name, _)| &**name == member);
        self.changes.iter().any(|(by, change)| {
            *by == node && change.name() == change_name && concerns_member(change)
        })
    }

    pub fn state(&self, node: usize, member: usize) -> Option<ReportedState> {
        let (reports, _) = self.fleets[node].report(None, 100, self.now);
        reports
            .iter()
            .find(|report| *report.name == *format!("n{member}"))
            .map(|report| report.state)
    }

    pub fn members(&self, node: usize) -> usize {
        self.fleets[node].view().members.len()
    }
}
