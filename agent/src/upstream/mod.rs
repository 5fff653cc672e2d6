//! The client side towards servers: attempts and probes, and the connections that carry them.
//!
//! The modules depend on one another in this order and never in reverse: `body`, `upload`, `silent_peers`,
//! `pool` (with `idle_limit`), `answer_end`, `live_answer`, `streaming`, `attempt`, `answer_arrival`, `backend` (with
//! `framing` and `load_report`).

mod answer_arrival;
mod answer_end;
pub mod attempt;
pub mod backend;
pub mod body;
mod framing;
mod idle_limit;
pub mod live_answer;
mod load_report;
pub mod pool;
pub mod silent_peers;
pub mod streaming;
pub mod upload;
