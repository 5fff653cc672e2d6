//! Anti-entropy between views. Gossip passes an update on a bounded number of times, so an update can miss a
//! member for good; comparing the views repairs that.
//!
//! A sends B a checksum of each of the [`BUCKETS`] buckets of its view. B answers [`SyncMessage::Same`], or
//! sends its records of the buckets that differ together with its own checksums, whereupon A sends back its
//! records of the buckets that still differ.

use crate::envelope::BODY_MAX;
use crate::member::{Generation, Identity, Number};
use foca::Member;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The number of buckets of a view that are compared separately; a member's number determines its bucket.
pub const BUCKETS: usize = 32;
/// The most packets of records that answer one comparison.
pub const RECORD_PACKETS_MAX: usize = 6;

/// The messages between views beside those of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncMessage {
    /// Requests a comparison with the sender's view. With `is_reply`, this answers a request that found a
    /// difference, and no further request follows.
    Compare {
        /// The checksum of each bucket of the sender's view.
        checksums: Checksums,
        /// Whether this answers a request.
        is_reply: bool,
    },
    /// The views are equal.
    Same {
        /// The digest of both views, so that a late answer is recognized and ignored.
        digest: u64,
    },
    /// The sender's records of some members.
    Records(Vec<Member<Identity>>),
    /// The receiver's number is known with a higher generation.
    HigherGeneration {
        /// The receiver's number.
        number: Number,
        /// The highest known generation.
        generation: Generation,
    },
}

/// The checksums of the buckets of a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Checksums([[u8; 4]; BUCKETS]);

/// Returns the bucket that a member belongs to.
pub fn bucket_of(number: Number) -> usize {
    usize::from(number.0) % BUCKETS
}

/// Returns the checksum of one entry of a view. Suspicion does not count: it ends soon, one way or the other.
fn entry_checksum(identity: &Identity, is_down: bool) -> u64 {
    let mut bytes = [0; 15];
    bytes[..2].copy_from_slice(&identity.number.0.to_le_bytes());
    bytes[2..10].copy_from_slice(&u64::from(identity.generation).to_le_bytes());
    bytes[10..14].copy_from_slice(&identity.incarnation.to_le_bytes());
    bytes[14] = u8::from(is_down);
    xxh3_64(&bytes)
}

/// The combined checksums of a view's entries, independent of their order.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    digest: u64,
    buckets: [u64; BUCKETS],
}

impl Summary {
    /// Adds an entry. Adding the same entry again removes it, since the checksums are combined by XOR.
    pub fn add(&mut self, identity: &Identity, is_down: bool) {
        let checksum = entry_checksum(identity, is_down);
        self.digest ^= checksum;
        self.buckets[bucket_of(identity.number)] ^= checksum;
    }

    /// Returns the digest of the view: equal for two views exactly if they hold the same members in the same
    /// generations and agree which of them are dead or left (except for a chance of one in 2^64).
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the checksums of the buckets.
    pub fn checksums(&self) -> Checksums {
        Checksums(self.buckets.map(|bucket| (bucket as u32).to_le_bytes()))
    }
}

impl Checksums {
    /// Returns the buckets that differ.
    pub fn differing_buckets(&self, other: &Checksums) -> Vec<usize> {
        (0..BUCKETS).filter(|&i| self.0[i] != other.0[i]).collect()
    }
}

/// Encodes a message; `None` if it doesn't fit into a datagram.
pub fn encode(message: &SyncMessage) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok().filter(|bytes| bytes.len() <= BODY_MAX)
}

/// Packs records into as few messages as possible, at most [`RECORD_PACKETS_MAX`]. Records beyond that are
/// left out; a later comparison sends them.
pub fn pack(records: impl IntoIterator<Item = Member<Identity>>) -> Vec<SyncMessage> {
    // The tag of the message and the number of records.
    const HEADER_BYTES: usize = 1 + 2;
    let mut packed = Vec::new();
    let (mut current, mut size) = (Vec::new(), HEADER_BYTES);
    for record in records {
        let length = postcard::to_allocvec(&record).map_or(usize::MAX, |bytes| bytes.len());
        if length > BODY_MAX - HEADER_BYTES {
            continue;
        }
        if size + length > BODY_MAX {
            packed.push(SyncMessage::Records(std::mem::take(&mut current)));
            size = HEADER_BYTES;
            if packed.len() == RECORD_PACKETS_MAX {
                return packed;
            }
        }
        size += length;
        current.push(record);
    }
    if !current.is_empty() {
        packed.push(SyncMessage::Records(current));
    }
    packed
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::Name;
    use foca::State;

    fn identity(number: u16) -> Identity {
        let name = Name::new("a-name-of-twenty-four-by").unwrap();
        let address = std::net::SocketAddr::from(([10, 0, 0, 1], 1000 + number));
        Identity {
            number: Number(number),
            generation: Generation::from_unix_ms(1 << 41),
            incarnation: 0,
            address,
            name,
        }
    }

    fn summary(identities: &[(Identity, bool)]) -> Summary {
        let mut summary = Summary::default();
        identities.iter().for_each(|(identity, down)| summary.add(identity, *down));
        summary
    }

    #[test]
    fn summaries_do_not_depend_on_order_and_name_the_bucket_that_differs() {
        let (a, b) = ((identity(3), false), (identity(40), false));
        let before = summary(&[a.clone(), b.clone()]);
        assert_eq!(before.digest(), summary(&[b.clone(), a.clone()]).digest());
        let down = summary(&[a, (b.0, true)]);
        assert_ne!(before.digest(), down.digest());
        assert_eq!(before.checksums().differing_buckets(&down.checksums()), [40 % BUCKETS]);
    }

    #[test]
    fn every_message_fits_into_a_datagram_and_packing_loses_no_record() {
        assert!(
            encode(&SyncMessage::Compare {
                checksums: summary(&[(identity(1), true)]).checksums(),
                is_reply: true
            })
            .is_some()
        );
        let records: Vec<_> = (0..20).map(|n| Member::new(identity(n), u16::MAX, State::Suspect)).collect();
        let packed = pack(records.clone());
        assert!(packed.len() <= RECORD_PACKETS_MAX && packed.iter().all(|message| encode(message).is_some()));
        let unpacked: Vec<_> = packed
            .into_iter()
            .flat_map(
                |message| if let SyncMessage::Records(records) = message { records } else { Vec::new() },
            )
            .collect();
        assert_eq!(unpacked, records);
        let many = (0..2_000).map(|n| Member::new(identity(n), 0, State::Alive));
        assert_eq!(pack(many).len(), RECORD_PACKETS_MAX);
    }
}
