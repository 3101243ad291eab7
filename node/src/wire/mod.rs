//! What is spoken on the wire. Parsers and writers (`fastcgi`, `request`, `link`) know no sockets.

pub mod bounds;
pub mod conn;
pub mod dispatchers;
pub mod end;
pub mod engine;
pub mod fastcgi;
pub mod link;
pub mod registry;
pub mod request;
