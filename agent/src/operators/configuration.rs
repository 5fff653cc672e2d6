//! Changes of configuration as the operators' address words them, and how the command line shows them.

use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Where the calls are: GET reads [`Status`], POST publishes a [`PublishRequest`].
pub const PATH: &str = "/fleet/configuration";

/// A change that is to be published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// The service.
    pub key: String,
    /// Why, for those who read the logs.
    pub why: String,
    /// The TOML text.
    pub value: String,
}

/// A change that has been published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The service.
    pub key: String,
    /// Which version of its configuration this is.
    pub version: u64,
    /// Over key, version, writer, reason and value.
    pub digest: String,
}

/// What one agent holds and has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The agent that was asked.
    #[serde(rename = "self")]
    pub me: u16,
    /// The agent that publishes.
    pub writer: u16,
    /// The key that this agent follows.
    pub service: Option<String>,
    /// On the writer whether it publishes; on others whether another member has held the same since the start.
    pub synchronized: bool,
    /// By key.
    pub entries: Vec<Entry>,
    /// On the writer: who has not reported to have in force what is published last.
    pub lagging: Vec<Lagging>,
    /// What was not taken, by reason.
    pub refused: Refused,
}

/// How often something was not taken since the agent's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Refused {
    /// Another digest under a version that is held.
    pub conflicts: u64,
    /// A lower version than is held.
    pub lower_versions: u64,
    /// Pieces that are not what their digest names.
    pub other_digests: u64,
    /// Entries of an agent that is not the writer.
    pub not_the_writer: u64,
}

/// The configuration of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The service.
    pub key: String,
    /// The latest version that is held.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// Whether this agent goes by it.
    pub followed: bool,
    /// What is in force; for a service that is not followed, what is held whole.
    pub in_force: Option<InForce>,
    /// The latest version that could not be put in force, unless a later one is.
    pub rejected: Option<Rejected>,
}

/// A version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Which.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// For how long.
    pub since_ms: u64,
}

/// A version that changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// Which.
    pub version: u64,
    /// Why, with its key.
    pub reason: String,
}

/// An agent that has not reported to have in force what is published last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// Its number.
    pub number: u16,
    /// How long ago it was last heard; nothing if it never was.
    pub heard_ms: Option<u64>,
    /// How many versions it was behind then, over all services.
    pub versions_behind: Option<u64>,
    /// How many services' latest versions it could not use.
    pub rejected: u16,
}

impl Status {
    /// Reads what `GET /fleet/configuration` answers.
    pub fn parse(text: &[u8]) -> Result<Status, String> {
        serde_json::from_slice(text).map_err(|e| format!("not a state of the configuration: {e}"))
    }

    /// For people.
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
                entry.in_force_words()
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
            text.push_str(&self.lagging_words());
        }
        text
    }

    fn lagging_words(&self) -> String {
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
    fn in_force_words(&self) -> String {
        let mut words = match &self.in_force {
            _ if !self.followed => "not followed".to_string(),
            Some(it) => format!("{} for {:.1} s", it.version, it.since_ms as f64 / 1000.0),
            None => "nothing".to_string(),
        };
        if let Some(rejected) = &self.rejected {
            let _ = write!(words, "; {} rejected: {}", rejected.version, rejected.reason);
        }
        words
    }
}
