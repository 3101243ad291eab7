//! How long idle connections stay open.
//!
//! With many callers most idle connections are never used again and fill the connection table, so
//! they are closed early. A node that is overloaded with unread work lets the table fill: callers
//! that find no room cost nothing, while each request that it rejects costs a read and perhaps a
//! new connection.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::AdmissionConfig;
use crate::queue::MAX_WAIT_SHARE;

/// Connections per core up to which idle ones may stay: a fuller table costs cores and shuts
/// callers out.
const CONNECTIONS_PER_CORE: f32 = 7.0;
/// The same where callers return: more of them spare a new connection than they cost.
const RETURNING_CONNECTIONS_PER_CORE: f32 = 24.0;
/// Shortest idle timeout; the first one too.
const MIN_TIMEOUT: f32 = 100.0 * MILLISECOND as f32;
/// Factor of the timeout in each tick with few connections. It is small because a connection keeps
/// the timeout that it went idle under.
const TIMEOUT_INCREASE: f32 = 1.05;
/// Factor of the timeout in each tick with many connections.
const TIMEOUT_DECREASE: f32 = 0.7;
/// Weight of the newest request in the rate of late reads.
const LATE_READ_NEWEST_WEIGHT: f32 = 0.1;
/// Factor of the rate of late reads in each tick.
const LATE_READ_DECAY: f32 = 0.96;
/// Rate of late reads from which on the table is left to fill.
const OVERLOAD_LATE_READ_RATE: f32 = 0.1;

/// The idle timeout and what it follows from.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    cores: f32,
    /// Callers close idle connections after this.
    caller_timeout: TenthMillis,
    /// Latest gauge of open connections, where there is one.
    open: Option<f32>,
    /// Share of the requests that were read too late to be queued.
    late_read_rate: f32,
    timeout: f32,
}

impl IdleConnections {
    /// No timeout was given yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            cores: config.cores as f32,
            caller_timeout: config.idle_timeout,
            open: None,
            late_read_rate: 0.0,
            timeout: 0.0,
        }
    }

    /// Takes in the number of open connections.
    pub(crate) fn record_open(&mut self, open: Option<f32>) {
        self.open = open;
    }

    /// A request was read after it had stood unread for this share of its latency objective.
    pub(crate) fn record_read(&mut self, unread_share: f32) {
        let late = f32::from(unread_share > MAX_WAIT_SHARE);
        self.late_read_rate += LATE_READ_NEWEST_WEIGHT * (late - self.late_read_rate);
    }

    /// Called in each tick; the new timeout, if it changes. Without a gauge there is none.
    pub(crate) fn tick(&mut self, callers_return: bool) -> Option<TenthMillis> {
        let open = self.open?;
        let max_timeout = (self.caller_timeout as f32).max(MIN_TIMEOUT);
        let timeout = if self.late_read_rate > OVERLOAD_LATE_READ_RATE {
            max_timeout
        } else {
            let factor = self.adjustment(open, callers_return);
            (self.timeout * factor).clamp(MIN_TIMEOUT, max_timeout)
        };
        let changed = timeout != self.timeout;
        self.timeout = timeout;
        self.late_read_rate *= LATE_READ_DECAY;
        changed.then(|| (timeout as TenthMillis).min(self.caller_timeout))
    }

    /// Factor of the timeout with so many open connections.
    fn adjustment(&self, open: f32, callers_return: bool) -> f32 {
        let per_core = if callers_return {
            RETURNING_CONNECTIONS_PER_CORE
        } else {
            CONNECTIONS_PER_CORE
        };
        if open > per_core * self.cores {
            TIMEOUT_DECREASE
        } else {
            TIMEOUT_INCREASE
        }
    }
}
