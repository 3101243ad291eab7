//! The node's sockets: its clients' connections, the engine or the servers that run requests, and the registry.
//!
//! Encoding and decoding need no sockets and are separate: see the package `doortrack-protocols` (FastCGI, uwsgi),
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
pub mod wall_clock;
