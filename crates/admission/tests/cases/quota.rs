use doortrack_admission::*;
use doortrack_time::MILLISECOND;

use crate::common::{SimulatedNode, Stage, config};
use crate::{send_and_check_rejected, set_busy_cores};

/// Admits `count` requests with this key, then sets the gauge to all cores busy.
fn fill(node: &mut SimulatedNode, key: u64, count: usize) {
    for _ in 0..count {
        node.arrive(0, key, 0, None, 1.0);
    }
    node.turn();
    set_busy_cores(node, 1.0);
}

#[test]
fn tenant_over_its_quota_is_rejected_above_the_lower_threshold() {
    // Guards against a burst of one tenant that takes the run slots of all others.
    let config = AdmissionConfig {
        cores: 20.0,
        tenant_quotas: vec![10.0, 1000.0],
        nodes: 10.0,
        overload_multiple: 9.0,
        ..config()
    };
    let mut node = SimulatedNode::new(config, 1);
    node.advance(60 * MILLISECOND);
    let burst: Vec<RequestId> = (0..17).map(|_| node.arrive(0, 3, 0, None, 1.0)).collect();
    node.turn();
    assert!(
        !node.requests[&burst[16]].answer_owed,
        "load 16 with C = 20 is above T1, and the tenant is over its quota"
    );
    assert!(
        node.requests[&burst[15]].answer_owed,
        "load 15 is T1, up to which every request is admitted"
    );
}

#[test]
fn tenant_with_a_small_quota_per_node_is_within_it_until_its_bucket_is_empty() {
    // Guards against a tenant with less than one token counting as over its quota.
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
    // Requests of a tenant without a quota, up to a load above T1 = 15.
    fill(&mut node, 2, 16);
    let rejected = [(); 4].map(|()| send_and_check_rejected(&mut node, 6));
    assert_eq!(
        rejected,
        [false, false, false, true],
        "the bucket holds three tokens; a fourth request would still fit below C = 20"
    );
}

#[test]
fn queued_over_quota_requests_do_not_displace_requests_within_quota() {
    // Guards against a tenant at three times its quota that fills all queues, so that the requests
    // of all tenants are rejected.
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
        send_and_check_rejected(&mut node, 4),
        "the tenant is over its own quota at load 10"
    );
    assert!(
        !send_and_check_rejected(&mut node, 3),
        "the tenant is within its quota: three requests run, and queued ones run after it"
    );
}
