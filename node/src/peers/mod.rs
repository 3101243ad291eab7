//! The link to the other nodes of the fleet: one UDP socket. Who is there is decided by `doortrack-fleet`.

pub mod budgets;
mod link;
pub mod seal;
pub mod spoken;

pub use link::{Counts, KEY, Peers, Registration, Tap};
