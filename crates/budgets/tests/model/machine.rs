//! A fleet as a state machine: its states, steps and properties.

use std::collections::BTreeSet;
use std::sync::Arc;

use doortrack_budgets::{
    Action, Budget, Budgets, Envelope, Event, Kind, Message, NodeId, Parameters, Safeguards,
};
use doortrack_membership::{Incarnation, Member, Name, View};
use doortrack_time::TenthMillis;
use stateright::{Model, Property};

/// Times in ticks: the smallest at which votes and leases still differ from a round.
pub const ROUND: TenthMillis = 1;
pub const VOTE: TenthMillis = 2;
pub const LEASE: TenthMillis = 4;

pub struct Fleet {
    pub nodes: usize,
    pub safeguards: Safeguards,
    /// Bounds of the search: ticks, faults of either kind, envelopes in the network.
    pub ticks: TenthMillis,
    pub faults: u8,
    pub envelopes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: TenthMillis,
    pub nodes: Vec<Budgets>,
    pub paused: Vec<bool>,
    pub network: BTreeSet<Envelope>,
    pub faults: u8,
    pub incarnation: u64,
    pub ends_at: TenthMillis,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Tick,
    /// It arrives; as a fault it is also kept, to arrive again.
    Delivered(Envelope, bool),
    Lost(Envelope),
    Restarts(usize),
    Pauses(usize),
    Resumes(usize),
}

impl Fleet {
    pub fn parameters(&self) -> Parameters {
        Parameters {
            voters: (0..self.nodes)
                .map(|index| Name::from(format!("n{index}")))
                .collect(),
            report_interval: ROUND,
            vote_duration: VOTE,
            lease_duration: LEASE,
            max_drift_permille: 0,
            safeguards: self.safeguards,
        }
    }

    pub fn node_id(index: usize, incarnation: u64) -> NodeId {
        NodeId {
            name: format!("n{index}").into(),
            incarnation: Incarnation(incarnation),
        }
    }

    pub fn start(&self, index: usize, incarnation: u64, now: TenthMillis) -> Budgets {
        // A rate, so that what may be used counts as used.
        let kind = Kind::Rate { burst: 1 };
        let reserved_for = Arc::new([]);
        let budget = Budget {
            name: "b".into(),
            kind,
            limit: 1,
            reserved: 0,
            reserved_for,
            max_per_node: 1,
        };
        Budgets::new(
            Self::node_id(index, incarnation),
            1,
            self.parameters(),
            &[budget],
            incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            now,
        )
    }

    pub fn view(state: &State) -> View {
        let mut view = View::default();
        for node in &state.nodes {
            let address = "127.0.0.1:1".parse().unwrap();
            view.members.insert(
                node.me().name.clone(),
                Member {
                    incarnation: node.me().incarnation,
                    address,
                    weight: 1,
                },
            );
        }
        view
    }

    pub fn handle(&self, state: &mut State, index: usize, event: Event) {
        let mut actions = Vec::new();
        state.nodes[index].handle(state.now, event, &mut actions);
        for action in actions {
            // A refusal changes nothing for its receiver.
            if let Action::Send(envelope) = action
                && state.network.len() < self.envelopes
                && !matches!(envelope.message, Message::Refused { .. })
            {
                state.network.insert(envelope);
            }
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let nodes = (0..self.nodes)
            .map(|index| self.start(index, index as u64 + 1, 0))
            .collect();
        let mut state = State {
            now: 0,
            nodes,
            paused: vec![false; self.nodes],
            network: BTreeSet::new(),
            faults: 0,
            incarnation: self.nodes as u64 + 1,
            ends_at: TenthMillis::MAX,
        };
        let view = Self::view(&state);
        (0..self.nodes)
            .for_each(|index| self.handle(&mut state, index, Event::ViewChanged(view.clone())));
        // All messages arrive at once until an allocation is granted: the search begins there.
        let lossless = Fleet {
            envelopes: 1_000,
            ..*self
        };
        while state
            .nodes
            .iter()
            .all(|node| node.max_in_use(0, state.now) == 0)
        {
            state.now += 1;
            for index in 0..self.nodes {
                lossless.handle(&mut state, index, Event::Tick);
                while let Some(envelope) = state.network.first().cloned() {
                    state = lossless
                        .next_state(&state, Step::Delivered(envelope, false))
                        .unwrap();
                }
            }
            assert!(state.now < 50, "nothing is ever granted");
        }
        state.ends_at = state.now + self.ticks;
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let may_fail = state.faults < self.faults;
        if state.now < state.ends_at {
            steps.push(Step::Tick);
        }
        for envelope in &state.network {
            steps.push(Step::Delivered(envelope.clone(), false));
            if may_fail {
                steps.push(Step::Delivered(envelope.clone(), true));
                steps.push(Step::Lost(envelope.clone()));
            }
        }
        for index in 0..self.nodes {
            if state.paused[index] {
                steps.push(Step::Resumes(index));
            } else {
                if may_fail {
                    steps.push(Step::Restarts(index));
                    steps.push(Step::Pauses(index));
                }
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick => {
                state.now += 1;
                for index in 0..self.nodes {
                    if !state.paused[index] {
                        self.handle(&mut state, index, Event::Tick);
                    }
                }
            }
            Step::Delivered(envelope, duplicated) => {
                let index: usize = envelope.to.name[1..].parse().ok()?;
                if state.paused[index] {
                    return None;
                }
                if duplicated {
                    state.faults += 1;
                } else {
                    state.network.remove(&envelope);
                }
                self.handle(&mut state, index, Event::Received(envelope));
            }
            Step::Lost(envelope) => {
                state.faults += 1;
                state.network.remove(&envelope);
            }
            Step::Restarts(index) => {
                state.faults += 1;
                let now = state.now;
                state.nodes[index] = self.start(index, state.incarnation, now);
                state.incarnation += 1;
                let view = Self::view(&state);
                (0..self.nodes).for_each(|index| {
                    self.handle(&mut state, index, Event::ViewChanged(view.clone()))
                });
            }
            Step::Pauses(index) => {
                state.faults += 1;
                state.paused[index] = true;
            }
            Step::Resumes(index) => {
                state.paused[index] = false;
                self.handle(&mut state, index, Event::Tick);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("never more than the limit", |_, state: &State| {
                let used: u64 = state
                    .nodes
                    .iter()
                    .map(|node| node.max_in_use(0, state.now))
                    .sum();
                used <= 1_000
            }),
            Property::sometimes("an allocation is granted anew", |_, state: &State| {
                state.nodes.iter().any(|node| {
                    node.me().incarnation.0 > state.nodes.len() as u64
                        && node.max_in_use(0, state.now) > 0
                })
            }),
        ]
    }
}

pub fn fleet(nodes: usize, safeguards: Safeguards) -> Fleet {
    Fleet {
        nodes,
        safeguards,
        ticks: 6,
        faults: 1,
        envelopes: 3,
    }
}
