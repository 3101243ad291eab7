use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::{SimulatedNode, config};
use crate::{busy_node, send_and_count_rejected, set_busy_cores};

#[test]
fn all_requests_are_admitted_up_to_the_lower_threshold_and_on_idle_cores() {
    let mut node = busy_node(20.0, 1);
    assert_eq!(
        send_and_count_rejected(&mut node, 16),
        0,
        "loads 0 to 15 are at or below T1 = 15"
    );
    let mut idle = SimulatedNode::new(config(), 1);
    set_busy_cores(&mut idle, 0.94);
    assert_eq!(send_and_count_rejected(&mut idle, 30), 0);
}

#[test]
fn requests_between_the_thresholds_are_rejected_with_the_ramp_probability() {
    // At load 17 with C = 20, the probability is (17 - 15) / (20 - 15).
    let mut rejected = 0;
    for seed in 0..2000 {
        let mut node = busy_node(20.0, seed);
        set_busy_cores(&mut node, 0.0);
        assert_eq!(send_and_count_rejected(&mut node, 17), 0);
        set_busy_cores(&mut node, 1.0);
        rejected += send_and_count_rejected(&mut node, 1);
    }
    assert!(
        (700..900).contains(&rejected),
        "{rejected} of 2000 rejected, 800 expected"
    );
}

#[test]
fn only_established_sessions_are_admitted_above_the_upper_threshold_and_none_above_the_limit() {
    let mut node = busy_node(20.0, 3);
    let first = node.arrive(0, 5, 0, None, 1.0);
    node.turn();
    node.end_run(first, RunOutcome::Completed);
    set_busy_cores(&mut node, 0.0);
    send_and_count_rejected(&mut node, 19);
    set_busy_cores(&mut node, 1.0);
    assert_eq!(
        send_and_count_rejected(&mut node, 1),
        1,
        "a new session at load 19, above T2 = 18"
    );
    let at_19 = node.arrive(0, 5, 0, None, 1.0);
    let at_20 = node.arrive(0, 5, 0, None, 1.0);
    let at_21 = node.arrive(0, 5, 0, None, 1.0);
    node.turn();
    assert!(
        node.requests[&at_19].answer_owed && node.requests[&at_20].answer_owed,
        "an established session at loads 19 and 20"
    );
    assert!(
        !node.requests[&at_21].answer_owed,
        "an established session at load 21, above C = 20"
    );
}

#[test]
fn request_unread_for_too_long_is_rejected_at_any_load() {
    // Guards against an overloaded node spending its cores on reading requests whose callers have
    // left.
    let mut node = busy_node(4.0, 1);
    let late = node.arrive(0, 0, 900 * MILLISECOND, None, 1.0);
    node.turn();
    assert!(!node.requests[&late].answer_owed);
}
