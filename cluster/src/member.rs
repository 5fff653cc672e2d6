//! The identity of a member: its number, its name, its address and its generation.

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;

/// The most members that a view holds, and so the exclusive upper bound of numbers. It bounds the memory of a
/// view, whatever packets arrive.
pub const MEMBERS_MAX: u16 = 4_096;
/// The longest name, in bytes: three identities have to fit into one datagram.
pub const NAME_MAX: usize = 24;

/// A member's number: its index in the list of peers, from 0 to [`MEMBERS_MAX`] - 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct Number(pub u16);

impl From<Number> for u16 {
    fn from(number: Number) -> u16 {
        number.0
    }
}

impl TryFrom<u16> for Number {
    type Error = OutOfBounds;

    fn try_from(number: u16) -> Result<Number, OutOfBounds> {
        if number < MEMBERS_MAX { Ok(Number(number)) } else { Err(OutOfBounds) }
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A number, generation or name is outside its bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a member's number, generation or name is out of bounds")]
pub struct OutOfBounds;

/// The generation of a member: one run of the process with its number. It rises with each start. It begins at
/// the Unix time of the start in milliseconds; where the clock has stepped back, the fleet reports the
/// generation that it last knew, and the member takes a higher one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct Generation(u64);

impl Generation {
    /// The highest generation: still exact as a JSON number, and some 280,000 years away.
    pub const MAX: Generation = Generation(1 << 53);

    /// Returns the generation of a process that starts at this Unix time in milliseconds. The time is clamped
    /// to half of the maximum, so that higher generations remain even with a nonsensical clock.
    pub fn from_unix_ms(ms: u64) -> Generation {
        Generation(ms.clamp(1, Generation::MAX.0 / 2))
    }

    /// Returns the next higher generation; `None` if this is the highest, which only a damaged or hostile
    /// packet brings about.
    pub fn successor(self) -> Option<Generation> {
        (self < Generation::MAX).then(|| Generation(self.0 + 1))
    }
}

impl From<Generation> for u64 {
    fn from(generation: Generation) -> u64 {
        generation.0
    }
}

impl TryFrom<u64> for Generation {
    type Error = OutOfBounds;

    fn try_from(generation: u64) -> Result<Generation, OutOfBounds> {
        if generation <= Generation::MAX.0 { Ok(Generation(generation)) } else { Err(OutOfBounds) }
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A readable name of at most [`NAME_MAX`] bytes. It is stored inline: a view reads and compares the names
/// of several members for each packet, and a pointer would cost an allocation and a cache miss for each.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Name {
    /// The text, padded with zeros; compares as the text does.
    bytes: [u8; NAME_MAX],
    length: u8,
}

impl Name {
    /// Creates a name; fails if the text is longer than [`NAME_MAX`] bytes.
    pub fn new(text: &str) -> Result<Name, OutOfBounds> {
        let mut name = Name::default();
        let target = name.bytes.get_mut(..text.len()).ok_or(OutOfBounds)?;
        target.copy_from_slice(text.as_bytes());
        name.length = text.len() as u8;
        Ok(name)
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        // The bytes were copied from a `str`, so this never fails.
        std::str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or_default()
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Name").field(&self.as_str()).finish()
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Name, D::Error> {
        from.deserialize_str(NameVisitor)
    }
}

/// Deserializes a [`Name`].
struct NameVisitor;

impl Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name of at most {NAME_MAX} bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Name, E> {
        Name::new(text).map_err(E::custom)
    }
}

/// A member as the others know it. Of two identities with one number, the one with the higher generation is
/// the later one; within a generation, the one with the higher incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member's number.
    pub number: Number,
    /// The run of the process.
    pub generation: Generation,
    /// How often within this generation the member was wrongly declared dead and rejoined. This is apart from
    /// the incarnation in the membership protocol's records, which counts refuted suspicions of one identity.
    pub incarnation: u32,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The member's name.
    pub name: Name,
}

impl Identity {
    /// Creates a placeholder for a member of whom only the number and the address are known.
    pub(crate) fn unknown(number: Number, address: SocketAddr) -> Identity {
        Identity { number, generation: Generation::default(), incarnation: 0, address, name: Name::default() }
    }

    /// Returns the key that orders identities of one number. The address and the name only decide between two
    /// processes that were given one number and started in the same millisecond.
    fn rank(&self) -> (Generation, u32, SocketAddr, &Name) {
        (self.generation, self.incarnation, self.address, &self.name)
    }
}

impl foca::Identity for Identity {
    type Addr = Number;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { incarnation: self.incarnation.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Number {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        self.rank() > adversary.rank()
    }
}

/// The state of a member in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It answers this member's probes, or others report that it is alive.
    Alive,
    /// A probe of it failed, and it has not yet refuted the suspicion.
    Suspect,
    /// It is dead, has left, or can't be reached by any member.
    Down,
}

impl State {
    /// Returns the stable name of this state, which tools read.
    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "gone",
        }
    }
}

/// A set of member numbers, as a bitmap.
#[derive(Debug, Clone)]
pub struct NumberSet {
    words: [u64; MEMBERS_MAX as usize / 64],
    is_empty: bool,
}

impl Default for NumberSet {
    fn default() -> NumberSet {
        NumberSet { words: [0; MEMBERS_MAX as usize / 64], is_empty: true }
    }
}

impl NumberSet {
    /// Adds a number. A number that is out of bounds is ignored.
    pub fn insert(&mut self, number: Number) {
        if let Some(word) = self.words.get_mut(usize::from(number.0) / 64) {
            *word |= 1 << (number.0 % 64);
            self.is_empty = false;
        }
    }

    /// Returns whether the set contains this number.
    pub fn contains(&self, number: Number) -> bool {
        self.words.get(usize::from(number.0) / 64).is_some_and(|word| word & (1 << (number.0 % 64)) != 0)
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.is_empty
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foca::Identity as _;

    fn identity(generation: u64, incarnation: u32) -> Identity {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Identity {
            number: Number(1),
            generation: Generation(generation),
            incarnation,
            address,
            name: Name::default(),
        }
    }

    #[test]
    fn the_higher_generation_wins_and_within_one_the_higher_incarnation() {
        for (later, earlier) in [((2, 0), (1, 9)), ((2, 1), (2, 0))] {
            let (later, earlier) = (identity(later.0, later.1), identity(earlier.0, earlier.1));
            assert!(later.win_addr_conflict(&earlier) && !earlier.win_addr_conflict(&later));
        }
        assert_eq!(identity(5, 1).renew(), Some(identity(5, 2)));
        assert_eq!(identity(5, u32::MAX).renew(), None);
    }

    #[test]
    fn names_are_encoded_decoded_and_ordered_as_their_texts() {
        let texts = ["", "a", "a\0", "a\0b", "ab", "b", "\u{fc}", "a-name-of-twenty-four-by"];
        for text in texts {
            let name = Name::new(text).unwrap();
            let written = postcard::to_allocvec(&name).unwrap();
            assert_eq!((name.as_str(), &written), (text, &postcard::to_allocvec(text).unwrap()));
            assert_eq!(postcard::from_bytes::<Name>(&written), Ok(name));
            for other in texts {
                assert_eq!(name.cmp(&Name::new(other).unwrap()), text.cmp(other), "{text:?} {other:?}");
            }
        }
        assert_eq!(Name::new("a-name-of-twenty-five-byt"), Err(OutOfBounds));
    }

    #[test]
    fn values_out_of_bounds_are_rejected() {
        assert!(postcard::from_bytes::<Number>(&postcard::to_allocvec(&MEMBERS_MAX).unwrap()).is_err());
        assert!(
            postcard::from_bytes::<Generation>(&postcard::to_allocvec(&((1_u64 << 53) + 1)).unwrap())
                .is_err()
        );
        assert!(postcard::from_bytes::<Name>(&postcard::to_allocvec(&"x".repeat(25)).unwrap()).is_err());
        assert_eq!((Generation::MAX.successor(), Generation(7).successor()), (None, Some(Generation(8))));
        // A nonsensical clock must leave higher generations available.
        assert!(
            Generation::from_unix_ms(u64::MAX).successor().is_some()
                && Generation::from_unix_ms(0) > Generation::default()
        );
    }
}
