//! The health of one server: healthy, ejected, or recovering a little at a time.

use crate::OutlierConfig;
use doortrack_time::TenthMillis;

/// The greatest power of two by which an ejection is prolonged.
const MAX_BACKOFF_SHIFT: u32 = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Takes as many runs as any other.
    Healthy {
        /// Failures since its last success.
        failures: u32,
    },
    /// Gets no runs until then.
    Ejected {
        until: TenthMillis,
        /// Ejections in a row before this one.
        earlier_ejections: u32,
    },
    /// Gets this many concurrent runs, one more with each success. The first is its health check.
    Recovering {
        allowed: u32,
        /// Ejections in a row before the last one.
        earlier_ejections: u32,
    },
}

/// How a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing listens there.
    ConnectionRefused,
    /// A connection did not open, broke, or brought no response in time.
    ConnectionLost,
    /// Its response says that the run failed or was refused.
    ErrorResponse,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Keep,
    Eject { earlier_ejections: u32 },
}

impl Health {
    pub(crate) const HEALTHY: Health = Health::Healthy { failures: 0 };

    /// Concurrent runs that it may take, of at most `max_concurrency`.
    pub(crate) fn allowed_runs(self, max_concurrency: u32) -> u32 {
        match self {
            Health::Healthy { .. } => max_concurrency,
            Health::Ejected { .. } => 0,
            Health::Recovering { allowed, .. } => allowed.min(max_concurrency),
        }
    }

    /// Whether its next run is a health check, which a run that can't be retried should not be.
    pub(crate) fn awaits_health_check(self) -> bool {
        matches!(self, Health::Recovering { allowed: 1, .. })
    }

    pub(crate) fn is_ejected(self) -> bool {
        matches!(self, Health::Ejected { .. })
    }

    pub(crate) fn is_recovering(self) -> bool {
        matches!(self, Health::Recovering { .. })
    }

    /// The health after a success.
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
            // A response from before the ejection proves nothing of the present.
            ejected => ejected,
        }
    }

    /// Counts a failure.
    pub(crate) fn on_failure(&mut self, config: &OutlierConfig) -> Verdict {
        match self {
            Health::Healthy { failures } => {
                *failures = failures.saturating_add(1);
                if *failures < config.consecutive_failures {
                    return Verdict::Keep;
                }
                Verdict::Eject {
                    earlier_ejections: 0,
                }
            }
            Health::Recovering {
                allowed,
                earlier_ejections,
            } => {
                *allowed = 1;
                Verdict::Eject {
                    earlier_ejections: earlier_ejections.saturating_add(1),
                }
            }
            Health::Ejected { .. } => Verdict::Keep,
        }
    }
}

/// How long an ejection lasts after `earlier_ejections` in a row, in tenths of a millisecond.
/// `jitter` in 0 to 1 takes off up to half.
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
