//! Several processes of the program and what lies between them broken: who is there is judged on the joint
//! history by checkers that know nothing of the node's code.
//!
//! Every wait has a bound that a slow machine does not outlast; nothing is judged by how long it took.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

mod budgets;
mod drains;
mod encoding;
mod link;
mod ramp;
mod rolling;
mod served;
mod troubles;
mod unnoticed;

use std::path::Path;

use doortrack_fault_harness::checks::{judge, membership_invariants};
use doortrack_fault_harness::processes::RunResult;
use doortrack_fault_harness::script::{Fault, Script, TimedFault};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_doortrack"))
}

fn script(nodes: usize, ms: u64, faults: Vec<(u64, Fault)>) -> Script {
    let faults = faults
        .into_iter()
        .map(|(at_ms, fault)| TimedFault { at_ms, fault })
        .collect();
    Script {
        nodes,
        duration_ms: ms,
        seed: 5,
        faults,
    }
}

fn holds(result: &RunResult) {
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

/// Nothing passes between two groups, either way, for a while.
fn parted(nodes: (Vec<usize>, Vec<usize>), at: u64, till: u64) -> Vec<(u64, Fault)> {
    let (one, other) = nodes;
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
            till,
            Fault::Heal {
                from: one.clone(),
                to: other.clone(),
            },
        ),
        (
            till,
            Fault::Heal {
                from: other,
                to: one,
            },
        ),
    ]
}
