//! Exhaustive searches within bounds, and random walks.

use std::ops::Range;

use doortrack_budgets::Safeguards;
use stateright::{Checker, Model};

use crate::machine::*;

/// Searches all sequences of up to `depth` steps from the first granted allocation. Returns the
/// number of states.
fn explore(nodes: usize, max_faults: u8, depth: usize) -> usize {
    let fleet_with_faults = Fleet {
        max_faults,
        ..bounded_fleet(nodes, Safeguards::default())
    };
    let checker = fleet_with_faults
        .checker()
        .threads(2)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    checker.assert_no_discovery("the limit is never exceeded");
    checker.unique_state_count()
}

#[test]
fn within_small_bounds_the_limit_is_never_exceeded() {
    assert!(explore(2, 1, 9) > 10_000);
    assert!(explore(3, 2, 7) > 20_000);
    assert_eq!(first_violation(3, Safeguards::default(), 0..100), None);
}

/// Takes a minute or two. Run it with `cargo test --release -p doortrack-budgets -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn within_wider_bounds_the_limit_is_never_exceeded() {
    for (nodes, max_faults, depth) in [(2, 1, 14), (2, 2, 12), (3, 1, 11), (3, 2, 10)] {
        println!(
            "{nodes} nodes, {max_faults} faults, {depth} steps: {} states",
            explore(nodes, max_faults, depth)
        );
    }
    assert_eq!(first_violation(3, Safeguards::default(), 0..50_000), None);
}

/// The first seed whose random walk exceeds the limit.
pub fn first_violation(nodes: usize, safeguards: Safeguards, mut seeds: Range<u64>) -> Option<u64> {
    let fleet = Fleet {
        max_faults: 4,
        max_ticks: 16,
        max_envelopes: 10,
        ..bounded_fleet(nodes, safeguards)
    };
    let first = fleet.init_states().remove(0);
    let holds = |state: &State| (fleet.properties()[0].condition)(&fleet, state);
    seeds.find(|seed| {
        let (mut rng, mut state) = (fastrand::Rng::with_seed(*seed), first.clone());
        for _ in 0..120 {
            let mut steps = Vec::new();
            fleet.actions(&state, &mut steps);
            // Most messages arrive, faults are rare, and time passes occasionally.
            let weight = |step: &Step| match step {
                Step::Tick => 3,
                Step::Deliver(_, false) => 4,
                Step::Resume(_) => 1,
                Step::Deliver(_, true) | Step::Lose(_) | Step::Restart(_) | Step::Pause(_) => 1,
            };
            let sum: u32 = steps.iter().map(weight).sum();
            if sum == 0 {
                break;
            }
            let mut drawn = rng.u32(..sum);
            let chosen = steps.into_iter().find(|step| {
                let found = drawn < weight(step);
                drawn = drawn.saturating_sub(weight(step));
                found
            });
            if let Some(next) = chosen.and_then(|step| fleet.next_state(&state, step)) {
                state = next;
            }
            if !holds(&state) {
                return true;
            }
        }
        false
    })
}
