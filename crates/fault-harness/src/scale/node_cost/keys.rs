//! Measures the memory used by idempotency keys and stored results, and the behavior when their table is full.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::bench::Bench;
use super::caller::{Connection, Outcome, Request, paced};
use super::measure::PEAK_RATE;
use super::process::MeasureError;
use super::settings::{KEYED_PATH, Size, tenant};
use crate::scale::series::Point;

/// Number of keys between memory samples while requests are sent as fast as possible.
const KEYS_PER_SAMPLE: usize = 2_000;
/// Maximum number of keys; larger than any table with the settings used here.
const MAX_KEYS: usize = 100_000;
/// Maximum duration of sending requests as fast as possible.
const MAX_FILL_DURATION: Duration = Duration::from_secs(25);

/// Resident memory by number of keys held.
#[derive(Clone, Debug, Serialize)]
pub struct KeysHeld {
    /// Resident kB by keys held, at the peak rate of deduplicated requests, with one point per second.
    pub at_peak: Vec<Point>,
    /// Resident kB by keys held, afterwards, as fast as one caller can send.
    pub beyond: Vec<Point>,
    /// Keys held when the first request was refused because the table was full; None if none was.
    pub full_at: Option<usize>,
    /// The outcome of a new key when the table is full.
    pub when_full: Option<String>,
    /// The outcome of a repeat of the first key at that time.
    pub repeat_when_full: Option<String>,
}

/// A caller that uses a new key for each request.
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

    /// Sends a request with the next key, and counts the key if the request is completed.
    fn ask_next(&mut self) -> Result<Outcome, MeasureError> {
        let outcome = self.ask(self.keys)?;
        self.keys += usize::from(outcome == Outcome::Completed);
        Ok(outcome)
    }
}

/// Sends requests at the peak rate for `at_peak_for`, which must not exceed the dedup window of the settings.
/// If `fill` is set, it then sends as fast as possible until the table is full.
///
/// # Errors
/// The process does not start, or closes a connection.
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
    let until = Instant::now() + MAX_FILL_DURATION;
    while fill && held.full_at.is_none() && caller.keys < MAX_KEYS && Instant::now() < until {
        let outcome = caller.ask_next()?;
        if outcome != Outcome::Completed {
            held.full_at = Some(caller.keys);
            held.when_full = Some(format!("{outcome:?}"));
            held.repeat_when_full = Some(format!("{:?}", caller.ask(0)?));
        }
        if caller.keys.is_multiple_of(KEYS_PER_SAMPLE) || held.full_at.is_some() {
            held.beyond.push(Point {
                size: caller.keys as f64,
                value: resident()?,
            });
        }
    }
    Ok(held)
}
