//! The node: its parts by themselves, and the program on sockets against stand-ins for all it talks to.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
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
