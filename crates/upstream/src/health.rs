//! What is thought of one server: trusted with all, put aside, or taken back a little at a time.

use crate::Aside;
use doortrack_time::TenthMillis;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Trusted with all; failures since its last success.
    Fit { failures: u32 },
    /// Given nothing until then. `times` it was put aside before, one after the other.
    Aside { till: TenthMillis, times: u32 },
    /// Taken back slowly: trusted with so many runs at once, one more with each success. The first of them
    /// is its probe.
    Returning { trusted: u32, times: u32 },
}

/// In what way a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing listens there.
    Refused,
    /// A connection did not open, or broke, or brought nothing in time.
    Lost,
    /// It answered, and the answer says that it failed or would not run it.
    Answered,
}

/// What a failure calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Stays,
    /// It is to be put aside, for the nth time after this many.
    PutAside {
        times: u32,
    },
}

impl Health {
    pub(crate) const FIT: Health = Health::Fit { failures: 0 };

    /// Runs at once that it is trusted with, of at most `at_once`.
    pub(crate) fn trusted(self, at_once: u32) -> u32 {
        match self {
            Health::Fit { .. } => at_once,
            Health::Aside { .. } => 0,
            Health::Returning { trusted, .. } => trusted.min(at_once),
        }
    }

    /// Whether its next run is a probe, which who can't be repeated should not be.
    pub(crate) fn unproven(self) -> bool {
        matches!(self, Health::Returning { trusted: 1, .. })
    }

    pub(crate) fn is_aside(self) -> bool {
        matches!(self, Health::Aside { .. })
    }

    pub(crate) fn is_returning(self) -> bool {
        matches!(self, Health::Returning { .. })
    }

    #[must_use]
    pub(crate) fn succeeded(self, at_once: u32) -> Health {
        match self {
            Health::Fit { .. } => Health::FIT,
            Health::Returning { trusted, .. } if trusted + 1 >= at_once => Health::FIT,
            Health::Returning { trusted, times } => Health::Returning {
                trusted: trusted + 1,
                times,
            },
            // An answer from before it was put aside proves nothing of now.
            aside => aside,
        }
    }

    pub(crate) fn failed(&mut self, terms: &Aside) -> Verdict {
        match self {
            Health::Fit { failures } => {
                *failures = failures.saturating_add(1);
                if *failures >= terms.failures {
                    Verdict::PutAside { times: 0 }
                } else {
                    Verdict::Stays
                }
            }
            Health::Returning { trusted, times } => {
                *trusted = 1;
                Verdict::PutAside {
                    times: times.saturating_add(1),
                }
            }
            Health::Aside { .. } => Verdict::Stays,
        }
    }
}

/// How long a server is put aside after `times` before; `chance` in 0 to 1 takes off up to half.
pub(crate) fn span(terms: &Aside, times: u32, chance: f64) -> TenthMillis {
    let whole = terms
        .first
        .saturating_mul(1 << times.min(32))
        .min(terms.longest)
        .max(1);
    whole - (whole as f64 / 2.0 * chance) as TenthMillis
}
