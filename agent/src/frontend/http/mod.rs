//! The HTTP/1.1 server side for requests of local clients.

mod answer_body;
mod connection_slot;
mod responses;
pub mod server;
mod slots;
pub mod validation;
