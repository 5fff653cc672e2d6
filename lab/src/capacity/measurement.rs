//! A committed measurement: one file in `docs/capacity/`, written by the command that it names and read by the capacity model.

use serde::{Deserialize, Serialize};
use std::path::Path;

/// One run of a measuring command: how cost follows one driver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measurement {
    /// The file's name without `.json`: lower case words with hyphens.
    pub name: String,
    /// One line for people.
    pub about: String,
    /// The command that wrote it, to be typed again.
    pub command: String,
    /// The commit and profile of the programs that were measured.
    pub build: String,
    /// Cores, memory, system.
    pub machine: String,
    /// The day, as `YYYY-MM-DD`.
    pub date: String,
    /// What was varied, such as `servers known`.
    pub driver: String,
    /// What was measured at each size of the driver.
    pub series: Vec<Series>,
    /// What a reader has to know: other load on the machine, runs that were void.
    #[serde(default)]
    pub notes: Vec<String>,
}

/// One measured quantity.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// The quantity, such as `cpu`: lower case words with hyphens, unique within the measurement.
    pub key: String,
    /// Its unit, such as `ms/s`.
    pub unit: String,
    /// Sizes that a line is fitted to.
    pub fitted: Vec<Point>,
    /// Sizes that were kept out of the fit, to check its predictions.
    pub held_out: Vec<Point>,
}

/// All repeats at one size of the driver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// The driver's size.
    pub size: f64,
    /// One value for each repeat.
    pub values: Vec<f64>,
}

impl Measurement {
    /// Writes `NAME.json` into a folder; one line tells what went wrong.
    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let path = folder.join(format!("{}.json", self.name));
        let mut text = serde_json::to_string_pretty(self).map_err(|e| e.to_string())?;
        text.push('\n');
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads one file; one line tells what is wrong with it.
    pub fn read(path: &Path) -> Result<Measurement, String> {
        let named = |reason: String| format!("{}: {reason}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
        serde_json::from_str(&text).map_err(|e| named(e.to_string()))
    }
}
