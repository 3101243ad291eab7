//! The program under faults of the system, the network and its peers.

mod failing_calls;
mod late_input;
mod runs_in_doubt;
mod stepped_clock;
