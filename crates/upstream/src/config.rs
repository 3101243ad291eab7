//! The configuration of a pool.

use doortrack_time::TenthMillis;

/// The configuration of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// Maximum number of concurrent runs, and so of connections, on one server; at least 1.
    pub max_concurrency: u32,
    /// How long an idle connection is kept after a response; 0 closes it at once.
    pub idle_timeout: TenthMillis,
    /// A connection attempt that takes longer counts as failed.
    pub connect_timeout: TenthMillis,
    /// A response that takes longer counts as lost.
    pub response_timeout: TenthMillis,
    /// Ejection of failing servers.
    pub outlier: OutlierConfig,
    /// Bounds on retries.
    pub retry: RetryConfig,
    /// Bounds on the runs of a server that was down. `None`: a returning server gets full load at
    /// once.
    pub slow_start: Option<SlowStartConfig>,
}

/// When a server is ejected, for how long, and how many servers may be ejected at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierConfig {
    /// Number of consecutive failures that eject a server; at least 1.
    pub consecutive_failures: u32,
    /// Duration of the first ejection. Each further consecutive ejection lasts twice as long.
    pub base_ejection: TenthMillis,
    /// Upper bound on the duration of an ejection. Each ejection is shortened by a random amount of
    /// up to half, so that servers do not all return at once.
    pub max_ejection: TenthMillis,
    /// Minimum share of the servers, 0 to 1, that stays in use despite failures; at least one server.
    /// If slow start is configured, servers that are down are ejected regardless of it.
    pub min_share_in_use: f32,
}

/// Bounds on the runs of a server that was down, after it returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartConfig {
    /// Duration of the slow start; at least 1.
    pub duration: TenthMillis,
    /// Runs that one server gets during slow start, at a rate that grows linearly; at least 1.
    pub runs: u32,
}

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries that the budget gains for each run begun; 0 to 1.
    pub ratio: f32,
    /// Maximum number of retries in the budget, which starts full.
    pub burst: u32,
    /// Maximum number of attempts of one run, including the first; at least 1.
    pub max_attempts: u32,
}
