//! What the lab and a host of hollow agents (`dilljunction-hollow`) say to each other: one line of JSON each, orders on the
//! host's standard input, and one answer to each of them on its standard output, in their order.

use crate::publishing::judge::InForce;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest line of either side, in bytes: the configuration of an agent that knows 2,000 others fits many times.
pub const LINE_MOST: usize = 1024 * 1024;

/// What a host is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// A hollow agent starts, in place of the one with this number if that still runs.
    Start {
        /// Its number in the fleet.
        number: usize,
        /// Its configuration, as the platform words it.
        config: serde_json::Value,
        /// What is switched on besides: the text of a file under `deploy/`.
        switches: String,
    },
    /// An agent ends at once, and says so to nobody.
    Kill {
        /// Its number in the fleet.
        number: usize,
    },
    /// The host says what each of its agents knows, in short.
    Report,
    /// The host says which configuration each of its agents has in force.
    ReportConfigurations,
}

/// What a host answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The agent runs.
    Started {
        /// Its number in the fleet.
        number: usize,
        /// Where other agents reach it.
        peers_at: SocketAddr,
        /// Where operators call.
        admin: SocketAddr,
    },
    /// The agent runs no more.
    Killed {
        /// Its number in the fleet.
        number: usize,
    },
    /// What the agents know.
    Report {
        /// One for each agent that runs, in the order of their numbers.
        agents: Vec<Summary>,
        /// How late a timer of the host was at worst since the last report, in milliseconds.
        late_ms: f64,
    },
    /// Which configuration the agents have in force.
    Configurations {
        /// One for each agent that has any, in the order of their numbers.
        agents: Vec<Configured>,
    },
    /// The order could not be carried out.
    Refused {
        /// Why.
        reason: String,
    },
}

/// What a hollow agent's view of the fleet comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The agent's number in the fleet.
    pub number: usize,
    /// Its life.
    pub life: u64,
    /// The digest of its view.
    pub digest: u64,
    /// Whether it is sure of it.
    pub sure: bool,
    /// Members that are there, by that view.
    pub present: usize,
}

/// What a hollow agent has in force of the service that it follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configured {
    /// The agent's number in the fleet.
    pub number: usize,
    /// The version, its digest and its age.
    pub in_force: InForce,
}
