//! Types of the admin API for configuration changes, and the tables that the command line prints.

use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// The path: GET returns [`Status`], POST publishes a [`PublishRequest`].
pub const PATH: &str = "/fleet/configuration";

/// A change to be published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The service.
    pub key: String,
    /// The reason, for the log.
    pub why: String,
    /// The value, a TOML document.
    pub value: String,
}

/// A change that has been published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The service.
    pub key: String,
    /// The version of the service's configuration.
    pub version: u64,
    /// Digest of key, version, writer, reason and value.
    pub digest: String,
}

/// What one agent stores and has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The agent that was asked.
    #[serde(rename = "self")]
    pub me: u16,
    /// The number of the writer.
    pub writer: u16,
    /// The key that this agent follows.
    pub service: Option<String>,
    /// On the writer: whether it may publish; on others: whether another member has held the same
    /// configuration since the start.
    pub synchronized: bool,
    /// The services' configurations, by key.
    pub entries: Vec<Entry>,
    /// On the writer: the agents that have not reported the latest version in force.
    pub lagging: Vec<Lagging>,
    /// Refused packets and entries, by reason.
    pub refused: Refused,
}

/// Counters of refused packets and entries since the agent's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Refused {
    /// Another digest under a version that is stored.
    pub conflicts: u64,
    /// A lower version than the stored one.
    pub lower_versions: u64,
    /// Pieces that do not match their digest.
    pub other_digests: u64,
    /// Entries from an agent that is not the writer.
    pub not_the_writer: u64,
}

/// The configuration of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The service.
    pub key: String,
    /// The latest version that is stored.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// Whether this agent applies it.
    pub followed: bool,
    /// The version in force; for a service that is not followed, the latest one stored completely.
    pub in_force: Option<InForce>,
    /// The latest version that could not be applied, unless a later one was.
    pub rejected: Option<Rejected>,
}

/// A version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The version.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// How long it has been in force.
    pub since_ms: u64,
}

/// A version that could not be applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// The version.
    pub version: u64,
    /// The reason, with the key at fault.
    pub reason: String,
}

/// An agent that has not reported the latest version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// Its number.
    pub number: u16,
    /// Age of its last report; `None` if there was none.
    pub heard_ms: Option<u64>,
    /// Versions it was behind in that report, over all services.
    pub versions_behind: Option<u64>,
    /// Number of services whose latest version it rejected.
    pub rejected: u16,
}

impl Status {
    /// Parses the answer of `GET /fleet/configuration`.
    pub fn parse(text: &[u8]) -> Result<Status, String> {
        serde_json::from_slice(text).map_err(|e| format!("not a configuration status: {e}"))
    }

    /// Formats the status as a table.
    pub fn table(&self) -> String {
        let is_writer = self.me == self.writer;
        let role = match (is_writer, self.synchronized) {
            (true, true) => "the writer".to_string(),
            (true, false) => "the writer, still learning what the others hold".to_string(),
            (false, _) => format!("the writer is {}", self.writer),
        };
        let follows = self.service.as_deref().unwrap_or("no service");
        let mut text = format!("agent {} ({role}), follows {follows}\n", self.me);
        let _ = writeln!(text, "{:24}  {:>8}  {:32}  in force", "key", "version", "digest");
        for entry in &self.entries {
            let _ = writeln!(
                text,
                "{:24}  {:>8}  {:32}  {}",
                entry.key,
                entry.version,
                entry.digest,
                entry.in_force_text()
            );
        }
        let Refused { conflicts, lower_versions, other_digests, not_the_writer } = self.refused;
        if self.refused != Refused::default() {
            let _ = writeln!(
                text,
                "not taken: {conflicts} conflicts, {lower_versions} lower versions, {other_digests} other digests, \
                 {not_the_writer} not the writer's"
            );
        }
        if is_writer {
            text.push_str(&self.lagging_text());
        }
        text
    }

    fn lagging_text(&self) -> String {
        if self.lagging.is_empty() {
            return "nobody lags\n".into();
        }
        let mut text = format!("{} lag\n", self.lagging.len());
        for one in &self.lagging {
            let _ = match (one.heard_ms, one.versions_behind) {
                (Some(ms), Some(behind)) => writeln!(
                    text,
                    "{:>6}  {behind} versions behind, {} rejected, heard {:.1} s ago",
                    one.number,
                    one.rejected,
                    ms as f64 / 1000.0
                ),
                _ => writeln!(text, "{:>6}  not heard", one.number),
            };
        }
        text
    }
}

impl Entry {
    fn in_force_text(&self) -> String {
        let mut text = match &self.in_force {
            _ if !self.followed => "not followed".to_string(),
            Some(it) => format!("{} for {:.1} s", it.version, it.since_ms as f64 / 1000.0),
            None => "nothing".to_string(),
        };
        if let Some(rejected) = &self.rejected {
            let _ = write!(text, "; {} rejected: {}", rejected.version, rejected.reason);
        }
        text
    }
}
