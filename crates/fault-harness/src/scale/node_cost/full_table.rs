//! More callers than a node has sockets for.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::bench::{Bench, Started};
use super::caller::{Connection, Outcomes, Request, histogram, paced};
use super::measure::{Callers, Latency, PEAK_RATE};
use super::process::MeasureError;
use super::settings::{Size, request_path, tenant};

/// Threads that connect side by side.
const THREADS: usize = 8;
/// Connecting and each answer.
const CALLER_WAITS: Duration = Duration::from_secs(2);
/// No caller comes after so long.
const COMING_FOR: Duration = Duration::from_secs(12);
/// Those that were there before ask on for so long at least.
const LASTS_AT_LEAST: Duration = Duration::from_secs(3);
/// Callers that were there before the others and ask on.
const REGULARS: usize = 50;
/// Between two looks at the descriptors.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What came of so many callers, each of whom connects, asks once and stays.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FullTable {
    pub callers: usize,
    /// Callers that had come before the time was over.
    pub came: u64,
    pub seconds: f64,
    pub not_connected: u64,
    /// What the first request of each that connected came to.
    pub first_requests: Outcomes,
    /// Connections that the node had not ended when all had come.
    pub still_open: u64,
    pub most_descriptors: usize,
    pub resident_kb: u64,
    /// Callers that were there before, at the peak's rate meanwhile.
    pub regulars: Outcomes,
    pub regulars_reconnected: u64,
    pub regulars_latency: Latency,
}

/// What one thread's callers met.
#[derive(Default)]
struct Crowd {
    came: u64,
    not_connected: u64,
    first_requests: Outcomes,
    connections: Vec<Connection>,
}

impl Crowd {
    fn come(count: usize, started: &Started, size: &Size) -> Crowd {
        let until = Instant::now() + COMING_FOR;
        let (path, tenant) = (request_path(size, 0), tenant(0));
        let request = Request {
            path: &path,
            tenant: &tenant,
            idempotency_key: None,
        };
        let mut crowd = Crowd::default();
        while crowd.came < count as u64 && Instant::now() < until {
            crowd.came += 1;
            match Connection::open_within(started.addresses.front, CALLER_WAITS) {
                Err(_) => crowd.not_connected += 1,
                Ok(mut connection) => {
                    crowd.first_requests.count(&connection.ask(&request));
                    crowd.connections.push(connection);
                }
            }
        }
        crowd
    }
}

/// Has `callers` come as fast as they are let in, while others ask on.
///
/// # Errors
/// The process does not start, or ends.
pub fn measure(bench: &Bench, callers: usize) -> Result<FullTable, MeasureError> {
    let size = Size {
        callers: REGULARS,
        ..Size::BASELINE
    };
    let mut started = bench.start(&size)?;
    started.process.wait_ready()?;
    let mut regulars = Callers::open(started.addresses.front, size)?;
    let mut latencies = histogram();
    let over = AtomicBool::new(false);
    let began = Instant::now();
    let (crowds, most_descriptors) = std::thread::scope(|scope| {
        let (started, over) = (&started, &over);
        let crowds: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(move || Crowd::come(callers / THREADS, started, &size)))
            .collect();
        let watch = scope.spawn(move || watch_descriptors(started, over));
        while began.elapsed() < LASTS_AT_LEAST || !crowds.iter().all(|crowd| crowd.is_finished()) {
            paced(PEAK_RATE, LOOK_EVERY, |_, due| {
                regulars.ask_next();
                latencies.saturating_record(due.elapsed().as_nanos() as u64);
            });
        }
        over.store(true, Ordering::Relaxed);
        let crowds: Vec<Crowd> = crowds
            .into_iter()
            .filter_map(|crowd| crowd.join().ok())
            .collect();
        (crowds, watch.join().unwrap_or(0))
    });
    let seconds = began.elapsed().as_secs_f64();
    let mut first_requests = Outcomes::default();
    crowds
        .iter()
        .for_each(|crowd| first_requests.add(&crowd.first_requests));
    let open = |crowd: &Crowd| crowd.connections.iter().filter(|one| one.is_open()).count() as u64;
    Ok(FullTable {
        callers,
        came: crowds.iter().map(|crowd| crowd.came).sum(),
        seconds,
        not_connected: crowds.iter().map(|crowd| crowd.not_connected).sum(),
        first_requests,
        still_open: crowds.iter().map(open).sum(),
        most_descriptors,
        resident_kb: started.process.usage()?.resident_kb,
        regulars: regulars.outcomes,
        regulars_reconnected: regulars.reconnected,
        regulars_latency: Latency::from(&latencies),
    })
}

fn watch_descriptors(started: &Started, over: &AtomicBool) -> usize {
    let mut most = 0;
    while !over.load(Ordering::Relaxed) {
        most = most.max(started.process.usage().map_or(0, |usage| usage.descriptors));
        std::thread::sleep(LOOK_EVERY);
    }
    most
}
