//! Admission control for one node: decides which requests are admitted, run and rejected, which
//! downstream calls are made, and how callers are informed of the load.
//!
//! The node reports each [`Event`] to [`AdmissionController::handle`] and executes the returned
//! [`Action`]s. The package does no I/O and reads no clock: the same events with the same seed and
//! [`AdmissionConfig`] give the same actions.
//!
//! Times are in the unit of [`doortrack_time`]. The node rounds deadlines and ages down, and
//! windows and retry delays up, so that rounding never makes an answer late or a record expire
//! early.
//!
//! [`AdmissionController`] keeps the state of each concern in a type of its own, in the module
//! named after it, and updates these types in a fixed order on each turn. `docs/design.md` gives
//! the sources and the reasons.

mod action;
mod backpressure;
mod callers;
mod concurrency_limit;
mod config;
mod controller;
mod downstream_calls;
mod drain;
mod event;
mod health;
mod idempotency;
mod idle_connections;
mod in_flight;
mod memory;
mod moving_mean;
mod queue;
mod quota;
mod recent_set;
mod review;
mod run_slots;
mod run_time;
mod sessions;
mod thresholds;

pub use action::Action;
pub use config::{AdmissionConfig, Backpressure, Cancellation, Effect, EndpointGroup};
pub use controller::AdmissionController;
pub use event::{CallOutcome, Event, Gauges, Request, RequestId, RunOutcome};
