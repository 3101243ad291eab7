//! What the node needs of the system it lives on: its clock, its log, the signals it heeds.

pub(crate) mod addresses;
pub mod clock;
pub mod descriptors;
pub mod log;
pub mod signals;
