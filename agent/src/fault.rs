//! Why a configuration can't be used: one line that a person can act on.

use std::path::{Path, PathBuf};

/// What is wrong with a configuration, and where.
#[derive(Debug, thiserror::Error)]
#[error("{}{}{reason}", place(.file.as_deref()), place(.key.as_deref().map(Path::new)))]
pub struct Fault {
    /// The file, if it came from one.
    pub file: Option<PathBuf>,
    /// The key, its tables joined by dots.
    pub key: Option<String>,
    /// What is wrong, and what would be right.
    pub reason: String,
}

fn place(part: Option<&Path>) -> String {
    part.map_or(String::new(), |part| format!("{}: ", part.display()))
}

impl Fault {
    /// A fault of one key.
    pub fn of_key(key: impl Into<String>, reason: impl Into<String>) -> Fault {
        Fault { file: None, key: Some(key.into()), reason: reason.into() }
    }

    /// A fault of the whole.
    pub fn of_all(reason: impl Into<String>) -> Fault {
        Fault { file: None, key: None, reason: reason.into() }
    }

    /// The same, in this file.
    pub fn in_file(self, file: impl Into<PathBuf>) -> Fault {
        Fault { file: Some(file.into()), ..self }
    }

    /// What a reader that knows its path in the document has to say, on one line.
    pub(crate) fn at_path(path: &serde_path_to_error::Path, reason: &impl std::fmt::Display) -> Fault {
        let text = reason.to_string();
        let reason = text.lines().map(str::trim).filter(|l| !l.is_empty()).collect::<Vec<_>>().join("; ");
        let key = path.to_string();
        Fault { file: None, key: (key != ".").then_some(key), reason }
    }
}
