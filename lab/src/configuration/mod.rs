//! Changes of configuration in virtual time: the fleet's real state machines (or, for comparison, a tree with acknowledgements)
//! on a network of regions and zones with delays, loss, cuts and stopped processes.

pub mod fleet;
pub mod geography;
pub mod measure;
pub mod spread;
pub mod tree;
