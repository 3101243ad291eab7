//! What is spoken on the wire. What can be read and written without sockets stands in the package
//! `doortrack-protocols` (FastCGI, uwsgi), in `request` and in `link`.

pub mod backend;
pub mod bounds;
pub mod classified;
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
