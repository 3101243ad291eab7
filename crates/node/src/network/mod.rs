//! The node's sockets: its clients' connections, the engine or the servers that run requests, and the registry.
//!
//! What can be encoded and decoded without sockets is in the package `doortrack-protocols` (FastCGI, uwsgi), in
//! [`request`], [`classifier`] and [`engine_protocol`].

pub mod backend;
pub mod bounds;
pub mod classifier;
mod connect;
pub mod connection;
pub mod engine;
pub mod engine_protocol;
mod headers;
pub mod listeners;
pub mod registry;
pub mod request;
mod server_log;
pub mod servers;
pub mod termination;
