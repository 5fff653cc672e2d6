//! Tables about the measurements themselves: their fits, and where they come from.

use crate::capacity::figure::count;
use crate::capacity::fit::{Curve, Quality};
use crate::capacity::measurement::{Measurement, Point, Series};
use crate::capacity::measurements::{median, shortfalls, MeasurementError, Measurements};
use crate::capacity::number;
use crate::capacity::row::markdown;
use xxhash_rust::xxh3::xxh3_64;

/// A prediction within this share of what was measured counts as right: the operators' "within a quarter".
pub const RIGHT_WITHIN: f64 = 0.25;

/// Hexadecimal digits that the page shows of a measurement's checksum.
const DIGEST_DIGITS: usize = 8;

/// Each series of a measurement: its curve, and prediction beside measurement at the sizes that were kept out of the fit.
pub fn fits(measurements: &Measurements, name: &str) -> Result<String, MeasurementError> {
    let measurement = measurements.get(name)?;
    let mut lines = Vec::new();
    for series in &measurement.series {
        lines.push(if series.fitted.is_empty() {
            measured_line(series)
        } else {
            fit_line(series, &measurements.curve(name, &series.key)?)
        });
    }
    let heads = [
        "series",
        "fitted at",
        "shape",
        "intercept",
        "slope",
        "r²",
        "spread",
        "held out: predicted / measured (ratio)",
    ];
    Ok(markdown(heads, &lines))
}

fn fit_line(series: &Series, curve: &Curve) -> [String; 8] {
    let sizes: Vec<String> = series.fitted.iter().map(|point| count(point.size)).collect();
    let name = curve.shape.name();
    let shape = match curve.line.quality() {
        Quality::Follows => name.to_string(),
        Quality::WithinNoise => format!("{name}, within noise"),
        Quality::Small => format!("{name}, residuals small"),
        Quality::Off => format!("not a {name}"),
    };
    let held_out: Vec<String> = series.held_out.iter().map(|point| held_out(curve, point)).collect();
    [
        format!("`{}`, {}", series.key, series.unit),
        sizes.join(", "),
        shape,
        figure(curve.line.intercept),
        figure(curve.line.slope),
        figure(curve.line.r_squared),
        figure(curve.line.spread),
        if held_out.is_empty() { "none".into() } else { held_out.join("; ") },
    ]
}

/// A series that was measured at the size that counts, and is fitted to none.
fn measured_line(series: &Series) -> [String; 8] {
    let measured = |point: &Point| {
        let least = point.values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = point.values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let middle = figure(median(&point.values));
        format!("at {}: measured {middle} ({} to {})", count(point.size), figure(least), figure(most))
    };
    let points: Vec<String> = series.held_out.iter().map(measured).collect();
    let none = String::from("-");
    let name = format!("`{}`, {}", series.key, series.unit);
    [
        name,
        "none".into(),
        "not fitted".into(),
        none.clone(),
        none.clone(),
        none.clone(),
        none,
        points.join("; "),
    ]
}

fn held_out(curve: &Curve, point: &Point) -> String {
    let (predicted, measured) = (curve.at(point.size), median(&point.values));
    let size = count(point.size);
    let pair = format!("{} / {}", figure(predicted), figure(measured));
    if measured == 0.0 {
        return format!("at {size}: {pair}");
    }
    let ratio = predicted / measured;
    let verdict = if (ratio - 1.0).abs() <= RIGHT_WITHIN { "" } else { ", **off by more than a quarter**" };
    format!("at {size}: {pair} ({}{verdict})", figure(ratio))
}

/// The start of a checksum of all that a measurement holds, so that no changed value goes unseen, also where no figure moves.
fn digest(measurement: &Measurement) -> String {
    let text = serde_json::to_string(measurement).unwrap_or_default();
    format!("{:016x}", xxh3_64(text.as_bytes()))[..DIGEST_DIGITS].to_string()
}

/// Command, build, machine and date of each measurement, what it lacks, and what its author says of it.
pub fn provenance(measurements: &Measurements, unread: &[String]) -> String {
    let lines: Vec<[String; 7]> = measurements.iter().map(|m| provenance_line(m, unread)).collect();
    markdown(["measurement", "command", "build", "machine", "date", "digest", "notes"], &lines)
}

fn provenance_line(measurement: &Measurement, unread: &[String]) -> [String; 7] {
    let mut notes = measurement.notes.clone();
    let lacks = shortfalls(measurement);
    if !lacks.is_empty() {
        notes.push(format!("short of the rule: {}", lacks.join(", ")));
    }
    if unread.contains(&measurement.name) {
        notes.push("no row of this page reads it".into());
    }
    let Measurement { name, about, command, build, machine, date, .. } = measurement;
    let notes = if notes.is_empty() { "-".into() } else { notes.join("; ") };
    [
        format!("`{name}`: {about}"),
        format!("`{command}`"),
        build.clone(),
        machine.clone(),
        date.clone(),
        digest(measurement),
        notes,
    ]
}

/// Sizes and values are checked to be finite; what a curve makes of them may still overflow, and is shown as it is.
fn figure(number: f64) -> String {
    number::figure(number).unwrap_or_else(|| format!("{number} (no number)"))
}
