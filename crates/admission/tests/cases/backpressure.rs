use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::SimulatedNode;
use crate::{config_without_tenants, rejected_of};

/// The backpressure value last sent.
fn last_value(node: &SimulatedNode) -> Option<f32> {
    node.actions.iter().rev().find_map(|action| match action {
        Action::Backpressure { value } => Some(*value),
        _ => None,
    })
}

#[test]
fn callers_are_given_their_part_of_the_wanted_load_once_much_is_rejected() {
    // Found on quito-central: where callers heed credits and no least rank, nothing was sent to
    // them.
    let config = AdmissionConfig {
        backpressure: Backpressure::Credits,
        ..config_without_tenants()
    };
    let mut node = SimulatedNode::new(config, 1);
    node.advance(2_000 * MILLISECOND);
    assert_eq!(last_value(&node), None, "nothing is short");
    for caller in 1..=30 {
        node.caller = caller;
        rejected_of(&mut node, 3);
    }
    node.advance(60 * MILLISECOND);
    let credits = last_value(&node).unwrap();
    assert!(
        (0.05..0.2).contains(&credits),
        "{credits}: about three of C = 4 to 5 for 30 callers"
    );
    node.advance(20_000 * MILLISECOND);
    assert!(
        last_value(&node).unwrap() > 10.0,
        "it never binds once little is rejected"
    );
}
