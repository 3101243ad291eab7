//! Interfaces to the operating system: clock, log, signals, panics, descriptors and retries.

pub mod clock;
pub mod descriptors;
pub mod log;
pub mod panics;
pub(crate) mod retry;
pub mod signals;
pub(crate) mod test_panics;
