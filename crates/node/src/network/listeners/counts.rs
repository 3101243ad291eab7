//! What a listener counts, for the log.

use std::collections::BTreeMap;

/// Counts since the start.
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
    /// Requests that could not be read, by the name of what was unreadable.
    pub unreadable: BTreeMap<&'static str, u64>,
    /// Requests turned down before admission, as a bound of the sockets was met.
    pub no_capacity: u64,
    /// Connections closed, by the name of the reason.
    pub terminations: BTreeMap<&'static str, u64>,
}

impl Counts {
    /// Adds another listener's counts.
    pub fn add(&mut self, other: &Counts) {
        self.accepted += other.accepted;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.health_checks += other.health_checks;
        self.no_capacity += other.no_capacity;
        add_by_name(&mut self.unreadable, &other.unreadable);
        add_by_name(&mut self.terminations, &other.terminations);
    }
}

fn add_by_name(total: &mut BTreeMap<&'static str, u64>, other: &BTreeMap<&'static str, u64>) {
    for (name, count) in other {
        *total.entry(name).or_default() += count;
    }
}
