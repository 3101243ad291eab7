//! The Unix clock, in tenths of a ms.

use std::time::{SystemTime, UNIX_EPOCH};

use doortrack_time::{MICROSECONDS_PER_UNIT, MILLISECOND, TenthMillis};

/// A clock that never goes back. If the system clock does, this one stands still until the system clock has caught up.
#[derive(Clone, Copy, Default)]
pub struct Clock {
    /// The last time that was returned.
    last: TenthMillis,
    /// Offset to the system clock, in ms; only for tests.
    offset_ms: i64,
}

impl Clock {
    /// Creates a clock that is `offset_ms` ahead of the system clock, or behind it if negative.
    pub fn with_offset(offset_ms: i64) -> Clock {
        Clock { last: 0, offset_ms }
    }

    /// Time since the Unix epoch.
    pub fn now(&mut self) -> TenthMillis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let system_time =
            (since_epoch.as_micros() / u128::from(MICROSECONDS_PER_UNIT)) as TenthMillis;
        let offset = self.offset_ms * MILLISECOND as i64;
        self.last = self.last.max(system_time.saturating_add_signed(offset));
        self.last
    }
}
