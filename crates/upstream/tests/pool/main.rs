//! The pool in a simulated world: what must hold after every event, and what follows from each failure.

mod any_events;
mod runs;
mod servers;
mod simulation;
