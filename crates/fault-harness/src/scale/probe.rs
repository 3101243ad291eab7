//! Whether a node keeps serving: one caller that asks it again and again.

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

const REST: Duration = Duration::from_millis(20);

/// Requests without a completed answer that are told one by one.
const MOST_TOLD: usize = 200;

/// One request that was not completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotCompleted {
    pub unix_ms: u64,
    pub what: String,
}

/// What the caller came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Served {
    pub asked: usize,
    pub completed: usize,
    /// The longest time from one completed answer to the next.
    pub longest_gap_ms: u64,
    /// The first of those that were not completed.
    pub not_completed: Vec<NotCompleted>,
}

/// A caller under way.
pub struct Probe {
    over: Arc<AtomicBool>,
    caller: JoinHandle<Served>,
}

impl Probe {
    pub fn start(front: SocketAddr) -> Probe {
        let over = Arc::new(AtomicBool::new(false));
        let until = over.clone();
        let caller = std::thread::spawn(move || run(front, &until));
        Probe { over, caller }
    }

    /// Ends the caller once it has its answer.
    pub fn finish(self) -> Served {
        self.over.store(true, Ordering::Relaxed);
        self.caller.join().unwrap_or_default()
    }
}

fn run(front: SocketAddr, over: &AtomicBool) -> Served {
    let (mut served, mut last) = (Served::default(), Instant::now());
    let mut nth = 7 << 56;
    while !over.load(Ordering::Relaxed) {
        nth += 1;
        served.asked += 1;
        let unix_ms = unix_ms();
        let ask = CallerRequest::new(nth, "/svc/look", b"berth").with(TENANT_FIELD, CALLERS_TENANT);
        match ask
            .try_send(front, Protocol::FastCgi)
            .map(|pending| pending.outcome())
        {
            Ok(CallerOutcome::Completed(_)) => {
                served.completed += 1;
                served.longest_gap_ms =
                    served.longest_gap_ms.max(last.elapsed().as_millis() as u64);
                last = Instant::now();
            }
            other if served.not_completed.len() < MOST_TOLD => {
                served.not_completed.push(NotCompleted {
                    unix_ms,
                    what: format!("{other:?}"),
                });
            }
            _ => {}
        }
        std::thread::sleep(REST);
    }
    served.longest_gap_ms = served.longest_gap_ms.max(last.elapsed().as_millis() as u64);
    served
}
