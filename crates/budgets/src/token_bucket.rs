//! The token bucket by which the use of a rate is counted.

use crate::{Parameters, Units};
use doortrack_time::TenthMillis;

/// Fractions of one token: a rate of one thousandth of a unit a second adds one fraction in a tenth
/// of a millisecond.
const FRACTIONS_PER_TOKEN: u64 = 10_000_000;

/// Tokens, each for one use, that accrue at a rate up to a capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TokenBucket {
    /// Fractions of tokens as of `refilled_at`.
    fractions: u64,
    /// The most fractions that are kept.
    capacity: u64,
    refilled_at: TenthMillis,
}

impl TokenBucket {
    /// An empty bucket without capacity.
    pub fn new(now: TenthMillis) -> TokenBucket {
        TokenBucket {
            fractions: 0,
            capacity: 0,
            refilled_at: now,
        }
    }

    /// Sets the capacity to the part of `burst` that `rate` is of `limit`.
    pub fn set_capacity(&mut self, burst: u32, rate: Units, limit: Units) {
        let full = u128::from(burst) * u128::from(FRACTIONS_PER_TOKEN);
        let part = full * u128::from(rate.min(limit)) / u128::from(limit.max(1));
        self.capacity = part as u64;
        self.fractions = self.fractions.min(self.capacity);
    }

    /// Adds the tokens that accrued at `rate` since the last time.
    pub fn refill(&mut self, now: TenthMillis, rate: Units, parameters: &Parameters) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let mut added = rate.saturating_mul(elapsed);
        if parameters.safeguards.drift_margin {
            // A clock that is too fast must not make more of a second than there is.
            added = added.saturating_mul(1_000) / (1_000 + parameters.max_drift_permille);
        }
        self.fractions = self.fractions.saturating_add(added).min(self.capacity);
        self.refilled_at = now.max(self.refilled_at);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// There is none: how long until there is one at `rate`; none if there never will be.
    pub fn try_take(&mut self, rate: Units) -> Result<(), Option<TenthMillis>> {
        if self.fractions >= FRACTIONS_PER_TOKEN {
            self.fractions -= FRACTIONS_PER_TOKEN;
            return Ok(());
        }
        if self.capacity < FRACTIONS_PER_TOKEN || rate == 0 {
            return Err(None);
        }
        let missing = FRACTIONS_PER_TOKEN - self.fractions;
        Err(Some(missing.div_ceil(rate).max(1)))
    }

    /// Returns a token that was not used.
    pub fn put_back(&mut self) {
        self.fractions = (self.fractions + FRACTIONS_PER_TOKEN).min(self.capacity);
    }
}
