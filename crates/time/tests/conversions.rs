//! Rounding and saturation of conversions between units.

use doortrack_time::{
    MILLISECOND, SECOND, TenthMillis, from_micros_ceil, from_micros_floor, from_millis, to_micros,
};

#[test]
fn microseconds_are_rounded_down_or_up_to_whole_units() {
    for (micros, floor, ceil) in [(0, 0, 0), (1, 0, 1), (99, 0, 1), (100, 1, 1), (101, 1, 2)] {
        assert_eq!(from_micros_floor(micros), floor, "{micros}");
        assert_eq!(from_micros_ceil(micros), ceil, "{micros}");
    }
    assert_eq!(from_micros_ceil(u64::MAX), u64::MAX / 100 + 1);
}

#[test]
fn conversion_to_microseconds_saturates() {
    assert_eq!(to_micros(3 * MILLISECOND), 3_000);
    assert_eq!(to_micros(TenthMillis::MAX / 2), u64::MAX);
}

#[test]
fn milliseconds_are_whole_units() {
    assert_eq!(from_millis(1_000), SECOND);
    assert_eq!(from_millis(u32::MAX), u64::from(u32::MAX) * MILLISECOND);
}
