//! Decides what the agent may do at this instant: admit a request, begin, repeat or hedge an attempt, close a
//! connection, end the process. This is the only place with these rules. It has no sockets and no clock: the
//! caller passes in the current instant and the facts.
//!
//! It contains no policy. The choice of the server, whether to retry at all and how long to wait stay in the
//! decision module `ryelead`; this module only says what the protocol permits at this instant. Each decision
//! returns a permit or a typed reason for the denial. The code that carries out the action takes the permit
//! by value, so that a path that skips the decision does not compile. [`violations`] checks every action once
//! more against the rules, from what was observed of it, and counts the breaches.

pub mod admission;
pub mod attempt;
pub mod closing;
pub mod lifecycle;
pub mod overload;
pub mod process_end;
pub mod silence;
pub mod violations;

pub use process_end::ProcessEnd;
