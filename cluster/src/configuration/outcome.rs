//! What a configuration tells its shell: events, errors and counts.

use super::entry::{Digest, ENTRIES_MOST, Key, OutOfBounds, Version};
use crate::member::Number;

/// What a configuration tells, once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An entry that is whole and has the digest that it was told of with. To be checked, put in force and then
    /// [accepted](super::Configuration::accepted), or [rejected](super::Configuration::rejected). On the writer its own entries come as well.
    /// A version that is replaced before this event is taken is left out.
    Received {
        /// Its key.
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
    /// Somebody holds another content under a version that is held here. Neither takes over the other's.
    Conflict {
        /// Of which key.
        key: Key,
        /// Under which version.
        version: Version,
        /// Who.
        from: Number,
    },
    /// The writer itself offers a lower version than is held: it has started again and not yet learnt.
    LowerVersion {
        /// Of which key.
        key: Key,
        /// What it offers.
        version: Version,
        /// What is held.
        held: Version,
    },
    /// An entry of somebody who is not the writer was refused.
    NotTheWriter {
        /// Of which key.
        key: Key,
        /// Whose entry it claims to be.
        writer: Number,
        /// Who sent it.
        from: Number,
    },
    /// On the writer: others held a version that this life of it has not published, and it has published its own value above that.
    WentAbove {
        /// Of which key.
        key: Key,
        /// What others held.
        heard: Version,
        /// What is published now.
        version: Version,
    },
    /// On the writer: it has learnt the highest versions, and publishes from now on.
    Synchronized,
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// It can't be read.
    #[error("unknown words")]
    Unreadable,
    /// It says that it comes from this member.
    #[error("a stranger")]
    Stranger,
    /// It is an entry of somebody who is not the writer.
    #[error("not the writer")]
    NotTheWriter,
    /// It is a piece of an entry that was not asked for, or has come before.
    #[error("unwanted")]
    Unwanted,
    /// All pieces of an entry have come, but they are not what its digest names.
    #[error("another digest")]
    OtherDigest,
    /// Somebody holds another content under the version that is held here.
    #[error("a conflict")]
    Conflict,
}

/// Why an entry was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// This member is not the writer.
    #[error("this member is not the writer")]
    NotTheWriter,
    /// It has not yet learnt the highest versions.
    #[error("the writer has started and is still learning what the others hold: {heard} of {needed}")]
    NotYetSynchronized {
        /// Members that hold what it holds, itself among them.
        heard: usize,
        /// How many have to.
        needed: usize,
    },
    /// The value or the reason is out of bounds.
    #[error("{0}")]
    OutOfBounds(#[from] OutOfBounds),
    /// There are as many keys as are held at most.
    #[error("there are {ENTRIES_MOST} keys already")]
    TooManyKeys,
    /// The key has reached the highest version.
    #[error("the key has reached the highest version")]
    VersionsExhausted,
}

/// What a configuration counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Packets that were taken in.
    pub received: u64,
    /// The bytes of all packets that came, with their envelopes.
    pub received_bytes: u64,
    /// Packets that were dropped, whatever the reason.
    pub dropped: u64,
    /// Packets that were sent.
    pub sent: u64,
    /// Their bytes, with their envelopes.
    pub sent_bytes: u64,
    /// Packets and events that nobody took in time.
    pub overflowed: u64,
    /// Entries that were taken from others.
    pub taken: u64,
    /// Entries that were published here.
    pub published: u64,
    /// Times that another content was seen under a version that is held.
    pub conflicts: u64,
    /// Times that a lower version was offered than is held.
    pub lower: u64,
    /// Entries of somebody who is not the writer.
    pub not_the_writer: u64,
    /// Entries whose pieces were not what the digest names.
    pub other_digest: u64,
    /// Questions that were put again since nothing came.
    pub retries: u64,
    /// Entries that were asked for in vain.
    pub given_up: u64,
    /// Questions that were not answered, since too much had been sent already.
    pub refused: u64,
}
