//! Servers that go down and return: the runs that they get in slow start, what the others take, and that
//! nothing waits for credit that does not come.

mod any_events;
mod outages;
mod rate;
mod shared;
mod simulation;
