//! What is kept in memory between events: exchanges in hand, and the results of deduplicated ones.

pub mod exchanges;
pub mod results;
