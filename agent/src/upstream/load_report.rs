//! Load reports of servers, as `name=value` pairs.

use std::collections::HashMap;

/// Maximum value in a load report; a report with a larger one is invalid.
const VALUE_MAX: f64 = 1e5;

/// Parses load reports with the field names of the settings.
pub struct LoadReports {
    fields: Vec<String>,
    are_sent: bool,
}

impl LoadReports {
    /// `fields` are the names in a report, in the order in which the decision module takes the values; empty
    /// if servers send none.
    pub fn new(fields: Vec<String>, are_sent: bool) -> LoadReports {
        LoadReports { fields, are_sent }
    }

    /// Whether servers send load reports.
    pub fn are_sent(&self) -> bool {
        self.are_sent
    }

    /// The values of a load report in the order of the settings; `None` if it can't be parsed, lacks a field
    /// or has a value that is out of range.
    pub fn parse(&self, text: &[u8]) -> Option<Vec<f64>> {
        if !self.are_sent {
            return None;
        }
        let text = std::str::from_utf8(text).ok()?;
        let text = text.trim();
        let pairs: Option<HashMap<&str, f64>> = text.split(',').map(parse_pair).collect();
        let pairs = pairs?;
        self.fields.iter().map(|field| pairs.get(field.as_str()).copied()).collect()
    }
}

fn parse_pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (0.0..=VALUE_MAX).contains(&value).then_some((name.trim(), value))
}

#[cfg(test)]
mod tests;
