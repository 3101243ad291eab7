//! The link to the other nodes of the fleet, over one nonblocking UDP socket. `doortrack-membership` implements the
//! membership protocol, `doortrack-budgets` the division of budgets.

pub mod budgets;
pub mod datagram_codec;
mod link;
pub mod peer_message;

pub use link::{DatagramCounts, OpenLinkError, POLLER_KEY, PeerLink, PollerRegistration, TestHook};
