//! A simulated node for the tests of admission control. It generates valid event histories,
//! executes the resulting actions, keeps its own accounts and checks the invariants after every
//! turn.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod events;
mod execute;
mod invariants;
mod simulated_node;

use doortrack_admission::*;
use doortrack_time::MILLISECOND;

pub use simulated_node::{SimulatedNode, Stage};

/// Returns the configuration of a node with four cores and one endpoint group per [`Effect`].
pub fn config() -> AdmissionConfig {
    let group = |effect, calls_downstream| EndpointGroup {
        effect,
        latency_objective: 1500 * MILLISECOND,
        objective_per_work: 0.0,
        deadline: 4000 * MILLISECOND,
        dedup_window: 6000 * MILLISECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        degraded_weight: 0.0,
        calls_downstream,
    };
    AdmissionConfig {
        cores: 4.0,
        memory_kb: 20_000.0,
        run_memory_factor: 8.0,
        record_kb: 100.0,
        groups: vec![
            group(Effect::Idempotent, true),
            group(Effect::Deduplicated, true),
            group(Effect::Mutating, true),
        ],
        tenant_quotas: vec![50.0, 20.0],
        over_quota_weight: 0.05,
        weight_per_work: false,
        nodes: 10.0,
        cancellation: Cancellation::Drop,
        backpressure: Backpressure::MinRank,
        backpressure_ttl: 1000 * MILLISECOND,
        max_staleness: 0,
        downstream_concurrency: None,
        downstream_window: 5000 * MILLISECOND,
        abandoned_call_time: 200 * MILLISECOND,
        cold: false,
        initial_speed: 0.25,
        warm_up_time: 10_000 * MILLISECOND,
        overload_multiple: 5.0,
        overload_window: 2000 * MILLISECOND,
        drain_grace: 1000 * MILLISECOND,
        idle_timeout: 30_000 * MILLISECOND,
        max_retry_after: 1000 * MILLISECOND,
        tick: 2 * MILLISECOND,
    }
}

/// Returns a request of this group with default properties.
pub fn request(id: RequestId, group: u8) -> Request {
    Request {
        id,
        group,
        memory_kb: 40.0,
        rank: 0.5,
        ..Request::default()
    }
}
