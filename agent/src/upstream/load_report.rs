//! Load reports: what a server says of itself, as `name=figure` pairs.

use std::collections::HashMap;

/// A figure of a load report beyond this is no figure.
const FIGURE_MOST: f64 = 1e5;

/// Reads load reports; knows the names that the settings give.
pub struct LoadReports {
    fields: Vec<String>,
    are_sent: bool,
}

impl LoadReports {
    /// `fields` are the names in a report, in the order in which the module takes the figures; empty where servers send none.
    pub fn new(fields: Vec<String>, are_sent: bool) -> LoadReports {
        LoadReports { fields, are_sent }
    }

    /// Whether servers send them at all.
    pub fn are_sent(&self) -> bool {
        self.are_sent
    }

    /// A load report in the order of the settings; `None` if it can't be read, lacks a field or is absurd.
    pub fn read(&self, text: &[u8]) -> Option<Vec<f64>> {
        if !self.are_sent {
            return None;
        }
        let text = std::str::from_utf8(text).ok()?;
        let text = text.trim();
        let pairs: Option<HashMap<&str, f64>> = text.split(',').map(pair).collect();
        let pairs = pairs?;
        self.fields.iter().map(|field| pairs.get(field.as_str()).copied()).collect()
    }
}

fn pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (0.0..=FIGURE_MOST).contains(&value).then_some((name.trim(), value))
}

#[cfg(test)]
mod tests;
