//! Load on a node, in a closed or an open loop. In an open loop, latency counts from the time at which the
//! request was due, so that a stall counts against every request that was due during it (no coordinated
//! omission).

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

/// Upper bound of recorded latencies in microseconds; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How requests arrive.
#[derive(Clone, Copy)]
pub enum Arrivals {
    /// A fixed number of callers, each of which waits for its answer before it sends its next request.
    ClosedLoop {
        /// Requests in flight at once.
        callers: usize,
    },
    /// A Poisson process, independent of the answers.
    OpenLoop {
        /// Mean requests per second.
        rate: f64,
    },
}

/// The load of one round.
pub struct Load {
    /// The address of the node's listener.
    pub address: SocketAddr,
    /// The protocol of the requests.
    pub protocol: Protocol,
    /// When requests are sent.
    pub arrivals: Arrivals,
    /// Total number of connections, for a protocol that multiplexes requests.
    pub connections: usize,
    /// Threads that send requests.
    pub threads: usize,
    /// Length of each request body in bytes.
    pub body_bytes: usize,
    /// Duration of the load before the measurement.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Seed of the random arrival times.
    pub seed: u64,
}

/// The result of one round. Only requests that ended during the measurement are counted.
pub struct LoadResult {
    /// The requests that ended.
    pub requests: RequestStats,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// CPU time that the node used during the measurement, and its memory at the end.
    pub usage: ResourceUsage,
}

/// Counts of requests by result, and their latencies.
pub struct RequestStats {
    /// Microseconds from the time at which a request was due to the end of its answer.
    pub latencies: Histogram<u64>,
    /// Requests answered with status 200.
    pub succeeded: u64,
    /// All other requests.
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
    /// Returns an error if a socket operation fails or the node closes a FastCGI connection.
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
                .map_err(|_| io::Error::other("a caller thread panicked"))??;
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
