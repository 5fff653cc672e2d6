//! Configuration changes in a running agent: the format of a published value, and how it is applied. A value
//! is checked as a whole and then applied as a whole, in one step between two requests; an invalid one
//! changes nothing.

pub mod document;
pub(crate) mod live;

pub use document::Document;

use crate::config_error::ConfigError;

/// Applies a checked value.
pub trait Target {
    /// Applies all of it, or nothing and returns the reason.
    fn apply(&self, document: &Document) -> Result<(), ConfigError>;
}

/// The target of an agent without a data path, which has no limits to change.
pub struct NoDataPath;

impl Target for NoDataPath {
    fn apply(&self, _document: &Document) -> Result<(), ConfigError> {
        Ok(())
    }
}
