//! A published value: a TOML document with the tables that may change while an agent runs.

use crate::config_error::ConfigError;
use crate::features::{read_bounded, LimitsTable};
use dilljunction_cluster::configuration::VALUE_MAX;
use serde::Deserialize;
use std::path::Path;

/// A parsed value. What it leaves out returns to its value at the agent's start.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// `[limits]`, see `deploy/limits.toml`.
    pub limits: Option<LimitsTable>,
}

impl Document {
    /// Reads a file that is to be published, and checks it as the receiving agents will.
    pub fn read(path: &Path) -> Result<String, ConfigError> {
        let text = read_bounded(path).map_err(|fault| fault.in_file(path))?;
        if text.len() > VALUE_MAX {
            let reason = format!("has {} bytes, and a value has {VALUE_MAX} at most", text.len());
            return Err(ConfigError::of_all(reason).in_file(path));
        }
        Document::parse(&text).map_err(|fault| fault.in_file(path))?;
        String::from_utf8(text).map_err(|_| ConfigError::of_all("is not UTF-8 text").in_file(path))
    }

    /// Parses a value; an unknown key or a value out of range is a fault that names key and reason.
    pub fn parse(value: &[u8]) -> Result<Document, ConfigError> {
        let text = std::str::from_utf8(value).map_err(|_| ConfigError::of_all("is not UTF-8 text"))?;
        let toml = toml::Deserializer::parse(text)
            .map_err(|e| ConfigError::of_all(format!("is not TOML: {}", e.message())))?;
        let document: Document = serde_path_to_error::deserialize(toml)
            .map_err(|e| ConfigError::at_path(e.path(), &e.inner().message()))?;
        document.limits.as_ref().map_or(Ok(()), LimitsTable::check)?;
        Ok(document)
    }
}

#[cfg(test)]
mod tests;
