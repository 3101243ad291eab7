//! `storm`: measures a retry storm of a fleet against one server that stalls for two seconds: the requests
//! completed in time without retries, with the retry limit of each node, and with the retry budget of the fleet
//! in addition. The nodes are processes started by the fault harness.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::server::{Behavior, ReceivedRequest, Server};
use doortrack_fault_harness::processes::Rig;
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

const PROGRAM: &str = "target/release/doortrack";
const NODES: usize = 5;
/// Concurrency limit of the server, and its time per run.
const SLOTS: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(20);
/// Offered requests per second; the server can run 200.
const OFFERED_RATE: u64 = 120;
const CALLERS: u64 = 120;
/// Time for the nodes to discover one another.
const START_TIME: Duration = Duration::from_secs(4);
/// Start and end of the server's stall, since the start of the callers.
const STALL: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(7));
const DURATION: Duration = Duration::from_secs(15);
/// Results of requests sent before this are ignored.
const WARM_UP: Duration = Duration::from_secs(1);
/// Latency objective of a request.
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Interval at which waiting runs check whether the stall is over.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A server with a fixed concurrency limit that stalls once.
#[derive(Default)]
struct StallingServer {
    busy_slots: Mutex<u32>,
    slot_released: Condvar,
    runs: AtomicU64,
    started_at: OnceLock<Instant>,
}

impl StallingServer {
    fn run(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        let mut busy_slots = self.lock();
        while *busy_slots >= SLOTS || self.is_stalled() {
            busy_slots = self
                .slot_released
                .wait_timeout(busy_slots, STALL_POLL_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        *busy_slots += 1;
        drop(busy_slots);
        thread::sleep(RUN_TIME);
        *self.lock() -= 1;
        self.slot_released.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, u32> {
        self.busy_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stalled(&self) -> bool {
        let elapsed = self
            .started_at
            .get()
            .map_or(Duration::ZERO, Instant::elapsed);
        (STALL.0..STALL.1).contains(&elapsed)
    }
}

/// One retry configuration.
struct Policy {
    title: &'static str,
    /// Maximum number of attempts of a request, including the first.
    attempts: u32,
    /// Retry budget of the whole fleet in retries per second; `None` for no budget.
    fleet_budget: Option<u32>,
}

const POLICIES: [Policy; 3] = [
    Policy {
        title: "no retries",
        attempts: 1,
        fleet_budget: None,
    },
    Policy {
        title: "each node's own limit",
        attempts: 4,
        fleet_budget: None,
    },
    Policy {
        title: "each node's own limit and a fleet budget of 10 a second",
        attempts: 4,
        fleet_budget: Some(10),
    },
];

impl Policy {
    fn installation(&self, server: SocketAddr) -> Value {
        let mut file = json!({"fleet": {"voters": ["n0", "n1", "n2"]}, "servers": {"protocol": "fastcgi",
            "addresses": [server.to_string()], "at_once": 200, "answer_within_ms": 150, "idle_ms": 0,
            "aside": {"failures": 1000},
            "retries": {"share": 1.0, "burst": 100, "tries": self.attempts}}});
        if let Some(limit) = self.fleet_budget {
            file["budgets"] = json!([{"name": "again", "kind": "rate", "limit": limit, "burst": limit,
                "for": {"retries": "servers"}}]);
        }
        file
    }
}

/// The fractions of the offered requests completed in time before and after the stall, and the total number of
/// runs.
struct Outcome {
    before: f64,
    after: f64,
    runs: u64,
}

/// The time at which a request was sent, since the start of its caller, and whether it was completed in time.
struct Sent {
    at: Duration,
    in_time: bool,
}

fn run(policy: &Policy) -> Outcome {
    let work = Arc::new(StallingServer::default());
    let runner = work.clone();
    // The server runs each request that it has read even if its caller no longer waits, which causes retry storms.
    let server = Server::start(Protocol::FastCgi, move |_: &ReceivedRequest| {
        runner.run();
        Behavior::ok("done")
    });
    let installation = policy.installation(server.address);
    let mut rig = Rig::new(Path::new(PROGRAM), NODES, 1).expect("failed to set up the processes");
    (0..NODES).for_each(|node| {
        rig.start(node, node, &installation)
            .expect("failed to start a process")
    });
    thread::sleep(START_TIME);
    work.started_at.set(Instant::now()).expect("set once");
    let listeners: Arc<[SocketAddr]> = (0..NODES).map(|node| rig.listener_address(node)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let listeners = listeners.clone();
            thread::spawn(move || call(index, &listeners))
        })
        .collect();
    let sent: Vec<Sent> = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .flatten()
        .collect();
    Outcome {
        before: completed_fraction(&sent, WARM_UP, STALL.0),
        after: completed_fraction(&sent, STALL.1, DURATION),
        runs: work.runs.load(Ordering::Relaxed),
    }
}

/// Sends requests at a fixed interval, or later if the previous request takes longer.
fn call(index: u64, listeners: &[SocketAddr]) -> Vec<Sent> {
    let started_at = Instant::now();
    let interval = Duration::from_micros(1_000_000 * CALLERS / OFFERED_RATE);
    let mut sent = Vec::new();
    let mut due = interval * index as u32 / CALLERS as u32;
    while due < DURATION {
        thread::sleep(due.saturating_sub(started_at.elapsed()));
        let attempt = ((index + 1) << 32) + sent.len() as u64;
        let listener = listeners[attempt as usize % listeners.len()];
        let at = started_at.elapsed();
        let answer = CallerRequest::new(attempt, "/svc/look", b"berth")
            .try_send(listener, Protocol::FastCgi)
            .ok()
            .map(|pending| pending.outcome());
        let is_completed = matches!(answer, Some(CallerOutcome::Completed(_)));
        let in_time = is_completed && started_at.elapsed() - at <= OBJECTIVE;
        sent.push(Sent { at, in_time });
        due = (due + interval).max(started_at.elapsed());
    }
    sent
}

fn completed_fraction(sent: &[Sent], from: Duration, until: Duration) -> f64 {
    let completed = sent
        .iter()
        .filter(|request| request.in_time && (from..until).contains(&request.at))
        .count();
    completed as f64 / (OFFERED_RATE as f64 * (until - from).as_secs_f64())
}

fn main() {
    for round in 1..=2 {
        for policy in &POLICIES {
            let outcome = run(policy);
            println!(
                "round {round}, {}: in time {:.3} of offered before the stall, {:.3} after; {} runs",
                policy.title, outcome.before, outcome.after, outcome.runs
            );
        }
    }
}
