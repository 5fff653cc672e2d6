//! The listeners of the agent: they parse requests and write answers. They never pick a server and never
//! retry.

pub mod admin;
pub mod http;
