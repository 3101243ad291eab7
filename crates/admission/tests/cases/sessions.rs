use doortrack_admission::RunOutcome;

use crate::common::SimulatedNode;
use crate::{busy_node, is_rejected, rejected_of, set_busy_cores};

/// Sessions that fill one of the two generations in which they are kept.
const GENERATION: u64 = 4096;
const NO_SESSION: u64 = 0;

/// Has a request of this session completed.
fn complete(node: &mut SimulatedNode, session: u64) {
    let id = node.arrive(0, session, 0, None, 1.0);
    node.turn();
    node.end_run(id, RunOutcome::Completed);
    node.turn();
    node.requests.clear();
    node.actions.clear();
}

/// Guards against requests without a session that take the place of one.
#[test]
fn requests_without_a_session_take_no_place_among_established_sessions() {
    let mut node = busy_node(20.0, 3);
    complete(&mut node, 5);
    let others = 100..100 + GENERATION - 2;
    others.for_each(|session| complete(&mut node, session));
    complete(&mut node, NO_SESSION);
    let further = 100_000..100_000 + GENERATION - 1;
    further.for_each(|session| complete(&mut node, session));
    complete(&mut node, NO_SESSION);
    set_busy_cores(&mut node, 0.0);
    rejected_of(&mut node, 19);
    set_busy_cores(&mut node, 1.0);
    assert_eq!(
        rejected_of(&mut node, 1),
        1,
        "a new session past the upper threshold"
    );
    assert!(
        !is_rejected(&mut node, 5),
        "the first of two generations less two"
    );
}
