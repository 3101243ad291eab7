//! Both protocols, on both sides of a connection.

mod any_bytes;
mod fixture;
mod requests;
mod responses;
