//! The capacity model: committed measurements of what drives cost, fitted and set against a target size.

pub mod fit;
pub mod measurement;
