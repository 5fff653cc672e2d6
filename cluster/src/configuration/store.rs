//! The entries that a member holds, which of them are in force, and the checksums that are compared with others.

use super::entry::{Digest, ENTRIES_MOST, Entry, Key, Label, Version};
use super::wire::{PARTS, PartSet, Parts, Report, Summary};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// An entry that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// Its version.
    pub version: Version,
    /// Its digest.
    pub digest: Digest,
    /// Since when, by the member's clock.
    pub since: Duration,
}

/// A version that could not be put in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Which.
    pub version: Version,
    /// Why.
    pub reason: String,
}

/// What a member holds under one key.
#[derive(Debug)]
pub struct Held {
    /// The latest entry that is known whole.
    pub entry: Entry,
    /// The one that was last given to the shell, which may be an earlier one.
    pub offered: Option<Label>,
    /// The one that acts.
    pub in_force: Option<InForce>,
    /// The latest that could not be put in force; `None` once a later one is.
    pub rejected: Option<Rejection>,
}

/// The longest reason of a rejection that is kept, in bytes.
pub const REASON_MOST: usize = 200;

/// How a label stands to what is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is newer, or of a key that isn't held.
    Newer,
    /// It is held.
    Same,
    /// It is older.
    Lower,
    /// It has the version that is held and another digest.
    Conflict,
    /// It is of a key that isn't held, and no more are taken.
    Full,
}

/// All that a member holds.
#[derive(Debug)]
pub struct Store {
    held: BTreeMap<Key, Held>,
    /// Checksums over all labels, by part.
    parts: [u64; PARTS],
    /// Checksum over what is in force.
    in_force: u64,
    /// Sum of the versions that are held.
    versions_held: u64,
    /// Sum of the versions that are in force.
    versions_in_force: u64,
}

/// The part that a key belongs to.
fn part(key: &Key) -> usize {
    (xxh3_64(key.as_str().as_bytes()) % PARTS as u64) as usize
}

/// The checksum of one label.
fn checksum(key: &Key, version: Version, digest: Digest) -> u64 {
    // The digest covers key and version, but only that of a whole entry was looked at.
    postcard::to_allocvec(&(key, version, digest)).map_or(0, |bytes| xxh3_64(&bytes))
}

/// The start of a text, at most [`REASON_MOST`] bytes.
fn shortened(text: &str) -> &str {
    let mut end = text.len().min(REASON_MOST);
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
    /// What is held under a key.
    pub fn get(&self, key: &Key) -> Option<&Held> {
        self.held.get(key)
    }

    /// All, by key.
    pub fn held(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.held.iter()
    }

    /// How a label stands to what is held.
    pub fn standing(&self, label: &Label) -> Standing {
        let Some(held) = self.held.get(&label.key) else {
            return if self.held.len() < ENTRIES_MOST { Standing::Newer } else { Standing::Full };
        };
        let known = held.entry.label();
        match label.version.cmp(&known.version) {
            std::cmp::Ordering::Greater => Standing::Newer,
            std::cmp::Ordering::Less => Standing::Lower,
            std::cmp::Ordering::Equal if label.digest == known.digest => Standing::Same,
            std::cmp::Ordering::Equal => Standing::Conflict,
        }
    }

    /// Takes an entry in place of what is held; the caller has seen to its standing.
    pub fn take(&mut self, entry: Entry) {
        let Label { key, version, digest, .. } = entry.label().clone();
        let part = part(&key);
        self.parts[part] ^= checksum(&key, version, digest);
        self.versions_held = self.versions_held.wrapping_add(version.into());
        match self.held.get_mut(&key) {
            Some(held) => {
                let before = held.entry.label();
                self.parts[part] ^= checksum(&key, before.version, before.digest);
                self.versions_held = self.versions_held.wrapping_sub(before.version.into());
                held.entry = entry;
            }
            None => {
                self.held.insert(key, Held { entry, offered: None, in_force: None, rejected: None });
            }
        }
    }

    /// The latest entry of a key, for the shell to put in force.
    pub fn offer(&mut self, key: &Key) -> Option<Entry> {
        let held = self.held.get_mut(key)?;
        held.offered = Some(held.entry.label().clone());
        Some(held.entry.clone())
    }

    /// The shell has put this in force; false if it was never offered, or a later one is in force.
    pub fn accept(&mut self, now: Duration, key: &Key, version: Version, may_fall: bool) -> bool {
        let Some(held) = self.held.get_mut(key) else { return false };
        let Some(offered) = held.offered.as_ref().filter(|offered| offered.version == version) else {
            return false;
        };
        let digest = offered.digest;
        if let Some(before) = &held.in_force {
            if before.version > version && !may_fall {
                return false;
            }
            if before.version == version && before.digest == digest {
                return true;
            }
            self.in_force ^= checksum(key, before.version, before.digest);
            self.versions_in_force = self.versions_in_force.wrapping_sub(before.version.into());
        }
        self.in_force ^= checksum(key, version, digest);
        self.versions_in_force = self.versions_in_force.wrapping_add(version.into());
        held.in_force = Some(InForce { version, digest, since: now });
        held.rejected = None;
        true
    }

    /// The shell can't put this in force; false if it was never offered.
    pub fn reject(&mut self, key: &Key, version: Version, reason: &str) -> bool {
        let Some(held) = self.held.get_mut(key) else { return false };
        let offered = held.offered.as_ref().is_some_and(|offered| offered.version == version);
        if offered {
            held.rejected = Some(Rejection { version, reason: shortened(reason).into() });
        }
        offered
    }

    /// The checksum of all that is held.
    pub fn summary(&self) -> Summary {
        Summary(self.parts.iter().fold(0, |all, part| all ^ part).to_le_bytes())
    }

    /// The checksums of its parts under a salt.
    pub fn parts(&self, salt: u32) -> Parts {
        Parts::new(salt, &self.parts)
    }

    /// The labels of what is held in these parts.
    pub fn labels(&self, parts: PartSet) -> Vec<Label> {
        let wanted = self.held.iter().filter(|(key, _)| parts.holds(part(key)));
        wanted.map(|(_, held)| held.entry.label().clone()).collect()
    }

    /// What the writer is told.
    pub fn report(&self) -> Report {
        let rejected = self.held.values().filter(|held| held.rejected.is_some()).count();
        Report {
            in_force: Summary(self.in_force.to_le_bytes()),
            versions: self.versions_in_force,
            rejected: rejected as u16,
        }
    }

    /// The sum of the versions that are held: by how much a report's sum is smaller, so many versions its sender is behind.
    pub fn versions_held(&self) -> u64 {
        self.versions_held
    }
}
