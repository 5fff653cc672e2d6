//! The capacity model: committed measurements of what drives cost, fitted and set against a target size.
//!
//! [`documents`] reads `docs/capacity/` and writes `docs/CAPACITY.md` by [`page`].

pub mod documents;
pub mod figure;
pub mod fit;
#[cfg(test)]
mod fixture;
pub mod measurement;
pub mod measurements;
pub mod number;
pub mod page;
pub mod provenance;
pub mod row;
pub mod target;
