//! Example-based tests, one module per concern: boundary cases of the rules and regression tests.

mod backpressure;
#[path = "../common/mod.rs"]
mod common;
mod concurrency;
mod downstream_calls;
mod drain;
mod idempotency;
mod idle_connections;
mod quota;
mod run_time;
mod sessions;
mod thresholds;

use common::{SimulatedNode, config};
use doortrack_admission::*;
use doortrack_time::MILLISECOND;

/// Reads `count` requests of new sessions in one batch and returns how many were rejected.
fn send_and_count_rejected(node: &mut SimulatedNode, count: usize) -> usize {
    let before = node.actions.len();
    for _ in 0..count {
        node.arrive(0, 0, 0, None, 1.0);
    }
    node.turn();
    node.actions[before..]
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. }))
        .count()
}

/// Reads one request with this key and returns `true` if it was rejected.
fn send_and_check_rejected(node: &mut SimulatedNode, key: u64) -> bool {
    let request_id = node.arrive(0, key, 0, None, 1.0);
    node.turn();
    node.actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id, .. } if *id == request_id))
}

/// Returns a configuration without tenants, so that no quota applies.
fn config_without_tenants() -> AdmissionConfig {
    AdmissionConfig {
        tenant_quotas: Vec::new(),
        ..config()
    }
}

/// Returns a node whose gauge reports that all cores are busy.
fn busy_node(cores: f32, seed: u64) -> SimulatedNode {
    let config = AdmissionConfig {
        cores,
        ..config_without_tenants()
    };
    let mut node = SimulatedNode::new(config, seed);
    node.advance(60 * MILLISECOND);
    node
}

/// Sets the reading of the busy cores gauge and lets the node see it.
fn set_busy_cores(node: &mut SimulatedNode, busy_cores: f32) {
    node.busy_cores = busy_cores;
    node.advance(60 * MILLISECOND);
}
