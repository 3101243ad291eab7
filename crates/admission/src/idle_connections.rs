//! Determines how long idle connections stay open.
//!
//! With many callers, most idle connections are never used again and fill the connection table, so
//! they are closed early. A node that is overloaded with unread requests lets the table fill
//! instead: a caller that cannot connect costs nothing, while each rejected request costs a read
//! and possibly a new connection.

use doortrack_time::{MILLISECOND, TenthMillis};

use crate::AdmissionConfig;
use crate::queue::MAX_WAIT_SHARE;

/// Connections per core above which the idle timeout is reduced. A fuller table takes capacity from
/// the cores and prevents callers from connecting.
const MAX_CONNECTIONS_PER_CORE: f32 = 7.0;
/// Connections per core above which the idle timeout is reduced if callers return. Open connections
/// then save more work than they cost.
const MAX_RETURNING_CONNECTIONS_PER_CORE: f32 = 24.0;
/// Minimum idle timeout, which is also the initial one.
const MIN_TIMEOUT: f32 = 100.0 * MILLISECOND as f32;
/// Factor applied to the timeout on each tick with few connections. It is small because a
/// connection keeps the timeout that was in force when it became idle.
const TIMEOUT_INCREASE: f32 = 1.05;
/// Factor applied to the timeout on each tick with many connections.
const TIMEOUT_DECREASE: f32 = 0.7;
/// Weight of the newest request in the rate of late reads.
const LATE_READ_NEWEST_WEIGHT: f32 = 0.1;
/// Factor applied to the rate of late reads on each tick.
const LATE_READ_DECAY: f32 = 0.96;
/// Rate of late reads above which the connection table is allowed to fill.
const OVERLOAD_LATE_READ_RATE: f32 = 0.1;

/// The idle timeout, and the measurements that determine it.
#[derive(Debug)]
pub(crate) struct IdleConnections {
    cores: f32,
    /// Timeout after which callers close idle connections themselves.
    caller_timeout: TenthMillis,
    /// Latest reading of the gauge of open connections, if there is one.
    open: Option<f32>,
    /// Share of the requests that waited unread for too long to be queued.
    late_read_rate: f32,
    /// The last timeout set; 0 before the first.
    timeout: f32,
}

impl IdleConnections {
    /// Creates the state of a node that has set no timeout yet.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        Self {
            cores: config.cores,
            caller_timeout: config.idle_timeout,
            open: None,
            late_read_rate: 0.0,
            timeout: 0.0,
        }
    }

    /// Records the gauge of open connections.
    pub(crate) fn record_open(&mut self, open: Option<f32>) {
        self.open = open;
    }

    /// Records a request in the rate of late reads. `unread_share` is the time it waited unread as
    /// a share of its latency objective.
    pub(crate) fn record_read(&mut self, unread_share: f32) {
        let late = f32::from(unread_share > MAX_WAIT_SHARE);
        self.late_read_rate += LATE_READ_NEWEST_WEIGHT * (late - self.late_read_rate);
    }

    /// Updates the timeout on each tick, and returns it if it has changed. Does nothing without a
    /// gauge.
    pub(crate) fn tick(&mut self, callers_return: bool) -> Option<TenthMillis> {
        let open = self.open?;
        let max_timeout = (self.caller_timeout as f32).max(MIN_TIMEOUT);
        let timeout = if self.late_read_rate > OVERLOAD_LATE_READ_RATE {
            max_timeout
        } else {
            let factor = self.timeout_factor(open, callers_return);
            (self.timeout * factor).clamp(MIN_TIMEOUT, max_timeout)
        };
        let changed = timeout != self.timeout;
        self.timeout = timeout;
        self.late_read_rate *= LATE_READ_DECAY;
        changed.then(|| (timeout as TenthMillis).min(self.caller_timeout))
    }

    /// Returns the factor for the timeout at this number of open connections.
    fn timeout_factor(&self, open: f32, callers_return: bool) -> f32 {
        let per_core = if callers_return {
            MAX_RETURNING_CONNECTIONS_PER_CORE
        } else {
            MAX_CONNECTIONS_PER_CORE
        };
        if open > per_core * self.cores {
            TIMEOUT_DECREASE
        } else {
            TIMEOUT_INCREASE
        }
    }
}
