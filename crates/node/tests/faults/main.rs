//! The program under faults of the system, the network and its peers.

mod failing_calls;
mod late_input;
mod stepped_clock;
