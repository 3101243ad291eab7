//! Periodic log lines with the state of the node, its subsystems, pools and listeners.

use std::fs;

use doortrack_time::{MILLISECOND, SECOND, TenthMillis};
use slog::{Serde, info};

use super::Node;
use crate::network::backend::Backend;
use crate::network::listeners::Listener;
use crate::network::servers::PoolClient;
use crate::system::descriptors;

/// Interval between two summaries.
const SUMMARY_INTERVAL: TenthMillis = 10 * SECOND;
/// Length of a clock tick of `/proc/self/stat`, in ms.
const CLOCK_TICK_MS: u64 = 10;
/// Number of fields of `/proc/self/stat` between the process name and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// When the next summary is due, and the durations measured for it.
#[derive(Default)]
pub(super) struct SummarySchedule {
    pub(super) next_at: TenthMillis,
    pub(super) max_durations: MaxDurations,
}

impl SummarySchedule {
    pub(super) fn schedule_next(&mut self, now: TenthMillis) {
        self.next_at = now + SUMMARY_INTERVAL;
    }
}

/// Maximum durations since the last summary.
#[derive(Default)]
pub(super) struct MaxDurations {
    turn: TenthMillis,
    reading: TenthMillis,
    arrival: TenthMillis,
}

impl MaxDurations {
    /// Records the duration of a turn.
    pub(super) fn record_turn(&mut self, duration: TenthMillis) {
        self.turn = self.turn.max(duration);
    }

    /// Records how long due timers waited for a gauge reading.
    pub(super) fn record_reading(&mut self, wait: TenthMillis) {
        self.reading = self.reading.max(wait);
    }

    /// Records the age of a request when it was read.
    pub(super) fn record_arrival(&mut self, age: TenthMillis) {
        self.arrival = self.arrival.max(age);
    }
}

impl Node {
    /// Logs a summary and schedules the next one.
    pub(super) fn log_summary(&mut self) {
        self.summaries.schedule_next(self.now);
        self.log_node();
        self.summaries.max_durations = MaxDurations::default();
        for subsystem in &self.subsystems {
            subsystem.log_state(&self.log);
        }
        if let Backend::Servers(pools) = &self.backend {
            for (name, servers) in pools {
                self.log_pool(name, servers);
            }
        }
        // If the platform's listener is the only one, the node's line has the same counts.
        if self.listeners.iter().count() > 1 {
            for listener in self.listeners.iter() {
                self.log_listener(listener);
            }
        }
    }

    fn log_node(&self) {
        let counts = self.listeners.counts();
        let max_durations = &self.summaries.max_durations;
        info!(self.log, "summary"; "completed" => counts.completed, "rejected" => counts.rejected,
            "failed" => counts.failed,
            "in_flight" => self.in_flight.len(), "connections" => self.listeners.connection_count(),
            "accepted" => counts.accepted, "unreadable" => Serde(counts.unreadable.clone()),
            "no_room" => counts.no_capacity_total(), "refusals" => Serde(counts.no_capacity.clone()),
            "checks" => counts.health_checks, "ends" => Serde(counts.terminations.clone()),
            "discarded" => Serde(counts.discarded_bytes.clone()), "unanswered" => Serde(counts.unanswered.clone()),
            "unread_bytes" => self.listeners.unread_answer_bytes(),
            "result_bytes" => self.results.bytes(), "link_losses" => self.backend.link_losses(),
            "turn_ms" => max_durations.turn / MILLISECOND, "reading_ms" => max_durations.reading / MILLISECOND,
            "read_after_ms" => max_durations.arrival / MILLISECOND, "memory_kb" => peak_memory_kb(),
            "cpu_ms" => cpu_time_ms(), "descriptors" => descriptors::open_count());
    }

    fn log_pool(&self, name: &str, servers: &PoolClient) {
        let (pool, counters) = (servers.pool(), servers.pool().counters);
        info!(self.log, "servers summary"; "pool" => name, "servers" => pool.members(),
            "in_use" => pool.in_use(),
            "connections" => pool.connections(), "in_flight" => pool.in_flight(), "begun" => counters.begun,
            "ends" => Serde(servers.terminations.clone()), "retries" => counters.retries,
            "unbudgeted" => counters.retries_over_budget, "failures" => counters.failures,
            "ejected" => counters.ejections, "opened" => counters.connections_opened, "stale" => counters.stale_connections,
            "warming_up" => pool.cold_servers(), "slow_starts" => counters.slow_starts, "held_back" => counters.held_back);
    }

    fn log_listener(&self, listener: &Listener) {
        let counts = &listener.counts;
        info!(self.log, "listener summary"; "protocol" => listener.protocol.name(),
            "address" => %listener.address,
            "completed" => counts.completed, "rejected" => counts.rejected,
            "failed" => counts.failed, "connections" => listener.connections,
            "accepted" => counts.accepted, "unreadable" => Serde(counts.unreadable.clone()),
            "no_room" => counts.no_capacity_total(), "refusals" => Serde(counts.no_capacity.clone()),
            "checks" => counts.health_checks, "ends" => Serde(counts.terminations.clone()),
            "discarded" => Serde(counts.discarded_bytes.clone()), "unanswered" => Serde(counts.unanswered.clone()));
    }
}

/// Peak resident memory of the process, in kB; 0 if it can't be read.
fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Processor time of the process, in ms; 0 if it can't be read.
fn cpu_time_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name may contain spaces, so fields are counted from its closing parenthesis.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let user_and_system = after_name
        .split_whitespace()
        .skip(FIELDS_BEFORE_UTIME)
        .take(2);
    let ticks: u64 = user_and_system
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    ticks * CLOCK_TICK_MS
}
