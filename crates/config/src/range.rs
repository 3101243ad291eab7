//! Range checks of numbers.

use std::ops::RangeInclusive;

use crate::{ConfigErrorKind, ErrorCollector};

/// Adds an error at `path` if `value` is out of `range`.
pub(crate) fn check_integer(
    errors: &mut ErrorCollector,
    path: String,
    value: u32,
    range: RangeInclusive<u32>,
) {
    if !range.contains(&value) {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        errors.push(path, ConfigErrorKind::unexpected(expected, value));
    }
}

/// Adds an error at `path` if `value` is out of `range`. The message is shorter than that of [`check_integer`].
pub(crate) fn check_range(
    errors: &mut ErrorCollector,
    path: String,
    value: u32,
    range: RangeInclusive<u32>,
) {
    if !range.contains(&value) {
        let expected = format!("{} to {}", range.start(), range.end());
        errors.push(path, ConfigErrorKind::unexpected(expected, value));
    }
}

/// Adds an error at `path` if `share` is not from 0 to 1.
pub(crate) fn check_share(errors: &mut ErrorCollector, path: String, share: f32) {
    if !(0.0..=1.0).contains(&share) {
        let kind = ConfigErrorKind::unexpected("a share from 0 to 1", share);
        errors.push(path, kind);
    }
}

/// Returns true if all characters are hex digits. `from_str_radix` also accepts a sign.
pub(crate) fn is_hex(digits: &str) -> bool {
    digits.bytes().all(|digit| digit.is_ascii_hexdigit())
}
