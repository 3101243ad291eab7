//! Seeded random histories: the four rules hold after every step.

mod common;

use common::{At, World, contract};
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

/// What differs between starts: how work stops, warmth, share of calls, benefit without a call and late,
/// memory, whether due times are passed, whether leaving callers are told, and the seed.
type Start = (
    Cancellation,
    bool,
    Option<f32>,
    f32,
    f32,
    f32,
    bool,
    bool,
    u64,
);

fn starts() -> impl Strategy<Value = Start> {
    let stop = prop_oneof![
        Just(Cancellation::Unsupported),
        Just(Cancellation::Drop),
        Just(Cancellation::Pause)
    ];
    let share = prop_oneof![
        Just(None),
        Just(Some(0.0)),
        Just(Some(0.4)),
        Just(Some(1.5))
    ];
    let halves = prop_oneof![Just(0.0f32), Just(0.5)];
    let memory = prop_oneof![Just(3_000.0f32), Just(20_000.0)];
    (
        stop,
        any::<bool>(),
        share,
        halves.clone(),
        halves,
        memory,
        any::<bool>(),
        any::<bool>(),
        any::<u64>(),
    )
}

fn world(start: &Start) -> World {
    let (stop, cold, calls_share, skip_share, late_share, memory_kb, ..) = *start;
    let mut terms = AdmissionConfig {
        cancellation: stop,
        cold,
        downstream_concurrency: calls_share,
        memory_kb,
        ..contract()
    };
    terms.groups[0].degraded_weight = skip_share;
    terms
        .groups
        .iter_mut()
        .for_each(|g| g.late_weight = late_share);
    World::new(terms, start.8)
}

fn play(world: &mut World, start: &Start, op: u8, n: u32, span: TenthMillis) {
    let left = start.6.then_some(TenthMillis::from(n % 5000) * MILLISECOND);
    let (key, age, kb) = (
        u64::from(n % 13) + 1,
        TenthMillis::from(n / 7 % 900) * MILLISECOND,
        (10 + n % 60) as f32,
    );
    match op {
        0..=7 => {
            world.arrive((n % 3) as u8, key, age, left, kb);
        }
        8 => {
            world.arrive_together(1, key);
        }
        9..=11 => {
            let outcome = if n.is_multiple_of(9) {
                RunOutcome::Failed
            } else {
                RunOutcome::Completed
            };
            world
                .pick(At::Running, n)
                .into_iter()
                .for_each(|id| world.finish(id, outcome));
        }
        12..=13 => {
            world
                .pick(At::Running, n)
                .into_iter()
                .for_each(|id| world.need_call(id));
        }
        14..=15 => {
            use CallOutcome::*;
            let outcomes = [
                Completed,
                Completed,
                Completed,
                Failed,
                Rejected,
                TimedOut,
                Unreachable,
                ConnectionLost,
            ];
            let outcome = outcomes[n as usize / 16 % 8];
            world
                .pick(At::Calling, n)
                .into_iter()
                .for_each(|id| world.end_call(id, outcome));
        }
        16 if start.7 => {
            let at = [At::Queued, At::Running, At::Calling][n as usize % 3];
            world
                .pick(at, n / 3)
                .into_iter()
                .for_each(|id| world.caller_gone(id));
        }
        17 => world.busy = (n % 2) as f32,
        18 if n.is_multiple_of(40) => {
            world.leave_in(TenthMillis::from(800 + n % 3000) * MILLISECOND)
        }
        19 => {
            // What comes late, twice or for nobody changes nothing.
            let id = n % 50 + 1;
            if world.items.get(&id).is_none_or(|x| x.at == At::Over) {
                world.events.push(Event::RunEnded {
                    id,
                    outcome: RunOutcome::NotStarted,
                });
                world.events.push(Event::CallEnded {
                    id,
                    outcome: CallOutcome::NotStarted,
                    duration: 1,
                });
                world.events.push(Event::CallerGone { id });
                world.events.push(Event::CallRequired { id });
            }
        }
        _ => {}
    }
    if n.is_multiple_of(4) {
        world.pass(span * MILLISECOND);
    }
}

/// Whatever happens, and in whatever order, the rules hold and everything owed is answered.
#[test]
fn the_rules_hold_after_every_step() {
    let seed = RngSeed::Fixed(0x0d00_77ac);
    let config = Config {
        cases: 600,
        rng_seed: seed,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = proptest::test_runner::TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let ops = proptest::collection::vec((0u8..20, any::<u32>(), 1u64..400), 1..160);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&(starts(), ops), |(start, ops)| {
            let mut world = world(&start);
            for (op, n, span) in ops {
                if world
                    .leave
                    .is_some_and(|(_, stop)| world.now + span * MILLISECOND >= stop)
                {
                    break;
                }
                play(&mut world, &start, op, n, span);
            }
            world.pass(9000 * MILLISECOND);
            prop_assert!(world.items.values().all(|x| !x.owed));
            Ok(())
        })
        .unwrap();
}

/// The same history gives the same actions.
#[test]
fn same_input_same_output() {
    let run = || {
        let start = (
            Cancellation::Drop,
            true,
            Some(1.5),
            0.5,
            0.5,
            20_000.0,
            false,
            true,
            9,
        );
        let mut world = world(&start);
        let mut rng = fastrand::Rng::with_seed(4);
        (0..600).for_each(|_| {
            play(
                &mut world,
                &start,
                rng.u8(0..20),
                rng.u32(..),
                rng.u64(1..300),
            )
        });
        format!("{:?}", world.done)
    };
    assert_eq!(run(), run());
}
