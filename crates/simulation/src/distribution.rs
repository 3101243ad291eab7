//! Probability distributions of durations.

use std::fmt;

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};

use crate::Micros;

/// A stream of random numbers.
pub type Stream = ChaCha12Rng;

/// The stream of one part of a world. Each part has a stream of its own, so that one more draw in one part
/// changes nothing in the others.
pub fn stream(seed: u64, part: u64) -> Stream {
    let mut stream = ChaCha12Rng::seed_from_u64(seed);
    stream.set_stream(part);
    stream
}

/// A distribution of durations in microseconds. All are given by their mean, so that one can replace another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Law {
    Fixed(f64),
    Exponential {
        mean: f64,
    },
    /// `sigma` is the standard deviation of the logarithm.
    LogNormal {
        mean: f64,
        sigma: f64,
    },
    /// Heavy-tailed. `shape` is over 1; below 2 the variance is infinite.
    Pareto {
        mean: f64,
        shape: f64,
    },
    /// A `share` of the durations is `long`, the rest `short`.
    Bimodal {
        short: f64,
        long: f64,
        share: f64,
    },
}

/// A parameter that is out of range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LawFault {
    /// The name of the parameter.
    pub what: &'static str,
    pub found: f64,
}

impl fmt::Display for LawFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {} makes no law", self.what, self.found)
    }
}

impl std::error::Error for LawFault {}

impl Law {
    /// Validates the parameters.
    ///
    /// # Errors
    /// The first parameter out of range.
    pub fn check(self) -> Result<Law, LawFault> {
        let positive = |what, n: f64| {
            if n > 0.0 && n.is_finite() {
                Ok(())
            } else {
                Err(LawFault { what, found: n })
            }
        };
        match self {
            Law::Fixed(mean) | Law::Exponential { mean } => positive("mean", mean)?,
            Law::LogNormal { mean, sigma } => {
                positive("mean", mean)?;
                positive("sigma", sigma)?;
            }
            Law::Pareto { mean, shape } => {
                positive("mean", mean)?;
                if !(shape > 1.0 && shape.is_finite()) {
                    return Err(LawFault {
                        what: "shape",
                        found: shape,
                    });
                }
            }
            Law::Bimodal { short, long, share } => {
                positive("short", short)?;
                positive("long", long)?;
                if !(0.0..=1.0).contains(&share) {
                    return Err(LawFault {
                        what: "share",
                        found: share,
                    });
                }
            }
        }
        Ok(self)
    }

    /// The mean in microseconds.
    pub fn mean(self) -> f64 {
        match self {
            Law::Fixed(mean)
            | Law::Exponential { mean }
            | Law::LogNormal { mean, .. }
            | Law::Pareto { mean, .. } => mean,
            Law::Bimodal { short, long, share } => long * share + short * (1.0 - share),
        }
    }

    /// Draws a duration in microseconds, at least one.
    pub fn draw(self, stream: &mut Stream) -> Micros {
        let drawn = match self {
            Law::Fixed(mean) => mean,
            Law::Exponential { mean } => {
                Exp::new(1.0 / mean).map_or(mean, |law| law.sample(stream))
            }
            Law::LogNormal { mean, sigma } => {
                let mu = mean.ln() - sigma * sigma / 2.0;
                LogNormal::new(mu, sigma).map_or(mean, |law| law.sample(stream))
            }
            Law::Pareto { mean, shape } => {
                let scale = mean * (shape - 1.0) / shape;
                Pareto::new(scale, shape).map_or(mean, |law| law.sample(stream))
            }
            Law::Bimodal { short, long, share } => {
                let chance: f64 = rand::RngExt::random(stream);
                if chance < share { long } else { short }
            }
        };
        (drawn.round() as Micros).max(1)
    }
}
