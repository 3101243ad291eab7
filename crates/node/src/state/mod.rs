//! State that outlives a turn of the event loop: requests in flight, and results kept for duplicates. These modules
//! do no I/O and read no clock.

pub mod in_flight;
pub mod results;
