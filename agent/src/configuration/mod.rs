//! Changes of configuration in a running agent: what a published value may say, and how it is put in force. A value is
//! checked whole and then applied whole, in one step between two requests; one that can't be used changes nothing.

pub mod document;
pub(crate) mod live;

pub use document::Document;

use crate::fault::Fault;

/// What puts a checked value in force.
pub trait Target {
    /// Applies all of it, or nothing and says why.
    fn apply(&self, document: &Document) -> Result<(), Fault>;
}

/// An agent without a data path: it has no limits of its own to change.
pub struct NoDataPath;

impl Target for NoDataPath {
    fn apply(&self, _document: &Document) -> Result<(), Fault> {
        Ok(())
    }
}
