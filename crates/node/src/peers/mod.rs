//! The link to the other nodes of the fleet: one UDP socket, which never blocks. Membership is decided by
//! `doortrack-membership`, the division of budgets by `doortrack-budgets`.

pub mod budgets;
mod link;
pub mod peer_message;
pub mod seal;

pub use link::{Counts, KEY, OpenLinkError, Peers, Registration, Tap};
