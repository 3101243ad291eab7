use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::{SimulatedNode, Stage, config};
use crate::{is_rejected, set_busy_cores};

/// Admits `count` requests of this key, and has the gauge read busy from then on.
fn fill(node: &mut SimulatedNode, key: u64, count: usize) {
    for _ in 0..count {
        node.arrive(0, key, 0, None, 1.0);
    }
    node.turn();
    set_busy_cores(node, 1.0);
}

#[test]
fn a_tenant_over_its_quota_is_rejected_from_the_lower_threshold_on() {
    // Found on tigre-principal: one tenant's surge took the run slots of all others.
    let config = AdmissionConfig {
        cores: 20.0,
        tenant_quotas: vec![10.0, 1000.0],
        nodes: 10.0,
        overload_multiple: 9.0,
        ..config()
    };
    let mut node = SimulatedNode::new(config, 1);
    node.advance(60 * MILLISECOND);
    let surge: Vec<RequestId> = (0..17).map(|_| node.arrive(0, 3, 0, None, 1.0)).collect();
    node.turn();
    assert!(
        !node.requests[&surge[16]].answer_owed,
        "load 16 of C = 20, over the quota"
    );
    assert!(
        node.requests[&surge[15]].answer_owed,
        "load 15 is T1: all is admitted"
    );
}

#[test]
fn a_tenant_with_a_small_quota_at_a_node_is_within_it_until_it_sends_more() {
    // Found on qld-da-portal: a tenant with less than one token counted as over its quota.
    let config = AdmissionConfig {
        cores: 20.0,
        tenant_quotas: vec![20.0, 20.0],
        nodes: 100.0,
        ..config()
    };
    let mut node = SimulatedNode::new(config, 1);
    set_busy_cores(&mut node, 0.0);
    let established = node.arrive(0, 6, 0, None, 1.0);
    node.turn();
    node.end_run(established, RunOutcome::Completed);
    node.advance(10_000 * MILLISECOND);
    // Requests of a tenant without a quota, up to past T1 = 15.
    fill(&mut node, 2, 16);
    let rejected = [(); 4].map(|()| is_rejected(&mut node, 6));
    assert_eq!(
        rejected,
        [false, false, false, true],
        "the bucket holds three tokens, and C = 20 has room for a fourth"
    );
}

#[test]
fn what_is_queued_over_a_quota_keeps_nobody_out_that_is_within_one() {
    // Found on qld-da-portal: one tenant at three times its quota filled all queues, and all were
    // rejected.
    let config = AdmissionConfig {
        cores: 2.0,
        tenant_quotas: vec![1000.0, 0.1],
        ..config()
    };
    let mut node = SimulatedNode::new(config, 1);
    set_busy_cores(&mut node, 0.0);
    for _ in 0..20 {
        for _ in 0..12 {
            node.arrive(0, 2, 0, None, 1.0);
        }
        node.advance(400 * MILLISECOND);
        while let Some(id) = node.pick(Stage::Running, 0) {
            node.end_run(id, RunOutcome::Completed);
        }
    }
    node.advance(2000 * MILLISECOND);
    fill(&mut node, 1, 10);
    assert!(
        is_rejected(&mut node, 4),
        "over the quota itself, at load 10"
    );
    assert!(
        !is_rejected(&mut node, 3),
        "within one: three run, and what is queued goes after it"
    );
}
