//! One node of a fleet on real sockets. `serve` holds the loop; what is spoken is in `wire`, what is kept in
//! `memory`, start and stop in `life`. All decisions are the module's (`doortrack_admission::AdmissionController`).

pub mod commands;
pub mod network;
pub mod peers;
pub mod serve;
pub mod state;
pub mod subsystem;
pub mod system;
