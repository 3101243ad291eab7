//! The configuration of a pool.

use doortrack_time::TenthMillis;

/// How a pool treats its servers. Times are in tenths of a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolConfig {
    /// Concurrent runs on one server, and so its connections; at least 1.
    pub max_concurrency: u32,
    /// How long an idle connection is kept after a response; 0 keeps none.
    pub idle_timeout: TenthMillis,
    /// A connection that takes longer to open counts as failed.
    pub connect_timeout: TenthMillis,
    /// A response that takes longer counts as lost.
    pub response_timeout: TenthMillis,
    /// When servers that fail are ejected.
    pub outlier: OutlierConfig,
    /// When a run is retried.
    pub retry: RetryConfig,
    /// Bounds on the first runs of a server that was down. Absent: it gets all at once.
    pub slow_start: Option<SlowStartConfig>,
}

/// When a server is ejected, for how long, and how many may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierConfig {
    /// Consecutive failures that eject a server; at least 1.
    pub consecutive_failures: u32,
    /// How long the first ejection lasts; each further one in a row twice as long.
    pub base_ejection: TenthMillis,
    /// The longest ejection. Up to half of each is left off at random, so that servers do not all
    /// return at once.
    pub max_ejection: TenthMillis,
    /// Share of the servers that stay in use however they fail, and at least one; 0 to 1.
    pub min_share_in_use: f32,
}

/// Bounds on the first runs of a server that was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartConfig {
    /// How long slow start lasts; at least 1.
    pub duration: TenthMillis,
    /// Runs that one server gets meanwhile, at a rate that grows linearly; at least 1.
    pub runs: u32,
}

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries for each run begun; 0 to 1.
    pub ratio: f32,
    /// Retries that may be saved up, and are available at the start.
    pub burst: u32,
    /// Attempts of one run, the first included; at least 1.
    pub max_attempts: u32,
}
