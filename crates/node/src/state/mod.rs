//! What is kept in memory between events: requests in hand, and the results of deduplicated ones.

pub mod in_flight;
pub mod results;
