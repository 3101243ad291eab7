//! Both protocols on both sides.

mod any_bytes;
mod fixture;
mod requests;
mod responses;
