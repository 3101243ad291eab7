//! One node of a fleet, on real sockets.
//!
//! - [`event_loop`] owns the node and runs its loop. Admission decisions are made by `doortrack_admission`, which does
//!   no I/O.
//! - [`network`] has the sockets and their protocols.
//! - [`state`] has the requests in flight and the results kept for duplicates.
//! - [`peers`] is the link to the other nodes, a [`subsystem`] of the loop.
//! - [`system`] has the interfaces to the operating system.
//! - [`commands`] has the commands of the command line.

pub mod commands;
pub mod event_loop;
pub mod network;
pub mod peers;
pub mod state;
pub mod subsystem;
pub mod system;
