//! What may happen now: the one place that decides whether a request may be taken in, an attempt begun, repeated or hedged, a
//! connection closed and the process ended. No socket and no clock: the caller brings the instant and the facts.
//!
//! It has no policy. Which server, whether to retry at all and how long to wait stay in the decision module; this only
//! says what the protocol allows at this instant. Each answer is a permit or a typed reason, and what does the act takes the
//! permit by value, so that a path that did not ask does not compile. [`violations`] compares each act with the rules once more
//! from what was seen of it, and counts.

pub mod admission;
pub mod attempt;
pub mod closing;
pub mod lifecycle;
pub mod process_end;
pub mod violations;

pub use process_end::ProcessEnd;
