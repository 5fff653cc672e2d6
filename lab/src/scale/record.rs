//! Committed measurements of large fleets: how they are put together, and what they predict.

use crate::capacity::fit::{line, FitError};
use crate::capacity::measurement::{Measurement, Point, Series};
use crate::scale::measure::Window;

/// The name of the measurement, and of its file.
pub const NAME: &str = "scale";
/// A prediction holds if what was measured lies within this share of it.
pub const WITHIN: f64 = 0.25;

/// A measured quantity: its key, its unit, and where it stands in a window.
struct Quantity {
    key: &'static str,
    unit: &'static str,
    of: fn(&Window) -> f64,
}

const QUANTITIES: [Quantity; 9] = [
    Quantity { key: "real-cpu", unit: "ms/s", of: |w| w.real.cpu_ms },
    Quantity { key: "real-resident", unit: "MB", of: |w| w.real.resident_mb },
    Quantity { key: "real-bytes-out", unit: "B/s", of: |w| w.real.bytes_out },
    Quantity { key: "real-bytes-in", unit: "B/s", of: |w| w.real.bytes_in },
    Quantity { key: "real-packets-out", unit: "1/s", of: |w| w.real.packets_out },
    Quantity { key: "hollow-cpu", unit: "ms/s", of: |w| w.hollow.cpu_ms },
    Quantity { key: "hollow-resident", unit: "MB", of: |w| w.hollow.resident_mb },
    Quantity { key: "hollow-bytes-out", unit: "B/s", of: |w| w.hollow.bytes_out },
    Quantity { key: "hollow-packets-out", unit: "1/s", of: |w| w.hollow.packets_out },
];

/// Adds what was measured at a size, in place of what stands there of that size. Windows that don't count must not be handed in.
pub fn add(measurement: &mut Measurement, members: usize, windows: &[Window], held_out: bool) {
    for quantity in &QUANTITIES {
        let series = match measurement.series.iter().position(|series| series.key == quantity.key) {
            Some(place) => &mut measurement.series[place],
            None => {
                let (key, unit) = (quantity.key.to_string(), quantity.unit.to_string());
                measurement.series.push(Series { key, unit, fitted: Vec::new(), held_out: Vec::new() });
                let last = measurement.series.len() - 1;
                &mut measurement.series[last]
            }
        };
        let size = members as f64;
        series.fitted.retain(|point| point.size != size);
        series.held_out.retain(|point| point.size != size);
        let values = windows.iter().map(|window| rounded((quantity.of)(window))).collect();
        let points = if held_out { &mut series.held_out } else { &mut series.fitted };
        points.push(Point { size, values });
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
    }
}

/// To a thousandth: what is beyond is noise.
fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// A quantity as measured beside what committed measurements predict of it.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Prediction {
    /// Its key.
    pub key: String,
    /// Its unit.
    pub unit: String,
    /// The middle one of what was measured now.
    pub measured: f64,
    /// What is predicted.
    pub predicted: f64,
}

impl Prediction {
    /// Whether what was measured lies within [`WITHIN`] of what is predicted.
    pub fn holds(&self) -> bool {
        (self.measured - self.predicted).abs() <= WITHIN * self.predicted.abs()
    }
}

/// What a measurement predicts for so many members, beside what was measured now. Only sizes that are fitted speak.
pub fn predictions(
    measurement: &Measurement,
    members: usize,
    windows: &[Window],
) -> Result<Vec<Prediction>, FitError> {
    let known = |series: &&Series| QUANTITIES.iter().any(|quantity| quantity.key == series.key);
    let of = |series: &Series| {
        let predicted = line(&series.fitted)?.at(members as f64);
        let quantity = QUANTITIES.iter().find(|quantity| quantity.key == series.key);
        let values = windows.iter().filter_map(|window| quantity.map(|q| (q.of)(window))).collect();
        let (key, unit) = (series.key.clone(), series.unit.clone());
        Ok(Prediction { key, unit, measured: middle(values), predicted })
    };
    measurement.series.iter().filter(known).map(of).collect()
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

#[cfg(test)]
mod tests;
