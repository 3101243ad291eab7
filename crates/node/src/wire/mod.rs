//! What is spoken on the wire. What can be read and written without sockets stands in the package
//! `doortrack-protocols` (FastCGI, uwsgi), in `request` and in `link`.

pub mod bounds;
pub mod conn;
pub mod end;
pub mod engine;
pub mod fronts;
mod headers;
pub mod link;
pub mod registry;
pub mod request;
pub mod ruled;
pub mod servers;
mod standing;
pub mod work;
