use doortrack_admission::RunOutcome;

use crate::common::SimulatedNode;
use crate::{busy_node, send_and_check_rejected, send_and_count_rejected, set_busy_cores};

/// Number of sessions that fill one of the two generations of the session table.
const GENERATION_LEN: u64 = 4096;
const NO_SESSION: u64 = 0;

/// Completes a request of this session.
fn complete(node: &mut SimulatedNode, session: u64) {
    let id = node.arrive(0, session, 0, None, 1.0);
    node.turn();
    node.end_run(id, RunOutcome::Completed);
    node.turn();
    node.requests.clear();
    node.actions.clear();
}

/// Guards against requests without a session taking the place of an established session.
#[test]
fn requests_without_a_session_do_not_evict_established_sessions() {
    let mut node = busy_node(20.0, 3);
    complete(&mut node, 5);
    let others = 100..100 + GENERATION_LEN - 2;
    others.for_each(|session| complete(&mut node, session));
    complete(&mut node, NO_SESSION);
    let further = 100_000..100_000 + GENERATION_LEN - 1;
    further.for_each(|session| complete(&mut node, session));
    complete(&mut node, NO_SESSION);
    set_busy_cores(&mut node, 0.0);
    send_and_count_rejected(&mut node, 19);
    set_busy_cores(&mut node, 1.0);
    assert_eq!(
        send_and_count_rejected(&mut node, 1),
        1,
        "a new session above the upper threshold"
    );
    assert!(
        !send_and_check_rejected(&mut node, 5),
        "the first session is still established, two sessions short of filling two generations"
    );
}
