//! The agent around the decision module `ryelead`, as a library: the program `dilljunction` runs one
//! [`Agent`] per process, and a test or another program can host many agents on one thread.
//!
//! The agent accepts clients' requests, turns what happens on sockets into events of the decision module, and
//! carries out the module's actions. It does not choose servers, retries, refusals, probes or timeouts
//! itself, and never resends anything on its own.
//!
//! ```
//! use dilljunction_agent::{Agent, Config, Features};
//!
//! let text = br#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
//!     "settings": {"classes": [{"name": "read", "effect": "idempotent", "aimMs": 200, "deadlineMs": 400, "points": 1}]}}"#;
//! let config = Config::parse(text, Features::default()).expect("usable");
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
//! tokio::task::LocalSet::new().block_on(&runtime, async {
//!     let agent = Agent::start(config).await.expect("a free port");
//!     assert_ne!(agent.address().port(), 0);
//!     agent.serve(std::future::ready(())).await; // until the given future completes: here, immediately
//! });
//! ```

pub mod admin_client;
mod agent;
mod answer_scanner;
mod chunk_scanner;
mod clients;
mod clock;
mod config;
mod config_error;
pub mod configuration;
mod control;
mod driver;
mod events;
mod features;
mod frontend;
mod head;
mod hollow;
mod inherit;
mod limits;
mod list;
mod log;
mod memory_budget;
mod metered_stream;
mod metrics;
mod overload;
mod peers;
mod permits;
mod rate_limiter;
mod recent_ids;
mod requests;
mod servers;
mod sharing;
mod shortage;
mod signals;
mod sources;
mod timers;
mod upstream;

pub use agent::Agent;
pub use config::Config;
pub use config_error::ConfigError;
pub use features::{
    ConfigurationTable, EventsTable, Features, FleetTable, LimitsTable, TallyTable, TrialTable,
};
pub use hollow::{FleetSummary, HollowAgent};
pub use log::{log, log_events, EventLevel};
pub use overload::avoid_huge_pages;
pub use signals::Signal;
