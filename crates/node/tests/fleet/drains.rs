//! A short series of graceful shutdowns; `doortrack-harness drains` runs longer ones.

use std::sync::{Mutex, PoisonError};

use doortrack_fault_harness::drains::{DrainReport, Faults, run_seeds};

use crate::program;

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 9;
const PARALLEL: usize = 2;

/// One series at a time, as each keeps several hundred threads busy.
static SERIES: Mutex<()> = Mutex::new(());

fn check_seeds(faults: Faults) {
    let _series = SERIES.lock().unwrap_or_else(PoisonError::into_inner);
    let mut reports: Vec<DrainReport> = Vec::new();
    run_seeds(program(), faults, FIRST_SEED, SEEDS, PARALLEL, |report| {
        reports.push(report);
    });
    let violating: Vec<&DrainReport> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    assert!(violating.is_empty(), "{violating:#?}");
    assert_eq!(reports.len() as u64, SEEDS);
    let has_requests =
        |report: &DrainReport| report.counts.completed > 20 && report.counts.sent_in_drain > 20;
    assert!(reports.iter().all(has_requests), "{reports:#?}");
}

/// Guards against requests that are lost, rejected after their run, run twice or run late while a node drains.
#[test]
fn requests_sent_until_the_kill_follow_the_rules_in_every_order_of_signals() {
    check_seeds(Faults::None);
}

/// Guards against the same while the network, the system and the engine fail.
#[test]
fn requests_sent_until_the_kill_follow_the_rules_under_faults() {
    check_seeds(Faults::All);
}
