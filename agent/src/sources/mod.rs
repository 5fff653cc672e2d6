//! Where the list of servers comes from. A source turns what a registry says into lines of one list and hands them to
//! the driver; it never talks to the module itself.

pub mod freshness;
pub mod platform;
