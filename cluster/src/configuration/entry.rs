//! The entries of a configuration: each has a key, a version, a digest and a value.

use crate::member::Number;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// The maximum length of a key, in bytes.
pub const KEY_MAX: usize = 32;
/// The maximum size of a value, in bytes.
pub const VALUE_MAX: usize = 4_096;
/// The maximum length of the reason given with a change, in bytes.
pub const WHY_MAX: usize = 200;
/// The maximum number of entries that a member holds. It bounds their memory to somewhat over 2 MB.
pub const ENTRIES_MAX: usize = 512;
/// The maximum size of the two length prefixes, of the reason and of the value, in bytes.
const LENGTHS_SIZE: usize = 2 + 2;
/// The maximum size of an entry's content, in bytes.
pub const CONTENT_MAX: usize = WHY_MAX + VALUE_MAX + LENGTHS_SIZE;

/// A part of a packet or request exceeds the limits of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum OutOfBounds {
    /// The key is empty, too long or has control characters.
    #[error("a key has 1 to {KEY_MAX} bytes and no control characters")]
    Key,
    /// The version is out of range.
    #[error("a version is at least 1 and at most 2^53")]
    Version,
    /// The value is too large.
    #[error("a value has at most {VALUE_MAX} bytes")]
    Value,
    /// The reason is too long.
    #[error("a reason has at most {WHY_MAX} bytes")]
    Why,
}

/// Identifies an entry: the name of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

impl Key {
    /// Checks and creates a key of 1 to [`KEY_MAX`] bytes without control characters.
    pub fn new(text: &str) -> Result<Key, OutOfBounds> {
        let fits = (1..=KEY_MAX).contains(&text.len()) && !text.chars().any(char::is_control);
        if fits { Ok(Key(text.into())) } else { Err(OutOfBounds::Key) }
    }

    /// The key as text.
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

/// The version of an entry. It increases with each change of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct Version(u64);

impl Version {
    /// The version of a key's first value.
    pub const FIRST: Version = Version(1);
    /// The maximum version; it is exact in a JSON number.
    pub const MAX: Version = Version(1 << 53);

    /// A version from 1 to [`Version::MAX`].
    pub fn new(number: u64) -> Result<Version, OutOfBounds> {
        let fits = (Version::FIRST.0..=Version::MAX.0).contains(&number);
        if fits { Ok(Version(number)) } else { Err(OutOfBounds::Version) }
    }

    /// The next version; `None` after the maximum.
    pub fn next(self) -> Option<Version> {
        (self < Version::MAX).then(|| Version(self.0 + 1))
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

/// A 128-bit hash over an entry's key, version, writer, reason and value. It is XXH3, which the envelope uses
/// already. It detects damage, pieces that don't belong together, and two contents under one version. It is
/// not cryptographic: like the rest of the crate it gives no protection against malicious members, and a
/// keyed or signed digest would only help once keys are distributed.
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

/// Identifies one version of an entry. It is sent in advertisements, before the content is requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    /// The key of the entry.
    pub key: Key,
    /// The version of the entry.
    pub version: Version,
    /// The member that published it.
    pub writer: Number,
    /// The digest over key, version, writer and content.
    pub digest: Digest,
}

/// An entry with its content in encoded form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    label: Label,
    content: Arc<[u8]>,
}

/// The decoded content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    /// Why it was published.
    pub why: String,
    /// The value.
    pub value: Vec<u8>,
}

impl Content {
    fn check(&self) -> Result<(), OutOfBounds> {
        if self.value.len() > VALUE_MAX {
            return Err(OutOfBounds::Value);
        }
        if self.why.len() > WHY_MAX {
            return Err(OutOfBounds::Why);
        }
        Ok(())
    }
}

impl Entry {
    /// Creates an entry, encodes its content and computes its digest.
    pub fn new(key: Key, version: Version, writer: Number, content: &Content) -> Result<Entry, OutOfBounds> {
        content.check()?;
        let content = postcard::to_allocvec(content).map_err(|_| OutOfBounds::Value)?;
        let digest = Digest::of(&key, version, writer, &content);
        Ok(Entry { label: Label { key, version, writer, digest }, content: content.into() })
    }

    /// Creates an entry from its label and the received content; `None` if the content does not match the
    /// digest.
    pub fn from_bytes(label: Label, content: Vec<u8>) -> Option<Entry> {
        let digest = Digest::of(&label.key, label.version, label.writer, &content);
        (digest == label.digest).then(|| Entry { label, content: content.into() })
    }

    /// Creates an entry without checking its digest; used by a mutant.
    #[cfg(test)]
    pub(super) fn unchecked(label: Label, content: Vec<u8>) -> Entry {
        Entry { label, content: content.into() }
    }

    /// The label of the entry.
    pub fn label(&self) -> &Label {
        &self.label
    }

    /// The encoded content.
    pub fn bytes(&self) -> &[u8] {
        &self.content
    }

    /// The decoded content; `None` if it was written by a program that uses another format.
    pub fn content(&self) -> Option<Content> {
        let content: Content = postcard::from_bytes(&self.content).ok()?;
        content.check().is_ok().then_some(content)
    }
}
