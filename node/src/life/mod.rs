//! Start and stop: what the node is handed, its clock and its log.

pub mod clock;
pub mod log;
pub mod orders;
pub mod usage;
