//! The unit of time used by all packages: whole tenths of a millisecond, which is the resolution of both the
//! node's clock and the simulator's protocol.
//!
//! Points in time are monotonic and count from an arbitrary origin that is fixed within the process. Conversions
//! from finer units round in the safe direction: deadlines and ages are rounded down, time windows and waits up.

/// A point in time or a duration, in tenths of a millisecond (100 microseconds).
pub type TenthMillis = u64;

/// The number of microseconds in one unit.
pub const MICROSECONDS_PER_UNIT: u64 = 100;

/// One millisecond.
pub const MILLISECOND: TenthMillis = 10;

/// One second.
pub const SECOND: TenthMillis = 1_000 * MILLISECOND;

/// Converts milliseconds.
pub fn from_millis(millis: u32) -> TenthMillis {
    TenthMillis::from(millis) * MILLISECOND
}

/// Converts microseconds, rounding down.
pub fn from_micros_floor(micros: u64) -> TenthMillis {
    micros / MICROSECONDS_PER_UNIT
}

/// Converts microseconds, rounding up.
pub fn from_micros_ceil(micros: u64) -> TenthMillis {
    micros.div_ceil(MICROSECONDS_PER_UNIT)
}

/// Converts to microseconds, saturating at [`u64::MAX`].
pub fn to_micros(time: TenthMillis) -> u64 {
    time.saturating_mul(MICROSECONDS_PER_UNIT)
}
