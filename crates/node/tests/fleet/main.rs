//! Runs fleets of node processes with faults in the processes and in the network between them. Checkers that share
//! no code with the node verify membership on the combined history of all nodes.
//!
//! Every wait has a timeout that a slow machine does not reach; no check relies on something being fast.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is easier to read in one function"
)]

mod budgets;
mod drains;
mod encoding;
mod faults;
mod flooded_link;
mod peer_link;
mod rolling_restarts;
mod slow_start;
mod unnoticed;

use std::path::Path;

use doortrack_fault_harness::checks::{judge, membership_invariants};
use doortrack_fault_harness::processes::RunResult;
use doortrack_fault_harness::script::{Fault, Script, TimedFault};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_doortrack"))
}

fn script(nodes: usize, length_ms: u64, faults: Vec<(u64, Fault)>) -> Script {
    let faults = faults
        .into_iter()
        .map(|(at_ms, fault)| TimedFault { at_ms, fault })
        .collect();
    Script {
        nodes,
        duration_ms: length_ms,
        seed: 5,
        faults,
    }
}

/// Checks membership on the history, the rules on the requests, and that requests were completed.
fn assert_no_violations(result: &RunResult) {
    let violations = judge(&result.history, &membership_invariants());
    assert!(
        violations.is_empty(),
        "{violations:#?}\n{}",
        result.history.to_lines()
    );
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    assert!(
        result.traffic_counts.completed > 0,
        "{:?}",
        result.traffic_counts
    );
}

/// Cuts the links between two groups of nodes in both directions from `at` until `heal_at`, in ms.
fn partition(groups: (Vec<usize>, Vec<usize>), at: u64, heal_at: u64) -> Vec<(u64, Fault)> {
    let (one, other) = groups;
    vec![
        (
            at,
            Fault::Cut {
                from: one.clone(),
                to: other.clone(),
            },
        ),
        (
            at,
            Fault::Cut {
                from: other.clone(),
                to: one.clone(),
            },
        ),
        (
            heal_at,
            Fault::Heal {
                from: one.clone(),
                to: other.clone(),
            },
        ),
        (
            heal_at,
            Fault::Heal {
                from: other,
                to: one,
            },
        ),
    ]
}
