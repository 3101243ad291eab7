//! Discrete-event simulation of fleets, at sizes that real sockets do not reach.
//!
//! This package holds the parts that all simulated worlds share: a [`Queue`] of events, with a defined order
//! of events at one time, [`Law`]s from which durations are drawn, a [`Station`], a machine whose cores are
//! shared by all jobs, and a [`Net`] between machines. Time is whole microseconds since the start of the run,
//! [`Micros`]. Randomness comes from seeded streams, so the same seed gives the same run to the byte.
//!
//! This package's tests check stations against queueing theory: M/M/1, M/M/c, M/G/1 with processor sharing,
//! Erlang's loss formula, and Little's law on each of them.

mod distribution;
mod event_queue;
mod network;
mod station;

pub use distribution::{Law, LawFault, Stream, stream};
pub use event_queue::Queue;
pub use network::{Clock, Links, MachineId, Net, Next};
pub use station::{JobId, Pace, Station};

/// A point in simulated time or a span of it, in microseconds.
pub type Micros = u64;
