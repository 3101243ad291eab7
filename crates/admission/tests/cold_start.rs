//! Tests of a cold node that receives requests from all its callers at once. The node runs no more
//! than it can sustain while cold and rejects the rest. The invariants are checked after every
//! turn.

mod common;

use common::{SimulatedNode, Stage, config};
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

const CALLERS: u64 = 30;
const REQUESTS_PER_CALLER: usize = 10;
const TOTAL_REQUESTS: usize = CALLERS as usize * REQUESTS_PER_CALLER;
const LATENCY_OBJECTIVE: TenthMillis = 1500 * MILLISECOND;
/// Time after the start by which the node has read its gauges once.
const FIRST_GAUGES_AFTER: TenthMillis = 60 * MILLISECOND;

/// Returns the configuration of a node with four cores that sustains few runs while it is cold: 3
/// at first, because of the margin of a tenth.
fn cold_config() -> AdmissionConfig {
    AdmissionConfig {
        cold: true,
        initial_speed: 0.05,
        overload_multiple: 2.0,
        tenant_quotas: Vec::new(),
        ..config()
    }
}

/// Returns how many requests a cold node may run at once at this age.
fn max_running(config: &AdmissionConfig, age: TenthMillis) -> usize {
    let warm_up_progress = (age as f32 / config.warm_up_time as f32).min(1.0);
    let speed = config.initial_speed + (1.0 - config.initial_speed) * warm_up_progress;
    ((1.0 + (config.overload_multiple - 1.0) * speed) * config.cores) as usize
}

fn count(node: &SimulatedNode, stage: Stage) -> usize {
    node.requests
        .values()
        .filter(|request| request.stage == stage)
        .count()
}

/// Sends all requests of all callers. They are read in one turn, or in one turn per caller.
fn send_burst(node: &mut SimulatedNode, in_one_turn: bool) {
    for caller in 1..=CALLERS {
        node.caller = caller;
        for _ in 0..REQUESTS_PER_CALLER {
            node.arrive(0, 0, 0, None, 1.0);
        }
        if !in_one_turn {
            node.turn();
        }
    }
    node.turn();
}

/// Returns the number of requests that were admitted and not answered yet, running or queued.
fn admitted(node: &SimulatedNode) -> usize {
    node.requests
        .values()
        .filter(|request| request.answer_owed)
        .count()
}

fn rejected(node: &SimulatedNode) -> usize {
    node.actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. }))
        .count()
}

fn assert_no_rejected_request_ran(node: &SimulatedNode) {
    let ran = node.actions.iter().any(|action| match action {
        Action::Reject { id, .. } => node.requests[id].ran,
        _ => false,
    });
    assert!(!ran, "a rejected request ran");
}

#[test]
fn burst_on_a_cold_node_is_rejected_at_once_beyond_the_limit() {
    for in_one_turn in [true, false] {
        let config = cold_config();
        let mut node = SimulatedNode::new(config.clone(), 1);
        // The first gauge readings show that all cores are busy.
        node.advance(FIRST_GAUGES_AFTER);
        send_burst(&mut node, in_one_turn);
        let running = count(&node, Stage::Running);
        assert!(
            running <= max_running(&config, FIRST_GAUGES_AFTER),
            "{running} requests run"
        );
        // The limit is the number of cores, and one more request is admitted because a load equal
        // to the limit is not above it.
        let admitted = admitted(&node);
        assert!(
            (1..=5).contains(&admitted),
            "{admitted} of 300 requests are admitted"
        );
        assert_eq!(rejected(&node) + admitted, TOTAL_REQUESTS);
        assert_no_rejected_request_ran(&node);
    }
}

/// Before the first gauge readings, and without gauges, the running and queued requests show that
/// the cores are busy, so that a burst is rejected in the turn in which it is read.
#[test]
fn burst_before_the_first_gauges_is_rejected_at_once_beyond_the_limit() {
    for in_one_turn in [true, false] {
        let config = cold_config();
        let mut node = SimulatedNode::new(config.clone(), 2);
        send_burst(&mut node, in_one_turn);
        let running = count(&node, Stage::Running);
        assert!(running <= max_running(&config, 0), "{running} requests run");
        let initially_admitted = admitted(&node);
        assert!(
            (1..=5).contains(&initially_admitted),
            "{initially_admitted} of 300 requests are admitted"
        );
        node.advance(LATENCY_OBJECTIVE / 3 + 20 * MILLISECOND);
        assert_eq!(
            count(&node, Stage::Queued),
            0,
            "no request stays queued until its deadline"
        );
        let admitted_later = admitted(&node);
        assert!(
            admitted_later <= max_running(&config, 0),
            "{admitted_later} requests are admitted"
        );
        assert_no_rejected_request_ran(&node);
    }
}

#[test]
fn more_requests_run_as_the_node_warms_up() {
    let config = cold_config();
    let mut node = SimulatedNode::new(config.clone(), 3);
    node.advance(FIRST_GAUGES_AFTER);
    let (mut age, mut running_per_second) = (FIRST_GAUGES_AFTER, Vec::new());
    // One burst per second, for twice the warm-up time.
    while age < 2 * config.warm_up_time {
        send_burst(&mut node, true);
        let running = count(&node, Stage::Running);
        assert!(
            running <= max_running(&config, age),
            "{running} requests run at an age of {} ms",
            age / MILLISECOND
        );
        running_per_second.push(running);
        node.advance(1_000 * MILLISECOND);
        age += 1_000 * MILLISECOND;
        while let Some(id) = node.pick(Stage::Running, 0) {
            node.end_run(id, RunOutcome::Completed);
        }
        node.turn();
    }
    assert_eq!(
        running_per_second.first(),
        Some(&3),
        "a cold node runs three requests"
    );
    assert_eq!(
        running_per_second.last(),
        Some(&4),
        "a warm and busy node runs one request per core"
    );
    node.advance(4_000 * MILLISECOND);
    assert!(
        node.requests
            .values()
            .all(|request| !request.answer_owed || request.stage == Stage::Running),
        "some requests were neither answered nor started"
    );
    assert_no_rejected_request_ran(&node);
}
