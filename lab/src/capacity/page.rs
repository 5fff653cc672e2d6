//! The page: a hand-written template, filled in from measurements and target.
//!
//! What the template may call, besides the language's own functions:
//!
//! | function | gives |
//! | --- | --- |
//! | `at(name, key, size)` | the median measured at the size, or where there is none what the curve predicts |
//! | `measured(name, key, size)`, `predict(name, key, size)` | only the one or the other |
//! | the same with `or_not_measured=` or `or_absent=` | that reason, while there is no such measurement at all |
//! | `scaled(figure, factor, unit, how)`, `power(figure, exponent, unit, how)`, `total(figures, unit, how)` | a figure from others; without a number if one of those has none |
//! | `allowed(number, unit)` | a number of the target |
//! | `worked_out(number, unit, how)`, `reasoned(number, unit, how)` | a number that follows from others, or from reasoning |
//! | `absent(what)`, `not_measured(why)` | no number, said so |
//! | `row(name, role=, need=, have=, by=)` | a row; `by` names files of the repository |
//! | `table(rows, role)`, `ranked(rows)` | rows of one role; all, the smallest headroom first |
//! | `headroom(need, have)` | the ratio as text |
//! | `fit_table(name)`, `provenance()` | fits of a measurement; where every measurement comes from, to be called last |
//! | `source(file)` | a file of the repository, which has to exist |
//! | `exists(file)` | whether it does, for what is still to come |
//! | `x \| figure`, `x \| count` | numbers as text |
//!
//! It is given `target` (the keys of `target.toml`), `measurements` (all names) and `settings.max_attempts`.
//!
//! Whatever isn't there is an error that names it, with the template's line.

use super::measurements::Measurements;
use super::target::Target;
use minijinja::syntax::SyntaxConfig;
use minijinja::value::Serde;
use minijinja::{context, Environment, UndefinedBehavior, Value};
use std::path::{Path, PathBuf};
use std::sync::Arc;

mod functions;
mod tables;

/// The template's name in errors.
pub const TEMPLATE: &str = "docs/capacity/CAPACITY.md.jinja";

/// Why the page can't be made.
#[derive(Debug, thiserror::Error)]
#[error("{TEMPLATE}:{line}: {reason}")]
pub struct PageError {
    /// The template's line.
    pub line: usize,
    /// What is missing or wrong, in one line.
    pub reason: String,
}

/// What the page is made from.
pub struct Sources {
    /// The template's text.
    pub template: String,
    /// The target.
    pub target: Target,
    /// All measurements.
    pub measurements: Measurements,
    /// The repository's root, where `source(...)` looks.
    pub root: PathBuf,
}

/// The page.
#[derive(Debug)]
pub struct Page {
    /// Its text.
    pub text: String,
    /// Measurements of which it shows no figure, but their fits.
    pub unread: Vec<String>,
}

impl Sources {
    /// Fills in the template.
    pub fn render(&self) -> Result<Page, PageError> {
        let model = Arc::new(functions::Model::new(self.measurements.clone(), &self.root));
        let mut environment = Environment::new();
        environment.set_undefined_behavior(UndefinedBehavior::Strict);
        environment.set_auto_escape_callback(|_| minijinja::AutoEscape::None);
        environment.set_syntax(syntax().map_err(page_error)?);
        functions::install(&mut environment, &model);
        environment.add_template(TEMPLATE, &self.template).map_err(page_error)?;
        let template = environment.get_template(TEMPLATE).map_err(page_error)?;
        let text = template.render(self.context()).map_err(page_error)?;
        Ok(Page { text, unread: model.unread() })
    }

    fn context(&self) -> Value {
        let settings = ryelead::Settings::default();
        context! {
            target => Value::from(Serde(self.target)),
            measurements => self.measurements.iter().map(|one| one.name.clone()).collect::<Vec<_>>(),
            settings => context! { max_attempts => settings.max_attempts },
        }
    }
}

/// Lines that hold only a statement or a comment leave nothing behind.
fn syntax() -> Result<SyntaxConfig, minijinja::Error> {
    SyntaxConfig::builder().trim_blocks(true).lstrip_blocks(true).keep_trailing_newline(true).build()
}

fn page_error(error: minijinja::Error) -> PageError {
    let detail = error.detail().map(|detail| format!(": {detail}"));
    let reason = match error.kind() {
        functions::FAULT => error.detail().unwrap_or("unknown").to_string(),
        kind => format!("{kind}{}", detail.unwrap_or_default()),
    };
    let reason = reason.split_whitespace().collect::<Vec<_>>().join(" ");
    PageError { line: error.line().unwrap_or(0), reason }
}

/// Whether a path stays within the repository and is there.
fn is_source(root: &Path, file: &str) -> bool {
    let is_plain = Path::new(file).components().all(|part| matches!(part, std::path::Component::Normal(_)));
    !file.is_empty() && is_plain && root.join(file).exists()
}

#[cfg(test)]
mod tests;
