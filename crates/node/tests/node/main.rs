//! The node: its parts by themselves, and the program on sockets against stand-ins for all it talks to.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

mod accepts;
mod backlog;
mod components;
mod conformance;
mod early_signals;
mod ends;
mod fronts;
mod half_closed;
mod idle;
mod instants;
mod interrupts;
mod last_moment;
mod late_answers;
mod late_repeats;
mod late_stops;
mod near_stops;
mod notices;
mod outages_and_bursts;
mod panics;
mod partial_requests;
mod random_faults;
mod reloads;
mod restart;
mod rules;
mod slow_start_settings;
mod sockets;
mod time_of_day;
