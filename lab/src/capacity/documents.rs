//! The files of the page: template, target and measurements in `docs/capacity/`, the page in `docs/CAPACITY.md`.

use super::measurements::{MeasurementError, Measurements};
use super::page::{Page, PageError, Sources, TEMPLATE};
use super::target::{Target, TargetError};
use std::path::{Path, PathBuf};

/// The page, from the repository's root.
pub const PAGE: &str = "docs/CAPACITY.md";

/// The folder of measurements and target, from the repository's root.
pub const FOLDER: &str = "docs/capacity";

/// Why the page can't be written, or isn't what it should be.
#[derive(Debug, thiserror::Error)]
pub enum DocumentsError {
    /// A file can't be read or written.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// The target can't be used.
    #[error(transparent)]
    Target(#[from] TargetError),
    /// A measurement can't be used.
    #[error("{FOLDER}: {0}")]
    Measurement(#[from] MeasurementError),
    /// The template can't be filled in.
    #[error(transparent)]
    Page(#[from] PageError),
    /// The page isn't what it should be.
    #[error("{PAGE}:{line}: differs from what template, measurements and target give; `dilljunction-lab capacity` writes it anew")]
    Differs {
        /// The first line that differs.
        line: usize,
    },
}

/// The documents of one repository.
#[derive(Debug, Clone)]
pub struct Documents {
    root: PathBuf,
}

impl Documents {
    /// Those under a repository's root.
    pub fn of(root: &Path) -> Documents {
        Documents { root: root.into() }
    }

    /// The page as template, measurements and target give it.
    pub fn render(&self) -> Result<Page, DocumentsError> {
        let folder = self.root.join(FOLDER);
        let sources = Sources {
            template: self.text(TEMPLATE)?,
            target: Target::read(&folder.join("target.toml"))?,
            measurements: Measurements::read(&folder)?,
            root: self.root.clone(),
        };
        Ok(sources.render()?)
    }

    /// Writes the page; gives back the measurements that nothing on it reads.
    pub fn write(&self) -> Result<Vec<String>, DocumentsError> {
        let page = self.render()?;
        let fault = |e: std::io::Error| DocumentsError::File { file: PAGE.into(), reason: e.to_string() };
        std::fs::write(self.root.join(PAGE), page.text).map_err(fault)?;
        Ok(page.unread)
    }

    /// An error if the page isn't what it should be; gives back the measurements that nothing on it reads.
    pub fn check(&self) -> Result<Vec<String>, DocumentsError> {
        let page = self.render()?;
        match first_difference(&page.text, &self.text(PAGE)?) {
            Some(line) => Err(DocumentsError::Differs { line }),
            None => Ok(page.unread),
        }
    }

    fn text(&self, file: &str) -> Result<String, DocumentsError> {
        std::fs::read_to_string(self.root.join(file))
            .map_err(|e| DocumentsError::File { file: file.into(), reason: e.to_string() })
    }
}

/// The number, from 1, of the first line in which two texts differ, line ends included.
fn first_difference(expected: &str, found: &str) -> Option<usize> {
    if expected == found {
        return None;
    }
    let same = expected.split_inclusive('\n').zip(found.split_inclusive('\n')).take_while(|(a, b)| a == b);
    Some(same.count() + 1)
}
