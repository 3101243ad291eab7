//! Tests of the pool against simulated servers: invariants after every event, and the reaction to each
//! kind of failure.

mod random_events;
mod runs;
mod servers;
mod simulation;
