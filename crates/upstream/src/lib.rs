//! Selects the application server for each run, manages the connections to servers, ejects failing
//! servers, and decides whether a run is retried on another server.
//!
//! The package uses neither sockets nor a clock and is deterministic: the same events and the same
//! seed give the same actions. The caller reports each event to a [`Pool`] together with the current
//! time, which never goes back, and executes the returned [`Action`]s in order before it reports the
//! next event. A run is one request to one server; a connection carries one run at a time.
//!
//! ```text
//! begin ──> [queued] ──> Open ──connected──> Send ──request_sent──> response_ended ──> Ended
//!               ^          │                   │          │
//!               └── retry ─┴──connect_failed───┴───lost───┘
//! ```
//!
//! Invariants, checked by the tests of this package:
//! - every run that was begun ends exactly once;
//! - a run that is not idempotent is sent again only if no byte of it was passed to the operating
//!   system, or its server reported that it did not execute the run;
//! - the number of retries is bounded by a burst plus a share of the runs begun, so retries can't
//!   amplify an outage;
//! - each server has at most `max_concurrency` connections, and no more concurrent runs than its
//!   health allows;
//! - outliers are ejected only while a configured minimum of servers stays in use;
//! - with slow start, a server that is down gets only health checks until it returns, even if fewer
//!   than this minimum are in use, and then no more runs than its slow start allows.
//!
//! Selecting a server takes constant time: two servers are compared, whatever the size of the pool.
//! Deadlines are kept in ordered sets.

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
