//! Property tests: for random events no slow start is exceeded, and each run ends exactly once.

use std::cell::RefCell;
use std::rc::Rc;

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{RunEnd, RunId, TokenResponse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::simulation::*;

#[derive(Clone, Debug)]
enum Step {
    Request(u8),
    Advance(TenthMillis),
    Kill(u8),
    Behave(u8, Behavior),
    Add,
    Remove(u8),
    Tokens(bool),
    Cancel(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let behaviors = [
        Behavior::Healthy,
        Behavior::Healthy,
        Behavior::Refuses,
        Behavior::Hangs,
        Behavior::Breaks,
        Behavior::Fails,
    ];
    prop_oneof![
        8 => (1..20u8).prop_map(Step::Request),
        8 => (0..700 * MILLISECOND).prop_map(Step::Advance),
        1 => any::<u8>().prop_map(Step::Kill),
        3 => (any::<u8>(), prop::sample::select(behaviors.to_vec())).prop_map(|(index, behavior)| Step::Behave(index, behavior)),
        1 => Just(Step::Add),
        1 => any::<u8>().prop_map(Step::Remove),
        1 => any::<bool>().prop_map(Step::Tokens),
        1 => any::<u8>().prop_map(Step::Cancel),
    ]
}

fn run_steps(steps: &[Step], shared: bool) -> Simulation {
    let mut simulation = Simulation::new(config(), 3);
    let mut members = vec![0, 1, 2];
    let granted = Rc::new(RefCell::new(true));
    if shared {
        let granted = granted.clone();
        let answer = move || {
            if *granted.borrow() {
                TokenResponse::Granted
            } else {
                TokenResponse::Refused
            }
        };
        simulation.pool.set_slow_start_tokens(Box::new(answer));
    }
    for step in steps {
        let mut actions = Vec::new();
        match step {
            Step::Request(count) => (0..*count).for_each(|_| _ = simulation.request()),
            Step::Advance(duration) => simulation.advance(*duration),
            Step::Kill(index) => simulation.kill(usize::from(*index) % simulation.behaviors.len()),
            Step::Behave(index, behavior) => {
                let server = usize::from(*index) % simulation.behaviors.len();
                *simulation.behaviors.values_mut().nth(server).unwrap() = *behavior;
            }
            Step::Add if members.len() < 5 => {
                let server = simulation
                    .pool
                    .add_cold_server(simulation.now, &mut actions);
                simulation.behaviors.insert(server, Behavior::Healthy);
                members.push(server);
            }
            Step::Remove(index) if members.len() > 1 => {
                let server = members.swap_remove(usize::from(*index) % members.len());
                simulation
                    .pool
                    .remove_server(server, simulation.now, &mut actions);
                // The identifier may be reused for another server.
                simulation.slow_starts.retain(|(other, _)| *other != server);
                simulation.sent.remove(&server);
            }
            Step::Tokens(available) => *granted.borrow_mut() = *available,
            Step::Cancel(index) => {
                let run = RunId::from(*index) % (simulation.runs + 1);
                simulation.pool.cancel(run, simulation.now, &mut actions);
            }
            Step::Add | Step::Remove(_) => {}
        }
        simulation.execute(actions);
        // No run may wait without a server that could take it: runs are in flight only while there is
        // a connection or a server in use.
        let served = simulation.pool.connections() > 0 || simulation.pool.in_use() > 0;
        assert!(
            simulation.pool.in_flight() == 0 || served,
            "{:?}",
            simulation.pool
        );
    }
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_7a3b),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_slow_start_is_exceeded_and_each_run_ends_once_for_any_events(
        steps in prop::collection::vec(step(), 1..150),
        shared in any::<bool>(),
    ) {
        let mut simulation = run_steps(&steps, shared);
        if !shared {
            simulation.check_slow_starts();
        }
        simulation.advance(60_000 * MILLISECOND);
        prop_assert_eq!(simulation.outcomes.len(), simulation.runs as usize, "some requests have no outcome");
        prop_assert_eq!(simulation.pool.in_flight(), 0);
        // All servers return and serve once they are healthy.
        simulation.behaviors.values_mut().for_each(|behavior| *behavior = Behavior::Healthy);
        simulation.load(20 * MILLISECOND, 10_000 * MILLISECOND + 2 * DURATION);
        let last = simulation.request();
        simulation.advance(1_000 * MILLISECOND);
        prop_assert_eq!(simulation.outcomes.get(&last).map(|(outcome, _)| *outcome), Some(Outcome::Ended(RunEnd::Completed)));
    }

    #[test]
    fn a_single_server_gets_no_more_than_its_slow_start_allows_for_any_arrivals(
        gaps in prop::collection::vec(1..300 * MILLISECOND, 50..400),
        bursts in prop::collection::vec(1..6usize, 50..400),
    ) {
        let mut simulation = recovering_simulation(config());
        for (gap, burst) in gaps.iter().zip(bursts) {
            (0..burst).for_each(|_| _ = simulation.request());
            simulation.advance(*gap);
        }
        simulation.check_slow_starts();
        simulation.advance(5_000 * MILLISECOND);
        prop_assert_eq!(simulation.outcomes.len(), simulation.runs as usize);
    }
}
