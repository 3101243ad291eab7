//! Measures the log volume of a node without requests, with all requests rejected, and without servers.

use std::net::TcpListener;
use std::time::Duration;

use doortrack_config::installation::MAX_POOLS;
use serde::Serialize;
use serde_json::json;

use super::bench::{Bench, Started};
use super::caller::{Outcomes, paced};
use super::measure::{Callers, PEAK_RATE};
use super::process::MeasureError;
use super::settings::{Size, tenant};

/// Number of unreachable servers in each pool.
const SERVERS_GONE: usize = 4;

/// The maximum number of pools, including the unnamed pool.
const MAX_SERVICES: Size = Size {
    services: MAX_POOLS + 1,
    ..Size::BASELINE
};

/// The log volume in one situation.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LogVolume {
    pub pools: usize,
    pub seconds: f64,
    pub bytes: u64,
    pub lines: u64,
    /// Outcomes of the requests sent during the measurement.
    pub outcomes: Outcomes,
}

impl LogVolume {
    pub fn bytes_per_second(&self) -> f64 {
        self.bytes as f64 / self.seconds
    }
}

/// The log volume in each situation; each is measured on its own process.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LogVolumes {
    /// No requests.
    #[serde(rename = "calm")]
    pub idle: LogVolume,
    /// No requests, with the maximum number of pools.
    #[serde(rename = "calm_most_pools")]
    pub idle_max_pools: LogVolume,
    /// A budget that rejects almost all requests at the peak rate.
    pub rejecting: LogVolume,
    /// No server accepts connections.
    pub servers_gone: LogVolume,
}

/// # Errors
/// A process does not start, or ends early.
pub fn measure(bench: &Bench, duration: Duration) -> Result<LogVolumes, MeasureError> {
    std::thread::scope(|scope| {
        let few_pools = scope.spawn(|| measure_idle(bench, Size::BASELINE, duration));
        let most_pools = scope.spawn(|| measure_idle(bench, MAX_SERVICES, duration));
        let rejecting = scope.spawn(|| rejecting(bench, duration));
        let servers_gone = scope.spawn(|| servers_gone(bench, duration));
        let ended = |thread: std::thread::ScopedJoinHandle<Result<LogVolume, MeasureError>>| {
            thread
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        };
        Ok(LogVolumes {
            idle: ended(few_pools)?,
            idle_max_pools: ended(most_pools)?,
            rejecting: ended(rejecting)?,
            servers_gone: ended(servers_gone)?,
        })
    })
}

fn measure_idle(bench: &Bench, size: Size, duration: Duration) -> Result<LogVolume, MeasureError> {
    let mut started = bench.start(&size)?;
    started.process.wait_ready()?;
    let before = started.process.log();
    std::thread::sleep(duration);
    let after = started.process.log();
    let (bytes, lines) = (after.bytes - before.bytes, after.lines - before.lines);
    let seconds = duration.as_secs_f64();
    Ok(LogVolume {
        pools: size.services,
        seconds,
        bytes,
        lines,
        outcomes: Outcomes::default(),
    })
}

/// Measures with all requests from one tenant, whose budget allows one request per second.
fn rejecting(bench: &Bench, duration: Duration) -> Result<LogVolume, MeasureError> {
    let size = Size {
        tenants: 1,
        budgets: Some(1),
        ..Size::BASELINE
    };
    let mut started = bench.start_changed(&size, |installation| {
        installation["budgets"][0] = json!({"name": "scarce", "kind": "rate", "whole": 1, "burst": 1,
            "for": {"customer": tenant(0)}});
    })?;
    under_load(&mut started, size, duration)
}

/// Measures with server addresses that nothing listens on in all pools. Most of several such servers are
/// ejected.
fn servers_gone(bench: &Bench, duration: Duration) -> Result<LogVolume, MeasureError> {
    let size = MAX_SERVICES;
    let nobody = unused_addresses()?;
    let mut started = bench.start_changed(&size, |installation| {
        installation["servers"]["addresses"] = json!(nobody);
        installation["servers"]["at_once"] = json!(1);
        let servers = installation["servers"].clone();
        for (_, pool) in installation["pools"].as_object_mut().into_iter().flatten() {
            *pool = servers.clone();
        }
    })?;
    under_load(&mut started, size, duration)
}

/// Returns addresses that were unused a moment ago.
fn unused_addresses() -> std::io::Result<Vec<String>> {
    let listeners: Vec<TcpListener> = (0..SERVERS_GONE)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()?;
    listeners
        .iter()
        .map(|listener| Ok(listener.local_addr()?.to_string()))
        .collect()
}

fn under_load(
    started: &mut Started,
    size: Size,
    duration: Duration,
) -> Result<LogVolume, MeasureError> {
    started.process.wait_ready()?;
    let mut callers = Callers::open(started.addresses.front, size)?;
    let before = started.process.log();
    paced(PEAK_RATE, duration, |_, _| callers.ask_next());
    let after = started.process.log();
    let (bytes, lines) = (after.bytes - before.bytes, after.lines - before.lines);
    let (pools, seconds, outcomes) = (size.services, duration.as_secs_f64(), callers.outcomes);
    Ok(LogVolume {
        pools,
        seconds,
        bytes,
        lines,
        outcomes,
    })
}
