//! What the log tells now and then of how the node fares.

use std::fs;

use doortrack_time::{MILLISECOND, TenthMillis};
use slog::{Serde, info};

use super::Node;
use crate::network::backend::Backend;
use crate::system::descriptors;

pub(super) const EVERY: TenthMillis = 10_000 * MILLISECOND;

/// The longest of each since the last summary.
#[derive(Default)]
pub struct Slowest {
    pub turn: TenthMillis,
    pub reading: TenthMillis,
    pub arrival: TenthMillis,
}

impl Node {
    pub(super) fn summary(&mut self) {
        self.summary_at = self.now + EVERY;
        let counts = self.listeners.counts();
        info!(self.log, "so far"; "completed" => counts.completed, "rejected" => counts.rejected,
            "failed" => counts.failed,
            "in_hand" => self.in_flight.in_flight_count(), "connections" => self.listeners.connection_count(),
            "accepted" => counts.accepted, "unreadable" => Serde(counts.unreadable.clone()),
            "no_room" => counts.no_capacity, "checks" => counts.health_checks, "ends" => Serde(counts.terminations.clone()),
            "unread_bytes" => self.listeners.unread_answer_bytes(),
            "result_bytes" => self.results.bytes(), "link_losses" => self.work.link_losses(),
            "turn_ms" => self.slowest.turn / MILLISECOND, "reading_ms" => self.slowest.reading / MILLISECOND,
            "read_after_ms" => self.slowest.arrival / MILLISECOND, "memory_kb" => peak_kb(),
            "cpu_ms" => cpu_ms(), "descriptors" => descriptors::open());
        self.slowest = Slowest::default();
        self.parts.iter().for_each(|part| part.summary(&self.log));
        let pools = if let Backend::Servers(pools) = &self.work {
            &pools[..]
        } else {
            &[]
        };
        for (name, servers) in pools {
            let (pool, counters) = (servers.pool(), servers.pool().counters);
            info!(self.log, "so far of servers"; "pool" => name, "servers" => pool.members(),
                "in_use" => pool.in_use(),
                "connections" => pool.connections(), "in_hand" => pool.in_flight(), "begun" => counters.begun,
                "ends" => Serde(servers.terminations.clone()), "retries" => counters.retries,
                "unbudgeted" => counters.retries_over_budget, "failures" => counters.failures,
                "put_aside" => counters.ejections, "opened" => counters.connections_opened, "stale" => counters.stale_connections,
                "cold" => pool.cold_servers(), "ramps" => counters.slow_starts, "held_back" => counters.held_back);
        }
        // With the platform's listener alone the whole is that front's.
        for front in self
            .listeners
            .iter()
            .filter(|_| self.listeners.iter().count() > 1)
        {
            let counts = &front.counts;
            info!(self.log, "so far of a front"; "protocol" => front.protocol.name(), "address" => %front.address,
                "completed" => counts.completed, "rejected" => counts.rejected,
                "failed" => counts.failed, "connections" => front.connections,
                "accepted" => counts.accepted, "unreadable" => Serde(counts.unreadable.clone()),
                "no_room" => counts.no_capacity, "checks" => counts.health_checks, "ends" => Serde(counts.terminations.clone()));
        }
    }
}

/// Absent figures read 0. The most memory held so far.
fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Time spent on a core, counted by the system in hundredths of a second.
fn cpu_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name may hold spaces; what follows it does not.
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    fields
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum::<u64>()
        * 10
}
