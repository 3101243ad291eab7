//! Property tests: the invariants hold after every turn of seeded random histories.

mod common;

use common::{SimulatedNode, Stage, config};
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};

/// The parameters of a history.
#[derive(Clone, Copy, Debug)]
struct HistoryConfig {
    cancellation: Cancellation,
    cold: bool,
    downstream_concurrency: Option<f32>,
    degraded_weight: f32,
    late_weight: f32,
    memory_kb: f32,
    passes_deadlines: bool,
    callers_leave: bool,
    seed: u64,
}

fn history_configs() -> impl Strategy<Value = HistoryConfig> {
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
    drawn.prop_map(|drawn| HistoryConfig {
        cancellation: drawn.0,
        cold: drawn.1,
        downstream_concurrency: drawn.2,
        degraded_weight: drawn.3,
        late_weight: drawn.4,
        memory_kb: drawn.5,
        passes_deadlines: drawn.6,
        callers_leave: drawn.7,
        seed: drawn.8,
    })
}

fn new_node(history_config: &HistoryConfig) -> SimulatedNode {
    let mut config = AdmissionConfig {
        cancellation: history_config.cancellation,
        cold: history_config.cold,
        downstream_concurrency: history_config.downstream_concurrency,
        memory_kb: history_config.memory_kb,
        ..config()
    };
    config.groups[0].degraded_weight = history_config.degraded_weight;
    for group in &mut config.groups {
        group.late_weight = history_config.late_weight;
    }
    SimulatedNode::new(config, history_config.seed)
}

/// Applies one random event, chosen by `operation` and `selector`, and lets time pass after some
/// events.
fn apply_event(
    node: &mut SimulatedNode,
    history_config: &HistoryConfig,
    operation: u8,
    selector: u32,
    span_ms: u64,
) {
    match operation {
        0..=7 => arrive(node, history_config, selector),
        8 => _ = node.arrive_as_mutual_duplicates(1, u64::from(selector % 13) + 1),
        9..=11 => end_run(node, selector),
        12..=13 => {
            if let Some(id) = node.pick(Stage::Running, selector) {
                node.require_call(id);
            }
        }
        14..=15 => end_call(node, selector),
        16 if history_config.callers_leave => {
            let stages = [Stage::Queued, Stage::Running, Stage::Calling];
            if let Some(id) = node.pick(stages[selector as usize % 3], selector / 3) {
                node.caller_gone(id);
            }
        }
        17 => node.busy_cores = (selector % 2) as f32,
        18 if selector.is_multiple_of(40) => {
            node.drain_in(TenthMillis::from(800 + selector % 3000) * MILLISECOND);
        }
        19 => report_on_ended_request(node, selector % 50 + 1),
        _ => {}
    }
    if selector.is_multiple_of(4) {
        node.advance(span_ms * MILLISECOND);
    }
}

fn arrive(node: &mut SimulatedNode, history_config: &HistoryConfig, selector: u32) {
    let time_left = TenthMillis::from(selector % 5000) * MILLISECOND;
    let age = TenthMillis::from(selector / 7 % 900) * MILLISECOND;
    node.arrive(
        (selector % 3) as u8,
        u64::from(selector % 13) + 1,
        age,
        history_config.passes_deadlines.then_some(time_left),
        (10 + selector % 60) as f32,
    );
}

fn end_run(node: &mut SimulatedNode, selector: u32) {
    let outcome = if selector.is_multiple_of(9) {
        RunOutcome::Failed
    } else {
        RunOutcome::Completed
    };
    if let Some(id) = node.pick(Stage::Running, selector) {
        node.end_run(id, outcome);
    }
}

fn end_call(node: &mut SimulatedNode, selector: u32) {
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
    if let Some(id) = node.pick(Stage::Calling, selector) {
        node.end_call(id, outcomes[selector as usize / 16 % 8]);
    }
}

/// Reports events for a request that has ended or does not exist, which must have no effect.
fn report_on_ended_request(node: &mut SimulatedNode, id: RequestId) {
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

/// The invariants hold for events in any order, and every request is answered.
#[test]
fn invariants_hold_after_every_turn() {
    let config = Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(0x0d00_77ac),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let operations = proptest::collection::vec((0u8..20, any::<u32>(), 1u64..400), 1..160);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(
            &(history_configs(), operations),
            |(history_config, operations)| {
                let mut node = new_node(&history_config);
                for (operation, selector, span_ms) in operations {
                    if node.stops_within(span_ms * MILLISECOND) {
                        break;
                    }
                    apply_event(&mut node, &history_config, operation, selector, span_ms);
                }
                node.advance(9000 * MILLISECOND);
                prop_assert!(node.requests.values().all(|request| !request.answer_owed));
                Ok(())
            },
        )
        .unwrap();
}

/// The same history gives the same actions.
#[test]
fn same_history_gives_same_actions() {
    let run = || {
        let history_config = HistoryConfig {
            cancellation: Cancellation::Drop,
            cold: true,
            downstream_concurrency: Some(1.5),
            degraded_weight: 0.5,
            late_weight: 0.5,
            memory_kb: 20_000.0,
            passes_deadlines: false,
            callers_leave: true,
            seed: 9,
        };
        let mut node = new_node(&history_config);
        let mut rng = fastrand::Rng::with_seed(4);
        for _ in 0..600 {
            let (operation, selector) = (rng.u8(0..20), rng.u32(..));
            apply_event(
                &mut node,
                &history_config,
                operation,
                selector,
                rng.u64(1..300),
            );
        }
        format!("{:?}", node.actions)
    };
    assert_eq!(run(), run());
}
