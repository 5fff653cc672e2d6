//! The events, errors and counters that a configuration gives to its shell.

use super::entry::{Digest, ENTRIES_MAX, Key, OutOfBounds, Version};
use crate::member::Number;

/// An event for the shell. Each one is reported once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A complete entry whose content matches the advertised digest. The shell checks it, puts it in force
    /// and calls [accepted](super::Configuration::accepted), or [rejected](super::Configuration::rejected).
    /// The writer receives its own entries as well. A version that is replaced before this event is taken is
    /// skipped.
    Received {
        /// The key of the entry.
        key: Key,
        /// Its version.
        version: Version,
        /// Its digest.
        digest: Digest,
        /// Its value.
        value: Vec<u8>,
        /// Why it was published.
        why: String,
    },
    /// Another member holds different content under a version that is held here. Neither replaces the
    /// other's.
    Conflict {
        /// The key of the entry.
        key: Key,
        /// The version that has two contents.
        version: Version,
        /// The member that holds the other content.
        from: Number,
    },
    /// The writer itself offers a lower version than is held: it has restarted and has not synchronized yet.
    LowerVersion {
        /// The key of the entry.
        key: Key,
        /// The version that the writer offers.
        version: Version,
        /// The version that is held here.
        held: Version,
    },
    /// An entry was rejected because its label names a member that is not the writer.
    NotTheWriter {
        /// The key of the entry.
        key: Key,
        /// The member that its label names as the writer.
        writer: Number,
        /// The member that sent it.
        from: Number,
    },
    /// On the writer: others held a version that it has not published in this generation, and it has
    /// published its own value again under a higher one.
    RepublishedAbove {
        /// The key of the entry.
        key: Key,
        /// The version that others held.
        seen: Version,
        /// The version that is published now.
        version: Version,
    },
    /// On the writer: it knows the highest versions and may publish from now on.
    Synchronized,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// The packet can't be decoded.
    #[error("unknown message")]
    Unreadable,
    /// The sender is not a present member, or it claims this member's own number.
    #[error("unknown sender")]
    UnknownSender,
    /// An entry's label names a member that is not the writer.
    #[error("not the writer")]
    NotTheWriter,
    /// A piece that was not requested, or is a duplicate.
    #[error("unwanted")]
    Unwanted,
    /// All pieces of an entry have been received, but they don't match its digest.
    #[error("digest mismatch")]
    DigestMismatch,
    /// The sender holds different content under a version that is held here.
    #[error("a conflict")]
    Conflict,
}

/// Why an entry was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// This member is not the writer.
    #[error("this member is not the writer")]
    NotTheWriter,
    /// The writer does not know the highest versions yet.
    #[error("the writer has started and is still learning what the others hold: {agreeing} of {needed}")]
    NotYetSynchronized {
        /// The number of members that have held the same entries, the writer included.
        agreeing: usize,
        /// The number that is required.
        needed: usize,
    },
    /// The value or the reason is too long.
    #[error("{0}")]
    OutOfBounds(#[from] OutOfBounds),
    /// The maximum number of keys is reached.
    #[error("there are {ENTRIES_MAX} keys already")]
    TooManyKeys,
    /// The key has reached the maximum version.
    #[error("the key has reached the highest version")]
    VersionsExhausted,
}

/// Counters of a configuration, all since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Packets that were handled.
    pub received: u64,
    /// Bytes of all received packets, dropped ones and envelopes included.
    pub received_bytes: u64,
    /// Packets that were dropped, for any reason.
    pub dropped: u64,
    /// Packets that were sent.
    pub sent: u64,
    /// Bytes of the packets that were sent, envelopes included.
    pub sent_bytes: u64,
    /// Packets and events that were dropped because their queue was full.
    pub overflowed: u64,
    /// Entries received completely from others.
    pub pulled: u64,
    /// Entries published by this member.
    pub published: u64,
    /// How often different content was offered under a version that is held.
    pub conflicts: u64,
    /// How often a lower version than the held one was offered.
    pub lower_versions: u64,
    /// Entries whose label names a member that is not the writer.
    pub not_the_writer: u64,
    /// Entries whose pieces did not match the digest.
    pub digest_mismatches: u64,
    /// Requests that were repeated after a timeout.
    pub retries: u64,
    /// Pulls that were given up.
    pub given_up: u64,
    /// Requests that were not answered because the rate limit was reached.
    pub rate_limited: u64,
}
