//! All committed measurements of a folder, checked, and what is asked of them.

use super::fit::{curve, Curve, FitError};
use super::measurement::{Measurement, Point, Series};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Most measurement files of a folder.
pub const FILES_MOST: usize = 256;

/// Fitted sizes that a series should have at least.
pub const FITTED_SIZES: usize = 4;

/// Repeats that each fitted size should have at least.
pub const REPEATS: usize = 3;

/// Why measurements can't be used, or an answer isn't there.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum MeasurementError {
    /// The folder or a file can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// More than [`FILES_MOST`] files.
    #[error("more than {FILES_MOST} measurement files")]
    TooMany,
    /// The file's name isn't the measurement's.
    #[error("{file}: its name says `{name}`")]
    Misnamed {
        /// The file's name.
        file: String,
        /// The name in the file.
        name: String,
    },
    /// Something that provenance or a table needs is empty.
    #[error("{name}: {field} is empty")]
    Empty {
        /// The measurement.
        name: String,
        /// The field.
        field: &'static str,
    },
    /// A key stands twice.
    #[error("{name}: the series `{key}` stands twice")]
    SeriesTwice {
        /// The measurement.
        name: String,
        /// The series.
        key: String,
    },
    /// A size stands twice, among them as fitted and held out.
    #[error("{name}: {key}: size {size} stands twice; a held-out size is never fitted")]
    SizeTwice {
        /// The measurement.
        name: String,
        /// The series.
        key: String,
        /// The size.
        size: f64,
    },
    /// A size without values, or with one that is no finite number.
    #[error("{name}: {key}: size {size} has no values, or one that is no finite number")]
    Values {
        /// The measurement.
        name: String,
        /// The series.
        key: String,
        /// The size.
        size: f64,
    },
    /// No measurement has this name.
    #[error("no measurement `{0}`")]
    NoMeasurement(String),
    /// The measurement has no such series.
    #[error("{name}: no series `{key}`; it has {have}")]
    NoSeries {
        /// The measurement.
        name: String,
        /// The series.
        key: String,
        /// The series that it has.
        have: String,
    },
    /// The series was not measured at this size.
    #[error("{name}: {key}: not measured at {size}")]
    NoSize {
        /// The measurement.
        name: String,
        /// The series.
        key: String,
        /// The size.
        size: f64,
    },
    /// The series can't be fitted.
    #[error("{name}: {key}: {error}")]
    Fit {
        /// The measurement.
        name: String,
        /// The series.
        key: String,
        /// Why.
        error: FitError,
    },
}

/// Measurements by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Measurements(BTreeMap<String, Measurement>);

impl Measurements {
    /// Reads and checks every `*.json` of a folder.
    pub fn read(folder: &Path) -> Result<Measurements, MeasurementError> {
        let unreadable =
            |e: std::io::Error| MeasurementError::Unreadable(format!("{}: {e}", folder.display()));
        let mut measurements = Measurements::default();
        for entry in std::fs::read_dir(folder).map_err(unreadable)? {
            let path = entry.map_err(unreadable)?.path();
            if path.extension().is_none_or(|extension| extension != "json") {
                continue;
            }
            let measurement = Measurement::read(&path).map_err(MeasurementError::Unreadable)?;
            let file = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            if file != measurement.name {
                return Err(MeasurementError::Misnamed { file, name: measurement.name });
            }
            measurements.add(measurement)?;
        }
        Ok(measurements)
    }

    /// Checks a measurement and takes it in; one of the same name is replaced.
    pub fn add(&mut self, measurement: Measurement) -> Result<(), MeasurementError> {
        check(&measurement)?;
        if self.0.len() >= FILES_MOST {
            return Err(MeasurementError::TooMany);
        }
        self.0.insert(measurement.name.clone(), measurement);
        Ok(())
    }

    /// All measurements by name.
    pub fn iter(&self) -> impl Iterator<Item = &Measurement> {
        self.0.values()
    }

    /// Whether there is a measurement of this name.
    pub fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The measurement of a name.
    pub fn get(&self, name: &str) -> Result<&Measurement, MeasurementError> {
        self.0.get(name).ok_or_else(|| MeasurementError::NoMeasurement(name.into()))
    }

    /// One series of a measurement.
    pub fn series(&self, name: &str, key: &str) -> Result<&Series, MeasurementError> {
        let measurement = self.get(name)?;
        measurement.series.iter().find(|series| series.key == key).ok_or_else(|| MeasurementError::NoSeries {
            name: name.into(),
            key: key.into(),
            have: measurement.series.iter().map(|s| s.key.as_str()).collect::<Vec<_>>().join(", "),
        })
    }

    /// The curve through the fitted sizes of a series.
    pub fn curve(&self, name: &str, key: &str) -> Result<Curve, MeasurementError> {
        let series = self.series(name, key)?;
        curve(&series.fitted).map_err(|error| MeasurementError::Fit {
            name: name.into(),
            key: key.into(),
            error,
        })
    }

    /// The median of what was measured at exactly this size, fitted or held out.
    pub fn median(&self, name: &str, key: &str, size: f64) -> Result<f64, MeasurementError> {
        let series = self.series(name, key)?;
        let point = points(series).find(|point| point.size == size);
        let no_size = || MeasurementError::NoSize { name: name.into(), key: key.into(), size };
        point.map(|point| median(&point.values)).ok_or_else(no_size)
    }
}

/// All points of a series, fitted and held out.
pub fn points(series: &Series) -> impl Iterator<Item = &Point> {
    series.fitted.iter().chain(&series.held_out)
}

/// The middle value, or the mean of the two in the middle; values are checked not to be empty when they are taken in.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let upper = sorted.len() / 2;
    match sorted.len() {
        0 => 0.0,
        length if length % 2 == 1 => sorted[upper],
        _ => f64::midpoint(sorted[upper - 1], sorted[upper]),
    }
}

/// What a measurement lacks of what every slope should rest on: sizes, repeats, a size kept out of the fit.
pub fn shortfalls(measurement: &Measurement) -> Vec<String> {
    let mut found = Vec::new();
    for series in &measurement.series {
        let repeats = series.fitted.iter().map(|point| point.values.len()).min().unwrap_or(0);
        if series.fitted.len() < FITTED_SIZES {
            found.push(format!("{}: {} fitted sizes", series.key, series.fitted.len()));
        }
        if repeats < REPEATS {
            found.push(format!("{}: {repeats} repeats at a fitted size", series.key));
        }
        if series.held_out.is_empty() {
            found.push(format!("{}: no held-out size", series.key));
        }
    }
    found
}

fn check(measurement: &Measurement) -> Result<(), MeasurementError> {
    let name = || measurement.name.clone();
    let fields = [
        ("name", &measurement.name),
        ("about", &measurement.about),
        ("command", &measurement.command),
        ("build", &measurement.build),
        ("machine", &measurement.machine),
        ("date", &measurement.date),
        ("driver", &measurement.driver),
    ];
    if let Some((field, _)) = fields.iter().find(|(_, text)| text.trim().is_empty()) {
        return Err(MeasurementError::Empty { name: name(), field });
    }
    if measurement.series.is_empty() {
        return Err(MeasurementError::Empty { name: name(), field: "series" });
    }
    let mut keys = BTreeSet::new();
    for series in &measurement.series {
        if !keys.insert(&series.key) {
            return Err(MeasurementError::SeriesTwice { name: name(), key: series.key.clone() });
        }
        if series.unit.trim().is_empty() {
            return Err(MeasurementError::Empty { name: name(), field: "unit" });
        }
        check_points(&measurement.name, series)?;
    }
    Ok(())
}

fn check_points(name: &str, series: &Series) -> Result<(), MeasurementError> {
    let mut sizes = BTreeSet::new();
    for Point { size, values } in points(series) {
        let (name, key, size) = (name.to_string(), series.key.clone(), *size);
        if values.is_empty() || !size.is_finite() || values.iter().any(|value| !value.is_finite()) {
            return Err(MeasurementError::Values { name, key, size });
        }
        // Adding 0 makes one size of 0 and -0.
        if !sizes.insert((size + 0.0).to_bits()) {
            return Err(MeasurementError::SizeTwice { name, key, size });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
