//! A figure of the page: a number with its unit and how it was found.

use super::fit::Curve;
use super::measurement::Series;
use super::number;
use minijinja::value::{Object, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// A prediction for a size beyond the largest fitted one by more than this says so.
pub const FAR: f64 = 2.0;

/// How a figure was found.
#[derive(Debug, Clone, PartialEq)]
pub enum Origin {
    /// The target allows or demands it.
    Target,
    /// The median of what was measured at this size of the driver.
    Measured {
        /// The size.
        size: f64,
        /// What was varied.
        driver: String,
    },
    /// A curve through measured sizes says so.
    Fitted {
        /// The curve.
        curve: Curve,
        /// The smallest and the largest fitted size.
        range: (f64, f64),
        /// The size that was asked for.
        size: f64,
        /// What was varied.
        driver: String,
    },
    /// Worked out from other figures.
    WorkedOut {
        /// How.
        how: String,
        /// How those were found.
        from: BTreeSet<String>,
    },
    /// By reasoning, without a run; the text says how.
    Reasoned(String),
    /// Nothing does this today; the text says what is missing.
    Absent(String),
    /// It is there, but no run has measured it; the text says why.
    NotMeasured(String),
}

impl Origin {
    /// The origin of what follows from figures; how those were found stays said, through every step.
    pub fn worked_out<'a>(how: &str, from: impl Iterator<Item = &'a Origin>) -> Origin {
        let mut found = BTreeSet::new();
        for origin in from {
            match origin {
                Origin::WorkedOut { from, .. } => found.extend(from.iter().cloned()),
                origin => drop(found.insert(origin.to_string())),
            }
        }
        Origin::WorkedOut { how: how.into(), from: found }
    }

    /// The origin of what a curve says at a size, with the range of the sizes that it was fitted to.
    pub fn fitted(curve: Curve, series: &Series, driver: &str, size: f64) -> Origin {
        let sizes = series.fitted.iter().map(|point| point.size);
        let range = (sizes.clone().fold(f64::INFINITY, f64::min), sizes.fold(f64::NEG_INFINITY, f64::max));
        Origin::Fitted { curve, range, size, driver: driver.into() }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |number| number::figure(number).unwrap_or_default();
        match self {
            Origin::Target => write!(out, "target"),
            Origin::Measured { size, driver } => write!(out, "measured at {} {driver}", count(*size)),
            Origin::Fitted { curve, range, size, driver } => {
                let (from, to) = (count(range.0), count(range.1));
                let (shape, r_squared) = (curve.shape.name(), text(curve.line.r_squared));
                write!(out, "worked out from a slope: {shape} over {from} to {to} {driver}, r² {r_squared}")?;
                if !curve.fits() {
                    write!(out, ", which the values don't follow")?;
                }
                if *size > FAR * range.1 {
                    write!(out, ", {} times beyond the largest", text(size / range.1))?;
                }
                Ok(())
            }
            Origin::WorkedOut { how, from } if from.is_empty() => write!(out, "worked out: {how}"),
            Origin::WorkedOut { how, from } => {
                let from: Vec<&str> = from.iter().map(String::as_str).collect();
                write!(out, "worked out: {how}; from what is {}", from.join(", and "))
            }
            Origin::Reasoned(how) => write!(out, "by reasoning: {how}"),
            Origin::Absent(what) => write!(out, "not there: {what}"),
            Origin::NotMeasured(why) => write!(out, "not measured: {why}"),
        }
    }
}

/// A size of a driver: whole ones in full.
pub fn count(size: f64) -> String {
    let text = if size.fract() == 0.0 { number::count(size) } else { number::figure(size) };
    text.unwrap_or_else(|| size.to_string())
}

/// A number with its unit and how it was found.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// The number; none if it is absent or not measured.
    pub value: Option<f64>,
    /// Its unit.
    pub unit: String,
    /// How it was found.
    pub origin: Origin,
}

impl Figure {
    /// A figure with a number. An error if it is no finite number or has no unit.
    pub fn new(value: f64, unit: &str, origin: Origin) -> Result<Figure, String> {
        if !value.is_finite() {
            return Err(format!("{value} is no finite number ({origin})"));
        }
        if unit.trim().is_empty() {
            return Err(format!("{value} has no unit ({origin})"));
        }
        Ok(Figure { value: Some(value), unit: unit.into(), origin })
    }

    /// A figure without a number: absent or not measured.
    pub fn missing(origin: Origin) -> Figure {
        Figure { value: None, unit: String::new(), origin }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.value.and_then(number::figure), &self.origin) {
            (Some(number), _) if self.unit == "%" => write!(out, "{number}%"),
            (Some(number), _) if self.unit == "1" => write!(out, "{number}"),
            (Some(number), _) if self.unit == "1/s" => write!(out, "{number} a second"),
            (Some(number), _) if self.unit == "1/call" => write!(out, "{number} a call"),
            (Some(number), _) => write!(out, "{number} {}", self.unit),
            (None, Origin::Absent(_)) => write!(out, "nothing"),
            (None, _) => write!(out, "not measured"),
        }
    }
}

/// In a template: `figure.value`, `figure.unit`, `figure.how`; printed with its unit.
impl Object for Figure {
    fn get_value(self: &Arc<Self>, key: &Value) -> Option<Value> {
        match key.as_str()? {
            "value" => self.value.map(Value::from),
            "unit" => Some(Value::from(self.unit.clone())),
            "how" => Some(Value::from(self.origin.to_string())),
            _ => None,
        }
    }

    fn render(self: &Arc<Self>, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}
