//! Sources of the server list. A source converts the answers of a registry into entries of one list and
//! passes them to the driver; it never calls the decision module itself.

pub mod freshness;
pub mod platform;
