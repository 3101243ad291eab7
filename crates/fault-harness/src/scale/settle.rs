//! Waits until the traffic of a newly formed fleet is steady. Updates about joined members are gossiped for some
//! time after all nodes know them, and would be measured as idle traffic.

use std::time::{Duration, Instant};

use super::error::ScaleError;
use super::fleet::RunningFleet;

/// Traffic is compared between consecutive intervals of this length.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum relative difference of traffic between two consecutive intervals of a steady fleet.
const MAX_RELATIVE_CHANGE: f64 = 0.05;

/// Bounds on the wait.
#[derive(Clone, Copy, Debug)]
pub struct SettleOptions {
    pub min_wait: Duration,
    pub max_wait: Duration,
}

/// The result of waiting for steady traffic.
#[derive(Clone, Copy, Debug)]
pub struct Settled {
    /// Start of the two intervals with equal traffic; None if the traffic did not become steady.
    pub steady_since: Option<Instant>,
}

/// Returns true if the last two rates differ by at most 5%.
pub fn is_steady(rates: &[f64]) -> bool {
    match rates {
        [.., earlier, later] => (later - earlier).abs() <= MAX_RELATIVE_CHANGE * earlier.abs(),
        _ => false,
    }
}

/// Waits until the traffic of voters and hollow nodes is steady.
///
/// # Errors
/// A process has ended.
pub fn settle(fleet: &mut RunningFleet, options: SettleOptions) -> Result<Settled, ScaleError> {
    let began = Instant::now();
    std::thread::sleep(options.min_wait);
    let (mut rates, mut before) = (Vec::new(), (Instant::now(), bytes(fleet)?));
    let mut steady_since = None;
    let mut span_before = before.0;
    while steady_since.is_none() && began.elapsed() < options.max_wait {
        std::thread::sleep(SAMPLE_INTERVAL);
        let now = (Instant::now(), bytes(fleet)?);
        rates.push(now.1.saturating_sub(before.1) as f64 / (now.0 - before.0).as_secs_f64());
        steady_since = is_steady(&rates).then_some(span_before);
        span_before = before.0;
        before = now;
    }
    Ok(Settled { steady_since })
}

fn bytes(fleet: &mut RunningFleet) -> Result<u64, ScaleError> {
    Ok(fleet
        .node_samples()?
        .iter()
        .map(|sample| sample.bytes_in)
        .sum())
}
