//! A listener's counters, for the log.

use std::collections::BTreeMap;

use crate::network::connection::Connection;
use crate::network::termination::Termination;

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
    /// Bytes of input that were not parsed before their connection closed, by the name of the termination.
    pub discarded_bytes: BTreeMap<&'static str, u64>,
    /// Requests that ended without an answer, by the name of the termination. Incomplete requests count as well.
    pub unanswered: BTreeMap<&'static str, u64>,
}

impl Counts {
    /// Returns the number of requests refused before admission, for any reason.
    pub fn no_capacity_total(&self) -> u64 {
        self.no_capacity.values().sum()
    }

    /// Counts a connection that is closed, with the input and the requests that it leaves behind.
    pub(super) fn add_closed(&mut self, termination: Termination, connection: &Connection) {
        *self.terminations.entry(termination.name()).or_default() += 1;
        let unparsed = connection.suspended_bytes() + connection.unread_bytes();
        self.add_discarded(termination, unparsed);
        self.add_unanswered(termination, connection.pending.iter().count());
    }

    /// Counts input that is not parsed as its connection closes.
    pub(super) fn add_discarded(&mut self, termination: Termination, bytes: usize) {
        if bytes > 0 {
            *self.discarded_bytes.entry(termination.name()).or_default() += bytes as u64;
        }
    }

    /// Counts requests that end without an answer.
    pub(super) fn add_unanswered(&mut self, termination: Termination, requests: usize) {
        if requests > 0 {
            *self.unanswered.entry(termination.name()).or_default() += requests as u64;
        }
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
        add_by_name(&mut self.discarded_bytes, &other.discarded_bytes);
        add_by_name(&mut self.unanswered, &other.unanswered);
    }
}

fn add_by_name(total: &mut BTreeMap<&'static str, u64>, other: &BTreeMap<&'static str, u64>) {
    for (name, count) in other {
        *total.entry(name).or_default() += count;
    }
}
