//! Decides which application server takes a run, when a connection to it is opened, kept and
//! closed, what a failure means, and whether a run may be retried on another server.
//!
//! Has neither sockets nor a clock, and the same events with the same seed give the same actions:
//! the caller reports each event to a [`Pool`] with the time, in tenths of a millisecond and never
//! going back, and gets [`Action`]s, which it executes in order before it reports anything else. A
//! run is one request to one server on a connection that carries nothing else meanwhile.
//!
//! ```text
//! begin ──> [queued] ──> Open ──connected──> Send ──request_sent──> response_ended ──> Ended
//!               ^          │                   │          │
//!               └── retry ─┴──connect_failed───┴───lost───┘
//! ```
//!
//! Invariants, which the tests of this package check:
//! - every run that was begun ends once;
//! - a run that is not idempotent is sent again only if no byte of it was handed to the system
//!   before, or its server said that it did not run it;
//! - retries are at most a burst and a share of the runs begun, so an outage is not multiplied;
//! - each server has at most `max_concurrency` connections, and runs on no more of them than its
//!   health allows;
//! - outliers are ejected, but never more of them than leaves the floor in use;
//! - with slow start, a server that was down gets health checks alone until it returns, whatever
//!   the floor, and then no more than its slow start allows.
//!
//! Cost: choosing looks at two servers however many there are; deadlines are kept in ordered sets.

mod action;
mod config;
mod health;
mod pool;
mod retry_budget;
mod slow_start;

pub use action::{Action, ConnId, ResponseEnd, RunEnd, RunId, ServerId, ServerState};
pub use config::{OutlierConfig, PoolConfig, RetryConfig, SlowStartConfig};
pub use pool::{Admission, Counters, Pool};
pub use slow_start::TokenResponse;
