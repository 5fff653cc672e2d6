//! Who a member is: its number, its name, and which of its lives this is.

use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;

/// Members that a view holds at most, and so the bound on numbers: the memory of a view is bounded by it, whatever comes
/// on the network.
pub const MEMBERS_MOST: u16 = 4_096;
/// The longest name, in bytes: three identities have to fit into one datagram.
pub const NAME_MOST: usize = 24;

/// A member's number among its peers, from 0.
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
        if number < MEMBERS_MOST { Ok(Number(number)) } else { Err(OutOfBounds) }
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a packet said lies beyond what a member can be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a member's number, life or name is out of bounds")]
pub struct OutOfBounds;

/// One run of one number. It rises with each start: it begins at the start's Unix time in milliseconds, and where the
/// clock has stepped back the fleet says what it last knew and the member goes above that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct Life(u64);

impl Life {
    /// The highest: exact in a JSON number, and some 280,000 years away.
    pub const MOST: Life = Life(1 << 53);

    /// The life of a process that starts at this time, in milliseconds since 1970.
    pub fn from_unix_ms(ms: u64) -> Life {
        Life(ms.clamp(1, Life::MOST.0 / 2))
    }

    /// The next one above; `None` if this is the last, which only a damaged or hostile packet brings about.
    pub fn above(self) -> Option<Life> {
        (self < Life::MOST).then(|| Life(self.0 + 1))
    }
}

impl From<Life> for u64 {
    fn from(life: Life) -> u64 {
        life.0
    }
}

impl TryFrom<u64> for Life {
    type Error = OutOfBounds;

    fn try_from(life: u64) -> Result<Life, OutOfBounds> {
        if life <= Life::MOST.0 { Ok(Life(life)) } else { Err(OutOfBounds) }
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What people call a member, at most [`NAME_MOST`] bytes. It is held in place: a view reads and compares the names of several
/// members for each packet, and a pointer for each would cost an allocation and a cache miss.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Name {
    /// Its text and zeros; compares as the text does.
    bytes: [u8; NAME_MOST],
    length: u8,
}

impl Name {
    /// A name; fails if it is too long.
    pub fn new(text: &str) -> Result<Name, OutOfBounds> {
        let mut name = Name::default();
        let place = name.bytes.get_mut(..text.len()).ok_or(OutOfBounds)?;
        place.copy_from_slice(text.as_bytes());
        name.length = text.len() as u8;
        Ok(name)
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        // It was made of a text, and so is one.
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
        from.deserialize_str(NameText)
    }
}

/// Reads the text of a [`Name`].
struct NameText;

impl Visitor<'_> for NameText {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name of at most {NAME_MOST} bytes")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Name, E> {
        Name::new(text).map_err(E::custom)
    }
}

/// A member as the others know it. Two identities of one number are told apart by life, and within a life by turn.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its number.
    pub number: Number,
    /// Which of its lives.
    pub life: Life,
    /// How often within this life it was wrongly called gone and came back.
    pub turn: u32,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its name.
    pub name: Name,
}

impl Identity {
    /// Somebody at an address of whom nothing else is known.
    pub(crate) fn unknown(number: Number, address: SocketAddr) -> Identity {
        Identity { number, life: Life::default(), turn: 0, address, name: Name::default() }
    }

    /// What says which of two identities of a number is the later one. The address and the name only decide between two
    /// processes that were given one number and started in the same millisecond.
    fn rank(&self) -> (Life, u32, SocketAddr, &Name) {
        (self.life, self.turn, self.address, &self.name)
    }
}

impl foca::Identity for Identity {
    type Addr = Number;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { turn: self.turn.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Number {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Identity) -> bool {
        self.rank() > adversary.rank()
    }
}

/// What a view says of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It answers, or others say so.
    Alive,
    /// It has not answered somebody and has not yet contradicted.
    Suspect,
    /// It is dead, has left, or can't be reached by anyone.
    Gone,
}

impl State {
    /// The word for it; words are stable, tools read them.
    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
        }
    }
}

/// A set of numbers.
#[derive(Debug, Clone)]
pub struct Numbers {
    words: [u64; MEMBERS_MOST as usize / 64],
    is_empty: bool,
}

impl Default for Numbers {
    fn default() -> Numbers {
        Numbers { words: [0; MEMBERS_MOST as usize / 64], is_empty: true }
    }
}

impl Numbers {
    /// One more. A number that no member may have is left out.
    pub fn add(&mut self, number: Number) {
        if let Some(word) = self.words.get_mut(usize::from(number.0) / 64) {
            *word |= 1 << (number.0 % 64);
            self.is_empty = false;
        }
    }

    /// Whether it holds this one.
    pub fn holds(&self, number: Number) -> bool {
        self.words.get(usize::from(number.0) / 64).is_some_and(|word| word & (1 << (number.0 % 64)) != 0)
    }

    /// Whether it holds none.
    pub fn is_none(&self) -> bool {
        self.is_empty
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foca::Identity as _;

    fn identity(life: u64, turn: u32) -> Identity {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Identity { number: Number(1), life: Life(life), turn, address, name: Name::default() }
    }

    #[test]
    fn the_higher_life_counts_and_within_one_the_higher_turn() {
        for (later, earlier) in [((2, 0), (1, 9)), ((2, 1), (2, 0))] {
            let (later, earlier) = (identity(later.0, later.1), identity(earlier.0, earlier.1));
            assert!(later.win_addr_conflict(&earlier) && !earlier.win_addr_conflict(&later));
        }
        assert_eq!(identity(5, 1).renew(), Some(identity(5, 2)));
        assert_eq!(identity(5, u32::MAX).renew(), None);
    }

    #[test]
    fn names_are_written_read_and_ordered_as_their_texts() {
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
    fn nothing_beyond_the_bounds_is_read() {
        assert!(postcard::from_bytes::<Number>(&postcard::to_allocvec(&MEMBERS_MOST).unwrap()).is_err());
        assert!(postcard::from_bytes::<Life>(&postcard::to_allocvec(&((1_u64 << 53) + 1)).unwrap()).is_err());
        assert!(postcard::from_bytes::<Name>(&postcard::to_allocvec(&"x".repeat(25)).unwrap()).is_err());
        assert_eq!((Life::MOST.above(), Life(7).above()), (None, Some(Life(8))));
        // A clock that is set to nonsense must leave room above.
        assert!(Life::from_unix_ms(u64::MAX).above().is_some() && Life::from_unix_ms(0) > Life::default());
    }
}
