use std::ops::Range;

use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

use crate::common::{SimulatedNode, config};

const CALLER_TIMEOUT: TenthMillis = 30_000 * MILLISECOND;
const MIN_TIMEOUT: TenthMillis = 100 * MILLISECOND;

/// Returns the last idle timeout set.
fn last_timeout(node: &SimulatedNode) -> Option<TenthMillis> {
    node.actions.iter().rev().find_map(|action| match action {
        Action::IdleTimeout { timeout } => Some(*timeout),
        _ => None,
    })
}

fn node_with_cores(cores: f32) -> SimulatedNode {
    let config = AdmissionConfig { cores, ..config() };
    SimulatedNode::new(config, 1)
}

/// Reads 300 requests from these callers in turn and lets the timeout adjust.
fn read_from(node: &mut SimulatedNode, callers: Range<u64>) {
    for caller in callers.cycle().take(300) {
        node.caller = caller;
        node.arrive(0, 0, 0, None, 1.0);
        node.turn();
    }
    node.advance(8_000 * MILLISECOND);
}

#[test]
fn idle_connections_are_closed_early_unless_many_reads_are_late() {
    // Guards against a table filled by a thousand callers that each keep a connection they never
    // use again.
    let mut node = node_with_cores(2.0);
    node.advance(20_000 * MILLISECOND);
    assert_eq!(
        last_timeout(&node),
        Some(CALLER_TIMEOUT),
        "with few connections, the timeout of the callers applies"
    );
    node.connections = 90.0;
    node.advance(2000 * MILLISECOND);
    assert_eq!(last_timeout(&node), Some(MIN_TIMEOUT));
    for _ in 0..4 {
        node.arrive(0, 0, 900 * MILLISECOND, None, 1.0);
        node.turn();
    }
    node.advance(60 * MILLISECOND);
    assert_eq!(
        last_timeout(&node),
        Some(CALLER_TIMEOUT),
        "late reads let the table fill, which keeps further callers out"
    );
}

#[test]
fn idle_connections_stay_open_if_callers_return() {
    // Guards against closing connections that callers use again within seconds: 200 nodes did so
    // with 150 callers and spent a fifth of their cores on new connections.
    let mut node = node_with_cores(6.0);
    node.connections = 90.0;
    read_from(&mut node, 0..1_000);
    assert_eq!(
        last_timeout(&node),
        Some(MIN_TIMEOUT),
        "hardly any caller is seen again"
    );
    read_from(&mut node, 1_000..1_030);
    assert_eq!(
        last_timeout(&node),
        Some(CALLER_TIMEOUT),
        "each caller returns, so fifteen connections per core stay open"
    );
    node.connections = 150.0;
    node.advance(2_000 * MILLISECOND);
    assert_eq!(
        last_timeout(&node),
        Some(MIN_TIMEOUT),
        "twenty-five connections per core are too many even if callers return"
    );
}
