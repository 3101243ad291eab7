//! Fleets in simulated time, for trying designs at sizes that sockets do not reach.
//!
//! This package holds what every emulated world is made of, apart from any world: a [`Queue`] of
//! events whose order
//! is settled for equal times, [`Law`]s by which times are drawn, and a [`Station`], a machine
//! whose cores all work
//! shares. Time is whole microseconds from the start of the play, [`Micros`]; chance comes from one
//! seeded stream a
//! world, so the same seed gives the same play to the byte.
//!
//! What a station does is checked against queueing theory by this package's tests: M/M/1, M/M/c, M/G/1 with
//! processor sharing, Erlang's loss formula, and Little's law on each of them.

mod law;
mod net;
mod queue;
mod station;

pub use law::{Law, LawFault, Stream, stream};
pub use net::{Clock, Links, MachineId, Net, Next};
pub use queue::Queue;
pub use station::{JobId, Pace, Station};

/// A point in simulated time or a span of it, in microseconds.
pub type Micros = u64;
