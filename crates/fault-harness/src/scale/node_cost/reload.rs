//! A rule changed under way: how long until it is in force, and how long a caller waits meanwhile.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::bench::Started;
use super::caller::{Connection, Outcome, Request};
use super::process::MeasureError;
use super::settings::{Size, installation_changed, probe_path, tenant, unchanged_path};
use super::units::milliseconds;
use crate::scale::series::Point;

/// The caller asks so often.
const ASKS_EVERY: Duration = Duration::from_millis(1);
/// Asked before the signal, and after the change is in force.
const AROUND: usize = 100;
/// Between two of many reloads; each is long over by then.
const BETWEEN_REPEATS: Duration = Duration::from_millis(700);
/// The change is in force after so long at the latest.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(20);

/// One changed rule.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Reload {
    /// From the signal to the end of the first answer that follows the changed rule.
    pub in_force_ms: f64,
    /// The longest from when a request was due to its answer; one is due every ms.
    pub worst_wait_ms: f64,
    /// The same before the signal.
    pub worst_wait_before_ms: f64,
    /// Processor time of the node from the signal to then.
    pub processor_ms: f64,
    /// After it.
    pub resident_kb: u64,
}

/// A caller that asks every ms.
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

    /// Asks when the next request is due: what came of it, and the wait since it was due.
    fn ask(&mut self) -> Result<(Outcome, Duration), MeasureError> {
        std::thread::sleep(self.due.saturating_duration_since(Instant::now()));
        let request = Request {
            path: &self.path,
            tenant: &tenant(0),
            idempotency_key: None,
        };
        let outcome = self.connection.ask(&request)?;
        let wait = self.due.elapsed();
        self.due += ASKS_EVERY;
        Ok((outcome, wait))
    }

    /// Asks so many times: the longest wait.
    fn ask_many(&mut self, count: usize) -> Result<Duration, MeasureError> {
        (0..count).try_fold(Duration::ZERO, |worst, _| Ok(worst.max(self.ask()?.1)))
    }
}

/// Signals so many times in turn with the last rule changed and as it was: resident kB by the number of
/// reloads.
///
/// # Errors
/// The process is gone.
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
        started.process.hang_up()?;
        std::thread::sleep(BETWEEN_REPEATS);
        points.push(Point {
            size: (nth + 1) as f64,
            value: resident()?,
        });
    }
    Ok(points)
}

/// Changes the last rule, signals, and asks until the change is in force: what was served is then refused.
///
/// # Errors
/// The node ends a connection, or the change does not come into force in time.
pub fn measure(started: &Started, size: &Size) -> Result<Reload, MeasureError> {
    let (process, front) = (&started.process, started.addresses.front);
    let mut prober = Prober::open(front, probe_path(size).into())?;
    let worst_before = prober.ask_many(AROUND)?;
    process.replace_installation(&installation_changed(&started.installation))?;
    // Writing the file took some time, which is no wait for the node.
    prober.due = Instant::now();
    let processor_before = process.usage()?.processor;
    let signalled = Instant::now();
    process.hang_up()?;
    let mut worst = Duration::ZERO;
    loop {
        let (outcome, wait) = prober.ask()?;
        worst = worst.max(wait);
        if matches!(outcome, Outcome::Unreadable(_)) {
            break;
        }
        if signalled.elapsed() > IN_FORCE_WITHIN {
            return Err(process.too_late("a changed rule", IN_FORCE_WITHIN));
        }
    }
    let in_force = signalled.elapsed();
    let processor = process.usage()?.processor.saturating_sub(processor_before);
    // What can't be read makes its connection rest for a while, so those that follow have another.
    let mut after = Prober::open(front, unchanged_path(size))?;
    after.due = prober.due;
    let worst = worst.max(after.ask_many(AROUND)?);
    Ok(Reload {
        in_force_ms: milliseconds(in_force),
        worst_wait_ms: milliseconds(worst),
        worst_wait_before_ms: milliseconds(worst_before),
        processor_ms: milliseconds(processor),
        resident_kb: process.usage()?.resident_kb,
    })
}
