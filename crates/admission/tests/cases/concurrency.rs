use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::{SimulatedNode, Stage, config, request};
use crate::{busy_node, config_without_tenants, send_and_count_rejected, set_busy_cores};

/// Returns how many requests run on a node with four cores and a full queue while this share of the
/// cores is busy.
fn running_with_busy_cores(busy_cores: f32) -> usize {
    let mut node = SimulatedNode::new(config_without_tenants(), 1);
    set_busy_cores(&mut node, 0.0);
    send_and_count_rejected(&mut node, 20);
    set_busy_cores(&mut node, busy_cores);
    for _ in 0..6 {
        let id = node.pick(Stage::Running, 0).unwrap();
        node.end_run(id, RunOutcome::Completed);
    }
    node.turn();
    node.requests
        .values()
        .filter(|request| request.stage == Stage::Running)
        .count()
}

#[test]
fn one_request_runs_per_core_if_all_are_busy_and_more_if_some_are_idle() {
    // Guards against idle cores while requests wait for a disk that has no gauge, and against runs
    // that slow each other down on busy cores.
    assert_eq!(
        (running_with_busy_cores(1.0), running_with_busy_cores(0.9)),
        (4, 6)
    );
}

#[test]
fn small_node_admits_only_what_can_start_within_the_maximum_wait() {
    // Guards against a limit that grows with each run that meets its objective, so that most
    // admitted requests are rejected without having started.
    let mut node = busy_node(2.0, 1);
    node.busy_cores = 0.0;
    for _ in 0..20 {
        send_and_count_rejected(&mut node, 12);
        node.advance(400 * MILLISECOND);
        while let Some(id) = node.pick(Stage::Running, 0) {
            node.end_run(id, RunOutcome::Completed);
        }
    }
    node.busy_cores = 1.0;
    node.advance(2000 * MILLISECOND);
    assert!(
        send_and_count_rejected(&mut node, 20) >= 15,
        "3 requests run for 400 ms each, and the maximum wait is a third of 1500 ms"
    );
}

#[test]
fn stall_is_detected_while_the_gauge_reads_idle() {
    let mut node = SimulatedNode::new(config(), 1);
    node.busy_cores = 0.0;
    for key in 0..8 {
        node.arrive(0, key, 0, None, 1.0);
    }
    node.turn();
    node.advance(1600 * MILLISECOND);
    let next = node.arrive(0, 50, 0, None, 1.0);
    node.turn();
    assert!(
        !node.requests[&next].answer_owed,
        "rejected at once while the node is stalled"
    );
    assert!(node.actions.contains(&Action::Health {
        cached: true,
        healthy: false
    }));
}

#[test]
fn extreme_settings_and_invalid_numbers_are_tolerated() {
    let mut config = AdmissionConfig {
        cores: 0.0,
        warm_up_time: 0,
        cold: true,
        downstream_concurrency: Some(0.0),
        ..config_without_tenants()
    };
    config.groups.truncate(1);
    let mut node = SimulatedNode::new(config, 1);
    let mut actions = Vec::new();
    let gauges = Gauges {
        busy_cores: Some(f32::NAN),
        memory: Some(f32::NAN),
        ..Gauges::default()
    };
    let invalid = Request {
        tenant: 900,
        memory_kb: f32::NAN,
        rank: f32::NAN,
        ..request(70, 0)
    };
    let batch = [
        Event::Timer { token: 5, gauges },
        Event::Arrived(request(71, 200)),
        Event::Arrived(invalid),
    ];
    node.controller.handle(node.now, &batch, &mut actions);
    assert!(
        actions.contains(&Action::Fail { id: 71 }),
        "a request of an unknown endpoint group fails at once"
    );
    let later = node.now + 9000 * MILLISECOND;
    node.controller.handle(later, &[], &mut actions);
    let answers = actions.iter().filter(|action| {
        matches!(
            action,
            Action::Reject { id: 70, .. } | Action::Fail { id: 70 }
        )
    });
    assert_eq!(answers.count(), 1);
}
