//! The health of one server: healthy, ejected, or recovering.

use crate::OutlierConfig;
use doortrack_time::TenthMillis;

/// Maximum exponent of the power of two by which the base ejection time is multiplied.
const MAX_BACKOFF_SHIFT: u32 = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// The server takes up to the configured number of concurrent runs.
    Healthy {
        /// Failures since the last success.
        failures: u32,
    },
    /// The server gets no runs before `until`.
    Ejected {
        until: TenthMillis,
        /// Consecutive ejections before this one.
        earlier_ejections: u32,
    },
    /// The server gets up to `allowed` concurrent runs, one more after each success. The first run is
    /// a health check.
    Recovering {
        allowed: u32,
        /// Consecutive ejections before the last one.
        earlier_ejections: u32,
    },
}

/// How a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The server refused the connection: nothing listens on its port.
    ConnectionRefused,
    /// A connection did not open, broke, or delivered no response in time.
    ConnectionLost,
    /// The response reports that the run failed or was refused.
    ErrorResponse,
}

/// Whether a failure leads to an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionDecision {
    Keep,
    Eject { earlier_ejections: u32 },
}

impl Health {
    pub(crate) const HEALTHY: Health = Health::Healthy { failures: 0 };

    /// The number of concurrent runs that the server may take, at most `max_concurrency`.
    pub(crate) fn allowed_runs(self, max_concurrency: u32) -> u32 {
        match self {
            Health::Healthy { .. } => max_concurrency,
            Health::Ejected { .. } => 0,
            Health::Recovering { allowed, .. } => allowed.min(max_concurrency),
        }
    }

    /// Whether the next run is a health check. A run that can't be retried should not be used as one.
    pub(crate) fn awaits_health_check(self) -> bool {
        matches!(self, Health::Recovering { allowed: 1, .. })
    }

    pub(crate) fn is_ejected(self) -> bool {
        matches!(self, Health::Ejected { .. })
    }

    pub(crate) fn is_recovering(self) -> bool {
        matches!(self, Health::Recovering { .. })
    }

    /// Returns the health after a successful run.
    #[must_use]
    pub(crate) fn after_success(self, max_concurrency: u32) -> Health {
        match self {
            Health::Healthy { .. } => Health::HEALTHY,
            Health::Recovering { allowed, .. } if allowed + 1 >= max_concurrency => Health::HEALTHY,
            Health::Recovering {
                allowed,
                earlier_ejections,
            } => Health::Recovering {
                allowed: allowed + 1,
                earlier_ejections,
            },
            // The run began before the ejection, so its response says nothing about the current state.
            ejected => ejected,
        }
    }

    /// Counts a failure, and returns whether the server should be ejected.
    pub(crate) fn on_failure(&mut self, config: &OutlierConfig) -> EjectionDecision {
        match self {
            Health::Healthy { failures } => {
                *failures = failures.saturating_add(1);
                if *failures < config.consecutive_failures {
                    return EjectionDecision::Keep;
                }
                EjectionDecision::Eject {
                    earlier_ejections: 0,
                }
            }
            Health::Recovering {
                allowed,
                earlier_ejections,
            } => {
                *allowed = 1;
                EjectionDecision::Eject {
                    earlier_ejections: earlier_ejections.saturating_add(1),
                }
            }
            Health::Ejected { .. } => EjectionDecision::Keep,
        }
    }
}

/// The duration of an ejection that follows `earlier_ejections` consecutive ones. `jitter`, from 0 to
/// 1, shortens it by up to half.
pub(crate) fn ejection_time(
    config: &OutlierConfig,
    earlier_ejections: u32,
    jitter: f64,
) -> TenthMillis {
    let longest = config
        .base_ejection
        .saturating_mul(1 << earlier_ejections.min(MAX_BACKOFF_SHIFT))
        .min(config.max_ejection)
        .max(1);
    longest - (longest as f64 / 2.0 * jitter) as TenthMillis
}
