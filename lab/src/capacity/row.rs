//! Rows of the page: what the target needs, what there is, and how far that reaches.

use super::figure::{Figure, Origin};
use super::number;
use minijinja::value::Object;
use std::cmp::Ordering;

/// One need at the target.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What it is about, unique on the page.
    pub name: String,
    /// The role whose row it is, such as `agent: data path`.
    pub role: String,
    /// What the target takes.
    pub need: Figure,
    /// What there is for it, in the same unit.
    pub have: Figure,
    /// The modules and files that carry it, as text.
    pub mechanism: String,
}

impl Object for Row {}

/// Why a row can't stand on the page.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RowError {
    /// A text is empty.
    #[error("row `{row}`: {field} is empty")]
    Empty {
        /// The row.
        row: String,
        /// The field.
        field: &'static str,
    },
    /// Need and have can't be divided.
    #[error("row `{row}`: need is in {need}, have in {have}")]
    Units {
        /// The row.
        row: String,
        /// The unit of the need.
        need: String,
        /// The unit of what there is.
        have: String,
    },
    /// A need of nothing, or less, has no headroom.
    #[error(
        "row `{row}`: need is {need}, have is {have}; a need is above 0 and what there is is not below 0"
    )]
    Sign {
        /// The row.
        row: String,
        /// The need.
        need: String,
        /// What there is.
        have: String,
    },
}

/// How far what there is reaches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Headroom {
    /// What there is, over the need; 0 if nothing is there.
    Ratio(f64),
    /// Need or have was not measured.
    Unknown,
}

impl Headroom {
    /// The text of the page.
    pub fn text(self) -> String {
        match self {
            Headroom::Ratio(ratio) => number::figure(ratio).unwrap_or_else(|| ratio.to_string()),
            Headroom::Unknown => "not measured".into(),
        }
    }

    /// Smallest first; unknown ones last.
    fn order(self, other: Headroom) -> Ordering {
        match (self, other) {
            (Headroom::Ratio(a), Headroom::Ratio(b)) => a.total_cmp(&b),
            (Headroom::Ratio(_), Headroom::Unknown) => Ordering::Less,
            (Headroom::Unknown, Headroom::Ratio(_)) => Ordering::Greater,
            (Headroom::Unknown, Headroom::Unknown) => Ordering::Equal,
        }
    }
}

/// What there is, over the need.
pub fn headroom(need: &Figure, have: &Figure) -> Headroom {
    let is_absent = |figure: &Figure| matches!(figure.origin, Origin::Absent(_));
    if is_absent(need) || is_absent(have) {
        return Headroom::Ratio(0.0);
    }
    match (need.value, have.value) {
        (Some(need), Some(have)) => Headroom::Ratio(have / need),
        _ => Headroom::Unknown,
    }
}

impl Row {
    /// What there is, over the need.
    pub fn headroom(&self) -> Headroom {
        headroom(&self.need, &self.have)
    }

    /// How need and have were found; the target's own numbers need no words.
    pub fn how(&self) -> String {
        match (&self.need.origin, &self.have.origin) {
            (need, Origin::Target) => need.to_string(),
            (Origin::Target, have) => have.to_string(),
            (need, have) if need == have => need.to_string(),
            (need, have) => format!("need {need}; have {have}"),
        }
    }

    /// Checks texts, units and signs.
    pub fn check(self) -> Result<Row, RowError> {
        let texts = [("name", &self.name), ("role", &self.role), ("mechanism", &self.mechanism)];
        if let Some((field, _)) = texts.iter().find(|(_, text)| text.trim().is_empty()) {
            return Err(RowError::Empty { row: self.name.clone(), field });
        }
        if let (Some(need), Some(have)) = (self.need.value, self.have.value) {
            if self.need.unit != self.have.unit {
                let (need, have) = (self.need.unit.clone(), self.have.unit.clone());
                return Err(RowError::Units { row: self.name.clone(), need, have });
            }
            if need <= 0.0 || have < 0.0 {
                let (need, have) = (self.need.to_string(), self.have.to_string());
                return Err(RowError::Sign { row: self.name.clone(), need, have });
            }
        }
        Ok(self)
    }

    fn line(&self) -> [String; 7] {
        let Row { name, role, need, have, mechanism } = self;
        let headroom = self.headroom().text();
        let texts = [name.clone(), role.clone(), need.to_string(), have.to_string(), headroom, self.how()];
        let [name, role, need, have, headroom, how] = texts;
        [name, role, need, have, headroom, how, mechanism.clone()]
    }
}

/// The table of all rows in the order given.
pub fn table(rows: &[&Row]) -> String {
    let heads = ["row", "role", "need", "have", "headroom", "how found", "carried by"];
    let lines: Vec<[String; 7]> = rows.iter().map(|row| row.line()).collect();
    markdown(heads, &lines)
}

/// The rows with the smallest headroom first, what isn't there at all before what is slow, and not measured ones last.
pub fn ranked<'a>(rows: &[&'a Row]) -> Vec<&'a Row> {
    let mut ranked = rows.to_vec();
    ranked.sort_by(|a, b| a.headroom().order(b.headroom()).then_with(|| a.name.cmp(&b.name)));
    ranked
}

/// A Markdown table without a newline at its end.
pub fn markdown<const N: usize>(heads: [&str; N], lines: &[[String; N]]) -> String {
    let line = |cells: Vec<String>| format!("| {} |", cells.join(" | "));
    let mut text = vec![line(heads.map(String::from).to_vec()), line(vec!["---".into(); N])];
    text.extend(lines.iter().map(|cells| line(cells.iter().map(|text| cell(text)).collect())));
    text.join("\n")
}

/// Text that stays within its cell.
fn cell(text: &str) -> String {
    let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
    text.replace('|', "\\|")
}

#[cfg(test)]
mod tests;
