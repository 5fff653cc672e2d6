//! What was written down by those outside the agents, and what follows from it. No socket and no clock: what a run on
//! sockets and a run in virtual time have left is judged alike.

pub mod checker;
pub mod evidence;
pub mod service;
