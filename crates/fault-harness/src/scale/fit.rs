//! Linear least-squares fits of measured points (`linregress`).

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::series::{Point, Series};

/// Minimum number of different sizes: two for the line, and a third for its standard error.
const MIN_SIZES: usize = 3;

/// Why no line was fitted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FitError {
    #[error("{found} different sizes, at least {MIN_SIZES} are needed")]
    TooFewSizes { found: usize },
    #[error("a point is not a number")]
    NotFinite,
    #[error("no line: {0}")]
    Regression(String),
}

/// `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub intercept: f64,
    /// Cost of one more unit of the dimension.
    pub slope: f64,
    pub slope_standard_error: f64,
    /// Root mean square residual, with the degrees of freedom reduced by two.
    pub residual_standard_error: f64,
    /// Coefficient of determination; also 1 if all values are equal.
    pub r_squared: f64,
    /// The largest measured size. Values beyond it are extrapolated.
    pub greatest_size: f64,
}

/// The value of a line at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    pub size: f64,
    pub value: f64,
    /// True if the size exceeds all measured sizes.
    pub extrapolated: bool,
}

/// A series with its fitted line, or None if there are too few points.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FittedSeries {
    #[serde(flatten)]
    pub series: Series,
    pub fit: Option<Fit>,
    pub projection: Option<Projection>,
}

impl Fit {
    /// Evaluates the line at a size.
    pub fn at(&self, size: f64) -> Projection {
        let value = self.intercept + self.slope * size;
        Projection {
            size,
            value,
            extrapolated: size > self.greatest_size,
        }
    }
}

impl FittedSeries {
    /// Fits a line and evaluates it at `wanted`, if given.
    pub fn of(series: Series, wanted: Option<f64>) -> FittedSeries {
        let fit = fit(&series.points).ok();
        let projection = fit.zip(wanted).map(|(fit, size)| fit.at(size));
        FittedSeries {
            series,
            fit,
            projection,
        }
    }
}

/// Fits a least-squares line through the points.
///
/// # Errors
/// Fewer than three different sizes, or a value is not finite.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    if points
        .iter()
        .any(|point| !point.size.is_finite() || !point.value.is_finite())
    {
        return Err(FitError::NotFinite);
    }
    let mut sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < MIN_SIZES {
        return Err(FitError::TooFewSizes { found: sizes.len() });
    }
    let greatest_size = sizes.last().copied().unwrap_or_default();
    let first = points[0].value;
    if points.iter().all(|point| point.value == first) {
        // The library divides by the variance of the values.
        return Ok(Fit {
            intercept: first,
            slope: 0.0,
            slope_standard_error: 0.0,
            residual_standard_error: 0.0,
            r_squared: 1.0,
            greatest_size,
        });
    }
    regress(points, greatest_size)
}

fn regress(points: &[Point], greatest_size: f64) -> Result<Fit, FitError> {
    let failed = |e: linregress::Error| FitError::Regression(e.to_string());
    let sizes: Vec<f64> = points.iter().map(|point| point.size).collect();
    let values: Vec<f64> = points.iter().map(|point| point.value).collect();
    let data = RegressionDataBuilder::new().build_from(vec![("value", values), ("size", sizes)]);
    let data = data.map_err(failed)?;
    let model = FormulaRegressionBuilder::new()
        .data(&data)
        .formula("value ~ size")
        .fit()
        .map_err(failed)?;
    let (parameters, errors) = (model.parameters(), model.se());
    Ok(Fit {
        intercept: parameters[0],
        slope: parameters[1],
        slope_standard_error: errors[1],
        residual_standard_error: model.scale().sqrt(),
        r_squared: model.rsquared(),
        greatest_size,
    })
}
