//! Probability distributions of durations.

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use rand_distr::{Distribution as _, Exp, LogNormal, Pareto};

use crate::Micros;

/// A stream of random numbers.
pub type RandomStream = ChaCha12Rng;

/// The random stream of one part of a simulation. Each part has a stream of its own, so that one more draw
/// in one part changes nothing in the others.
pub fn random_stream(seed: u64, part: u64) -> RandomStream {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    random.set_stream(part);
    random
}

/// A distribution of durations in microseconds. Most are given by their mean, so that one can replace another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Distribution {
    /// Always the same duration.
    Fixed(f64),
    /// Exponential, the distribution of gaps between independent arrivals.
    Exponential {
        /// Mean in microseconds.
        mean: f64,
    },
    /// Log-normal: the logarithm of the duration is normally distributed.
    LogNormal {
        /// Mean in microseconds.
        mean: f64,
        /// Standard deviation of the natural logarithm.
        sigma: f64,
    },
    /// Pareto: a heavy tail that falls as a power of the duration.
    Pareto {
        /// Mean in microseconds.
        mean: f64,
        /// Exponent of the tail, over 1; up to 2 the variance is infinite.
        shape: f64,
    },
    /// One of two durations.
    Bimodal {
        /// The shorter duration in microseconds.
        short: f64,
        /// The longer duration in microseconds.
        long: f64,
        /// Fraction of the durations that are `long`, 0 to 1.
        long_fraction: f64,
    },
}

/// A parameter of a distribution that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{parameter} is out of range: {value}")]
pub struct DistributionError {
    /// The name of the parameter.
    pub parameter: &'static str,
    /// The value found.
    pub value: f64,
}

impl Distribution {
    /// Validates the parameters.
    ///
    /// # Errors
    /// The first parameter out of range.
    pub fn validate(self) -> Result<Distribution, DistributionError> {
        match self {
            Distribution::Fixed(mean) | Distribution::Exponential { mean } => {
                require_positive("mean", mean)?;
            }
            Distribution::LogNormal { mean, sigma } => {
                require_positive("mean", mean)?;
                require_positive("sigma", sigma)?;
            }
            Distribution::Pareto { mean, shape } => {
                require_positive("mean", mean)?;
                require("shape", shape, shape > 1.0 && shape.is_finite())?;
            }
            Distribution::Bimodal {
                short,
                long,
                long_fraction,
            } => {
                require_positive("short", short)?;
                require_positive("long", long)?;
                let is_fraction = (0.0..=1.0).contains(&long_fraction);
                require("long_fraction", long_fraction, is_fraction)?;
            }
        }
        Ok(self)
    }

    /// The mean in microseconds.
    pub fn mean(self) -> f64 {
        match self {
            Distribution::Fixed(mean)
            | Distribution::Exponential { mean }
            | Distribution::LogNormal { mean, .. }
            | Distribution::Pareto { mean, .. } => mean,
            Distribution::Bimodal {
                short,
                long,
                long_fraction,
            } => long * long_fraction + short * (1.0 - long_fraction),
        }
    }

    /// Draws a duration in microseconds, at least 1. Parameters out of range give the mean.
    pub fn sample(self, random: &mut RandomStream) -> Micros {
        let duration = match self {
            Distribution::Fixed(mean) => mean,
            Distribution::Exponential { mean } => {
                Exp::new(1.0 / mean).map_or(mean, |exponential| exponential.sample(random))
            }
            Distribution::LogNormal { mean, sigma } => {
                let mu = mean.ln() - sigma * sigma / 2.0;
                LogNormal::new(mu, sigma).map_or(mean, |log_normal| log_normal.sample(random))
            }
            Distribution::Pareto { mean, shape } => {
                let scale = mean * (shape - 1.0) / shape;
                Pareto::new(scale, shape).map_or(mean, |pareto| pareto.sample(random))
            }
            Distribution::Bimodal {
                short,
                long,
                long_fraction,
            } => {
                let uniform: f64 = rand::RngExt::random(random);
                if uniform < long_fraction { long } else { short }
            }
        };
        (duration.round() as Micros).max(1)
    }
}

fn require_positive(parameter: &'static str, value: f64) -> Result<(), DistributionError> {
    require(parameter, value, value > 0.0 && value.is_finite())
}

fn require(
    parameter: &'static str,
    value: f64,
    is_in_range: bool,
) -> Result<(), DistributionError> {
    if is_in_range {
        Ok(())
    } else {
        Err(DistributionError { parameter, value })
    }
}
