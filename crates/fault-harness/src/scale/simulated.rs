//! Membership and budgets of a whole fleet together, in simulated time and at full size.
//!
//! Every machine runs the two packages that the node runs (`doortrack-membership`, `doortrack-budgets`), joined as
//! the node joins them: budgets learn of each change of the view, envelopes go only to members of the view,
//! and only those of members are read. [`topology`] lays the machines out over zones and regions,
//! [`scenario`] says what fails and when, [`world`] plays it, and [`verdict`] judges what came of it:
//! [`agreement`] watches the views, [`usage`] counts what is used of the budgets without any knowledge of
//! leases, and [`traffic`] counts every datagram of every machine. [`slopes`] plays calm fleets of several
//! sizes and writes their traffic as [`super::series::Series`].
//!
//! The same scenario with the same seed gives the same outcome, whatever the machine it is played on.

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
