//! The entries that a member holds, the versions in force, and the checksums that are compared with other
//! members.

use super::entry::{Digest, ENTRIES_MAX, Entry, Key, Label, Version};
use super::wire::{PARTS, PartSet, Parts, Report, Summary};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A version of an entry that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// The version.
    pub version: Version,
    /// The digest of that version.
    pub digest: Digest,
    /// When it came in force, by the member's clock.
    pub since: Duration,
}

/// A version that could not be put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// The rejected version.
    pub version: Version,
    /// The reason given by the shell.
    pub reason: String,
}

/// The state of one key.
#[derive(Debug)]
pub struct StoredEntry {
    /// The latest complete entry.
    pub entry: Entry,
    /// The label of the entry last delivered to the shell; it may be an earlier version.
    pub delivered: Option<Label>,
    /// The version in force.
    pub in_force: Option<InForce>,
    /// The latest version that was rejected; `None` once a later one is in force.
    pub rejected: Option<Rejection>,
}

/// The maximum length of the reason of a rejection, in bytes; longer ones are truncated.
pub const REASON_MAX: usize = 200;

/// How a label compares to the held entry of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LabelStatus {
    /// Its version is newer, or its key isn't held yet.
    Newer,
    /// The same entry is held.
    Same,
    /// Its version is lower than the held one.
    Lower,
    /// The held entry has the same version and another digest.
    Conflict,
    /// Its key isn't held, and the maximum number of entries is reached.
    Full,
}

/// All entries of a member.
#[derive(Debug)]
pub struct Store {
    held: BTreeMap<Key, StoredEntry>,
    /// Checksums over the labels of all held entries, by part.
    parts: [u64; PARTS],
    /// Checksum over the entries in force.
    in_force: u64,
    /// Sum of the versions that are held.
    versions_held: u64,
    /// Sum of the versions that are in force.
    versions_in_force: u64,
}

/// The part that a key belongs to, by its hash.
fn part(key: &Key) -> usize {
    (xxh3_64(key.as_str().as_bytes()) % PARTS as u64) as usize
}

/// The checksum of one label.
fn checksum(key: &Key, version: Version, digest: Digest) -> u64 {
    // The digest alone would not do: it covers key and version, but it is only verified for complete entries.
    postcard::to_allocvec(&(key, version, digest)).map_or(0, |bytes| xxh3_64(&bytes))
}

/// Truncates a text to at most [`REASON_MAX`] bytes, at a character boundary.
fn truncated(text: &str) -> &str {
    let mut end = text.len().min(REASON_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

impl Default for Store {
    fn default() -> Store {
        Store {
            held: BTreeMap::new(),
            parts: [0; PARTS],
            in_force: 0,
            versions_held: 0,
            versions_in_force: 0,
        }
    }
}

impl Store {
    /// The state of a key; `None` if no entry of it is held.
    pub fn get(&self, key: &Key) -> Option<&StoredEntry> {
        self.held.get(key)
    }

    /// The state of all keys, ordered by key.
    pub fn held(&self) -> impl Iterator<Item = (&Key, &StoredEntry)> {
        self.held.iter()
    }

    /// Compares a label to the held entry of its key.
    pub fn label_status(&self, label: &Label) -> LabelStatus {
        let Some(held) = self.held.get(&label.key) else {
            return if self.held.len() < ENTRIES_MAX { LabelStatus::Newer } else { LabelStatus::Full };
        };
        let known = held.entry.label();
        match label.version.cmp(&known.version) {
            std::cmp::Ordering::Greater => LabelStatus::Newer,
            std::cmp::Ordering::Less => LabelStatus::Lower,
            std::cmp::Ordering::Equal if label.digest == known.digest => LabelStatus::Same,
            std::cmp::Ordering::Equal => LabelStatus::Conflict,
        }
    }

    /// Stores an entry in place of the held one. The caller has checked [`Store::label_status`].
    pub fn insert(&mut self, entry: Entry) {
        let Label { key, version, digest, .. } = entry.label().clone();
        let part = part(&key);
        self.parts[part] ^= checksum(&key, version, digest);
        self.versions_held = self.versions_held.wrapping_add(version.into());
        match self.held.get_mut(&key) {
            Some(held) => {
                let previous = held.entry.label();
                self.parts[part] ^= checksum(&key, previous.version, previous.digest);
                self.versions_held = self.versions_held.wrapping_sub(previous.version.into());
                held.entry = entry;
            }
            None => {
                self.held.insert(key, StoredEntry { entry, delivered: None, in_force: None, rejected: None });
            }
        }
    }

    /// Marks the latest entry of a key as delivered and returns it, for the shell to put in force.
    pub fn deliver(&mut self, key: &Key) -> Option<Entry> {
        let held = self.held.get_mut(key)?;
        held.delivered = Some(held.entry.label().clone());
        Some(held.entry.clone())
    }

    /// Records that the shell has put this version in force; false if it was never delivered, or a later one
    /// is in force.
    pub fn accept(&mut self, now: Duration, key: &Key, version: Version, allow_lower: bool) -> bool {
        let Some(held) = self.held.get_mut(key) else { return false };
        let Some(delivered) = held.delivered.as_ref().filter(|delivered| delivered.version == version) else {
            return false;
        };
        let digest = delivered.digest;
        if let Some(previous) = &held.in_force {
            if previous.version > version && !allow_lower {
                return false;
            }
            if previous.version == version && previous.digest == digest {
                return true;
            }
            self.in_force ^= checksum(key, previous.version, previous.digest);
            self.versions_in_force = self.versions_in_force.wrapping_sub(previous.version.into());
        }
        self.in_force ^= checksum(key, version, digest);
        self.versions_in_force = self.versions_in_force.wrapping_add(version.into());
        held.in_force = Some(InForce { version, digest, since: now });
        held.rejected = None;
        true
    }

    /// Records that the shell could not put this version in force; false if it was never delivered.
    pub fn reject(&mut self, key: &Key, version: Version, reason: &str) -> bool {
        let Some(held) = self.held.get_mut(key) else { return false };
        let delivered = held.delivered.as_ref().is_some_and(|delivered| delivered.version == version);
        if delivered {
            held.rejected = Some(Rejection { version, reason: truncated(reason).into() });
        }
        delivered
    }

    /// The checksum of all held entries.
    pub fn summary(&self) -> Summary {
        Summary(self.parts.iter().fold(0, |all, part| all ^ part).to_le_bytes())
    }

    /// The checksums of all parts under a salt.
    pub fn parts(&self, salt: u32) -> Parts {
        Parts::new(salt, &self.parts)
    }

    /// The labels of the held entries in these parts.
    pub fn labels(&self, parts: PartSet) -> Vec<Label> {
        let selected = self.held.iter().filter(|(key, _)| parts.contains(part(key)));
        selected.map(|(_, held)| held.entry.label().clone()).collect()
    }

    /// The report for the writer.
    pub fn report(&self) -> Report {
        let rejected = self.held.values().filter(|held| held.rejected.is_some()).count();
        Report {
            in_force: Summary(self.in_force.to_le_bytes()),
            versions: self.versions_in_force,
            rejected: rejected as u16,
        }
    }

    /// The sum of the versions that are held. The difference to the sum in a report is the number of versions
    /// that its sender is behind.
    pub fn versions_held(&self) -> u64 {
        self.versions_held
    }
}
