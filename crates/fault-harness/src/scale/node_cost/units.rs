//! Units of the figures.

use std::time::Duration;

/// A duration in ms.
pub fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// The share of one core that a processor time takes of a span, in thousandths.
pub fn thousandths(processor: Duration, span: Duration) -> f64 {
    processor.as_secs_f64() / span.as_secs_f64() * 1_000.0
}
