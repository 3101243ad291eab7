use std::ops::Range;

use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

use crate::common::{SimulatedNode, config};

const CALLER_TIMEOUT: TenthMillis = 30_000 * MILLISECOND;
const MIN_TIMEOUT: TenthMillis = 100 * MILLISECOND;

/// The idle timeout last given.
fn last_timeout(node: &SimulatedNode) -> Option<TenthMillis> {
    node.actions.iter().rev().find_map(|action| match action {
        Action::IdleTimeout { timeout } => Some(*timeout),
        _ => None,
    })
}

fn node_of_cores(cores: f32) -> SimulatedNode {
    let config = AdmissionConfig { cores, ..config() };
    SimulatedNode::new(config, 1)
}

/// Reads 300 requests, of each caller in turn, and lets the timeout follow.
fn read_from(node: &mut SimulatedNode, callers: Range<u64>) {
    for caller in callers.cycle().take(300) {
        node.caller = caller;
        node.arrive(0, 0, 0, None, 1.0);
        node.turn();
    }
    node.advance(8_000 * MILLISECOND);
}

#[test]
fn a_table_full_of_idle_connections_is_emptied_unless_much_is_read_too_late() {
    // Found on tigre-principal-later: a thousand callers each kept a connection that they never
    // used again.
    let mut node = node_of_cores(2.0);
    node.advance(20_000 * MILLISECOND);
    assert_eq!(
        last_timeout(&node),
        Some(CALLER_TIMEOUT),
        "few connections: the callers' own timeout"
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
        "full, the table keeps out what could not be read in time"
    );
}

#[test]
fn idle_connections_stay_where_callers_return() {
    // Found on the days at full size: 200 nodes closed what 150 callers used again within seconds,
    // and spent a fifth of their cores on new connections.
    let mut node = node_of_cores(6.0);
    node.connections = 90.0;
    read_from(&mut node, 0..1_000);
    assert_eq!(
        last_timeout(&node),
        Some(MIN_TIMEOUT),
        "hardly one of them is seen again"
    );
    read_from(&mut node, 1_000..1_030);
    assert_eq!(
        last_timeout(&node),
        Some(CALLER_TIMEOUT),
        "each returns: fifteen per core may stay"
    );
    node.connections = 150.0;
    node.advance(2_000 * MILLISECOND);
    assert_eq!(
        last_timeout(&node),
        Some(MIN_TIMEOUT),
        "twenty-five per core are too many in any case"
    );
}
