//! State that outlives a turn of the event loop: requests in flight, and results kept for duplicates. Nothing
//! here does I/O or reads a clock.

pub mod in_flight;
pub mod results;
