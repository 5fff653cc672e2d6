//! The servers' side: attempts and probes, and the connections that they go on.

pub mod backend;
pub mod passing;
pub mod pool;
mod rest;
pub mod upload;
