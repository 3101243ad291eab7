//! The node's time, which follows the monotonic clock, beside the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use doortrack_time::{MICROSECONDS_PER_UNIT, MILLISECOND, TenthMillis};

/// Maximum time between the two readings of the monotonic clock around one of the wall clock, beyond which they are
/// repeated.
const MAX_READING_TIME: TenthMillis = MILLISECOND;
/// Maximum number of such readings; the last one counts.
const MAX_READINGS: usize = 3;

/// Both clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The node's time.
    pub now: TenthMillis,
    /// Time since the Unix epoch, by the wall clock.
    pub wall_time: TenthMillis,
}

/// A clock that runs on in real time when the wall clock is stepped. It starts at the wall clock's time.
#[derive(Clone, Copy)]
pub struct Clock {
    opened_at: Instant,
    /// The wall clock's time at `opened_at`.
    started_at: TenthMillis,
    /// Offset to the wall clock, in ms; only for tests.
    offset_ms: i64,
}

impl Clock {
    /// Creates a clock that is `offset_ms` ahead of the wall clock, or behind it if negative.
    pub fn with_offset(offset_ms: i64) -> Clock {
        Clock {
            opened_at: Instant::now(),
            started_at: wall_time(offset_ms),
            offset_ms,
        }
    }

    /// Returns the node's time.
    pub fn now(&self) -> TenthMillis {
        let elapsed = self.opened_at.elapsed().as_micros();
        self.started_at + (elapsed / u128::from(MICROSECONDS_PER_UNIT)) as TenthMillis
    }

    /// Reads both clocks.
    pub fn read(&self) -> ClockReading {
        let mut reading = self.read_once();
        for _ in 1..MAX_READINGS {
            // The process may have been suspended between the two readings.
            if self.now() - reading.now <= MAX_READING_TIME {
                break;
            }
            reading = self.read_once();
        }
        reading
    }

    fn read_once(&self) -> ClockReading {
        ClockReading {
            now: self.now(),
            wall_time: wall_time(self.offset_ms),
        }
    }
}

fn wall_time(offset_ms: i64) -> TenthMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_time = (since_epoch.as_micros() / u128::from(MICROSECONDS_PER_UNIT)) as TenthMillis;
    unix_time.saturating_add_signed(offset_ms * MILLISECOND as i64)
}
