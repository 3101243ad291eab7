use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::{SimulatedNode, Stage, config};

#[test]
fn long_calls_are_skipped_and_capacity_is_reserved_for_required_calls() {
    // Guards against runs that all wait for a slow downstream service, and against skippable calls
    // that use up a small share.
    let mut config = AdmissionConfig {
        downstream_concurrency: Some(1.0),
        ..config()
    };
    config.groups[0].degraded_weight = 0.6;
    let mut node = SimulatedNode::new(config, 1);
    let skippable: Vec<RequestId> = (0..3)
        .map(|key| node.arrive(0, key, 0, None, 1.0))
        .collect();
    let required = node.arrive(2, 3, 0, None, 1.0);
    node.turn();
    for id in skippable {
        node.require_call(id);
    }
    node.turn();
    node.require_call(required);
    node.turn();
    assert_eq!(
        node.requests[&required].stage,
        Stage::Calling,
        "a call that cannot be skipped gets reserved capacity"
    );
    node.advance(600 * MILLISECOND);
    let running = node
        .requests
        .values()
        .filter(|request| request.stage == Stage::Running);
    assert!(
        running.count() >= 2,
        "other runs continued without their calls"
    );
}

#[test]
fn calls_are_made_with_a_share_of_less_than_one_call() {
    // Guards against a share so small that a node makes only one call in five seconds, or waits for
    // more call time than its budget can ever hold.
    let config = AdmissionConfig {
        downstream_concurrency: Some(0.4),
        ..config()
    };
    let mut node = SimulatedNode::new(config, 1);
    for key in 0..3 {
        let id = node.arrive(2, key, 0, None, 1.0);
        node.turn();
        node.require_call(id);
        node.turn();
        assert_eq!(node.requests[&id].stage, Stage::Calling, "call {key}");
        node.advance(500 * MILLISECOND);
        node.end_call(id, CallOutcome::Completed);
        node.end_run(id, RunOutcome::Completed);
        node.advance(2500 * MILLISECOND);
    }
}

#[test]
fn calls_that_end_together_do_not_overload_a_cold_node() {
    let config = AdmissionConfig {
        cold: true,
        ..config()
    };
    let mut node = SimulatedNode::new(config, 1);
    for key in 0..40 {
        node.arrive(2, key, 0, None, 1.0);
    }
    for _ in 0..8 {
        node.turn();
        while let Some(id) = node.pick(Stage::Running, 0) {
            node.require_call(id);
        }
    }
    while let Some(id) = node.pick(Stage::Calling, 0) {
        node.end_call(id, CallOutcome::Completed);
    }
    node.turn();
}
