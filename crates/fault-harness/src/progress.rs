//! Checks that every running process makes progress.
//!
//! A process that is ready and completes no request may break none of the four rules, as each request may have
//! been properly rejected. It still counts as a failure. All times are Unix milliseconds.

use std::fmt;
use std::net::SocketAddr;

/// Bounds from which a span without a completion is a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressBounds {
    /// Shortest length of such a span, in ms.
    pub window_ms: u64,
    /// Smallest number of offers in such a span.
    pub min_offers: usize,
}

/// One process, from when it was ready to its end or the end of the observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLifetime {
    /// Where it accepts requests.
    pub listener: SocketAddr,
    /// When it was ready.
    pub ready_at: u64,
    /// When it, or the observation, ended.
    pub ended_at: u64,
}

/// One request that a caller offered to a listener; a refused connection counts as an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The listener.
    pub listener: SocketAddr,
    /// When it was sent.
    pub at: u64,
    /// When it was completed, if it was.
    pub completed_at: Option<u64>,
}

/// A span in which a process completed none of the requests that it was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The listener of the process.
    pub listener: SocketAddr,
    /// The first offer of the span.
    pub from: u64,
    /// The end of the span.
    pub until: u64,
    /// Offers in the span.
    pub offers: usize,
}

impl fmt::Display for Stall {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{} completed none of {} offered in {} ms from {}",
            self.listener,
            self.offers,
            self.until - self.from,
            self.from
        )
    }
}

/// All spans beyond the bounds in which a running process completed nothing.
pub fn stalls(
    lifetimes: &[ProcessLifetime],
    offers: &[Offer],
    bounds: ProgressBounds,
) -> Vec<Stall> {
    lifetimes
        .iter()
        .flat_map(|lifetime| stalls_of_process(lifetime, offers, bounds))
        .collect()
}

fn stalls_of_process(
    lifetime: &ProcessLifetime,
    offers: &[Offer],
    bounds: ProgressBounds,
) -> Vec<Stall> {
    let is_within = |at: &u64| (lifetime.ready_at..=lifetime.ended_at).contains(at);
    let own_offers = || {
        offers
            .iter()
            .filter(|offer| offer.listener == lifetime.listener)
    };
    let mut progress: Vec<u64> = own_offers()
        .filter_map(|offer| offer.completed_at)
        .filter(is_within)
        .collect();
    progress.extend([lifetime.ready_at, lifetime.ended_at]);
    progress.sort_unstable();
    let mut offered: Vec<u64> = own_offers()
        .map(|offer| offer.at)
        .filter(is_within)
        .collect();
    offered.sort_unstable();
    progress
        .windows(2)
        .filter_map(|span| stall(lifetime.listener, (span[0], span[1]), &offered, bounds))
        .collect()
}

/// The stall between two completions, if there is one. A stall starts with the first offer after the first
/// completion, as there was nothing to complete before.
fn stall(
    listener: SocketAddr,
    (after, until): (u64, u64),
    offered: &[u64],
    bounds: ProgressBounds,
) -> Option<Stall> {
    let within: Vec<u64> = offered
        .iter()
        .copied()
        .filter(|at| (after..=until).contains(at))
        .collect();
    let from = *within.first()?;
    let is_long = until - from >= bounds.window_ms;
    let offers = within.len();
    (is_long && offers >= bounds.min_offers).then_some(Stall {
        listener,
        from,
        until,
        offers,
    })
}
