//! What may happen now: the one place that decides whether a request may be taken in, an attempt begun or repeated, a
//! connection closed and the process ended. No socket and no clock: the caller brings the instant and the facts.
//!
//! It has no policy. Which server, whether to retry at all and how long to wait stay in the decision module; this only
//! says what the protocol allows at this instant.

pub mod process_end;

pub use process_end::ProcessEnd;
