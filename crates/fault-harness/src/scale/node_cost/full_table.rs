//! Measures a node with more callers than sockets.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::bench::{Bench, Started};
use super::caller::{Connection, Outcomes, Request, histogram, paced};
use super::measure::{Callers, Latency, PEAK_RATE};
use super::process::MeasureError;
use super::settings::{Size, request_path, tenant};

/// Threads that open connections concurrently.
const THREADS: usize = 8;
/// Timeout of a connection attempt and of each response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Period in which new callers connect.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(12);
/// Minimum duration for which the existing callers send requests.
const MIN_DURATION: Duration = Duration::from_secs(3);
/// Callers that connect first and keep sending requests.
const EXISTING_CALLERS: usize = 50;
/// Interval between samples of the descriptor count.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The results of callers that each connect, send one request and stay connected.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct FullTable {
    pub callers: usize,
    /// Callers that tried to connect within the period.
    #[serde(rename = "came")]
    pub connection_attempts: u64,
    pub seconds: f64,
    pub not_connected: u64,
    /// Outcomes of the first request of each connected caller.
    pub first_requests: Outcomes,
    /// Connections that the node had not closed after the last caller.
    pub still_open: u64,
    #[serde(rename = "most_descriptors")]
    pub max_descriptors: usize,
    pub resident_kb: u64,
    /// Outcomes of the existing callers, which send requests at the peak rate.
    #[serde(rename = "regulars")]
    pub existing_callers: Outcomes,
    #[serde(rename = "regulars_reconnected")]
    pub existing_reconnected: u64,
    #[serde(rename = "regulars_latency")]
    pub existing_latency: Latency,
}

/// The callers of one thread and their results.
#[derive(Default)]
struct CallerBatch {
    connection_attempts: u64,
    not_connected: u64,
    first_requests: Outcomes,
    connections: Vec<Connection>,
}

impl CallerBatch {
    fn connect_all(count: usize, started: &Started, size: &Size) -> CallerBatch {
        let until = Instant::now() + ARRIVAL_PERIOD;
        let (path, tenant) = (request_path(size, 0), tenant(0));
        let request = Request {
            path: &path,
            tenant: &tenant,
            idempotency_key: None,
        };
        let mut batch = CallerBatch::default();
        while batch.connection_attempts < count as u64 && Instant::now() < until {
            batch.connection_attempts += 1;
            match Connection::open_within(started.addresses.front, CALLER_TIMEOUT) {
                Err(_) => batch.not_connected += 1,
                Ok(mut connection) => {
                    batch.first_requests.count(&connection.ask(&request));
                    batch.connections.push(connection);
                }
            }
        }
        batch
    }
}

/// Connects `callers` as fast as the node accepts them, while existing callers send requests.
///
/// # Errors
/// The process does not start, or ends early.
pub fn measure(bench: &Bench, callers: usize) -> Result<FullTable, MeasureError> {
    let size = Size {
        callers: EXISTING_CALLERS,
        ..Size::BASELINE
    };
    let mut started = bench.start(&size)?;
    started.process.wait_ready()?;
    let mut existing_callers = Callers::open(started.addresses.front, size)?;
    let mut latencies = histogram();
    let over = AtomicBool::new(false);
    let began = Instant::now();
    let (batches, max_descriptors) = std::thread::scope(|scope| {
        let (started, over) = (&started, &over);
        let batches: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(move || CallerBatch::connect_all(callers / THREADS, started, &size))
            })
            .collect();
        let watch = scope.spawn(move || watch_descriptors(started, over));
        while began.elapsed() < MIN_DURATION || !batches.iter().all(|batch| batch.is_finished()) {
            paced(PEAK_RATE, SAMPLE_INTERVAL, |_, due| {
                existing_callers.ask_next();
                latencies.saturating_record(due.elapsed().as_nanos() as u64);
            });
        }
        over.store(true, Ordering::Relaxed);
        let batches: Vec<CallerBatch> = batches
            .into_iter()
            .filter_map(|batch| batch.join().ok())
            .collect();
        (batches, watch.join().unwrap_or(0))
    });
    let seconds = began.elapsed().as_secs_f64();
    let mut first_requests = Outcomes::default();
    batches
        .iter()
        .for_each(|batch| first_requests.add(&batch.first_requests));
    let open =
        |batch: &CallerBatch| batch.connections.iter().filter(|one| one.is_open()).count() as u64;
    Ok(FullTable {
        callers,
        connection_attempts: batches.iter().map(|batch| batch.connection_attempts).sum(),
        seconds,
        not_connected: batches.iter().map(|batch| batch.not_connected).sum(),
        first_requests,
        still_open: batches.iter().map(open).sum(),
        max_descriptors,
        resident_kb: started.process.usage()?.resident_kb,
        existing_callers: existing_callers.outcomes,
        existing_reconnected: existing_callers.reconnected,
        existing_latency: Latency::from(&latencies),
    })
}

fn watch_descriptors(started: &Started, over: &AtomicBool) -> usize {
    let mut most = 0;
    while !over.load(Ordering::Relaxed) {
        most = most.max(started.process.usage().map_or(0, |usage| usage.descriptors));
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    most
}
