//! A configuration that one writer publishes and every member of the fleet puts in force. It consists of
//! entries by key, each with a version, a digest and a value of up to [`entry::VALUE_MAX`] bytes. Entries
//! are held in memory and spread in datagrams of 256 bytes.
//!
//! A member that receives a new entry advertises it to a few others, a bounded number of times (rumor
//! mongering, "infect and die"). Members that lack the entry request it piece by piece (pull). A member that
//! misses all advertisements detects this by comparing checksums with one other member a second
//! (anti-entropy). `docs/design/configuration.md` describes the alternatives and the measurements.
//!
//! Purpose: every reachable member puts the latest version of each entry in force, completely or not at
//! all, and never returns to a lower one. Not covered: there is no protection against malicious members (an
//! entry carries its writer's number, and any host on the network can claim it), several writers do not agree
//! on versions, and nothing is stored on disk.
//!
//! Packets and time are the input, packets and events the output: after each call of a `handle_` method,
//! [`Configuration::publish`] or [`Configuration::set_members`], drain [`Configuration::poll_packet`] and
//! [`Configuration::poll_event`], and call [`Configuration::handle_timeout`] at
//! [`Configuration::next_timer`].
//!
//! [`Configuration::publish`] chooses the next version itself. Versions that several writers agree on would
//! come from a [`crate::register`], and `publish` would take them as an argument.

mod assembly;
pub mod entry;
mod exchange;
mod gossip;
mod outcome;
pub mod pace;
mod pulls;
mod store;
mod wire;
mod writer;

use crate::member::Number;
use entry::{Content, Entry, OutOfBounds};
use gossip::Gossip;
use pace::RateLimiter;
#[cfg(test)]
use pulls::Completion;
use pulls::Pulls;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use store::Store;
use writer::Writer;

pub use entry::{Digest, ENTRIES_MAX, KEY_MAX, Key, VALUE_MAX, Version, WHY_MAX};
pub use outcome::{Counts, Dropped, Event, PublishError};
pub use store::{InForce, REASON_MAX, Rejection};
pub use writer::{Lagging, LastReport};

/// The maximum number of packets in the send queue. Beyond it the oldest is dropped, as a network would do.
const PACKETS_MAX: usize = 1_024;
/// The maximum number of queued events except [`Event::Received`]. Beyond it the oldest is dropped and
/// counted. Received entries are never dropped.
const EVENTS_MAX: usize = 1_024;

/// The parameters of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// This member's number.
    pub me: Number,
    /// The number of the writer, the one member whose entries are accepted; with `None` no entries are.
    pub writer: Option<Number>,
    /// The seed for random choices.
    pub seed: u64,
}

/// The state of an entry on this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStatus {
    /// The key of the entry.
    pub key: Key,
    /// The latest version that is held.
    pub version: Version,
    /// The digest of that version.
    pub digest: Digest,
    /// The version in force, which may be an earlier one.
    pub in_force: Option<InForce>,
    /// The latest version that was rejected, unless a later one is in force.
    pub rejected: Option<Rejection>,
}

/// The configuration of one member. Times come from any monotonic clock.
pub struct Configuration {
    setup: Setup,
    random: SmallRng,
    /// The present members except this one.
    others: Vec<Number>,
    store: Store,
    pulls: Pulls,
    gossip: Gossip,
    rate_limiter: RateLimiter,
    /// The writer's state; `None` on all other members.
    writer: Option<Writer>,
    /// Whether another member has held the same entries at some time since the start.
    has_agreed: bool,
    /// Whether the last comparison found no differences, or few.
    is_nearly_equal: bool,
    compare_at: Duration,
    /// When to report to the writer. On the writer: when to ask members what they hold.
    report_at: Duration,
    /// Keys whose latest entry has not been delivered to the shell.
    received: BTreeSet<Key>,
    /// For each key, the version of the conflict that was last reported as an event.
    reported_conflicts: BTreeMap<Key, Version>,
    /// For each key, the lower version offered by the writer that was last reported as an event.
    reported_lower: BTreeMap<Key, Version>,
    /// Members that a label falsely named as the writer and that were reported as an event.
    reported_writers: BTreeSet<Number>,
    packets: VecDeque<(Number, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
    /// Set by a mutant that accepts lower versions.
    accepts_lower: bool,
}

impl Configuration {
    /// Creates a member that starts now and holds no entries.
    pub fn new(setup: Setup, now: Duration) -> Configuration {
        let mut random = SmallRng::seed_from_u64(setup.seed);
        // A random offset spreads the first packets of members that start together.
        let compare_at = now + pace::COMPARE_INTERVAL_BEHIND.mul_f64(random.random_range(0.0..1.0));
        let report_at = now + pace::REPORT_INTERVAL_MIN.mul_f64(random.random_range(0.0..1.0));
        Configuration {
            setup,
            random,
            others: Vec::new(),
            store: Store::default(),
            pulls: Pulls::default(),
            gossip: Gossip::default(),
            rate_limiter: RateLimiter::new(now),
            writer: (setup.writer == Some(setup.me)).then(|| Writer::new(now)),
            has_agreed: false,
            is_nearly_equal: false,
            compare_at,
            report_at,
            received: BTreeSet::new(),
            reported_conflicts: BTreeMap::new(),
            reported_lower: BTreeMap::new(),
            reported_writers: BTreeSet::new(),
            packets: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            accepts_lower: false,
        }
    }

    /// Sets the present members, which this member advertises to and compares with; its own number is
    /// ignored. Call it whenever membership changes. The writer publishes only after the first call.
    pub fn set_members(&mut self, present: &[Number]) {
        self.others = present.iter().copied().filter(|number| *number != self.setup.me).collect();
        self.others.sort_unstable();
        self.others.dedup();
        if let Some(writer) = &mut self.writer {
            writer.mark_members_known();
        }
    }

    /// Publishes a new version of an entry. Only the writer may publish, and only once it knows what the
    /// others hold.
    pub fn publish(
        &mut self,
        now: Duration,
        key: Key,
        value: &[u8],
        why: &str,
    ) -> Result<Version, PublishError> {
        let writer = self.writer.as_mut().ok_or(PublishError::NotTheWriter)?;
        if !writer.update_synchronized(now, &self.others) {
            let (agreeing, needed) = writer.progress(&self.others);
            return Err(PublishError::NotYetSynchronized { agreeing, needed });
        }
        let held = self.store.get(&key).map(|held| held.entry.label().version);
        if held.is_none() && self.store.held().count() >= ENTRIES_MAX {
            return Err(PublishError::TooManyKeys);
        }
        let next = held.map_or(Some(Version::FIRST), Version::next);
        let version = next.ok_or(PublishError::VersionsExhausted)?;
        let content = Content { why: why.into(), value: value.into() };
        self.publish_as(now, key, version, &content)?;
        Ok(version)
    }

    /// Publishes an entry under a version above every version that is held.
    fn publish_as(
        &mut self,
        now: Duration,
        key: Key,
        version: Version,
        content: &Content,
    ) -> Result<(), OutOfBounds> {
        let entry = Entry::new(key.clone(), version, self.setup.me, content)?;
        if let Some(writer) = &mut self.writer {
            writer.published(now, &key);
        }
        self.counts.published += 1;
        self.store_entry(now, entry);
        Ok(())
    }

    /// Records that the shell has put this version of an entry in force. Returns false and changes nothing if
    /// the version was never delivered to the shell, or a higher one is in force.
    pub fn accepted(&mut self, now: Duration, key: &Key, version: Version) -> bool {
        self.store.accept(now, key, version, self.accepts_lower)
    }

    /// Records that the shell could not put this version of an entry in force: the previous version stays in
    /// force, and the entry is spread all the same. Returns false if the version was never delivered to the
    /// shell.
    pub fn rejected(&mut self, key: &Key, version: Version, reason: &str) -> bool {
        self.store.reject(key, version, reason)
    }

    /// The state of all entries, ordered by key.
    pub fn entries(&self) -> Vec<EntryStatus> {
        let status = |(key, held): (&Key, &store::StoredEntry)| EntryStatus {
            key: key.clone(),
            version: held.entry.label().version,
            digest: held.entry.label().digest,
            in_force: held.in_force.clone(),
            rejected: held.rejected.clone(),
        };
        self.store.held().map(status).collect()
    }

    /// On the writer: the present members that have not reported to have in force what is published, ordered
    /// by number; empty on all other members. A member reports every [`pace::report_interval`], so a member
    /// that has caught up stays listed until its next report.
    pub fn lagging(&self) -> Vec<Lagging> {
        let Some(writer) = &self.writer else { return Vec::new() };
        writer.lagging(&self.others, self.store.summary(), self.store.versions_held())
    }

    /// On the writer: whether it knows the highest versions and may publish. On other members: whether
    /// another member has held the same entries at some time since the start.
    pub fn is_synchronized(&self) -> bool {
        self.writer.as_ref().map_or(self.has_agreed, Writer::is_synchronized)
    }

    /// Takes the next packet to send: the receiver, and the body for
    /// [`crate::envelope::Channel::Configuration`].
    pub fn poll_packet(&mut self) -> Option<(Number, Vec<u8>)> {
        self.packets.pop_front()
    }

    /// Takes the next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        while let Some(key) = self.received.pop_first() {
            let Some(entry) = self.store.deliver(&key) else { continue };
            let (version, digest) = (entry.label().version, entry.label().digest);
            match entry.content() {
                Some(Content { why, value }) => {
                    return Some(Event::Received { key, version, digest, value, why });
                }
                None => {
                    self.store.reject(&key, version, "a content that this program can't read");
                }
            }
        }
        self.events.pop_front()
    }

    /// The counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Injects a fault that the tests must detect.
    #[cfg(test)]
    fn with_mutant(mut self, mutant: Mutant) -> Configuration {
        match mutant {
            Mutant::PartialValue => {
                self.pulls.set_completion(Completion { accept_partial: true, skip_digest: false })
            }
            Mutant::SkipDigest => {
                self.pulls.set_completion(Completion { accept_partial: false, skip_digest: true })
            }
            Mutant::LowerVersion => self.accepts_lower = true,
            Mutant::SkipLearning => self.writer.iter_mut().for_each(Writer::skip_learning),
        }
        self
    }

    fn push_event(&mut self, event: Event) {
        if self.events.len() >= EVENTS_MAX {
            self.events.pop_front();
            self.counts.overflowed += 1;
        }
        self.events.push_back(event);
    }
}

/// The fault that a mutant has.
#[cfg(test)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// An entry counts as complete after its first piece.
    PartialValue,
    /// The digest of received content is not checked.
    SkipDigest,
    /// A lower version replaces a higher one.
    LowerVersion,
    /// A writer publishes after a start without learning what others hold.
    SkipLearning,
}

#[cfg(test)]
mod tests;
