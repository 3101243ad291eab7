//! Simulates the membership and budgets of a whole fleet at full size.
//!
//! Every machine runs the two packages that the node runs (`doortrack-membership`, `doortrack-budgets`), combined as
//! in the node: budgets are notified of each change of the view, and envelopes are sent to and accepted from
//! members of the view only. [`topology`] places the machines in zones and regions, [`scenario`] defines the
//! faults and their times, [`world`] runs the simulation, and [`verdict`] checks the results: [`agreement`]
//! tracks the views, [`usage`] counts the use of the budgets independently of leases, and [`traffic`] counts
//! every datagram of every machine. [`slopes`] simulates fault-free fleets of several sizes and reports their
//! traffic as [`super::series::Series`].
//!
//! The same scenario with the same seed gives the same outcome on any machine.

pub mod agreement;
pub mod command;
mod machine;
pub mod scenario;
pub mod slopes;
pub mod topology;
pub mod traffic;
pub mod usage;
pub mod verdict;
pub mod world;
