//! What people see of a run.

pub mod live;
pub mod report;
pub mod tally;
