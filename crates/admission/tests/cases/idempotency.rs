use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::{SimulatedNode, Stage, config, request};

#[test]
fn mutual_duplicates_in_one_batch_run_once_and_are_both_answered() {
    let mut node = SimulatedNode::new(config(), 1);
    let (first, second) = node.arrive_as_mutual_duplicates(1, 7);
    node.turn();
    assert_eq!(
        (node.requests[&first].stage, node.requests[&second].stage),
        (Stage::Attached(second), Stage::Running)
    );
    node.end_run(second, RunOutcome::Completed);
    node.advance(10 * MILLISECOND);
    assert_eq!(node.requests[&first].stage, Stage::Ended);
}

#[test]
fn retry_read_after_its_record_expired_is_not_run() {
    let mut node = SimulatedNode::new(config(), 1);
    let first = node.arrive(1, 7, 0, None, 10.0);
    node.turn();
    node.end_run(first, RunOutcome::Completed);
    node.advance(6500 * MILLISECOND);
    let retry = node.arrive(1, 7, 900 * MILLISECOND, None, 10.0);
    node.turn();
    assert!(!node.requests[&retry].ran);
}

#[test]
fn over_budget_request_is_rejected_with_retry_after_but_not_if_duplicate() {
    let mut node = SimulatedNode::new(config(), 1);
    let mut actions = Vec::new();
    let over_budget = |id, group| Request {
        budget_retry_after: Some(70 * MILLISECOND),
        ..request(id, group)
    };
    let deduplicated = config()
        .groups
        .iter()
        .position(|group| group.effect == Effect::Deduplicated)
        .unwrap() as u8;
    let batch = [Event::Arrived(over_budget(70, 0))];
    node.controller.handle(node.now, &batch, &mut actions);
    assert!(
        actions.contains(&Action::Reject {
            id: 70,
            no_retry_elsewhere: false,
            retry_after: 70 * MILLISECOND
        }),
        "{actions:?}"
    );
    actions.clear();
    let original = request(71, deduplicated);
    let duplicate = Request {
        duplicate_of: Some(71),
        ..over_budget(72, deduplicated)
    };
    let batch = [Event::Arrived(original), Event::Arrived(duplicate)];
    node.controller.handle(node.now, &batch, &mut actions);
    assert!(actions.contains(&Action::Attach { id: 72 }), "{actions:?}");
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Reject { .. })),
        "{actions:?}"
    );
}
