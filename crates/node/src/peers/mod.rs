//! The link to the other nodes of the fleet: one UDP socket, which never blocks. Membership is decided by
//! `doortrack-membership`, the division of budgets by `doortrack-budgets`.

pub mod budgets;
pub mod datagram_codec;
mod link;
pub mod peer_message;

pub use link::{DatagramCounts, OpenLinkError, POLLER_KEY, PeerLink, PollerRegistration, TestHook};
