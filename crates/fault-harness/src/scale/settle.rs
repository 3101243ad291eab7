//! Waiting until a fleet that has just found together is calm: news of who joined is passed on for some time
//! after all know it, and would be measured as if it were the cost of standing still.

use std::time::{Duration, Instant};

use super::error::ScaleError;
use super::fleet::RunningFleet;

/// Traffic is compared from one such span to the next.
const SPAN: Duration = Duration::from_secs(2);
/// By which part of it traffic may differ between two spans of a calm fleet.
const SWAY: f64 = 0.05;

/// How long to wait.
#[derive(Clone, Copy, Debug)]
pub struct SettleTerms {
    pub least: Duration,
    pub most: Duration,
}

/// Since when a fleet was calm.
#[derive(Clone, Copy, Debug)]
pub struct Settled {
    /// The beginning of the two spans with the same traffic; none if it did not come to that.
    pub calm_since: Option<Instant>,
}

/// Whether the last two of these rates are the same but for a twentieth.
pub fn is_calm(rates: &[f64]) -> bool {
    match rates {
        [.., earlier, later] => (later - earlier).abs() <= SWAY * earlier.abs(),
        _ => false,
    }
}

/// Waits until the traffic of voters and hollow nodes stays as it is.
///
/// # Errors
/// A process that is gone.
pub fn settle(fleet: &mut RunningFleet, terms: SettleTerms) -> Result<Settled, ScaleError> {
    let began = Instant::now();
    std::thread::sleep(terms.least);
    let (mut rates, mut before) = (Vec::new(), (Instant::now(), bytes(fleet)?));
    let mut calm_since = None;
    let mut span_before = before.0;
    while calm_since.is_none() && began.elapsed() < terms.most {
        std::thread::sleep(SPAN);
        let now = (Instant::now(), bytes(fleet)?);
        rates.push(now.1.saturating_sub(before.1) as f64 / (now.0 - before.0).as_secs_f64());
        calm_since = is_calm(&rates).then_some(span_before);
        span_before = before.0;
        before = now;
    }
    Ok(Settled { calm_since })
}

fn bytes(fleet: &mut RunningFleet) -> Result<u64, ScaleError> {
    Ok(fleet
        .node_samples()?
        .iter()
        .map(|sample| sample.bytes_in)
        .sum())
}
