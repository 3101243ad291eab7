//! Plain cases, by concern: the edges of the rules, and one for each failure found.

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

/// Reads `count` requests of new sessions in one batch; how many of them were rejected.
fn rejected_of(node: &mut SimulatedNode, count: usize) -> usize {
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

/// Reads one request of this key; whether it was rejected.
fn is_rejected(node: &mut SimulatedNode, key: u64) -> bool {
    let read = node.arrive(0, key, 0, None, 1.0);
    node.turn();
    node.actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id, .. } if *id == read))
}

/// Settings without tenants, so that no quota interferes.
fn config_without_tenants() -> AdmissionConfig {
    AdmissionConfig {
        tenant_quotas: Vec::new(),
        ..config()
    }
}

/// A node whose gauge reads that all cores are busy.
fn busy_node(cores: f32, seed: u64) -> SimulatedNode {
    let config = AdmissionConfig {
        cores,
        ..config_without_tenants()
    };
    let mut node = SimulatedNode::new(config, seed);
    node.advance(60 * MILLISECOND);
    node
}

/// Has the gauge of busy cores read this from here on.
fn set_busy_cores(node: &mut SimulatedNode, busy_cores: f32) {
    node.busy_cores = busy_cores;
    node.advance(60 * MILLISECOND);
}
