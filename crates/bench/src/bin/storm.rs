//! A retry storm of a whole fleet against one shared pool: what is completed in time after the pool stood
//! still for a moment, with each node's own bound on retries alone, with the fleet's budget beside it, and
//! with no retries at all. Played on processes behind the rig.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{Ask, Seen};
use doortrack_fakes::server::{Act, Got, Server};
use doortrack_fault_harness::processes::Rig;
use doortrack_protocols::Protocol;
use serde_json::json;

const NODES: usize = 5;
/// Runs that the server does at once, and what one takes.
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(20);
/// Requests a second, of the 200 that the server can do.
const OFFERED: u64 = 120;
const CALLERS: u64 = 120;
/// The server stands still from and till; what counts is from there on.
const STALL: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(7));
const LASTS: Duration = Duration::from_secs(15);
const IN_TIME: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Slots {
    taken: Mutex<u32>,
    free: Condvar,
}

impl Slots {
    fn work(&self, stalls: impl Fn() -> bool) {
        let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        while *taken >= SLOTS || stalls() {
            let wait = Duration::from_millis(5);
            taken = self
                .free
                .wait_timeout(taken, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        *taken += 1;
        drop(taken);
        thread::sleep(WORK);
        *self.taken.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        self.free.notify_one();
    }
}

/// Completed in time, of those asked before the stall and after it.
struct Came {
    before: f64,
    after: f64,
    runs: u64,
}

fn play(tries: u32, fleets: Option<u32>) -> Came {
    let (slots, runs) = (Arc::new(Slots::default()), Arc::new(AtomicU64::new(0)));
    let began: Arc<Mutex<Option<Instant>>> = Arc::default();
    let since = |began: &Mutex<Option<Instant>>| {
        began
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .map_or(Duration::ZERO, |at: Instant| at.elapsed())
    };
    let (own, count, clock) = (slots.clone(), runs.clone(), began.clone());
    // It does what it was asked even if nobody waits any more: that is what makes storms.
    let server = Server::start(Protocol::FastCgi, move |_: &Got| {
        count.fetch_add(1, Ordering::Relaxed);
        own.work(|| (STALL.0..STALL.1).contains(&since(&clock)));
        Act::ok("done")
    });
    let mut file = json!({"fleet": {"voters": ["n0", "n1", "n2"]}, "servers": {"protocol": "fastcgi",
        "addresses": [server.at.to_string()], "at_once": 200, "answer_within_ms": 150, "idle_ms": 0,
        "aside": {"failures": 1000}, "retries": {"share": 1.0, "burst": 100, "tries": tries}}});
    if let Some(limit) = fleets {
        file["budgets"] = json!([{"name": "again", "kind": "rate", "limit": limit, "burst": limit, "for":
            {"retries": "servers"}}]);
    }
    let mut rig = Rig::new(Path::new("target/release/doortrack"), NODES, 1).expect("a rig");
    (0..NODES).for_each(|of| rig.start(of, of, &file).expect("a process"));
    thread::sleep(Duration::from_secs(4));
    *began.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    let fronts: Vec<_> = (0..NODES).map(|of| rig.front(of)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|place| {
            let (fronts, begins) = (fronts.clone(), Instant::now());
            thread::spawn(move || {
                let every = Duration::from_micros(1_000_000 * CALLERS / OFFERED);
                let mut told = Vec::new();
                let mut due = every * place as u32 / CALLERS as u32;
                while due < LASTS {
                    thread::sleep(due.saturating_sub(begins.elapsed()));
                    let nth = ((place + 1) << 32) + told.len() as u64;
                    let front = fronts[nth as usize % fronts.len()];
                    let at = begins.elapsed();
                    let ask = Ask::new(nth, "/svc/look", b"berth");
                    let seen = ask
                        .try_send(front, Protocol::FastCgi)
                        .ok()
                        .map(|waits| waits.seen());
                    let good = matches!(seen, Some(Seen::Completed(_)))
                        && begins.elapsed() - at <= IN_TIME;
                    told.push((at, good));
                    due = (due + every).max(begins.elapsed());
                }
                told
            })
        })
        .collect();
    let told: Vec<(Duration, bool)> = callers
        .into_iter()
        .filter_map(|of| of.join().ok())
        .flatten()
        .collect();
    let share = |from: Duration, till: Duration| {
        let good = told
            .iter()
            .filter(|(at, good)| *good && (from..till).contains(at))
            .count();
        good as f64 / (OFFERED as f64 * (till - from).as_secs_f64())
    };
    let runs = runs.load(Ordering::Relaxed);
    Came {
        before: share(Duration::from_secs(1), STALL.0),
        after: share(STALL.1, LASTS),
        runs,
    }
}

fn main() {
    for round in 1..=2 {
        for (what, tries, fleets) in [
            ("no retries", 1, None),
            ("each node's own bound", 4, None),
            ("the fleet's budget of 10 a second beside it", 4, Some(10)),
        ] {
            let came = play(tries, fleets);
            println!(
                "round {round}, {what}: in time {:.3} of offered before the stall, {:.3} after; {} runs",
                came.before, came.after, came.runs
            );
        }
    }
}
