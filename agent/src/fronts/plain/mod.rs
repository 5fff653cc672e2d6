//! Plain requests over HTTP/1.1, as the platform's protocol words them.

pub mod intake;
mod reply;
mod seats;
pub mod server;
