//! Tests of the node: single modules, and the program on sockets against fakes of all its peers.

#![allow(
    clippy::too_many_lines,
    reason = "a test scenario reads best in one piece"
)]

mod accepts;
mod backlog;
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
mod panics;
mod parts;
mod pieces;
mod play;
mod ramps;
mod reload_with_shutdown;
mod reloads;
mod restart;
mod rules;
mod silences;
mod sockets;
mod times_of_day;
