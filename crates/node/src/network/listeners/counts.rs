//! A listener's counters, for the log.

use std::collections::BTreeMap;

/// A listener's counts since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Connections accepted.
    pub accepted: u64,
    /// Requests answered with a result.
    pub completed: u64,
    /// Requests that admission rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Health checks answered.
    pub health_checks: u64,
    /// Requests that could not be decoded, by the name of the unreadable part.
    pub unreadable: BTreeMap<&'static str, u64>,
    /// Requests refused before admission, by the name of the [`RefusalReason`](crate::network::request::RefusalReason).
    pub no_capacity: BTreeMap<&'static str, u64>,
    /// Connections closed, by the name of the termination.
    pub terminations: BTreeMap<&'static str, u64>,
}

impl Counts {
    /// Returns the number of requests refused before admission, for any reason.
    pub fn no_capacity_total(&self) -> u64 {
        self.no_capacity.values().sum()
    }

    /// Adds another listener's counts.
    pub fn add(&mut self, other: &Counts) {
        self.accepted += other.accepted;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.health_checks += other.health_checks;
        add_by_name(&mut self.no_capacity, &other.no_capacity);
        add_by_name(&mut self.unreadable, &other.unreadable);
        add_by_name(&mut self.terminations, &other.terminations);
    }
}

fn add_by_name(total: &mut BTreeMap<&'static str, u64>, other: &BTreeMap<&'static str, u64>) {
    for (name, count) in other {
        *total.entry(name).or_default() += count;
    }
}
