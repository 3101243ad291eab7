//! The unit of time that all packages share: whole tenths of a millisecond, as the clock of the node and the
//! wire of the simulator both resolve.
//!
//! A point in time counts from any fixed zero of the process and never goes back. Conversions from finer units
//! round so that no promise is broken: a deadline and an age are rounded down, a time window and a wait up.

/// A point in time or a duration, in tenths of a millisecond (100 microseconds).
pub type TenthMillis = u64;

/// One microsecond is less than a unit: this many make one.
pub const MICROSECONDS_PER_UNIT: u64 = 100;

/// One millisecond.
pub const MILLISECOND: TenthMillis = 10;

/// One second.
pub const SECOND: TenthMillis = 1_000 * MILLISECOND;

/// A time of `millis` milliseconds.
pub fn from_millis(millis: u32) -> TenthMillis {
    TenthMillis::from(millis) * MILLISECOND
}

/// A time of `micros` microseconds, rounded down.
pub fn from_micros_floor(micros: u64) -> TenthMillis {
    micros / MICROSECONDS_PER_UNIT
}

/// A time of `micros` microseconds, rounded up.
pub fn from_micros_ceil(micros: u64) -> TenthMillis {
    micros.div_ceil(MICROSECONDS_PER_UNIT)
}

/// A time in microseconds; the largest number where it does not fit.
pub fn to_micros(time: TenthMillis) -> u64 {
    time.saturating_mul(MICROSECONDS_PER_UNIT)
}
