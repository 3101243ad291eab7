//! Discrete-event simulation of fleets that are larger than real sockets allow.
//!
//! This package holds what all simulations share: an [`EventQueue`] with a defined order of simultaneous
//! events, [`Distribution`]s of durations, a [`ProcessorSharingStation`] whose cores are shared by all its
//! jobs, and a [`Network`] between machines. Time is whole microseconds since the start of the run,
//! [`Micros`]. Randomness comes from seeded streams, so the same seed gives the same run to the byte.
//!
//! The tests check stations against queueing theory: M/M/1, M/M/c, M/G/1 with processor sharing, Erlang's
//! loss formula, and Little's law on each of them.

mod clock;
mod distribution;
mod event_queue;
mod link;
mod network;
mod station;

pub use clock::MachineClock;
pub use distribution::{Distribution, DistributionError, RandomStream, random_stream};
pub use event_queue::EventQueue;
pub use link::LinkModel;
pub use network::{MachineId, Network, NetworkEvent};
pub use station::{JobId, ProcessorSharingStation, ServiceRate};

/// A point in simulated time or a span of it, in microseconds.
pub type Micros = u64;
