//! Interfaces to the operating system: clock, log, signals, panics, descriptors and addresses.

pub(crate) mod addresses;
pub mod clock;
pub mod descriptors;
pub mod log;
pub mod panics;
pub mod signals;
pub(crate) mod test_panics;
