//! Tests of the node: single modules, and the program on sockets against fakes of all its peers.

#![allow(
    clippy::too_many_lines,
    reason = "a test scenario reads best in one piece"
)]

mod accepts;
mod backlog;
mod caller_connections;
mod components;
mod conformance;
mod connection_ends;
mod early_signals;
mod half_closed;
mod idempotency_keys;
mod idle;
mod incomplete_requests;
mod interrupts;
mod last_moment;
mod late_answers;
mod late_repeats;
mod late_stops;
mod listeners;
mod near_stops;
mod node_configuration;
mod outages_and_bursts;
mod panics;
mod partial_requests;
mod races;
mod random_faults;
mod refused_repeats;
mod reload_reads;
mod reload_with_shutdown;
mod reloads;
mod request_memory;
mod request_tables;
mod restart;
mod rules;
mod slow_start_settings;
mod sockets;
mod time_of_day;
