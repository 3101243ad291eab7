use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::SimulatedNode;
use crate::{config_without_tenants, send_and_count_rejected};

/// Returns the last backpressure value sent.
fn last_value(node: &SimulatedNode) -> Option<f32> {
    node.actions.iter().rev().find_map(|action| match action {
        Action::Backpressure { value } => Some(*value),
        _ => None,
    })
}

#[test]
fn callers_get_equal_credits_while_many_requests_are_rejected() {
    // Guards against a node that never sends backpressure to callers that use credits and no
    // minimum rank.
    let config = AdmissionConfig {
        backpressure: Backpressure::Credits,
        ..config_without_tenants()
    };
    let mut node = SimulatedNode::new(config, 1);
    node.advance(2_000 * MILLISECOND);
    assert_eq!(last_value(&node), None, "no overload yet");
    for caller in 1..=30 {
        node.caller = caller;
        send_and_count_rejected(&mut node, 3);
    }
    node.advance(60 * MILLISECOND);
    let credits = last_value(&node).unwrap();
    assert!(
        (0.05..0.2).contains(&credits),
        "{credits}: expected the lower threshold of about 3, with C = 4 to 5, over 30 callers"
    );
    node.advance(20_000 * MILLISECOND);
    assert!(
        last_value(&node).unwrap() > 10.0,
        "credits limit no caller once few requests are rejected"
    );
}
