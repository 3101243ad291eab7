//! An exponentially weighted mean.

/// Weight of the newest value.
const NEWEST_WEIGHT: f32 = 0.1;

/// A mean that starts at the first value and then moves towards each newer one; 0 before the first
/// value.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean(f32);

impl MovingMean {
    /// Returns the mean, in the unit of its values.
    pub(crate) fn get(self) -> f32 {
        self.0
    }

    /// Adds a value.
    pub(crate) fn record(&mut self, newest: f32) {
        if self.0 > 0.0 {
            self.0 += NEWEST_WEIGHT * (newest - self.0);
        } else {
            self.0 = newest;
        }
    }
}
