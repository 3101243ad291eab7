//! Load on a node: closed loop, or open loop whose latencies count from when a request was due, so that a
//! stalled node is charged for all requests that were due meanwhile.

mod caller;
mod connection;

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use doortrack_protocols::Protocol;
use hdrhistogram::Histogram;

use self::caller::CallerThread;
use crate::target::{ResourceUsage, Target};

/// Latencies over a minute count as a minute.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How requests arrive.
#[derive(Clone, Copy)]
pub enum Arrivals {
    /// A fixed number of callers, each of which waits for its answer before its next request.
    ClosedLoop {
        /// Requests in flight at once.
        callers: usize,
    },
    /// A Poisson process, whatever the node does.
    OpenLoop {
        /// Mean requests per second.
        rate: f64,
    },
}

/// The load of one round.
pub struct Load {
    /// Where the node listens.
    pub address: SocketAddr,
    /// The protocol of the requests.
    pub protocol: Protocol,
    /// When requests are sent.
    pub arrivals: Arrivals,
    /// Connections in all, where a protocol has many requests on one.
    pub connections: usize,
    /// Threads that send requests.
    pub threads: usize,
    /// Bytes of each body.
    pub body_bytes: usize,
    /// Time before the measurement.
    pub warm_up: Duration,
    /// Time of the measurement.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// The result of one round. Only requests that ended within the measurement count.
pub struct LoadResult {
    /// Requests that ended, by result and latency.
    pub requests: RequestStats,
    /// Seconds of the measurement.
    pub seconds: f64,
    /// What the node used meanwhile.
    pub usage: ResourceUsage,
}

/// Requests that ended, by result and latency.
pub struct RequestStats {
    /// Microseconds from when a request was due to the end of its answer.
    pub latencies: Histogram<u64>,
    /// Requests answered with status 200.
    pub succeeded: u64,
    /// All others.
    pub failed: u64,
}

impl RequestStats {
    fn new() -> RequestStats {
        RequestStats {
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("constant bounds are valid"),
            succeeded: 0,
            failed: 0,
        }
    }

    fn record(&mut self, latency: Duration, succeeded: bool) {
        self.latencies.saturating_record(latency.as_micros() as u64);
        if succeeded {
            self.succeeded += 1;
        } else {
            self.failed += 1;
        }
    }

    fn add(&mut self, other: &RequestStats) -> io::Result<()> {
        self.latencies
            .add(&other.latencies)
            .map_err(io::Error::other)?;
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        Ok(())
    }
}

impl Load {
    /// Applies the load to a node and measures it.
    ///
    /// # Errors
    /// Those of sockets, and a connection of FastCGI that the node closes.
    pub fn run(&self, target: &Target) -> io::Result<LoadResult> {
        let measure_from = Instant::now() + self.warm_up;
        let measured = measure_from..measure_from + self.duration;
        let threads: Vec<_> = (0..self.threads)
            .map(|index| {
                let caller = CallerThread::new(self, index, measured.clone());
                thread::spawn(move || caller?.run())
            })
            .collect();
        thread::sleep(self.warm_up);
        let before = target.usage();
        thread::sleep(self.duration);
        let after = target.usage();
        let mut requests = RequestStats::new();
        for thread in threads {
            let stats = thread
                .join()
                .map_err(|_| io::Error::other("a caller's thread has ended"))??;
            requests.add(&stats)?;
        }
        Ok(LoadResult {
            requests,
            seconds: self.duration.as_secs_f64(),
            usage: ResourceUsage {
                cpu_us: after.cpu_us - before.cpu_us,
                memory_kb: after.memory_kb,
            },
        })
    }
}
