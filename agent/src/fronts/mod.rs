//! The clients' sides of the agent. A front turns bytes into calls and an answer into bytes; it never picks a server
//! and never retries.

pub mod admin;
pub mod plain;
