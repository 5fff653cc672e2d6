//! What a configuration consists of: entries by key, each with a version, a digest and a value.

use crate::member::Number;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// The longest key, in bytes.
pub const KEY_MOST: usize = 32;
/// The largest value, in bytes.
pub const VALUE_MOST: usize = 4_096;
/// The longest reason that a change is published with, in bytes.
pub const WHY_MOST: usize = 200;
/// Entries that a member holds at most, and so the bound of its memory: somewhat over 2 MB.
pub const ENTRIES_MOST: usize = 512;
/// The bytes that stand before a reason and a value: their lengths.
const LENGTHS: usize = 2 + 2;
/// The largest content of an entry, in bytes.
pub const CONTENT_MOST: usize = WHY_MOST + VALUE_MOST + LENGTHS;

/// Something in a packet or a request lies beyond what an entry can be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OutOfBounds {
    /// The key.
    #[error("a key has 1 to {KEY_MOST} bytes and no control characters")]
    Key,
    /// The version.
    #[error("a version is at least 1 and at most 2^53")]
    Version,
    /// The value.
    #[error("a value has at most {VALUE_MOST} bytes")]
    Value,
    /// The reason.
    #[error("a reason has at most {WHY_MOST} bytes")]
    Why,
}

/// What an entry is found by: a service's name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

impl Key {
    /// A key of 1 to [`KEY_MOST`] bytes.
    pub fn new(text: &str) -> Result<Key, OutOfBounds> {
        let fits = (1..=KEY_MOST).contains(&text.len()) && !text.chars().any(char::is_control);
        if fits { Ok(Key(text.into())) } else { Err(OutOfBounds::Key) }
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.as_str().into()
    }
}

impl TryFrom<String> for Key {
    type Error = OutOfBounds;

    fn try_from(text: String) -> Result<Key, OutOfBounds> {
        Key::new(&text)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of an entry. It rises with each change of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct Version(u64);

impl Version {
    /// That of a key's first value.
    pub const FIRST: Version = Version(1);
    /// The highest: exact in a JSON number.
    pub const MOST: Version = Version(1 << 53);

    /// A version from 1 to [`Version::MOST`].
    pub fn new(number: u64) -> Result<Version, OutOfBounds> {
        let fits = (Version::FIRST.0..=Version::MOST.0).contains(&number);
        if fits { Ok(Version(number)) } else { Err(OutOfBounds::Version) }
    }

    /// The next one; `None` after the last.
    pub fn next(self) -> Option<Version> {
        (self < Version::MOST).then(|| Version(self.0 + 1))
    }
}

impl From<Version> for u64 {
    fn from(version: Version) -> u64 {
        version.0
    }
}

impl TryFrom<u64> for Version {
    type Error = OutOfBounds;

    fn try_from(number: u64) -> Result<Version, OutOfBounds> {
        Version::new(number)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A hash of 128 bits over an entry's key, version, writer, reason and value: XXH3, which the envelope uses already. It finds
/// damage, pieces that don't belong together, and two contents under one version. It is not cryptographic: like the rest of
/// the crate it does not keep out somebody who means harm, and a keyed or signed digest only helps once keys are handed out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    fn of(key: &Key, version: Version, writer: Number, content: &[u8]) -> Digest {
        let mut hash = Xxh3Default::new();
        hash.update(&(key.as_str().len() as u64).to_le_bytes());
        hash.update(key.as_str().as_bytes());
        hash.update(&version.0.to_le_bytes());
        hash.update(&writer.0.to_le_bytes());
        hash.update(content);
        Digest(hash.digest128().to_le_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Which entry: what is told of it before its content is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// Who published it.
    pub writer: Number,
    /// Over all of this and the content.
    pub digest: Digest,
}

/// An entry with its content, in the form in which it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    label: Label,
    content: Arc<[u8]>,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Why it was published.
    pub why: String,
    /// The value.
    pub value: Vec<u8>,
}

impl Content {
    fn check(&self) -> Result<(), OutOfBounds> {
        if self.value.len() > VALUE_MOST {
            return Err(OutOfBounds::Value);
        }
        if self.why.len() > WHY_MOST {
            return Err(OutOfBounds::Why);
        }
        Ok(())
    }
}

impl Entry {
    /// A new entry.
    pub fn new(key: Key, version: Version, writer: Number, content: &Content) -> Result<Entry, OutOfBounds> {
        content.check()?;
        let content = postcard::to_allocvec(content).map_err(|_| OutOfBounds::Value)?;
        let digest = Digest::of(&key, version, writer, &content);
        Ok(Entry { label: Label { key, version, writer, digest }, content: content.into() })
    }

    /// An entry from its label and the bytes that came for it; `None` if these are not the bytes that the label names.
    pub fn from_bytes(label: Label, content: Vec<u8>) -> Option<Entry> {
        let digest = Digest::of(&label.key, label.version, label.writer, &content);
        (digest == label.digest).then(|| Entry { label, content: content.into() })
    }

    /// An entry whose digest was not looked at: what a mutant makes.
    #[cfg(test)]
    pub(super) fn unchecked(label: Label, content: Vec<u8>) -> Entry {
        Entry { label, content: content.into() }
    }

    /// Which entry.
    pub fn label(&self) -> &Label {
        &self.label
    }

    /// The bytes of its content.
    pub fn bytes(&self) -> &[u8] {
        &self.content
    }

    /// Its content; `None` if a program that writes other contents has made it.
    pub fn content(&self) -> Option<Content> {
        let content: Content = postcard::from_bytes(&self.content).ok()?;
        content.check().is_ok().then_some(content)
    }
}
