//! Sizes and repeats of one driver. Repeats are the outer loop: what drifts on the machine during a run touches every
//! size alike and shows as spread, not as a slope.

use crate::capacity::measurement::{Point, Series};

/// The sizes of one measurement.
#[derive(Debug, Clone, PartialEq)]
pub struct Sweep {
    /// Sizes that a line is fitted to.
    pub fitted: Vec<f64>,
    /// Sizes that check the line.
    pub held_out: Vec<f64>,
    /// How often each is measured.
    pub repeats: usize,
}

/// The name and unit of a measured quantity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quantity {
    /// Its key in the file.
    pub key: &'static str,
    /// Its unit.
    pub unit: &'static str,
}

impl Quantity {
    /// A quantity.
    pub const fn new(key: &'static str, unit: &'static str) -> Quantity {
        Quantity { key, unit }
    }
}

impl Sweep {
    /// The sizes of a measurement, or those that a caller has put in their place: the last of those is held out.
    pub fn new(fitted: &[f64], held_out: f64, repeats: usize, own: Option<&[f64]>) -> Sweep {
        let (fitted, held_out) = match own.and_then(<[f64]>::split_last) {
            Some((last, others)) => (others.to_vec(), vec![*last]),
            None => (fitted.to_vec(), vec![held_out]),
        };
        Sweep { fitted, held_out, repeats }
    }

    /// The largest size.
    pub fn largest(&self) -> f64 {
        self.fitted.iter().chain(&self.held_out).copied().fold(0.0, f64::max)
    }

    /// All runs in their order: repeat, size.
    pub fn runs(&self) -> Vec<(usize, f64)> {
        let sizes = || self.fitted.iter().chain(&self.held_out).copied();
        (0..self.repeats).flat_map(|repeat| sizes().map(move |size| (repeat, size))).collect()
    }

    /// Runs every size in every repeat; `run` gives one value for each quantity, in their order.
    pub async fn take(
        &self,
        quantities: &[Quantity],
        mut run: impl AsyncFnMut(usize, f64) -> Result<Vec<f64>, String>,
    ) -> Result<Vec<Series>, String> {
        let mut series: Vec<Series> = quantities.iter().map(|quantity| self.empty(quantity)).collect();
        for (repeat, size) in self.runs() {
            let values = run(repeat, size).await?;
            if values.len() != quantities.len() {
                return Err(format!("{} values for {} quantities", values.len(), quantities.len()));
            }
            for (one, value) in series.iter_mut().zip(values) {
                if !value.is_finite() {
                    return Err(format!("{} is {value} at size {size}", one.key));
                }
                let points = one.fitted.iter_mut().chain(&mut one.held_out);
                points.filter(|point| point.size == size).for_each(|point| point.values.push(rounded(value)));
            }
        }
        Ok(series)
    }

    fn empty(&self, quantity: &Quantity) -> Series {
        let points =
            |sizes: &[f64]| sizes.iter().map(|&size| Point { size, values: Vec::new() }).collect::<Vec<_>>();
        Series {
            key: quantity.key.into(),
            unit: quantity.unit.into(),
            fitted: points(&self.fitted),
            held_out: points(&self.held_out),
        }
    }
}

/// Five significant digits: more would be noise in a committed file.
fn rounded(value: f64) -> f64 {
    format!("{value:.4e}").parse().unwrap_or(value)
}

#[cfg(test)]
mod tests;
