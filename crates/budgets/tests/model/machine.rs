//! The model of a fleet: its states, steps and properties.

use std::collections::BTreeSet;
use std::sync::Arc;

use doortrack_budgets::{
    Action, Budget, Budgets, Envelope, Event, Kind, Message, NodeId, Parameters, Safeguards,
};
use doortrack_membership::{Incarnation, Member, Name, View};
use doortrack_time::TenthMillis;
use stateright::{Model, Property};

/// Durations in ticks: the smallest at which a vote and a lease are longer than a report interval.
pub const REPORT_INTERVAL: TenthMillis = 1;
pub const VOTE_DURATION: TenthMillis = 2;
pub const LEASE_DURATION: TenthMillis = 4;

pub struct Fleet {
    pub nodes: usize,
    pub safeguards: Safeguards,
    /// Bounds of the search: ticks, faults of any kind, and envelopes in the network.
    pub max_ticks: TenthMillis,
    pub max_faults: u8,
    pub max_envelopes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: TenthMillis,
    pub nodes: Vec<Budgets>,
    pub paused: Vec<bool>,
    pub network: BTreeSet<Envelope>,
    pub faults: u8,
    pub next_incarnation: u64,
    pub ends_at: TenthMillis,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Tick,
    /// Delivers an envelope. If true, it is duplicated: it stays in the network, which is a fault.
    Deliver(Envelope, bool),
    Lose(Envelope),
    Restart(usize),
    Pause(usize),
    Resume(usize),
}

impl Fleet {
    pub fn parameters(&self) -> Parameters {
        Parameters {
            voters: (0..self.nodes)
                .map(|index| Name::from(format!("n{index}")))
                .collect(),
            report_interval: REPORT_INTERVAL,
            vote_duration: VOTE_DURATION,
            lease_duration: LEASE_DURATION,
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
        // With a rate budget everything that may be used counts as used.
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
            // A refusal has no effect on its receiver.
            if let Action::Send(envelope) = action
                && state.network.len() < self.max_envelopes
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
            next_incarnation: self.nodes as u64 + 1,
            ends_at: TenthMillis::MAX,
        };
        let view = Self::view(&state);
        (0..self.nodes)
            .for_each(|index| self.handle(&mut state, index, Event::ViewChanged(view.clone())));
        // Until an allocation is granted, all messages arrive immediately. The search starts from
        // there.
        let lossless = Fleet {
            max_envelopes: 1_000,
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
                        .next_state(&state, Step::Deliver(envelope, false))
                        .unwrap();
                }
            }
            assert!(state.now < 50, "no allocation was granted within 50 ticks");
        }
        state.ends_at = state.now + self.max_ticks;
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let may_fail = state.faults < self.max_faults;
        if state.now < state.ends_at {
            steps.push(Step::Tick);
        }
        for envelope in &state.network {
            steps.push(Step::Deliver(envelope.clone(), false));
            if may_fail {
                steps.push(Step::Deliver(envelope.clone(), true));
                steps.push(Step::Lose(envelope.clone()));
            }
        }
        for index in 0..self.nodes {
            if state.paused[index] {
                steps.push(Step::Resume(index));
            } else {
                if may_fail {
                    steps.push(Step::Restart(index));
                    steps.push(Step::Pause(index));
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
            Step::Deliver(envelope, duplicated) => {
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
            Step::Lose(envelope) => {
                state.faults += 1;
                state.network.remove(&envelope);
            }
            Step::Restart(index) => {
                state.faults += 1;
                let now = state.now;
                state.nodes[index] = self.start(index, state.next_incarnation, now);
                state.next_incarnation += 1;
                let view = Self::view(&state);
                (0..self.nodes).for_each(|index| {
                    self.handle(&mut state, index, Event::ViewChanged(view.clone()))
                });
            }
            Step::Pause(index) => {
                state.faults += 1;
                state.paused[index] = true;
            }
            Step::Resume(index) => {
                state.paused[index] = false;
                self.handle(&mut state, index, Event::Tick);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("the limit is never exceeded", |_, state: &State| {
                let used: u64 = state
                    .nodes
                    .iter()
                    .map(|node| node.max_in_use(0, state.now))
                    .sum();
                used <= 1_000
            }),
            Property::sometimes(
                "an allocation is granted to a restarted node",
                |_, state: &State| {
                    state.nodes.iter().any(|node| {
                        node.me().incarnation.0 > state.nodes.len() as u64
                            && node.max_in_use(0, state.now) > 0
                    })
                },
            ),
        ]
    }
}

pub fn bounded_fleet(nodes: usize, safeguards: Safeguards) -> Fleet {
    Fleet {
        nodes,
        safeguards,
        max_ticks: 6,
        max_faults: 1,
        max_envelopes: 3,
    }
}
