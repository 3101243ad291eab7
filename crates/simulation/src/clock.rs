//! Clocks of machines, which differ from simulated time by an offset and a drift.

use crate::Micros;

const PARTS_PER_MILLION: i128 = 1_000_000;

/// The clock of one machine. The default one agrees with simulated time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineClock {
    /// Reading at the start of the run, in microseconds; may be negative.
    pub offset: i64,
    /// Gain against simulated time in parts per million, over -1,000,000; 20,000 is 2%.
    pub drift_ppm: i64,
}

impl MachineClock {
    /// The reading at `now`, in microseconds, at least 0.
    pub fn reading_at(self, now: Micros) -> Micros {
        let gained = now as i128 * i128::from(self.drift_ppm) / PARTS_PER_MILLION;
        (now as i128 + i128::from(self.offset) + gained).max(0) as Micros
    }

    /// The simulated time at which the clock reads `reading`, rounded up.
    pub fn time_of(self, reading: Micros) -> Micros {
        let elapsed = reading as i128 - i128::from(self.offset);
        let rate = PARTS_PER_MILLION + i128::from(self.drift_ppm);
        (elapsed * PARTS_PER_MILLION).div_euclid(rate).max(0) as Micros + 1
    }
}
