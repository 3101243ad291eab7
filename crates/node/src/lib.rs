//! One node of a fleet on real sockets.
//!
//! [`event_loop`] owns the node and runs its one loop; all decisions are taken by `doortrack_admission`, which
//! does no I/O. [`network`] holds the sockets and what is written on them, [`state`] the requests in flight and
//! the results kept for duplicates, [`peers`] the link to the other nodes, as a [`subsystem`] of the loop.
//! [`system`] is what the node needs of the operating system, [`commands`] what the command line offers beside
//! serving.

pub mod commands;
pub mod event_loop;
pub mod network;
pub mod peers;
pub mod state;
pub mod subsystem;
pub mod system;
