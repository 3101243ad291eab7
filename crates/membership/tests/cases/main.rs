//! Each rule of membership in small clusters without a network.

mod cluster;
mod datagrams;
mod isolation;
mod members;
mod suspicion;
