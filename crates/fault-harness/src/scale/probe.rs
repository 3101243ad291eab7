//! Checks whether a node keeps serving, with one caller that sends requests continuously.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol;
use serde::{Deserialize, Serialize};

use super::plan::{CALLERS_TENANT, TENANT_FIELD};

const PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of requests that were not completed that are recorded individually.
const MAX_RECORDED_FAILURES: usize = 200;

/// One request that was not completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotCompleted {
    pub unix_ms: u64,
    pub what: String,
}

/// The results of the caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Served {
    pub asked: usize,
    pub completed: usize,
    /// The longest time between two completed requests.
    pub longest_gap_ms: u64,
    /// The first requests that were not completed.
    pub not_completed: Vec<NotCompleted>,
}

/// A running caller.
pub struct Probe {
    stop: Arc<AtomicBool>,
    caller: JoinHandle<Served>,
}

impl Probe {
    pub fn start(front: SocketAddr) -> Probe {
        let stop = Arc::new(AtomicBool::new(false));
        let until = stop.clone();
        let caller = std::thread::spawn(move || run(front, &until));
        Probe { stop, caller }
    }

    /// Stops the caller after its current request.
    pub fn finish(self) -> Served {
        self.stop.store(true, Ordering::Relaxed);
        self.caller.join().unwrap_or_default()
    }
}

fn run(front: SocketAddr, stop: &AtomicBool) -> Served {
    let (mut served, mut last) = (Served::default(), Instant::now());
    let mut nth = 7 << 56;
    while !stop.load(Ordering::Relaxed) {
        nth += 1;
        served.asked += 1;
        let unix_ms = unix_ms();
        let request =
            CallerRequest::new(nth, "/svc/look", b"berth").with(TENANT_FIELD, CALLERS_TENANT);
        match request
            .try_send(front, Protocol::FastCgi)
            .map(|pending| pending.outcome())
        {
            Ok(CallerOutcome::Completed(_)) => {
                served.completed += 1;
                served.longest_gap_ms =
                    served.longest_gap_ms.max(last.elapsed().as_millis() as u64);
                last = Instant::now();
            }
            other if served.not_completed.len() < MAX_RECORDED_FAILURES => {
                served.not_completed.push(NotCompleted {
                    unix_ms,
                    what: format!("{other:?}"),
                });
            }
            _ => {}
        }
        std::thread::sleep(PAUSE);
    }
    served.longest_gap_ms = served.longest_gap_ms.max(last.elapsed().as_millis() as u64);
    served
}
