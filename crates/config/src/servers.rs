//! The sections of the installation file on server pools.
//!
//! `file_types` has the types that are read from the file. Their names there appear in the schema and in serde's
//! error messages, so they are re-exported under other names here.

mod file_types;
mod validate;

use doortrack_time::{TenthMillis, from_millis};
use doortrack_upstream::{OutlierConfig, PoolConfig, RetryConfig, SlowStartConfig};

pub use file_types::{
    Again as RetryLimits, PutAside as OutlierEjection, RampFile as SlowStart, Servers as ServerPool,
};

use crate::ProtocolName;

impl SlowStart {
    /// Returns the tokens per second, rounded up, that a slow start can use of a fleet's budget. A token is worth the
    /// fraction of a run that equals the elapsed fraction of the slow start.
    pub fn tokens_per_second(&self) -> u64 {
        (2_000 * u64::from(self.runs)).div_ceil(u64::from(self.duration_ms.max(1)))
    }
}

impl ServerPool {
    /// Returns the configuration of the pool. The response timeout defaults to `longest_deadline`, that of all
    /// endpoint groups.
    pub fn pool_config(&self, longest_deadline: TenthMillis) -> PoolConfig {
        let (ejection, retries) = (self.ejection, self.retries);
        let idle_timeout = match self.protocol {
            ProtocolName::FastCgi => from_millis(self.idle_timeout_ms),
            // A connection carries only one request, so it is not kept open.
            ProtocolName::Uwsgi => 0,
        };
        let response_timeout = self
            .response_timeout_ms
            .map_or(longest_deadline, from_millis);
        PoolConfig {
            max_concurrency: self.max_concurrency,
            idle_timeout,
            connect_timeout: from_millis(self.connect_timeout_ms),
            response_timeout: response_timeout.max(1),
            outlier: OutlierConfig {
                consecutive_failures: ejection.failures,
                base_ejection: from_millis(ejection.base_duration_ms),
                max_ejection: from_millis(ejection.max_duration_ms),
                min_share_in_use: ejection.min_share_in_use,
            },
            retry: RetryConfig {
                ratio: retries.retries_per_run,
                burst: retries.burst,
                max_attempts: retries.max_attempts,
            },
            slow_start: self.slow_start.map(|slow_start| SlowStartConfig {
                duration: from_millis(slow_start.duration_ms),
                runs: slow_start.runs,
            }),
        }
    }

    /// Returns the maximum number of open connections to all servers of the pool.
    pub fn max_connections(&self) -> usize {
        self.addresses.len() * self.max_concurrency as usize
    }

    /// Summarizes the pool for `doortrack check`.
    pub(crate) fn summary(&self) -> String {
        format!(
            "{} servers over {}, {} runs at once",
            self.addresses.len(),
            self.protocol.name(),
            self.max_connections()
        )
    }
}
