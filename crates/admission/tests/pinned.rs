//! Snapshot test of the decisions: seeded histories over all kinds of settings give the same
//! actions as when `pinned.txt` was written. A change that is not meant to affect decisions leaves
//! every digest unchanged.
//!
//! Actions are serialized in a format defined in this file, so that renames in the code do not
//! affect the digests. To update the digests after an intended change, run `PINNED_WRITE=1 cargo
//! test --package doortrack-admission --test pinned`.

mod common;

use std::fmt::Write;

use common::{SimulatedNode, Stage, config};
use doortrack_admission::*;
use doortrack_time::MILLISECOND;
use fastrand::Rng;

const SEEDS: u64 = 64;
const STEPS: usize = 500;
const PINNED_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned.txt");

/// Draws a configuration: every kind of cancellation and of backpressure, with and without each
/// limit.
fn draw_config(rng: &mut Rng) -> AdmissionConfig {
    let base = config();
    let mut config = AdmissionConfig {
        cores: rng.u32(1..9) as f32,
        memory_kb: rng.choice([3_000.0, 20_000.0, 200_000.0]).unwrap(),
        tenant_quotas: vec![rng.choice([0.5, 8.0, 50.0]).unwrap(), 20.0],
        over_quota_weight: rng.choice([0.0, 0.05, 0.6]).unwrap(),
        weight_per_work: rng.bool(),
        nodes: rng.choice([1.0, 10.0, 300.0]).unwrap(),
        cancellation: rng
            .choice([
                Cancellation::Unsupported,
                Cancellation::Drop,
                Cancellation::Pause,
            ])
            .unwrap(),
        backpressure: rng
            .choice([
                Backpressure::None,
                Backpressure::MinRank,
                Backpressure::Credits,
                Backpressure::Weight,
            ])
            .unwrap(),
        downstream_concurrency: rng
            .choice([None, Some(0.0), Some(0.4), Some(1.5), Some(12.0)])
            .unwrap(),
        cold: rng.bool(),
        overload_multiple: rng.choice([1.5, 2.0, 5.0, 8.0]).unwrap(),
        max_retry_after: rng.choice([0, 1000 * MILLISECOND]).unwrap(),
        ..base
    };
    for group in &mut config.groups {
        group.latency_objective = rng.choice([400 * MILLISECOND, 1500 * MILLISECOND]).unwrap();
        group.objective_per_work = rng.choice([0.0, 2.0]).unwrap();
        group.priority_weight = rng.choice([0.2, 1.0, 4.0]).unwrap();
        group.late_weight = rng.choice([0.0, 0.5]).unwrap();
    }
    // Only idempotent requests may skip their call, because the simulated node treats a later call
    // of a request as a retry of the skipped one.
    config.groups[0].degraded_weight = rng.choice([0.0, 0.4]).unwrap();
    config
}

/// Reads one request with a random choice of the properties that a protocol may transmit.
fn arrive(node: &mut SimulatedNode, rng: &mut Rng) {
    node.caller = rng.u64(1..40);
    let time_left = rng.bool().then(|| rng.u64(0..5_000) * MILLISECOND);
    let age = rng
        .choice([0, 0, 0, 40 * MILLISECOND, 700 * MILLISECOND])
        .unwrap();
    node.arrive(
        rng.u8(0..3),
        rng.u64(0..14),
        age,
        time_left,
        rng.u32(1..70) as f32,
    );
    if let Some(Event::Arrived(request)) = node.events.last_mut() {
        request.work_hint = rng.bool().then(|| rng.u64(1..900) * MILLISECOND);
        request.rank = rng.f32();
        request.retry = rng.u8(0..5) == 0;
        request.budget_retry_after = (rng.u8(0..25) == 0).then(|| rng.u64(1..2_000) * MILLISECOND);
    }
}

fn end_call(node: &mut SimulatedNode, rng: &mut Rng) {
    use CallOutcome::{Completed, ConnectionLost, Failed, Rejected, TimedOut, Unreachable};
    let outcome = rng
        .choice([
            Completed,
            Completed,
            Completed,
            Failed,
            Rejected,
            TimedOut,
            Unreachable,
            ConnectionLost,
        ])
        .unwrap();
    if let Some(id) = node.pick(Stage::Calling, rng.u32(..)) {
        node.end_call(id, outcome);
    }
}

/// Applies one random event, and lets time pass after some events.
fn apply_event(node: &mut SimulatedNode, rng: &mut Rng) {
    match rng.u8(0..24) {
        0..=8 => arrive(node, rng),
        9 => _ = node.arrive_as_mutual_duplicates(1, rng.u64(1..14)),
        10..=14 => {
            let outcome = if rng.u8(0..9) == 0 {
                RunOutcome::Failed
            } else {
                RunOutcome::Completed
            };
            if let Some(id) = node.pick(Stage::Running, rng.u32(..)) {
                node.end_run(id, outcome);
            }
        }
        15..=16 => {
            if let Some(id) = node.pick(Stage::Running, rng.u32(..)) {
                node.require_call(id);
            }
        }
        17..=18 => end_call(node, rng),
        19 => {
            let stages = [Stage::Queued, Stage::Running, Stage::Calling];
            let stage = rng.choice(stages).unwrap();
            if let Some(id) = node.pick(stage, rng.u32(..)) {
                node.caller_gone(id);
            }
        }
        20 => node.busy_cores = rng.choice([0.3, 0.94, 0.95, 1.0]).unwrap(),
        21 => node.connections = rng.u32(0..300) as f32,
        22 if rng.u8(0..60) == 0 => node.drain_in(rng.u64(800..3_800) * MILLISECOND),
        _ => {}
    }
    if rng.u8(0..3) == 0 {
        node.advance(rng.u64(1..120) * MILLISECOND);
    }
}

/// Formats an action independently of the names in the code. Fractions are given by their bits.
fn format_action(action: &Action) -> String {
    match *action {
        Action::Run { id } => format!("run {id}"),
        Action::Reject {
            id,
            no_retry_elsewhere,
            retry_after,
        } => {
            format!("reject {id} {no_retry_elsewhere} {retry_after}")
        }
        Action::Fail { id } => format!("fail {id}"),
        Action::Cancel { id } => format!("stop {id}"),
        Action::Call { id, timeout } => format!("call {id} {timeout}"),
        Action::SkipCall { id } => format!("skip {id}"),
        Action::Record { id, ttl } => format!("record {id} {ttl}"),
        Action::Forget { id } => format!("forget {id}"),
        Action::Attach { id } => format!("attach {id}"),
        Action::Health { cached, healthy } => format!("health {cached} {healthy}"),
        Action::Backpressure { value } => format!("level {:08x}", value.to_bits()),
        Action::IdleTimeout { timeout } => format!("idle {timeout}"),
        Action::SetTimer { at, token } => format!("alarm {at} {token}"),
    }
}

/// Computes a 64-bit FNV-1a hash. It is implemented here so that an update of a dependency cannot
/// change the digests.
fn digest(actions: &[Action]) -> u64 {
    let bytes = actions
        .iter()
        .flat_map(|action| (format_action(action) + "\n").into_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the actions of the history with this seed. The history ends early if the node stops.
fn history(seed: u64) -> Vec<Action> {
    let mut rng = Rng::with_seed(seed);
    let mut node = SimulatedNode::new(draw_config(&mut rng), seed);
    for _ in 0..STEPS {
        if node.stops_within(120 * MILLISECOND) {
            break;
        }
        apply_event(&mut node, &mut rng);
    }
    node.advance(9_000 * MILLISECOND);
    node.actions
}

/// Returns the number of actions of each kind, which shows what the histories cover.
fn format_counts(actions: &[Action]) -> String {
    let kinds = [
        "run", "reject", "fail", "stop", "call", "skip", "record", "forget", "attach", "health",
        "level", "idle",
    ];
    let mut line = String::new();
    for kind in kinds {
        let count = actions
            .iter()
            .filter(|action| format_action(action).starts_with(&format!("{kind} ")))
            .count();
        write!(line, " {kind} {count}").unwrap();
    }
    line
}

#[test]
fn decisions_match_the_pinned_digests() {
    let mut actual = String::new();
    for seed in 0..SEEDS {
        let actions = history(seed);
        writeln!(
            actual,
            "{seed} {:016x}{}",
            digest(&actions),
            format_counts(&actions)
        )
        .unwrap();
    }
    if std::env::var_os("PINNED_WRITE").is_some() {
        std::fs::write(PINNED_PATH, &actual).unwrap();
    }
    let pinned = std::fs::read_to_string(PINNED_PATH).expect("pinned.txt is next to this test");
    let mismatches: Vec<_> = pinned
        .lines()
        .zip(actual.lines())
        .filter(|(expected_line, actual_line)| expected_line != actual_line)
        .collect();
    assert!(
        mismatches.is_empty(),
        "{} of {SEEDS} histories differ, the first: {:?}",
        mismatches.len(),
        mismatches[0]
    );
    assert_eq!(pinned.lines().count(), actual.lines().count());
}
