//! Seeded random histories: the four rules hold after every turn.

mod common;

use common::{SimulatedNode, Stage, config};
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};

/// What differs between histories.
#[derive(Clone, Copy, Debug)]
struct Setting {
    cancellation: Cancellation,
    cold: bool,
    downstream_concurrency: Option<f32>,
    degraded_weight: f32,
    late_weight: f32,
    memory_kb: f32,
    deadlines_are_passed: bool,
    callers_leave: bool,
    seed: u64,
}

fn settings() -> impl Strategy<Value = Setting> {
    let cancellation = prop_oneof![
        Just(Cancellation::Unsupported),
        Just(Cancellation::Drop),
        Just(Cancellation::Pause)
    ];
    let downstream_concurrency = prop_oneof![
        Just(None),
        Just(Some(0.0)),
        Just(Some(0.4)),
        Just(Some(1.5))
    ];
    let weight = prop_oneof![Just(0.0f32), Just(0.5)];
    let memory_kb = prop_oneof![Just(3_000.0f32), Just(20_000.0)];
    let drawn = (
        cancellation,
        any::<bool>(),
        downstream_concurrency,
        weight.clone(),
        weight,
        memory_kb,
        any::<bool>(),
        any::<bool>(),
        any::<u64>(),
    );
    drawn.prop_map(|drawn| Setting {
        cancellation: drawn.0,
        cold: drawn.1,
        downstream_concurrency: drawn.2,
        degraded_weight: drawn.3,
        late_weight: drawn.4,
        memory_kb: drawn.5,
        deadlines_are_passed: drawn.6,
        callers_leave: drawn.7,
        seed: drawn.8,
    })
}

fn new_node(setting: &Setting) -> SimulatedNode {
    let mut config = AdmissionConfig {
        cancellation: setting.cancellation,
        cold: setting.cold,
        downstream_concurrency: setting.downstream_concurrency,
        memory_kb: setting.memory_kb,
        ..config()
    };
    config.groups[0].degraded_weight = setting.degraded_weight;
    for group in &mut config.groups {
        group.late_weight = setting.late_weight;
    }
    SimulatedNode::new(config, setting.seed)
}

/// One thing that may happen at a node, chosen by `op` and `n`, and time that passes now and then.
fn play(node: &mut SimulatedNode, setting: &Setting, op: u8, n: u32, span_ms: u64) {
    match op {
        0..=7 => arrive(node, setting, n),
        8 => _ = node.arrive_together(1, u64::from(n % 13) + 1),
        9..=11 => end_run(node, n),
        12..=13 => {
            if let Some(id) = node.pick(Stage::Running, n) {
                node.require_call(id);
            }
        }
        14..=15 => end_call(node, n),
        16 if setting.callers_leave => {
            let stages = [Stage::Queued, Stage::Running, Stage::Calling];
            if let Some(id) = node.pick(stages[n as usize % 3], n / 3) {
                node.caller_gone(id);
            }
        }
        17 => node.busy_cores = (n % 2) as f32,
        18 if n.is_multiple_of(40) => {
            node.drain_in(TenthMillis::from(800 + n % 3000) * MILLISECOND);
        }
        19 => report_of_no_request(node, n % 50 + 1),
        _ => {}
    }
    if n.is_multiple_of(4) {
        node.advance(span_ms * MILLISECOND);
    }
}

fn arrive(node: &mut SimulatedNode, setting: &Setting, n: u32) {
    let time_left = TenthMillis::from(n % 5000) * MILLISECOND;
    let age = TenthMillis::from(n / 7 % 900) * MILLISECOND;
    node.arrive(
        (n % 3) as u8,
        u64::from(n % 13) + 1,
        age,
        setting.deadlines_are_passed.then_some(time_left),
        (10 + n % 60) as f32,
    );
}

fn end_run(node: &mut SimulatedNode, n: u32) {
    let outcome = if n.is_multiple_of(9) {
        RunOutcome::Failed
    } else {
        RunOutcome::Completed
    };
    if let Some(id) = node.pick(Stage::Running, n) {
        node.end_run(id, outcome);
    }
}

fn end_call(node: &mut SimulatedNode, n: u32) {
    use CallOutcome::{Completed, ConnectionLost, Failed, Rejected, TimedOut, Unreachable};
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
    if let Some(id) = node.pick(Stage::Calling, n) {
        node.end_call(id, outcomes[n as usize / 16 % 8]);
    }
}

/// What comes late, twice or for no request changes nothing.
fn report_of_no_request(node: &mut SimulatedNode, id: RequestId) {
    let request = node.requests.get(&id);
    if request.is_some_and(|request| request.stage != Stage::Ended) {
        return;
    }
    node.events.push(Event::RunEnded {
        id,
        outcome: RunOutcome::NotStarted,
    });
    node.events.push(Event::CallEnded {
        id,
        outcome: CallOutcome::NotStarted,
        duration: 1,
    });
    node.events.push(Event::CallerGone { id });
    node.events.push(Event::CallRequired { id });
}

/// Whatever happens, and in whatever order, the rules hold and everything owed is answered.
#[test]
fn the_rules_hold_after_every_turn() {
    let config = Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(0x0d00_77ac),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let ops = proptest::collection::vec((0u8..20, any::<u32>(), 1u64..400), 1..160);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&(settings(), ops), |(setting, ops)| {
            let mut node = new_node(&setting);
            for (op, n, span_ms) in ops {
                if node.stops_within(span_ms * MILLISECOND) {
                    break;
                }
                play(&mut node, &setting, op, n, span_ms);
            }
            node.advance(9000 * MILLISECOND);
            prop_assert!(node.requests.values().all(|request| !request.answer_owed));
            Ok(())
        })
        .unwrap();
}

/// The same history gives the same actions.
#[test]
fn same_input_same_output() {
    let run = || {
        let setting = Setting {
            cancellation: Cancellation::Drop,
            cold: true,
            downstream_concurrency: Some(1.5),
            degraded_weight: 0.5,
            late_weight: 0.5,
            memory_kb: 20_000.0,
            deadlines_are_passed: false,
            callers_leave: true,
            seed: 9,
        };
        let mut node = new_node(&setting);
        let mut rng = fastrand::Rng::with_seed(4);
        for _ in 0..600 {
            let (op, n) = (rng.u8(0..20), rng.u32(..));
            play(&mut node, &setting, op, n, rng.u64(1..300));
        }
        format!("{:?}", node.actions)
    };
    assert_eq!(run(), run());
}
