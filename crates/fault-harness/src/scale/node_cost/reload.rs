//! Measures a reload with a changed rule: the time until it is in force, and the wait of a caller meanwhile.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::bench::Started;
use super::caller::{Connection, Outcome, Request};
use super::process::MeasureError;
use super::settings::{Size, installation_changed, probe_path, tenant, unchanged_path};
use super::units::milliseconds;
use crate::scale::series::Point;

/// Interval between requests of the caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1);
/// Number of requests before the signal, and again after the change is in force.
const REQUESTS_AROUND_RELOAD: usize = 100;
/// Interval between repeated reloads, longer than a reload takes.
const RELOAD_INTERVAL: Duration = Duration::from_millis(700);
/// Time limit for the change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);

/// The results of one reload.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Reload {
    /// From the signal to the end of the first response under the changed rule.
    pub in_force_ms: f64,
    /// The longest time from when a request was due to its response; one is due every ms.
    pub worst_wait_ms: f64,
    /// The longest such time before the signal.
    pub worst_wait_before_ms: f64,
    /// Processor time of the node from the signal until the rule was in force.
    pub processor_ms: f64,
    /// After the reload.
    pub resident_kb: u64,
}

/// A caller that sends a request every ms.
struct Prober {
    connection: Connection,
    path: String,
    due: Instant,
}

impl Prober {
    fn open(front: SocketAddr, path: String) -> Result<Prober, MeasureError> {
        Ok(Prober {
            connection: Connection::open(front)?,
            path,
            due: Instant::now(),
        })
    }

    /// Sends the next request when it is due. Returns its outcome and the time since it was due.
    fn ask(&mut self) -> Result<(Outcome, Duration), MeasureError> {
        std::thread::sleep(self.due.saturating_duration_since(Instant::now()));
        let request = Request {
            path: &self.path,
            tenant: &tenant(0),
            idempotency_key: None,
        };
        let outcome = self.connection.ask(&request)?;
        let wait = self.due.elapsed();
        self.due += REQUEST_INTERVAL;
        Ok((outcome, wait))
    }

    /// Sends `count` requests and returns the longest wait.
    fn ask_many(&mut self, count: usize) -> Result<Duration, MeasureError> {
        (0..count).try_fold(Duration::ZERO, |worst, _| Ok(worst.max(self.ask()?.1)))
    }
}

/// Reloads `count` times, alternating between the changed and the original last rule. Returns the resident kB
/// by the number of reloads.
///
/// # Errors
/// The process has ended.
pub fn repeat(started: &Started, count: usize) -> Result<Vec<Point>, MeasureError> {
    let files = [
        installation_changed(&started.installation),
        started.installation.clone(),
    ];
    let resident = || Ok::<f64, MeasureError>(started.process.usage()?.resident_kb as f64);
    let mut points = vec![Point {
        size: 0.0,
        value: resident()?,
    }];
    for nth in 0..count {
        started
            .process
            .replace_installation(&files[nth % files.len()])?;
        started.process.send_sighup()?;
        std::thread::sleep(RELOAD_INTERVAL);
        points.push(Point {
            size: (nth + 1) as f64,
            value: resident()?,
        });
    }
    Ok(points)
}

/// Changes the last rule, sends SIGHUP, and sends requests until the change is in force and they are answered
/// as unreadable.
///
/// # Errors
/// The node closes a connection, or the change does not come into force in time.
pub fn measure(started: &Started, size: &Size) -> Result<Reload, MeasureError> {
    let (process, front) = (&started.process, started.addresses.front);
    let mut prober = Prober::open(front, probe_path(size).into())?;
    let worst_before = prober.ask_many(REQUESTS_AROUND_RELOAD)?;
    process.replace_installation(&installation_changed(&started.installation))?;
    // The time spent writing the file does not count as waiting for the node.
    prober.due = Instant::now();
    let processor_before = process.usage()?.processor;
    let signalled = Instant::now();
    process.send_sighup()?;
    let mut worst = Duration::ZERO;
    loop {
        let (outcome, wait) = prober.ask()?;
        worst = worst.max(wait);
        if matches!(outcome, Outcome::Unreadable(_)) {
            break;
        }
        if signalled.elapsed() > IN_FORCE_TIMEOUT {
            return Err(process.too_late("a changed rule", IN_FORCE_TIMEOUT));
        }
    }
    let in_force = signalled.elapsed();
    let processor = process.usage()?.processor.saturating_sub(processor_before);
    // The node pauses a connection after an unreadable request, so the following ones use a new connection.
    let mut after = Prober::open(front, unchanged_path(size))?;
    after.due = prober.due;
    let worst = worst.max(after.ask_many(REQUESTS_AROUND_RELOAD)?);
    Ok(Reload {
        in_force_ms: milliseconds(in_force),
        worst_wait_ms: milliseconds(worst),
        worst_wait_before_ms: milliseconds(worst_before),
        processor_ms: milliseconds(processor),
        resident_kb: process.usage()?.resident_kb,
    })
}
