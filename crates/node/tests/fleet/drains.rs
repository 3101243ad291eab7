//! A short soak of graceful shutdowns; the long one is `doortrack-harness drains`.

use doortrack_fault_harness::drains::{DrainReport, run_seeds};

use crate::program;

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 9;
const PARALLEL: usize = 2;

/// Guards against requests that are lost, denied after their run, run twice or late while a node drains.
#[test]
fn clients_that_go_on_until_the_kill_lose_nothing_whatever_signals_come() {
    let mut reports: Vec<DrainReport> = Vec::new();
    run_seeds(program(), FIRST_SEED, SEEDS, PARALLEL, |report| {
        reports.push(report);
    });
    let broken: Vec<&DrainReport> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(reports.len() as u64, SEEDS);
    let all_met =
        |report: &DrainReport| report.counts.completed > 20 && report.counts.sent_in_drain > 20;
    assert!(reports.iter().all(all_met), "{reports:#?}");
}
