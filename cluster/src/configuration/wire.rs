//! What two members say to each other about the configuration, and how it is put into datagrams.

use super::entry::{Key, Label, Version};
use crate::envelope::BODY_MOST;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Parts of a configuration that are compared apart; a key belongs to one by its hash. As many as fit into a datagram.
pub const PARTS: usize = 120;
/// The bytes of content in one piece: with the longest key a piece fills a datagram.
pub const PIECE_MOST: usize = 180;
/// What stands before the items of a list: the message's kind and their number.
const LIST_HEAD: usize = 1 + 2;

/// What one member says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Is your configuration like mine?
    Compare(Summary),
    /// Yes, it is like this one.
    Same(Summary),
    /// No: these are the checksums of its parts.
    Parts(Parts),
    /// Tell me what you hold in these parts.
    List(PartSet),
    /// I hold these.
    Have(Vec<Label>),
    /// Send me these.
    Want(Vec<Want>),
    /// A piece of an entry.
    Piece(Piece),
    /// What I have in force; for the writer.
    Report(Report),
}

/// The checksum of a whole configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary(pub [u8; 8]);

/// The checksums of the parts of a configuration, two bytes each. They change with the salt, so that two parts that happen to
/// have one checksum have another one next time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts {
    /// What the checksums are salted with.
    pub salt: u32,
    sums: Vec<u8>,
}

/// A set of parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PartSet([u8; 16]);

impl Parts {
    /// Those of parts with these long checksums.
    pub fn new(salt: u32, parts: &[u64; PARTS]) -> Parts {
        let short = |part: &u64| (xxh3_64_with_seed(&part.to_le_bytes(), salt.into()) as u16).to_le_bytes();
        Parts { salt, sums: parts.iter().flat_map(short).collect() }
    }

    /// Which parts differ from those of another under the same salt.
    pub fn unlike(&self, other: &Parts) -> PartSet {
        let sum = |parts: &Parts, part: usize| parts.sums.get(2 * part..2 * part + 2).map(<[u8]>::to_vec);
        let differing = (0..PARTS).filter(|&part| sum(self, part) != sum(other, part));
        PartSet(differing.fold(0_u128, |set, part| set | 1 << part).to_le_bytes())
    }
}

impl PartSet {
    /// Whether a part is in it.
    pub fn holds(self, part: usize) -> bool {
        part < PARTS && u128::from_le_bytes(self.0) & (1 << part) != 0
    }

    /// How many are in it.
    pub fn len(self) -> usize {
        u128::from_le_bytes(self.0).count_ones() as usize
    }

    /// Whether none is.
    pub fn is_empty(self) -> bool {
        self.0 == [0; 16]
    }
}

/// The pieces of an entry that are asked for, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing(pub [u8; 4]);

impl Missing {
    /// All pieces.
    pub const ALL: Missing = Missing([0xff; 4]);

    /// Whether this piece is asked for.
    pub fn holds(self, index: usize) -> bool {
        index < 32 && u32::from_le_bytes(self.0) & (1 << index) != 0
    }
}

/// Asks for an entry, or for a later one of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Its key.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// The pieces that are missing of that version; of a later one all are.
    pub missing: Missing,
}

/// A piece of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Of which entry.
    pub label: Label,
    /// The length of the entry's whole content in bytes.
    pub length: u16,
    /// Which piece.
    pub index: u8,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What a member has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The checksum of what is in force.
    pub in_force: Summary,
    /// The sum of the versions that are in force.
    pub versions: u64,
    /// Entries whose latest version was rejected.
    pub rejected: u16,
}

/// Writes a message; `None` if it doesn't fit into a datagram.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok().filter(|bytes| bytes.len() <= BODY_MOST)
}

/// Packs items into as few messages as they fit, at most `messages_most`; what is left over goes another time.
pub fn pack<T: Serialize + Clone>(
    items: &[T],
    messages_most: usize,
    message: fn(Vec<T>) -> Message,
) -> Vec<Message> {
    let mut packed = Vec::new();
    let (mut current, mut size) = (Vec::new(), LIST_HEAD);
    for item in items {
        let length = postcard::to_allocvec(item).map_or(usize::MAX, |bytes| bytes.len());
        if length > BODY_MOST - LIST_HEAD {
            continue;
        }
        if size + length > BODY_MOST {
            packed.push(message(std::mem::take(&mut current)));
            size = LIST_HEAD;
            if packed.len() == messages_most {
                return packed;
            }
        }
        size += length;
        current.push(item.clone());
    }
    if !current.is_empty() {
        packed.push(message(current));
    }
    packed
}
