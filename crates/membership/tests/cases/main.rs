//! Tests of each membership rule in small clusters without a network.

mod cluster;
mod datagrams;
mod isolation;
mod members;
mod suspicion;
