//! The messages of the configuration's protocol and their encoding into datagrams.

use super::entry::{Key, Label, Version};
use crate::envelope::BODY_MAX;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of parts of a configuration that are compared separately; a key belongs to one by its hash. It
/// is the maximum that fits into a datagram.
pub const PARTS: usize = 120;
/// The content bytes in one piece: with a key of maximum length a piece fills a datagram.
pub const PIECE_MAX: usize = 180;
/// The maximum size of the fields before the items of a list, in bytes: the message kind and the number of
/// items.
const LIST_HEADER: usize = 1 + 2;

/// A message between two members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver's configuration has this checksum.
    Compare(Summary),
    /// Answers a comparison: the configurations are the same.
    Same(Summary),
    /// Answers a comparison: the configurations differ, and these are the checksums of the parts.
    Parts(Parts),
    /// Asks for the labels of the entries in these parts.
    List(PartSet),
    /// Lists entries that the sender holds.
    Have(Vec<Label>),
    /// Requests pieces of entries.
    Want(Vec<Want>),
    /// Carries a piece of an entry.
    Piece(Piece),
    /// Reports to the writer what the sender has in force.
    Report(Report),
}

/// The checksum of a whole configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary(pub [u8; 8]);

/// The checksums of the parts of a configuration, two bytes each. They depend on a salt that changes with
/// each comparison, so that two different parts with equal checksums are told apart by the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Parts {
    /// The salt of the checksums.
    pub salt: u32,
    sums: Vec<u8>,
}

/// A set of parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PartSet([u8; 16]);

impl Parts {
    /// Shortens the 64-bit checksums of the parts under a salt.
    pub fn new(salt: u32, parts: &[u64; PARTS]) -> Parts {
        let short = |part: &u64| (xxh3_64_with_seed(&part.to_le_bytes(), salt.into()) as u16).to_le_bytes();
        Parts { salt, sums: parts.iter().flat_map(short).collect() }
    }

    /// The parts whose checksums differ; both sides must use the same salt.
    pub fn differing(&self, other: &Parts) -> PartSet {
        let sum = |parts: &Parts, part: usize| parts.sums.get(2 * part..2 * part + 2).map(<[u8]>::to_vec);
        let differing = (0..PARTS).filter(|&part| sum(self, part) != sum(other, part));
        PartSet(differing.fold(0_u128, |set, part| set | 1 << part).to_le_bytes())
    }
}

impl PartSet {
    /// Whether the set contains a part.
    pub fn contains(self, part: usize) -> bool {
        part < PARTS && u128::from_le_bytes(self.0) & (1 << part) != 0
    }

    /// The number of parts in the set.
    pub fn len(self) -> usize {
        u128::from_le_bytes(self.0).count_ones() as usize
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == [0; 16]
    }
}

/// The requested pieces of an entry, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing(pub [u8; 4]);

impl Missing {
    /// All pieces.
    pub const ALL: Missing = Missing([0xff; 4]);

    /// Whether this piece is requested.
    pub fn contains(self, index: usize) -> bool {
        index < 32 && u32::from_le_bytes(self.0) & (1 << index) != 0
    }
}

/// Requests an entry. A holder of a later version sends that instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The key of the entry.
    pub key: Key,
    /// The requested version.
    pub version: Version,
    /// The missing pieces of that version. Of a later version all pieces are sent.
    pub missing: Missing,
}

/// A piece of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The label of the entry.
    pub label: Label,
    /// The length of the entry's whole content, in bytes.
    pub length: u16,
    /// The index of the piece.
    pub index: u8,
    /// The bytes of the piece.
    pub bytes: Vec<u8>,
}

/// What a member has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The checksum of the entries in force.
    pub in_force: Summary,
    /// The sum of the versions that are in force.
    pub versions: u64,
    /// The number of entries whose latest version was rejected.
    pub rejected: u16,
}

/// Encodes a message; `None` if it doesn't fit into a datagram.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok().filter(|bytes| bytes.len() <= BODY_MAX)
}

/// Packs items into as few messages as possible, at most `messages_max`; items that do not fit are left out.
pub fn pack<T: Serialize + Clone>(
    items: &[T],
    messages_max: usize,
    message: fn(Vec<T>) -> Message,
) -> Vec<Message> {
    let mut packed = Vec::new();
    let (mut current, mut size) = (Vec::new(), LIST_HEADER);
    for item in items {
        let length = postcard::to_allocvec(item).map_or(usize::MAX, |bytes| bytes.len());
        if length > BODY_MAX - LIST_HEADER {
            continue;
        }
        if size + length > BODY_MAX {
            packed.push(message(std::mem::take(&mut current)));
            size = LIST_HEADER;
            if packed.len() == messages_max {
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
