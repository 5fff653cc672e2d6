//! What agents meet: servers, lists, links and clients, each of which fails on command and writes down what it sees. None
//! knows of worlds.

pub mod booking;
pub mod discovery;
pub mod hand;
pub mod http;
mod kernel_sockets;
pub mod link;
pub mod office;
pub mod rude;
