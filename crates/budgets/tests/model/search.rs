//! Exhaustive searches within bounds, and random walks.

use std::ops::Range;

use doortrack_budgets::Safeguards;
use stateright::{Checker, Model};

use crate::machine::*;

/// Exhaustive up to so many steps from where an allocation is granted.
fn search(nodes: usize, faults: u8, depth: usize) -> usize {
    let fleet_with_faults = Fleet {
        faults,
        ..fleet(nodes, Safeguards::default())
    };
    let checker = fleet_with_faults
        .checker()
        .threads(2)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    checker.assert_no_discovery("never more than the limit");
    checker.unique_state_count()
}

#[test]
fn within_small_bounds_the_limit_is_never_exceeded() {
    assert!(search(2, 1, 9) > 10_000);
    assert!(search(3, 2, 7) > 20_000);
    assert_eq!(walk(3, Safeguards::default(), 0..100), None);
}

/// A minute or two; by hand, as `cargo test --release -p doortrack-budgets -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn within_wider_bounds_as_well() {
    for (nodes, faults, depth) in [(2, 1, 14), (2, 2, 12), (3, 1, 11), (3, 2, 10)] {
        println!(
            "{nodes} nodes, {faults} faults, {depth} steps: {} states",
            search(nodes, faults, depth)
        );
    }
    assert_eq!(walk(3, Safeguards::default(), 0..50_000), None);
}

/// Walks drawn from seeds; the first that exceeds the limit.
pub fn walk(nodes: usize, safeguards: Safeguards, mut seeds: Range<u64>) -> Option<u64> {
    let fleet = Fleet {
        faults: 4,
        ticks: 16,
        envelopes: 10,
        ..fleet(nodes, safeguards)
    };
    let first = fleet.init_states().remove(0);
    let holds = |state: &State| (fleet.properties()[0].condition)(&fleet, state);
    seeds.find(|seed| {
        let (mut rng, mut state) = (fastrand::Rng::with_seed(*seed), first.clone());
        for _ in 0..120 {
            let mut steps = Vec::new();
            fleet.actions(&state, &mut steps);
            // Most messages arrive; faults are rare, and time passes now and then.
            let weight = |step: &Step| match step {
                Step::Tick => 3,
                Step::Delivered(_, false) => 4,
                Step::Resumes(_) => 1,
                Step::Delivered(_, true) | Step::Lost(_) | Step::Restarts(_) | Step::Pauses(_) => 1,
            };
            let sum: u32 = steps.iter().map(weight).sum();
            if sum == 0 {
                break;
            }
            let mut drawn = rng.u32(..sum);
            let taken = steps.into_iter().find(|step| {
                let found = drawn < weight(step);
                drawn = drawn.saturating_sub(weight(step));
                found
            });
            if let Some(next) = taken.and_then(|step| fleet.next_state(&state, step)) {
                state = next;
            }
            if !holds(&state) {
                return true;
            }
        }
        false
    })
}
