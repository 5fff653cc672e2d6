//! The capacity model: committed measurements of what drives cost, fitted and set against a target size.

pub mod measurement;
pub mod provenance;
