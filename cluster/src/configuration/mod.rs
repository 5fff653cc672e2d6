//! A configuration that one writer publishes and every member of the fleet puts in force: entries by key, each with a version, a
//! digest and a value of up to [`entry::VALUE_MOST`] bytes, held in memory and spread in datagrams of 256 bytes.
//!
//! A member that takes a new entry tells a few others of it, a bounded number of times (infect and die); whoever lacks the entry asks
//! for it, piece by piece (pull). Whom that misses finds out by comparing checksums with one other member a second (anti-entropy).
//! `docs/design/configuration.md` has what was weighed and measured.
//!
//! What it is for: every reachable member puts the latest version of each entry in force, whole or not at all, and never goes back to
//! a lower one. What it is not for: it does not keep out somebody who means harm (an entry carries its writer's number, and anybody
//! on the network can claim it), it agrees on no version between several writers, and it keeps nothing on disk.
//!
//! Packets and time go in, packets and events come out: after each call of a `handle_` method, [`Configuration::publish`] or
//! [`Configuration::set_members`], take what there is with [`Configuration::poll_packet`] and [`Configuration::poll_event`], and call
//! [`Configuration::handle_timeout`] at [`Configuration::next_timer`].
//!
//! Versions that several writers agree on have a place of their own: [`Configuration::publish`] picks the next version by itself now,
//! and would take one that a [`crate::register`] has agreed on.

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
use pace::Budget;
#[cfg(test)]
use pulls::Finish;
use pulls::Pulls;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use store::Store;
use writer::Writer;

pub use entry::{Digest, ENTRIES_MOST, KEY_MOST, Key, VALUE_MOST, Version, WHY_MOST};
pub use outcome::{Counts, Dropped, Event, PublishError};
pub use store::{InForce, REASON_MOST, Rejection};
pub use writer::{Lagging, LastReport};

/// Packets that wait to be sent. Past it the oldest is dropped, as a network would.
const PACKETS_MOST: usize = 1_024;
/// Events but [`Event::Received`] that wait to be taken. Past it the oldest is dropped and counted; of received entries none is.
const EVENTS_MOST: usize = 1_024;

/// What a member is told at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// Its number.
    pub me: Number,
    /// The number of the one member whose entries are taken; with `None` nobody's are.
    pub writer: Option<Number>,
    /// For random choices.
    pub seed: u64,
}

/// An entry as it stands on this member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStatus {
    /// Its key.
    pub key: Key,
    /// The latest version that is held.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// What is in force, which may be an earlier version.
    pub in_force: Option<InForce>,
    /// The latest version that was rejected, unless a later one is in force.
    pub rejected: Option<Rejection>,
}

/// One member's configuration. Times are those of any clock that only goes forward.
pub struct Configuration {
    setup: Setup,
    random: SmallRng,
    /// Who else is there.
    others: Vec<Number>,
    store: Store,
    pulls: Pulls,
    gossip: Gossip,
    budget: Budget,
    /// On the writer only.
    writer: Option<Writer>,
    /// Another member has held the same entries, once since the start.
    has_agreed: bool,
    /// The last comparison found few differences, or none.
    is_near: bool,
    compare_at: Duration,
    /// When to report to the writer, or on the writer when to ask what the others hold.
    report_at: Duration,
    /// Keys whose latest entry the shell has not been given.
    received: BTreeSet<Key>,
    /// The version of each key under which a conflict was told last.
    conflicts_told: BTreeMap<Key, Version>,
    /// The version of each key that the writer was last found to hold wrongly.
    lower_told: BTreeMap<Key, Version>,
    /// Who was told to have claimed to be the writer.
    strangers_told: BTreeSet<Number>,
    packets: VecDeque<(Number, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
    /// A mutant takes lower versions.
    takes_lower: bool,
}

impl Configuration {
    /// A member that starts now and holds nothing.
    pub fn new(setup: Setup, now: Duration) -> Configuration {
        let mut random = SmallRng::seed_from_u64(setup.seed);
        // Members that start together do not all speak at once.
        let compare_at = now + pace::COMPARE_EVERY_UNLIKE.mul_f64(random.random_range(0.0..1.0));
        let report_at = now + pace::REPORT_EVERY.mul_f64(random.random_range(0.0..1.0));
        Configuration {
            setup,
            random,
            others: Vec::new(),
            store: Store::default(),
            pulls: Pulls::default(),
            gossip: Gossip::default(),
            budget: Budget::new(now),
            writer: (setup.writer == Some(setup.me)).then(|| Writer::new(now)),
            has_agreed: false,
            is_near: false,
            compare_at,
            report_at,
            received: BTreeSet::new(),
            conflicts_told: BTreeMap::new(),
            lower_told: BTreeMap::new(),
            strangers_told: BTreeSet::new(),
            packets: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            takes_lower: false,
        }
    }

    /// Who is there, this member among them or not: whom it tells and asks. To be called whenever that changes. The writer
    /// publishes only after the first call.
    pub fn set_members(&mut self, present: &[Number]) {
        self.others = present.iter().copied().filter(|number| *number != self.setup.me).collect();
        self.others.sort_unstable();
        self.others.dedup();
        if let Some(writer) = &mut self.writer {
            writer.members_told();
        }
    }

    /// Publishes a new version of an entry; only the writer does, once it has learnt what the others hold.
    pub fn publish(
        &mut self,
        now: Duration,
        key: Key,
        value: &[u8],
        why: &str,
    ) -> Result<Version, PublishError> {
        let writer = self.writer.as_mut().ok_or(PublishError::NotTheWriter)?;
        if !writer.look(now, &self.others) {
            let (heard, needed) = writer.progress(&self.others);
            return Err(PublishError::NotYetSynchronized { heard, needed });
        }
        let held = self.store.get(&key).map(|held| held.entry.label().version);
        if held.is_none() && self.store.held().count() >= ENTRIES_MOST {
            return Err(PublishError::TooManyKeys);
        }
        let next = held.map_or(Some(Version::FIRST), Version::next);
        let version = next.ok_or(PublishError::VersionsExhausted)?;
        let content = Content { why: why.into(), value: value.into() };
        self.publish_as(now, key, version, &content)?;
        Ok(version)
    }

    /// Publishes an entry under a version that is higher than any that is held.
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
        self.hold(now, entry);
        Ok(())
    }

    /// The shell has put this version of an entry in force. False, and nothing happens, if it was never given to the shell, or a
    /// higher one is in force.
    pub fn accepted(&mut self, now: Duration, key: &Key, version: Version) -> bool {
        self.store.accept(now, key, version, self.takes_lower)
    }

    /// The shell can't put this version of an entry in force: what was in force stays, and the entry is spread all the same. False
    /// if it was never given to the shell.
    pub fn rejected(&mut self, key: &Key, version: Version, reason: &str) -> bool {
        self.store.reject(key, version, reason)
    }

    /// All entries, by key.
    pub fn entries(&self) -> Vec<EntryStatus> {
        let status = |(key, held): (&Key, &store::Held)| EntryStatus {
            key: key.clone(),
            version: held.entry.label().version,
            digest: held.entry.label().digest,
            in_force: held.in_force.clone(),
            rejected: held.rejected.clone(),
        };
        self.store.held().map(status).collect()
    }

    /// On the writer: the present members that have not reported to have in force what is published, by number. A member reports
    /// every [`pace::report_every`], so that one that has caught up stands here for so long. Empty on all others.
    pub fn lagging(&self) -> Vec<Lagging> {
        let Some(writer) = &self.writer else { return Vec::new() };
        writer.lagging(&self.others, self.store.summary(), self.store.versions_held())
    }

    /// On the writer: whether it has learnt the highest versions and publishes. On all others: whether another member has held the
    /// same entries since the start.
    pub fn is_synchronized(&self) -> bool {
        self.writer.as_ref().map_or(self.has_agreed, Writer::is_synchronized)
    }

    /// The next packet to be sent: to whom, and the body for [`crate::envelope::Room::Configuration`].
    pub fn poll_packet(&mut self) -> Option<(Number, Vec<u8>)> {
        self.packets.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        while let Some(key) = self.received.pop_first() {
            let Some(entry) = self.store.offer(&key) else { continue };
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

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Breaks one rule on purpose.
    #[cfg(test)]
    fn with_mutant(mut self, mutant: Mutant) -> Configuration {
        match mutant {
            Mutant::HalfValue => self.pulls.set_finish(Finish { half: true, any_digest: false }),
            Mutant::AnyDigest => self.pulls.set_finish(Finish { half: false, any_digest: true }),
            Mutant::LowerVersion => self.takes_lower = true,
            Mutant::WriterFromZero => self.writer.iter_mut().for_each(Writer::skip_learning),
        }
        self
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() >= EVENTS_MOST {
            self.events.pop_front();
            self.counts.overflowed += 1;
        }
        self.events.push_back(event);
    }
}

/// A rule that a mutant breaks.
#[cfg(test)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// An entry counts as whole as soon as its first piece has come.
    HalfValue,
    /// The digest of what has come is not looked at.
    AnyDigest,
    /// A lower version is taken.
    LowerVersion,
    /// A writer that starts publishes before it has learnt anything.
    WriterFromZero,
}

#[cfg(test)]
mod tests;
