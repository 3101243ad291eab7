//! A soak of graceful shutdowns: real processes in front of application servers, clients that go on using their open
//! connections, signals in series, and SIGKILL at exactly the time to the stop after the first of SIGTERM and SIGINT.
//! Judged by what clients and servers recorded.

mod client;
mod judge;
mod run;
mod scenario;

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

pub use self::judge::DrainCounts;
pub use self::run::run;
pub use self::scenario::Scenario;

/// The result of one seed.
#[derive(Clone, Debug, Serialize)]
pub struct DrainReport {
    /// The seed.
    pub seed: u64,
    /// The signals and their times in ms, as in `HUP 0, TERM 37`; empty times are at once.
    pub signals: String,
    /// Whether a crowd of clients was connected.
    pub crowd: bool,
    /// What became of the requests.
    pub counts: DrainCounts,
    /// Violations of the rules, described.
    pub violations: Vec<String>,
}

/// Runs the seeds from `first` on, some at once, and hands each report over as it comes.
pub fn run_seeds(
    program: &Path,
    first: u64,
    count: u64,
    parallel: usize,
    report: impl FnMut(DrainReport) + Send,
) {
    let (next, report) = (AtomicU64::new(first), Mutex::new(report));
    std::thread::scope(|scope| {
        for _ in 0..parallel.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let result = run(program, &Scenario::seeded(seed));
                    if let Ok(mut report) = report.lock() {
                        report(result);
                    }
                }
            });
        }
    });
}
