//! Each safeguard is needed: without it a known history exceeds the limit.

use doortrack_budgets::{Event, Safeguards};
use stateright::Model;

use crate::machine::*;
use crate::search::walk;

#[test]
fn each_safeguard_is_needed() {
    let all = Safeguards::default();
    let without = [
        (
            "majority",
            0,
            Safeguards {
                majority_vote: false,
                ..all
            },
        ),
        (
            "settle",
            1128,
            Safeguards {
                wait_for_old_leases: false,
                ..all
            },
        ),
        (
            "confirm",
            1835,
            Safeguards {
                await_confirmation: false,
                ..all
            },
        ),
        (
            "lease expiry",
            1904,
            Safeguards {
                lease_expiry: false,
                ..all
            },
        ),
        (
            "in order",
            11629,
            Safeguards {
                reject_stale_answers: false,
                ..all
            },
        ),
    ];
    for (safeguard, from, safeguards) in without {
        // Known to exceed the limit without the safeguard.
        let found = walk(3, safeguards, from..from + 1);
        assert!(found.is_some(), "{safeguard}: nothing changed without it");
        assert_eq!(walk(3, all, from..from + 1), None, "{safeguard}");
    }
}

/// A voter that forgets its vote makes a second leader while the first still is one: no random walk
/// of thousands meets this, as the first term is nearly over then.
fn exposed_after_forgotten_vote(safeguards: Safeguards) -> u64 {
    let fleet = Fleet {
        envelopes: 1_000,
        ..fleet(3, safeguards)
    };
    let mut state = fleet.init_states().remove(0);
    let leader = (0..3)
        .find(|index| state.nodes[*index].is_leader(state.now))
        .unwrap();
    let (voter, candidate) = ((leader + 1) % 3, (leader + 2) % 3);
    // One tick of these nodes, and all messages that follow between connected pairs.
    let tick = |state: &mut State, nodes: &[usize], pairs: &[(usize, usize)]| {
        for index in nodes {
            fleet.handle(state, *index, Event::Tick);
            while let Some(envelope) = state.network.first().cloned() {
                let [from, to] = [&envelope.from, &envelope.to]
                    .map(|node_id| node_id.name[1..].parse::<usize>().unwrap());
                let delivered = pairs.contains(&(from, to)) || pairs.contains(&(to, from));
                let step = if delivered {
                    Step::Delivered(envelope, false)
                } else {
                    Step::Lost(envelope)
                };
                *state = fleet.next_state(state, step).unwrap();
            }
        }
    };
    for _ in 0..4 * LEASE {
        state.now += 1;
        _ = state.nodes[leader].acquire(0, state.now);
        tick(&mut state, &[leader, voter], &[(leader, voter)]);
    }
    state = fleet.next_state(&state, Step::Restarts(voter)).unwrap();
    tick(&mut state, &[candidate, voter], &[(candidate, voter)]);
    let mut max_exposed = 0;
    for _ in 0..3 * LEASE {
        state.now += 1;
        for index in [candidate, leader] {
            _ = state.nodes[index].acquire(0, state.now);
        }
        tick(
            &mut state,
            &[candidate, voter, leader],
            &[(candidate, voter)],
        );
        max_exposed = max_exposed.max(
            state
                .nodes
                .iter()
                .map(|node| node.max_in_use(0, state.now))
                .sum(),
        );
    }
    max_exposed
}

#[test]
fn a_restarted_voter_gives_no_vote() {
    assert_eq!(exposed_after_forgotten_vote(Safeguards::default()), 1_000);
    assert_eq!(
        exposed_after_forgotten_vote(Safeguards {
            abstain_after_start: false,
            ..Safeguards::default()
        }),
        2_000
    );
}
