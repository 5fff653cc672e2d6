//! How two views are compared and brought together: gossip passes news on a bounded number of times, so that some of it can
//! miss somebody for good; this does not.
//!
//! A asks B with a checksum of each of [`BUCKETS`] parts of its view. B answers [`Talk::Same`], or sends the records of the
//! parts that differ and its own checksums, upon which A sends back its records of the parts that still differ.

use crate::envelope::BODY_MOST;
use crate::member::{Identity, Life, Number};
use foca::Member;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Parts of a view that are compared apart; a member belongs to one by its number.
pub const BUCKETS: usize = 32;
/// Most packets of records that answer one question.
pub const RECORD_PACKETS_MOST: usize = 6;

/// What two views say to each other beside the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Talk {
    /// Is your view like mine? `back`: this answers a question that found a difference, and no question follows.
    Ask {
        /// The checksum of each part.
        sums: Sums,
        /// See above.
        back: bool,
    },
    /// Yes.
    Same {
        /// The digest of both, so that an answer that comes late says nothing.
        digest: u64,
    },
    /// What I know of these.
    Records(Vec<Member<Identity>>),
    /// Your number is known in this higher life.
    Higher {
        /// Whose.
        number: Number,
        /// The highest known.
        life: Life,
    },
}

/// The checksums of the parts of a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Sums([[u8; 4]; BUCKETS]);

/// The part that a member belongs to.
pub fn bucket(number: Number) -> usize {
    usize::from(number.0) % BUCKETS
}

/// The checksum of one line of a view. Suspicion does not count: it passes, one way or the other.
fn line(identity: &Identity, is_gone: bool) -> u64 {
    let mut bytes = [0; 15];
    bytes[..2].copy_from_slice(&identity.number.0.to_le_bytes());
    bytes[2..10].copy_from_slice(&u64::from(identity.life).to_le_bytes());
    bytes[10..14].copy_from_slice(&identity.turn.to_le_bytes());
    bytes[14] = u8::from(is_gone);
    xxh3_64(&bytes)
}

/// Adds a view's lines up, in any order.
#[derive(Debug, Clone, Copy, Default)]
pub struct Summary {
    all: u64,
    parts: [u64; BUCKETS],
}

impl Summary {
    /// One line more.
    pub fn add(&mut self, identity: &Identity, is_gone: bool) {
        let line = line(identity, is_gone);
        self.all ^= line;
        self.parts[bucket(identity.number)] ^= line;
    }

    /// Equal for two views exactly if these hold the same members in the same lives, and the same of them gone (but for one
    /// chance in 2^64).
    pub fn digest(&self) -> u64 {
        self.all
    }

    /// For a question.
    pub fn sums(&self) -> Sums {
        Sums(self.parts.map(|part| (part as u32).to_le_bytes()))
    }
}

impl Sums {
    /// Which parts differ.
    pub fn unlike(&self, other: &Sums) -> Vec<usize> {
        (0..BUCKETS).filter(|&i| self.0[i] != other.0[i]).collect()
    }
}

/// Writes a word; `None` if it doesn't fit into a datagram.
pub fn encode(talk: &Talk) -> Option<Vec<u8>> {
    postcard::to_allocvec(talk).ok().filter(|bytes| bytes.len() <= BODY_MOST)
}

/// Packs records into as few words as they fit, at most [`RECORD_PACKETS_MOST`]; what is left over goes another time.
pub fn pack(records: impl IntoIterator<Item = Member<Identity>>) -> Vec<Talk> {
    // The word itself, and how many records follow.
    const HEAD: usize = 1 + 2;
    let mut packed = Vec::new();
    let (mut current, mut size) = (Vec::new(), HEAD);
    for record in records {
        let length = postcard::to_allocvec(&record).map_or(usize::MAX, |bytes| bytes.len());
        if length > BODY_MOST - HEAD {
            continue;
        }
        if size + length > BODY_MOST {
            packed.push(Talk::Records(std::mem::take(&mut current)));
            size = HEAD;
            if packed.len() == RECORD_PACKETS_MOST {
                return packed;
            }
        }
        size += length;
        current.push(record);
    }
    if !current.is_empty() {
        packed.push(Talk::Records(current));
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
        Identity { number: Number(number), life: Life::from_unix_ms(1 << 41), turn: 0, address, name }
    }

    fn summary(identities: &[(Identity, bool)]) -> Summary {
        let mut summary = Summary::default();
        identities.iter().for_each(|(identity, gone)| summary.add(identity, *gone));
        summary
    }

    #[test]
    fn summaries_are_equal_whatever_the_order_and_name_the_part_that_differs() {
        let (a, b) = ((identity(3), false), (identity(40), false));
        let whole = summary(&[a.clone(), b.clone()]);
        assert_eq!(whole.digest(), summary(&[b.clone(), a.clone()]).digest());
        let gone = summary(&[a, (b.0, true)]);
        assert_ne!(whole.digest(), gone.digest());
        assert_eq!(whole.sums().unlike(&gone.sums()), [40 % BUCKETS]);
    }

    #[test]
    fn every_word_fits_into_a_datagram_and_nothing_is_lost_in_packing() {
        assert!(encode(&Talk::Ask { sums: summary(&[(identity(1), true)]).sums(), back: true }).is_some());
        let records: Vec<_> = (0..20).map(|n| Member::new(identity(n), u16::MAX, State::Suspect)).collect();
        let packed = pack(records.clone());
        assert!(packed.len() <= RECORD_PACKETS_MOST && packed.iter().all(|talk| encode(talk).is_some()));
        let unpacked: Vec<_> = packed
            .into_iter()
            .flat_map(|talk| if let Talk::Records(records) = talk { records } else { Vec::new() })
            .collect();
        assert_eq!(unpacked, records);
        let many = (0..2_000).map(|n| Member::new(identity(n), 0, State::Alive));
        assert_eq!(pack(many).len(), RECORD_PACKETS_MOST);
    }
}
