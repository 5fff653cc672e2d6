//! A small measurement for the tests of this folder.

use super::measurement::{Measurement, Point, Series};
use super::measurements::Measurements;

/// Three repeats round `value(size)`, of which it is the median.
pub fn points(sizes: &[f64], value: impl Fn(f64) -> f64) -> Vec<Point> {
    let repeats = |size| vec![value(size) - 0.01, value(size), value(size) + 0.01];
    sizes.iter().map(|size| Point { size: *size, values: repeats(*size) }).collect()
}

/// `idle`: `cpu` grows by 0.002 ms/s for each server known, from 3; `list` in KB grows with the square.
pub fn measurement(name: &str) -> Measurement {
    let series = |key: &str, unit: &str, value: fn(f64) -> f64| Series {
        key: key.into(),
        unit: unit.into(),
        fitted: points(&[100.0, 200.0, 400.0, 800.0], value),
        held_out: points(&[1600.0], value),
    };
    Measurement {
        name: name.into(),
        about: "an agent without traffic".into(),
        command: "measure idle".into(),
        build: "0123456 release".into(),
        machine: "8 cores".into(),
        date: "2026-12-02".into(),
        driver: "servers known".into(),
        series: vec![
            series("cpu", "ms/s", |size| 3.0 + 0.002 * size),
            series("list", "KB", |size| size * size / 1000.0),
        ],
        notes: Vec::new(),
    }
}

/// The one measurement `idle`.
pub fn measurements() -> Measurements {
    let mut measurements = Measurements::default();
    measurements.add(measurement("idle")).expect("usable");
    measurements
}
