//! Errors in the configuration, as one line that tells the operator what to change.

use std::path::{Path, PathBuf};

/// What is wrong with a configuration, and where.
#[derive(Debug, thiserror::Error)]
#[error("{}{}{reason}", prefix(.file.as_deref()), prefix(.key.as_deref().map(Path::new)))]
pub struct ConfigError {
    /// The file, if the configuration came from one.
    pub file: Option<PathBuf>,
    /// The key; the names of its tables are joined by dots.
    pub key: Option<String>,
    /// What is wrong and what is allowed.
    pub reason: String,
}

fn prefix(part: Option<&Path>) -> String {
    part.map_or(String::new(), |part| format!("{}: ", part.display()))
}

impl ConfigError {
    /// An error in one key.
    pub fn of_key(key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError { file: None, key: Some(key.into()), reason: reason.into() }
    }

    /// An error in the configuration as a whole.
    pub fn of_all(reason: impl Into<String>) -> ConfigError {
        ConfigError { file: None, key: None, reason: reason.into() }
    }

    /// Adds the file.
    pub fn in_file(self, file: impl Into<PathBuf>) -> ConfigError {
        ConfigError { file: Some(file.into()), ..self }
    }

    /// An error of a deserializer that knows the path in the document, on one line.
    pub(crate) fn at_path(path: &serde_path_to_error::Path, reason: &impl std::fmt::Display) -> ConfigError {
        let text = reason.to_string();
        let reason = text.lines().map(str::trim).filter(|l| !l.is_empty()).collect::<Vec<_>>().join("; ");
        let key = path.to_string();
        ConfigError { file: None, key: (key != ".").then_some(key), reason }
    }
}
