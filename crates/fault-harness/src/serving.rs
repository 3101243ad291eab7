//! Whether every process that runs serves somebody.
//!
//! A process that runs, is ready, and completes nothing while it is offered work breaks no promise to any one
//! caller: each may have been refused by the rules. It is of no use all the same, so it counts as a failure.
//! All times are Unix milliseconds.

use std::fmt;
use std::net::SocketAddr;

/// How long a process may complete nothing while it is offered work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// A stretch this long without a completion, in ms, is a failure.
    pub window_ms: u64,
    /// Only stretches in which at least so much was offered count.
    pub least_offers: usize,
}

/// One process: from when it was ready to its end, or to that of the observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life {
    pub front: SocketAddr,
    pub ready_at: u64,
    pub ended_at: u64,
}

/// One request that a caller offered to a front; an attempt that found no connection is one too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    pub front: SocketAddr,
    pub at: u64,
    /// When it was completed, if it was.
    pub completed_at: Option<u64>,
}

/// A stretch in which a process completed nothing of what it was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServesNobody {
    pub front: SocketAddr,
    pub from: u64,
    pub till: u64,
    pub offers: usize,
}

impl fmt::Display for ServesNobody {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let (front, offers, lasted) = (self.front, self.offers, self.till - self.from);
        write!(
            formatter,
            "{front} completed none of {offers} offered in {lasted} ms from {}",
            self.from
        )
    }
}

/// Every stretch longer than `patience` in which a process that ran served nobody.
pub fn serves_nobody(lives: &[Life], offers: &[Offer], patience: Patience) -> Vec<ServesNobody> {
    lives
        .iter()
        .flat_map(|life| idle_stretches(life, offers, patience))
        .collect()
}

fn idle_stretches(life: &Life, offers: &[Offer], patience: Patience) -> Vec<ServesNobody> {
    let is_within = |at: &u64| (life.ready_at..=life.ended_at).contains(at);
    let own = || offers.iter().filter(|offer| offer.front == life.front);
    let mut marks: Vec<u64> = own()
        .filter_map(|offer| offer.completed_at)
        .filter(is_within)
        .collect();
    marks.extend([life.ready_at, life.ended_at]);
    marks.sort_unstable();
    let mut offered: Vec<u64> = own().map(|offer| offer.at).filter(is_within).collect();
    offered.sort_unstable();
    let stretches = marks.windows(2).map(|pair| (pair[0], pair[1]));
    stretches
        .filter_map(|stretch| idle_stretch(life.front, stretch, &offered, patience))
        .collect()
}

/// Counted from the first offer of the stretch: before it there was nothing to complete.
fn idle_stretch(
    front: SocketAddr,
    (after, till): (u64, u64),
    offered: &[u64],
    patience: Patience,
) -> Option<ServesNobody> {
    let within: Vec<u64> = offered
        .iter()
        .copied()
        .filter(|at| (after..=till).contains(at))
        .collect();
    let from = *within.first()?;
    let is_long = till - from >= patience.window_ms;
    let offers = within.len();
    (is_long && offers >= patience.least_offers).then_some(ServesNobody {
        front,
        from,
        till,
        offers,
    })
}
