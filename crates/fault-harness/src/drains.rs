//! Repeated tests of graceful shutdown. A real node process stands in front of application servers, clients keep using
//! their open connections, and the node gets a series of signals. SIGKILL follows exactly the stop time after the first
//! SIGTERM or SIGINT. The records of clients and servers are checked against the rules.

mod backend;
mod client;
mod fault_plan;
mod faulty;
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
    /// The signals and their times in ms, as in `HUP 0, TERM 37`; equal times follow without a pause.
    pub signals: String,
    /// Whether many additional clients were connected.
    pub crowd: bool,
    /// Further faults, described.
    pub faults: String,
    /// Outcomes of the requests.
    pub counts: DrainCounts,
    /// Violations of the rules, described.
    pub violations: Vec<String>,
}

/// The faults under which nodes are shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// None beside the signals, before application servers.
    None,
    /// Of the network, the system and the engine.
    All,
}

/// Runs `count` seeds from `first` on, `parallel` at a time, and passes each report to `report` when it is ready.
pub fn run_seeds(
    program: &Path,
    faults: Faults,
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
                    let scenario = Scenario::seeded(seed);
                    let result = match faults {
                        Faults::None => run(program, &scenario),
                        Faults::All => faulty::run(program, &scenario),
                    };
                    if let Ok(mut report) = report.lock() {
                        report(result);
                    }
                }
            });
        }
    });
}
