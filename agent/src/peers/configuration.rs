//! The shell of the configuration's state machine: who sent a packet and where one goes, values checked and put in force,
//! events as log lines, and what operators read and publish.

use crate::configuration::{Document, Target};
use crate::fault::Fault;
use crate::operators::configuration::{
    Entry, InForce, Lagging, PublishRequest, Published, Refused, Rejected, Status,
};
use crate::switches::ConfigurationTable;
use dilljunction_cluster::configuration::{
    self as cluster, Configuration, Digest, Dropped, Event, Key, PublishError, Setup, Version,
};
use dilljunction_cluster::envelope::{seal, Room};
use dilljunction_cluster::member::{Identity, Number};
use dilljunction_cluster::view::Change;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What an agent is told of changes of configuration, checked.
#[derive(Debug, Clone)]
pub struct ConfigurationConfig {
    writer: Number,
    service: Option<Key>,
}

impl ConfigurationConfig {
    /// Reads `[configuration]`.
    pub fn new(table: &ConfigurationTable) -> Result<ConfigurationConfig, Fault> {
        let writer = Number::try_from(table.writer)
            .map_err(|e| Fault::of_key("configuration.writer", e.to_string()))?;
        let key =
            |text: &String| Key::new(text).map_err(|e| Fault::of_key("configuration.service", e.to_string()));
        Ok(ConfigurationConfig { writer, service: table.service.as_ref().map(key).transpose()? })
    }
}

/// Why a change was not published.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// Another agent publishes.
    #[error("agent {me} is not the writer: [configuration] names agent {writer}")]
    NotTheWriter {
        /// The agent that was asked.
        me: Number,
        /// The one that publishes.
        writer: Number,
    },
    /// The key can't be one.
    #[error("key: {0}")]
    Key(String),
    /// The value can't be used by any agent.
    #[error("the value can't be used: {0}")]
    Value(Fault),
    /// The state machine refuses it.
    #[error("{0}")]
    Publish(PublishError),
}

/// Where the present members are reached, and who sends from there.
#[derive(Default)]
struct AddressBook {
    addresses: BTreeMap<Number, SocketAddr>,
    numbers: HashMap<SocketAddr, Number>,
    is_changed: bool,
}

impl AddressBook {
    fn note(&mut self, change: Change, who: &Identity) {
        let before = match change {
            Change::Gone => self.addresses.remove(&who.number),
            _ => self.addresses.insert(who.number, who.address),
        };
        if let Some(before) = before {
            self.numbers.remove(&before);
        }
        if change != Change::Gone {
            self.numbers.insert(who.address, who.number);
        }
        self.is_changed = true;
    }
}

/// The configuration of one agent.
pub struct ConfigurationShell {
    config: ConfigurationConfig,
    me: Number,
    machine: Configuration,
    target: Rc<dyn Target>,
    members: AddressBook,
    /// The view has been sure once. A writer that has not found most of its fleet has nobody to learn from, and must not take
    /// that for an empty fleet.
    was_sure: bool,
}

impl ConfigurationShell {
    /// That of an agent which starts now and knows no other.
    pub fn new(
        config: ConfigurationConfig,
        me: Number,
        seed: u64,
        target: Rc<dyn Target>,
        now: Duration,
    ) -> ConfigurationShell {
        let machine = Configuration::new(Setup { me, writer: Some(config.writer), seed }, now);
        let members = AddressBook { is_changed: true, ..AddressBook::default() };
        ConfigurationShell { config, me, machine, target, members, was_sure: false }
    }

    /// Something has become of a member.
    pub fn member(&mut self, change: Change, who: &Identity) {
        self.members.note(change, who);
    }

    /// When [`ConfigurationShell::handle_timeout`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.machine.next_timer()
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Duration) {
        self.machine.handle_timeout(now);
    }

    /// A packet has come; whoever is no present member is not heard.
    pub fn handle_packet(&mut self, now: Duration, from: SocketAddr, body: &[u8]) -> Result<(), Dropped> {
        let from = self.members.numbers.get(&from).ok_or(Dropped::Stranger)?;
        self.machine.handle_packet(now, *from, body)
    }

    /// The next packet to be sent, sealed, and where to.
    pub fn poll_packet(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        while let Some((to, body)) = self.machine.poll_packet() {
            // Whoever has gone meanwhile needs none.
            if let Some(address) = self.members.addresses.get(&to) {
                return Some((*address, seal(Room::Configuration, &body)));
            }
        }
        None
    }

    /// Tells the state machine who is there, puts in force what has come, and writes the log.
    pub fn settle(&mut self, now: Duration, is_sure: bool) {
        self.was_sure |= is_sure;
        let may_tell = self.was_sure || self.config.writer != self.me;
        if may_tell && std::mem::take(&mut self.members.is_changed) {
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
            // Another service's: held and passed on, and nothing to be done about it here.
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

    /// Publishes a change, if this is the writer and any agent can use the value.
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

    /// What is in force of the service that this agent follows.
    pub fn followed_in_force(&self, now: Duration) -> Option<InForce> {
        let followed = self.config.service.as_ref()?;
        let in_force = self.machine.entries().into_iter().find(|entry| &entry.key == followed)?.in_force?;
        Some(shown_in_force(&in_force, now))
    }

    /// What operators read.
    pub fn describe(&self, now: Duration) -> Status {
        let age = |since: Duration| now.saturating_sub(since).as_millis() as u64;
        let entry = |entry: cluster::EntryStatus| Entry {
            key: entry.key.as_str().into(),
            version: entry.version.into(),
            digest: entry.digest.to_string(),
            followed: self.config.service.as_ref() == Some(&entry.key),
            in_force: entry.in_force.map(|in_force| shown_in_force(&in_force, now)),
            rejected: entry.rejected.map(|it| Rejected { version: it.version.into(), reason: it.reason }),
        };
        let lagging = |it: cluster::Lagging| Lagging {
            number: it.number.0,
            heard_ms: it.heard.as_ref().map(|heard| age(heard.at)),
            versions_behind: it.heard.as_ref().map(|heard| heard.versions_behind),
            rejected: it.heard.map_or(0, |heard| heard.rejected),
        };
        let counts = self.machine.counts();
        let refused = Refused {
            conflicts: counts.conflicts,
            lower_versions: counts.lower,
            other_digests: counts.other_digest,
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

/// A version in force, as operators read it.
fn shown_in_force(in_force: &cluster::InForce, now: Duration) -> InForce {
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
        Event::WentAbove { key, heard, version } => {
            let (key, heard, version) = (key.as_str(), u64::from(*heard), u64::from(*version));
            tracing::warn!(target: "fleet", event = "configuration-went-above", key, heard, version);
        }
        Event::Synchronized => tracing::info!(target: "fleet", event = "configuration-synchronized"),
    }
}
