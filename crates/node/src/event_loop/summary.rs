//! Lines that the log is given at an interval: how the node, its subsystems, pools and listeners fare.

use std::fs;

use doortrack_time::{MILLISECOND, SECOND, TenthMillis};
use slog::{Serde, info};

use super::Node;
use crate::network::backend::Backend;
use crate::network::listeners::Listener;
use crate::network::servers::PoolClient;
use crate::system::descriptors;

/// Interval between two summaries.
const INTERVAL: TenthMillis = 10 * SECOND;
/// Clock ticks of `/proc/self/stat`, in ms.
const CLOCK_TICK_MS: u64 = 10;
/// Fields of `/proc/self/stat` between the process name and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// When the next summary is due, and what is measured for it.
#[derive(Default)]
pub(super) struct SummarySchedule {
    pub(super) next_at: TenthMillis,
    pub(super) slowest: Slowest,
}

impl SummarySchedule {
    pub(super) fn schedule_next(&mut self, now: TenthMillis) {
        self.next_at = now + INTERVAL;
    }
}

/// The longest of each since the last summary.
#[derive(Default)]
pub(super) struct Slowest {
    turn: TenthMillis,
    reading: TenthMillis,
    arrival: TenthMillis,
}

impl Slowest {
    /// A turn of the loop took so long.
    pub(super) fn record_turn(&mut self, duration: TenthMillis) {
        self.turn = self.turn.max(duration);
    }

    /// Due timers waited so long for a reading of the gauges.
    pub(super) fn record_reading(&mut self, wait: TenthMillis) {
        self.reading = self.reading.max(wait);
    }

    /// A request was read so long after it arrived.
    pub(super) fn record_arrival(&mut self, age: TenthMillis) {
        self.arrival = self.arrival.max(age);
    }
}

impl Node {
    /// Logs a summary and schedules the next one.
    pub(super) fn log_summary(&mut self) {
        self.summaries.schedule_next(self.now);
        self.log_node();
        self.summaries.slowest = Slowest::default();
        for subsystem in &self.subsystems {
            subsystem.log_state(&self.log);
        }
        if let Backend::Servers(pools) = &self.backend {
            for (name, servers) in pools {
                self.log_pool(name, servers);
            }
        }
        // With the platform's listener alone, the node's line says it all.
        if self.listeners.iter().count() > 1 {
            for listener in self.listeners.iter() {
                self.log_listener(listener);
            }
        }
    }

    fn log_node(&self) {
        let counts = self.listeners.counts();
        let slowest = &self.summaries.slowest;
        info!(self.log, "summary"; "completed" => counts.completed, "rejected" => counts.rejected,
            "failed" => counts.failed,
            "in_flight" => self.in_flight.len(), "connections" => self.listeners.connection_count(),
            "accepted" => counts.accepted, "unreadable" => Serde(counts.unreadable.clone()),
            "no_room" => counts.no_capacity, "checks" => counts.health_checks, "ends" => Serde(counts.terminations.clone()),
            "unread_bytes" => self.listeners.unread_answer_bytes(),
            "result_bytes" => self.results.bytes(), "link_losses" => self.backend.link_losses(),
            "turn_ms" => slowest.turn / MILLISECOND, "reading_ms" => slowest.reading / MILLISECOND,
            "read_after_ms" => slowest.arrival / MILLISECOND, "memory_kb" => peak_memory_kb(),
            "cpu_ms" => cpu_time_ms(), "descriptors" => descriptors::open());
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
            "no_room" => counts.no_capacity, "checks" => counts.health_checks, "ends" => Serde(counts.terminations.clone()));
    }
}

/// The most memory that was resident at any time, in kB; 0 where the system does not tell.
fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Processor time of the process, in ms; 0 where the system does not tell.
fn cpu_time_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name may hold spaces; what follows it does not.
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
