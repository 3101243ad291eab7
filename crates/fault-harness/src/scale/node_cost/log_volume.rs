//! Bytes that a node logs: with nobody asking, with every request rejected, and with every server gone.

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

/// Servers of each pool where all are gone.
const SERVERS_GONE: usize = 4;

/// As many pools as there may be, the one without a name included.
const MOST_SERVICES: Size = Size {
    services: MAX_POOLS + 1,
    ..Size::BASELINE
};

/// One situation over a time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LogVolume {
    pub pools: usize,
    pub seconds: f64,
    pub bytes: u64,
    pub lines: u64,
    /// Requests asked meanwhile and what came of them.
    pub outcomes: Outcomes,
}

impl LogVolume {
    pub fn bytes_per_second(&self) -> f64 {
        self.bytes as f64 / self.seconds
    }
}

/// The situations, each on a process of its own.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LogVolumes {
    /// Nobody asks.
    pub calm: LogVolume,
    /// The same with as many pools as there may be.
    pub calm_most_pools: LogVolume,
    /// A budget has room for next to none of the peak's requests.
    pub rejecting: LogVolume,
    /// No server takes a connection.
    pub servers_gone: LogVolume,
}

/// # Errors
/// A process does not start or ends.
pub fn measure(bench: &Bench, lasts: Duration) -> Result<LogVolumes, MeasureError> {
    std::thread::scope(|scope| {
        let few_pools = scope.spawn(|| calm(bench, Size::BASELINE, lasts));
        let most_pools = scope.spawn(|| calm(bench, MOST_SERVICES, lasts));
        let rejecting = scope.spawn(|| rejecting(bench, lasts));
        let servers_gone = scope.spawn(|| servers_gone(bench, lasts));
        let ended = |thread: std::thread::ScopedJoinHandle<Result<LogVolume, MeasureError>>| {
            thread
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        };
        Ok(LogVolumes {
            calm: ended(few_pools)?,
            calm_most_pools: ended(most_pools)?,
            rejecting: ended(rejecting)?,
            servers_gone: ended(servers_gone)?,
        })
    })
}

fn calm(bench: &Bench, size: Size, lasts: Duration) -> Result<LogVolume, MeasureError> {
    let mut started = bench.start(&size)?;
    started.process.wait_ready()?;
    let before = started.process.log();
    std::thread::sleep(lasts);
    let after = started.process.log();
    let (bytes, lines) = (after.bytes - before.bytes, after.lines - before.lines);
    let seconds = lasts.as_secs_f64();
    Ok(LogVolume {
        pools: size.services,
        seconds,
        bytes,
        lines,
        outcomes: Outcomes::default(),
    })
}

/// All requests are of one tenant, whose budget has one a second.
fn rejecting(bench: &Bench, lasts: Duration) -> Result<LogVolume, MeasureError> {
    let size = Size {
        tenants: 1,
        budgets: Some(1),
        ..Size::BASELINE
    };
    let mut started = bench.start_changed(&size, |installation| {
        installation["budgets"][0] = json!({"name": "scarce", "kind": "rate", "whole": 1, "burst": 1,
            "for": {"customer": tenant(0)}});
    })?;
    under_load(&mut started, size, lasts)
}

/// Every pool names servers that nobody listens at; of several, most are put aside.
fn servers_gone(bench: &Bench, lasts: Duration) -> Result<LogVolume, MeasureError> {
    let size = MOST_SERVICES;
    let nobody = addresses_of_nobody()?;
    let mut started = bench.start_changed(&size, |installation| {
        installation["servers"]["addresses"] = json!(nobody);
        installation["servers"]["at_once"] = json!(1);
        let servers = installation["servers"].clone();
        for (_, pool) in installation["pools"].as_object_mut().into_iter().flatten() {
            *pool = servers.clone();
        }
    })?;
    under_load(&mut started, size, lasts)
}

/// Addresses that were free a moment ago.
fn addresses_of_nobody() -> std::io::Result<Vec<String>> {
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
    lasts: Duration,
) -> Result<LogVolume, MeasureError> {
    started.process.wait_ready()?;
    let mut callers = Callers::open(started.addresses.front, size)?;
    let before = started.process.log();
    paced(PEAK_RATE, lasts, |_, _| callers.ask_next());
    let after = started.process.log();
    let (bytes, lines) = (after.bytes - before.bytes, after.lines - before.lines);
    let (pools, seconds, outcomes) = (size.services, lasts.as_secs_f64(), callers.outcomes);
    Ok(LogVolume {
        pools,
        seconds,
        bytes,
        lines,
        outcomes,
    })
}
