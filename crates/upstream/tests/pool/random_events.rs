//! Property tests: for random events each run ends exactly once, and the same input gives the same
//! output.

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::RunId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::simulation::*;

/// One step of a random scenario.
#[derive(Clone, Debug)]
enum Step {
    Begin { idempotent: bool },
    Cancel(u8),
    Behave(u8, Behavior),
    Advance(TenthMillis),
    Break(u8),
    Add,
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let behaviors = [
        Behavior::Healthy,
        Behavior::Hangs,
        Behavior::Refuses,
        Behavior::Breaks,
        Behavior::Fails,
        Behavior::Slow(1500 * MILLISECOND),
    ];
    let behavior = prop::sample::select(behaviors.to_vec());
    prop_oneof![
        8 => any::<bool>().prop_map(|idempotent| Step::Begin { idempotent }),
        1 => any::<u8>().prop_map(Step::Cancel),
        2 => (any::<u8>(), behavior).prop_map(|(server, behavior)| Step::Behave(server, behavior)),
        4 => (0..900 * MILLISECOND).prop_map(Step::Advance),
        1 => any::<u8>().prop_map(Step::Break),
        1 => Just(Step::Add),
        1 => any::<u8>().prop_map(Step::Remove),
    ]
}

fn run_steps(steps: &[Step], seed: u64) -> Simulation {
    let mut simulation = Simulation::new(config(), 3, seed);
    let (mut members, mut runs) = (vec![0, 1, 2], 0);
    for step in steps {
        let mut actions = Vec::new();
        match step {
            Step::Begin { idempotent } => {
                runs += 1;
                simulation.begin(runs, *idempotent);
            }
            Step::Cancel(run) => simulation.cancel(RunId::from(*run) % (runs + 1)),
            Step::Behave(server, behavior) => {
                let server = usize::from(*server) % simulation.behaviors.len();
                *simulation.behaviors.values_mut().nth(server).unwrap() = *behavior;
            }
            Step::Advance(time) => simulation.advance(simulation.now + time),
            // Loses an arbitrary connection.
            Step::Break(index) => {
                let conn = simulation
                    .conns
                    .keys()
                    .nth(usize::from(*index) % simulation.conns.len().max(1))
                    .copied();
                if let Some(conn) = conn {
                    simulation.conns.remove(&conn);
                    simulation.next.retain(|(.., scheduled)| *scheduled != conn);
                    simulation
                        .pool
                        .connection_lost(conn, simulation.now, &mut actions);
                }
            }
            Step::Add if members.len() < 6 => {
                let server = simulation.pool.add_server(simulation.now, &mut actions);
                simulation.behaviors.insert(server, Behavior::Healthy);
                members.push(server);
            }
            Step::Remove(index) if members.len() > 1 => {
                let server = members.swap_remove(usize::from(*index) % members.len());
                simulation
                    .pool
                    .remove_server(server, simulation.now, &mut actions);
            }
            _ => {}
        }
        simulation.execute(actions);
    }
    simulation.advance(simulation.now + 60_000 * MILLISECOND);
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_5e41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_run_ends_once_for_any_events(
        steps in prop::collection::vec(step(), 1..120),
        seed in any::<u64>(),
    ) {
        let simulation = run_steps(&steps, seed);
        prop_assert_eq!(simulation.ended.len(), simulation.idempotent.len(), "some runs have not ended");
        prop_assert_eq!(simulation.pool.in_flight(), 0);
        let again = run_steps(&steps, seed);
        prop_assert_eq!(again.ended, simulation.ended, "the same input gave different output");
    }
}
