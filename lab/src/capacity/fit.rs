//! Fits of a measured quantity over its driver, by least squares over all repeats.

use super::measurement::Point;
use linregress::fit_low_level_regression_model;
use serde::Serialize;

/// A fit explains at least this share of the variance, or it is not called a line. Over 100, 200, 400 and 800, a parabola reaches
/// 0.95 and a square root 0.982, so that the bound has to be above those.
pub const LINE_R_SQUARED: f64 = 0.99;

/// Residuals up to this multiple of what repeats at one size differ by are noise, and no function of the driver explains them.
pub const NOISE_SPREAD: f64 = 1.5;

/// Residuals within this share of the mean are too small to matter here, whatever r² says of them.
pub const SMALL_SPREAD: f64 = 0.02;

/// Another shape replaces the line only if it leaves at most this share of the line's residual standard deviation.
pub const BETTER_SHAPE: f64 = 0.8;

/// A residual standard deviation needs one value more than the two parameters.
pub const VALUES_LEAST: usize = 3;

/// Why no curve can be put through the points.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum FitError {
    /// Less than [`VALUES_LEAST`] values, repeats included.
    #[error("{have} values, a fit needs {VALUES_LEAST}")]
    TooFewValues {
        /// Values of all sizes together.
        have: usize,
    },
    /// All values were measured at the same size.
    #[error("all values are at size {size}, a fit needs two sizes")]
    OneSize {
        /// The only size.
        size: f64,
    },
    /// A size or value is infinite or not a number, or the fit's own sums overflow.
    #[error("at size {size}: not a finite number")]
    NotFinite {
        /// The size of the point.
        size: f64,
    },
    /// The library found no solution.
    #[error("no least-squares solution")]
    NoSolution,
}

/// A straight line through all repeats.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0, in the unit of the series.
    pub intercept: f64,
    /// What one more of the driver adds, in the unit of the series.
    pub slope: f64,
    /// Share of the variance of all repeats that the line explains, 0 to 1; 1 if all values are equal.
    pub r_squared: f64,
    /// Residual standard deviation, in the unit of the series: the root of the squared residuals' sum over (values - 2).
    pub spread: f64,
    /// Standard deviation of repeats at one size, pooled over the sizes, in the unit of the series; 0 without repeats.
    pub repeat_spread: f64,
    /// Mean of all values, in the unit of the series.
    pub mean: f64,
}

impl Line {
    /// The line's value at a size of the driver.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Whether the values follow the line: it explains [`LINE_R_SQUARED`] of the variance, or what it leaves is noise between
    /// repeats ([`NOISE_SPREAD`]) or small ([`SMALL_SPREAD`]).
    pub fn is_line(&self) -> bool {
        let is_noise = self.spread <= NOISE_SPREAD * self.repeat_spread;
        let is_small = self.spread <= SMALL_SPREAD * self.mean.abs();
        self.r_squared >= LINE_R_SQUARED || is_noise || is_small
    }
}

/// How a quantity grows with its driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// With the driver.
    Line,
    /// With the driver's natural logarithm.
    Logarithm,
    /// With the driver's square root.
    Root,
    /// With the driver's square.
    Square,
}

impl Shape {
    /// Every shape, the simplest first.
    pub const ALL: [Shape; 4] = [Shape::Line, Shape::Logarithm, Shape::Root, Shape::Square];

    /// The word for people.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Line => "line",
            Shape::Logarithm => "logarithm",
            Shape::Root => "square root",
            Shape::Square => "square",
        }
    }

    /// What takes the driver's place in the line.
    fn transformed(self, size: f64) -> f64 {
        match self {
            Shape::Line => size,
            Shape::Logarithm => size.ln(),
            Shape::Root => size.sqrt(),
            Shape::Square => size * size,
        }
    }
}

/// A line over the driver, or over a transformation of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Curve {
    /// The transformation.
    pub shape: Shape,
    /// The line over the transformed driver.
    pub line: Line,
}

impl Curve {
    /// The curve's value at a size of the driver.
    pub fn at(&self, size: f64) -> f64 {
        self.line.at(self.shape.transformed(size))
    }

    /// Whether the values follow the curve, by the bounds of [`Line::is_line`].
    pub fn fits(&self) -> bool {
        self.line.is_line()
    }
}

/// Fits a straight line to all repeats at all sizes.
pub fn line(points: &[Point]) -> Result<Line, FitError> {
    transformed_line(points, Shape::Line)
}

/// Fits a straight line, and where that is poor the shape that leaves the smallest residuals; no held-out size is looked at.
pub fn curve(points: &[Point]) -> Result<Curve, FitError> {
    let straight = Curve { shape: Shape::Line, line: line(points)? };
    if straight.fits() {
        return Ok(straight);
    }
    let best = Shape::ALL
        .into_iter()
        .filter_map(|shape| transformed_line(points, shape).ok().map(|line| Curve { shape, line }))
        .min_by(|a, b| a.line.spread.total_cmp(&b.line.spread))
        .filter(|best| best.line.spread <= BETTER_SHAPE * straight.line.spread);
    Ok(best.unwrap_or(straight))
}

fn transformed_line(points: &[Point], shape: Shape) -> Result<Line, FitError> {
    let observations = observations(points, shape)?;
    let (first_size, first_value) = observations[0];
    if observations.iter().all(|(size, _)| *size == first_size) {
        return Err(FitError::OneSize { size: points[0].size });
    }
    if observations.iter().all(|(_, value)| *value == first_value) {
        return Ok(constant(first_value));
    }
    least_squares(&observations)
        .map(|line| Line { repeat_spread: repeat_spread(points), ..line })
        .filter(is_finite)
        .ok_or(FitError::NoSolution)
}

fn constant(value: f64) -> Line {
    Line { intercept: value, slope: 0.0, r_squared: 1.0, spread: 0.0, repeat_spread: 0.0, mean: value }
}

/// Pairs of transformed size and value; at least [`VALUES_LEAST`] of them, all finite.
fn observations(points: &[Point], shape: Shape) -> Result<Vec<(f64, f64)>, FitError> {
    let mut observations = Vec::new();
    for point in points {
        let size = shape.transformed(point.size);
        for value in &point.values {
            if !size.is_finite() || !value.is_finite() {
                return Err(FitError::NotFinite { size: point.size });
            }
            observations.push((size, *value));
        }
    }
    if observations.len() < VALUES_LEAST {
        return Err(FitError::TooFewValues { have: observations.len() });
    }
    Ok(observations)
}

fn least_squares(observations: &[(f64, f64)]) -> Option<Line> {
    // One row for each observation: the value, a one for the intercept, the size.
    let rows: Vec<f64> = observations.iter().flat_map(|(size, value)| [*value, 1.0, *size]).collect();
    let model = fit_low_level_regression_model(&rows, observations.len(), 3).ok()?;
    let [intercept, slope] = model.parameters() else { return None };
    let values: Vec<f64> = observations.iter().map(|(_, value)| *value).collect();
    Some(Line {
        intercept: *intercept,
        slope: *slope,
        r_squared: model.rsquared(),
        spread: model.scale().sqrt(),
        repeat_spread: 0.0,
        mean: mean(&values),
    })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// The root of the squared differences from each size's own mean, over (values - sizes).
fn repeat_spread(points: &[Point]) -> f64 {
    let (mut squares, mut degrees) = (0.0, 0);
    for point in points.iter().filter(|point| point.values.len() > 1) {
        let mean = mean(&point.values);
        squares += point.values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
        degrees += point.values.len() - 1;
    }
    if degrees == 0 {
        0.0
    } else {
        (squares / degrees as f64).sqrt()
    }
}

fn is_finite(line: &Line) -> bool {
    [line.intercept, line.slope, line.r_squared, line.spread, line.mean]
        .iter()
        .all(|number| number.is_finite())
}

#[cfg(test)]
mod tests;
