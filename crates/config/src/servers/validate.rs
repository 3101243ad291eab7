//! Validation of server pools beyond what their types enforce.

use std::collections::BTreeSet;

use super::{OutlierEjection, RetryLimits, ServerPool, SlowStart};
use crate::range::{check_integer, check_share};
use crate::{ConfigErrorKind, ErrorCollector};

/// Maximum number of servers in a pool.
const MAX_SERVERS: usize = 1000;
/// Maximum of the configurable body size of a response.
const MAX_RESPONSE_BYTES: u32 = 1 << 20;
const HOUR_MS: u32 = 3_600_000;

impl ServerPool {
    /// Adds all errors of the pool at `path`.
    pub(crate) fn validate(&self, path: &str, errors: &mut ErrorCollector) {
        let mut check = |key: &str, value: u32, min: u32, max: u32| {
            check_integer(errors, format!("{path}.{key}"), value, min..=max);
        };
        check("at_once", self.max_concurrency, 1, 10_000);
        check("idle_ms", self.idle_timeout_ms, 0, HOUR_MS);
        check("open_within_ms", self.connect_timeout_ms, 1, 60_000);
        if let Some(timeout) = self.response_timeout_ms {
            check("answer_within_ms", timeout, 1, HOUR_MS);
        }
        check(
            "most_answer_bytes",
            self.max_response_bytes,
            1,
            MAX_RESPONSE_BYTES,
        );
        self.ejection.validate_integers(&mut check);
        self.retries.validate_integers(&mut check);
        if let Some(slow_start) = &self.slow_start {
            slow_start.validate_integers(&mut check);
        }
        let shares = [
            ("aside.floor", self.ejection.min_share_in_use),
            ("retries.share", self.retries.retries_per_run),
        ];
        for (key, share) in shares {
            check_share(errors, format!("{path}.{key}"), share);
        }
        self.validate_addresses(&format!("{path}.addresses"), errors);
    }

    fn validate_addresses(&self, path: &str, errors: &mut ErrorCollector) {
        if !(1..=MAX_SERVERS).contains(&self.addresses.len()) {
            let found = self.addresses.len();
            let message = format!("1 to {MAX_SERVERS} are wanted, found {found}");
            errors.push(path, message);
        }
        let mut seen = BTreeSet::new();
        for (index, address) in self.addresses.iter().enumerate() {
            let path = format!("{path}[{index}]");
            if address.port() == 0 || address.ip().is_unspecified() {
                errors.push(path.as_str(), format!("{address} can't be connected to"));
            }
            if !seen.insert(address) {
                errors.push(path, ConfigErrorKind::Duplicate(address.to_string()));
            }
        }
    }
}

impl OutlierEjection {
    /// Calls `check` with each key, its value, and its minimum and maximum.
    fn validate_integers(&self, check: &mut impl FnMut(&str, u32, u32, u32)) {
        check("aside.failures", self.failures, 1, 1000);
        check("aside.first_ms", self.base_duration_ms, 1, HOUR_MS);
        check(
            "aside.longest_ms",
            self.max_duration_ms,
            self.base_duration_ms,
            HOUR_MS,
        );
    }
}

impl RetryLimits {
    /// Calls `check` with each key, its value, and its minimum and maximum.
    fn validate_integers(&self, check: &mut impl FnMut(&str, u32, u32, u32)) {
        check("retries.burst", self.burst, 0, 100_000);
        check("retries.tries", self.max_attempts, 1, 10);
    }
}

impl SlowStart {
    /// Calls `check` with each key, its value, and its minimum and maximum.
    fn validate_integers(&self, check: &mut impl FnMut(&str, u32, u32, u32)) {
        check("ramp.over_ms", self.duration_ms, 10, HOUR_MS);
        check("ramp.runs", self.runs, 1, 10_000_000);
    }
}
