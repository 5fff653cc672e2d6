//! Changes of configuration among real agents: processes of the program with faults between them (`rig`), what their operators
//! read (`operators`), held against what was published (`judge`), packets of one of them changed on their way (`tamper`), and how long a
//! change takes (`measure`).

pub mod judge;
pub mod measure;
pub mod operators;
pub mod rig;
pub mod tamper;
