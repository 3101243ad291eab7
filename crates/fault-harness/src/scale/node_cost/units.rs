//! Conversions to the units of the figures.

use std::time::Duration;

/// Converts a duration to ms.
pub fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Returns processor time as a share of one core over `span`, in thousandths.
pub fn thousandths(processor: Duration, span: Duration) -> f64 {
    processor.as_secs_f64() / span.as_secs_f64() * 1_000.0
}
