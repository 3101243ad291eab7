//! What idempotency keys and results take of the memory, and what comes when their table is full.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::bench::Bench;
use super::caller::{Connection, Outcome, Request, paced};
use super::measure::PEAK_RATE;
use super::process::MeasureError;
use super::settings::{KEYED_PATH, Size, tenant};
use crate::scale::series::Point;

/// Keys between two looks at the memory once they come as fast as one caller asks.
const LOOK_EVERY: usize = 2_000;
/// No table of the settings used here has room for so many.
const MOST_KEYS: usize = 100_000;
/// Asking as fast as possible ends after so long at the latest.
const FAST_FOR: Duration = Duration::from_secs(25);

/// Keys held against resident memory.
#[derive(Clone, Debug, Serialize)]
pub struct KeysHeld {
    /// At the peak's rate, all of it deduplicated, a point a second: resident kB by keys held.
    pub at_peak: Vec<Point>,
    /// Then as fast as one caller asks.
    pub beyond: Vec<Point>,
    /// Keys held when the first was refused for lack of room; none if all were taken.
    pub full_at: Option<usize>,
    /// What a new key is answered when the table is full.
    pub when_full: Option<String>,
    /// What a repeat of the first key is answered then.
    pub repeat_when_full: Option<String>,
}

/// One caller whose every request has a key that was never used before.
struct KeyedCaller {
    connection: Connection,
    tenant: String,
    keys: usize,
}

impl KeyedCaller {
    fn ask(&mut self, key: usize) -> Result<Outcome, MeasureError> {
        let idempotency_key = Some(key as u64 + 1);
        let request = Request {
            path: KEYED_PATH,
            tenant: &self.tenant,
            idempotency_key,
        };
        Ok(self.connection.ask(&request)?)
    }

    /// Asks with the next key; whether it was completed.
    fn ask_next(&mut self) -> Result<Outcome, MeasureError> {
        let outcome = self.ask(self.keys)?;
        self.keys += usize::from(outcome == Outcome::Completed);
        Ok(outcome)
    }
}

/// Asks for `at_peak_for`, which is to be no longer than the window of the settings, at the peak's rate;
/// then, if the table is to be filled, as fast as possible until it is full.
///
/// # Errors
/// The process does not start, or ends a connection.
pub fn measure(bench: &Bench, at_peak_for: Duration, fill: bool) -> Result<KeysHeld, MeasureError> {
    let mut started = bench.start(&Size::BASELINE)?;
    started.process.wait_ready()?;
    let connection = Connection::open(started.addresses.front)?;
    let mut caller = KeyedCaller {
        connection,
        tenant: tenant(0),
        keys: 0,
    };
    let resident = || Ok::<f64, MeasureError>(started.process.usage()?.resident_kb as f64);
    let mut held = KeysHeld {
        at_peak: vec![Point {
            size: 0.0,
            value: resident()?,
        }],
        beyond: Vec::new(),
        full_at: None,
        when_full: None,
        repeat_when_full: None,
    };
    for _ in 0..at_peak_for.as_secs() {
        let mut outcome = Ok(Outcome::Completed);
        paced(PEAK_RATE, Duration::from_secs(1), |_, _| {
            if outcome.is_ok() {
                outcome = caller.ask_next();
            }
        });
        outcome?;
        held.at_peak.push(Point {
            size: caller.keys as f64,
            value: resident()?,
        });
    }
    let until = Instant::now() + FAST_FOR;
    while fill && held.full_at.is_none() && caller.keys < MOST_KEYS && Instant::now() < until {
        let outcome = caller.ask_next()?;
        if outcome != Outcome::Completed {
            held.full_at = Some(caller.keys);
            held.when_full = Some(format!("{outcome:?}"));
            held.repeat_when_full = Some(format!("{:?}", caller.ask(0)?));
        }
        if caller.keys.is_multiple_of(LOOK_EVERY) || held.full_at.is_some() {
            held.beyond.push(Point {
                size: caller.keys as f64,
                value: resident()?,
            });
        }
    }
    Ok(held)
}
