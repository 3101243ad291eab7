//! Start and stop: what the node is handed, its clock and its log, and how it comes and goes.

pub mod clock;
pub(crate) mod leave;
pub mod log;
pub mod orders;
mod reload;
pub(crate) mod report;
pub(crate) mod signals;
mod start;
