//! Tests of slow start for servers that go down and return: the rate of runs that they get, the load that
//! other servers take meanwhile, and that no run waits for credit indefinitely.

mod outages;
mod random_events;
mod rate;
mod shared;
mod simulation;
