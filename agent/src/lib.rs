//! The agent round the decision module `ryelead`, as a library: one [`Agent`] is what a process of the program
//! `dilljunction` runs, and a test or another program can host many of them on one thread.
//!
//! What it is for: it takes clients' requests, turns what happens on sockets into the module's events and carries out
//! the module's actions. What it is not for: it decides no server, retry, refusal, probe or time-out itself, and it
//! resends nothing by itself.
//!
//! ```
//! use dilljunction_agent::{Agent, Config, Switches};
//!
//! let text = br#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
//!     "settings": {"classes": [{"name": "read", "effect": "idempotent", "aimMs": 200, "deadlineMs": 400, "points": 1}]}}"#;
//! let config = Config::parse(text, Switches::default()).expect("usable");
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
//! tokio::task::LocalSet::new().block_on(&runtime, async {
//!     let agent = Agent::start(config).await.expect("a free port");
//!     assert_ne!(agent.address().port(), 0);
//!     agent.serve(std::future::ready(())).await; // until it is told to stop: here, at once
//! });
//! ```

mod agent;
mod allowance;
mod budget;
mod clients;
mod clock;
mod config;
pub mod configuration;
mod control;
mod driver;
mod events;
mod fault;
mod fronts;
mod head;
mod hollow;
mod inherit;
mod limits;
mod list;
mod log;
pub mod operators;
mod peers;
mod permits;
mod requests;
mod servers;
mod share;
mod signals;
mod sources;
mod switches;
mod tally;
mod timers;
mod upstream;
mod wire;

pub use agent::Agent;
pub use config::Config;
pub use fault::Fault;
pub use hollow::{FleetSummary, HollowAgent};
pub use log::{log, log_events, EventLevel};
pub use signals::Signal;
pub use switches::{
    ConfigurationTable, EventsTable, FleetTable, LimitsTable, Switches, TallyTable, TrialTable,
};
