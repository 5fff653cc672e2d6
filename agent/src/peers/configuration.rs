//! The I/O side of the configuration's state machine: maps packets to members, checks and applies received
//! values, logs events, and serves the admin API's status and publish calls.

use crate::admin_client::configuration::{
    Entry, InForce, Lagging, PublishRequest, Published, Refused, Rejected, Status,
};
use crate::config_error::ConfigError;
use crate::configuration::{Document, Target};
use crate::features::ConfigurationTable;
use dilljunction_cluster::configuration::{
    self as cluster, Configuration, Digest, Dropped, Event, Key, PublishError, Setup, Version,
};
use dilljunction_cluster::envelope::{seal, Channel};
use dilljunction_cluster::member::{Identity, Number};
use dilljunction_cluster::view::Change;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The checked settings of configuration changes.
#[derive(Debug, Clone)]
pub struct ConfigurationConfig {
    writer: Number,
    service: Option<Key>,
}

impl ConfigurationConfig {
    /// Parses `[configuration]`.
    pub fn new(table: &ConfigurationTable) -> Result<ConfigurationConfig, ConfigError> {
        let writer = Number::try_from(table.writer)
            .map_err(|e| ConfigError::of_key("configuration.writer", e.to_string()))?;
        let key = |text: &String| {
            Key::new(text).map_err(|e| ConfigError::of_key("configuration.service", e.to_string()))
        };
        Ok(ConfigurationConfig { writer, service: table.service.as_ref().map(key).transpose()? })
    }
}

/// Why a change was not published.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// Another agent is the writer.
    #[error("agent {me} is not the writer: [configuration] names agent {writer}")]
    NotTheWriter {
        /// The agent that was asked.
        me: Number,
        /// The writer.
        writer: Number,
    },
    /// The key is invalid.
    #[error("key: {0}")]
    Key(String),
    /// No agent can use the value.
    #[error("the value can't be used: {0}")]
    Value(ConfigError),
    /// The state machine refused it.
    #[error("{0}")]
    Publish(PublishError),
}

/// Maps present members to their addresses and back.
#[derive(Default)]
struct AddressBook {
    addresses: BTreeMap<Number, SocketAddr>,
    numbers: HashMap<SocketAddr, Number>,
    is_changed: bool,
}

impl AddressBook {
    fn update(&mut self, change: Change, member: &Identity) {
        let before = match change {
            Change::Down => self.addresses.remove(&member.number),
            _ => self.addresses.insert(member.number, member.address),
        };
        if let Some(before) = before {
            self.numbers.remove(&before);
        }
        if change != Change::Down {
            self.numbers.insert(member.address, member.number);
        }
        self.is_changed = true;
    }
}

/// The configuration state of one agent.
pub struct ConfigurationNode {
    config: ConfigurationConfig,
    me: Number,
    machine: Configuration,
    target: Rc<dyn Target>,
    members: AddressBook,
    /// Whether the membership view has converged once. A writer that has not found most of its fleet has
    /// nobody to learn the published versions from, and must not take that for an empty fleet.
    has_converged: bool,
}

impl ConfigurationNode {
    /// Starts with an empty store and no known members.
    pub fn new(
        config: ConfigurationConfig,
        me: Number,
        seed: u64,
        target: Rc<dyn Target>,
        now: Duration,
    ) -> ConfigurationNode {
        let machine = Configuration::new(Setup { me, writer: Some(config.writer), seed }, now);
        let members = AddressBook { is_changed: true, ..AddressBook::default() };
        ConfigurationNode { config, me, machine, target, members, has_converged: false }
    }

    /// Records a membership event.
    pub fn on_member_change(&mut self, change: Change, member: &Identity) {
        self.members.update(change, member);
    }

    /// When [`ConfigurationNode::handle_timeout`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.machine.next_timer()
    }

    /// Handles the passing of time.
    pub fn handle_timeout(&mut self, now: Duration) {
        self.machine.handle_timeout(now);
    }

    /// Handles a packet; packets of senders that are not present members are dropped.
    pub fn handle_packet(&mut self, now: Duration, from: SocketAddr, body: &[u8]) -> Result<(), Dropped> {
        let from = self.members.numbers.get(&from).ok_or(Dropped::UnknownSender)?;
        self.machine.handle_packet(now, *from, body)
    }

    /// The next packet to send, sealed, and its destination.
    pub fn poll_packet(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        while let Some((to, body)) = self.machine.poll_packet() {
            // The member may have left meanwhile.
            if let Some(address) = self.members.addresses.get(&to) {
                return Some((*address, seal(Channel::Configuration, &body)));
            }
        }
        None
    }

    /// Updates the members, applies received values and logs events.
    pub fn process_events(&mut self, now: Duration, is_converged: bool) {
        self.has_converged |= is_converged;
        let may_set_members = self.has_converged || self.config.writer != self.me;
        if may_set_members && std::mem::take(&mut self.members.is_changed) {
            let present: Vec<Number> = self.members.addresses.keys().copied().collect();
            self.machine.set_members(&present);
        }
        while let Some(event) = self.machine.poll_event() {
            match event {
                Event::Received { key, version, digest, value, why } => {
                    self.receive(now, &key, version, digest, &value, &why);
                }
                event => log_event(&event),
            }
        }
    }

    fn receive(
        &mut self,
        now: Duration,
        key: &Key,
        version: Version,
        digest: Digest,
        value: &[u8],
        why: &str,
    ) {
        if self.config.service.as_ref() != Some(key) {
            // A value of another service is stored and passed on, not applied.
            self.machine.accepted(now, key, version);
            return;
        }
        let applied = Document::parse(value).and_then(|document| self.target.apply(&document));
        let (number, digest) = (u64::from(version), digest.to_string());
        let key_text = key.as_str();
        match applied {
            Ok(()) => {
                self.machine.accepted(now, key, version);
                tracing::info!(target: "fleet", event = "configuration", key = key_text, version = number, digest, why);
            }
            Err(fault) => {
                let reason = fault.to_string();
                self.machine.rejected(key, version, &reason);
                tracing::error!(target: "fleet", event = "configuration-rejected", key = key_text, version = number,
                    digest, why, reason);
            }
        }
    }

    /// Publishes a change, if this agent is the writer and the value is valid.
    pub fn publish(&mut self, now: Duration, request: &PublishRequest) -> Result<Published, Refusal> {
        let refused = |error| match error {
            PublishError::NotTheWriter => Refusal::NotTheWriter { me: self.me, writer: self.config.writer },
            other => Refusal::Publish(other),
        };
        if self.config.writer != self.me {
            return Err(refused(PublishError::NotTheWriter));
        }
        let key = Key::new(&request.key).map_err(|e| Refusal::Key(e.to_string()))?;
        Document::parse(request.value.as_bytes()).map_err(Refusal::Value)?;
        let published = self.machine.publish(now, key.clone(), request.value.as_bytes(), &request.why);
        let version = published.map_err(refused)?;
        let digest = self.machine.entries().into_iter().find(|e| e.key == key).map(|e| e.digest.to_string());
        let digest = digest.unwrap_or_default();
        Ok(Published { key: key.as_str().into(), version: version.into(), digest })
    }

    /// The version in force of the service that this agent follows.
    pub fn followed_in_force(&self, now: Duration) -> Option<InForce> {
        let followed = self.config.service.as_ref()?;
        let in_force = self.machine.entries().into_iter().find(|entry| &entry.key == followed)?.in_force?;
        Some(in_force_status(&in_force, now))
    }

    /// The status for the admin API.
    pub fn describe(&self, now: Duration) -> Status {
        let age = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let entry = |entry: cluster::EntryStatus| Entry {
            key: entry.key.as_str().into(),
            version: entry.version.into(),
            digest: entry.digest.to_string(),
            followed: self.config.service.as_ref() == Some(&entry.key),
            in_force: entry.in_force.map(|in_force| in_force_status(&in_force, now)),
            rejected: entry.rejected.map(|it| Rejected { version: it.version.into(), reason: it.reason }),
        };
        let lagging = |it: cluster::Lagging| Lagging {
            number: it.number.0,
            heard_ms: it.last_report.as_ref().map(|heard| age(heard.at)),
            versions_behind: it.last_report.as_ref().map(|heard| heard.versions_behind),
            rejected: it.last_report.map_or(0, |heard| heard.rejected),
        };
        let counts = self.machine.counts();
        let refused = Refused {
            conflicts: counts.conflicts,
            lower_versions: counts.lower_versions,
            other_digests: counts.digest_mismatches,
            not_the_writer: counts.not_the_writer,
        };
        Status {
            me: self.me.0,
            writer: self.config.writer.0,
            service: self.config.service.as_ref().map(|key| key.as_str().into()),
            synchronized: self.machine.is_synchronized(),
            entries: self.machine.entries().into_iter().map(entry).collect(),
            lagging: self.machine.lagging().into_iter().map(lagging).collect(),
            refused,
        }
    }
}

/// Converts a version in force for the admin API.
fn in_force_status(in_force: &cluster::InForce, now: Duration) -> InForce {
    InForce {
        version: in_force.version.into(),
        digest: in_force.digest.to_string(),
        since_ms: now.saturating_sub(in_force.since).as_millis() as u64,
    }
}

fn log_event(event: &Event) {
    match event {
        Event::Received { .. } => {}
        Event::Conflict { key, version, from } => {
            let (key, version, from) = (key.as_str(), u64::from(*version), from.0);
            tracing::error!(target: "fleet", event = "configuration-conflict", key, version, from);
        }
        Event::LowerVersion { key, version, held } => {
            let (key, version, held) = (key.as_str(), u64::from(*version), u64::from(*held));
            tracing::warn!(target: "fleet", event = "configuration-lower", key, version, held);
        }
        Event::NotTheWriter { key, writer, from } => {
            let (key, writer, from) = (key.as_str(), writer.0, from.0);
            tracing::error!(target: "fleet", event = "configuration-not-the-writer", key, writer, from);
        }
        Event::RepublishedAbove { key, seen, version } => {
            let (key, heard, version) = (key.as_str(), u64::from(*seen), u64::from(*version));
            tracing::warn!(target: "fleet", event = "configuration-went-above", key, heard, version);
        }
        Event::Synchronized => tracing::info!(target: "fleet", event = "configuration-synchronized"),
    }
}
