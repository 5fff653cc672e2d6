//! The envelope of every datagram between agents: what finds damage, tells versions apart, and says for which state
//! machine the rest is.
//!
//! ```text
//! 0..4   checksum of all that follows (XXH3-64, its low 32 bits, little endian)
//! 4      version of the format
//! 5      room: the state machine that the rest is for
//! 6..    what that one wrote
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The largest datagram that the platform carries, in bytes.
pub const DATAGRAM_MOST: usize = 256;
const HEAD: usize = 6;
/// What a state machine may put into one datagram, in bytes.
pub const BODY_MOST: usize = DATAGRAM_MOST - HEAD;
/// The format that this program speaks.
pub const VERSION: u8 = 1;
/// Anything but this program's own datagrams fails the checksum.
const SEED: u64 = 0x6469_6c6c_6a75_6e63;

/// The state machine that a datagram is for. Numbers are never given to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Room {
    /// Membership: probes, their answers and gossip.
    Swim = 1,
    /// The rest of the view: comparing digests, exchanging records, telling lives.
    Talk = 2,
    /// Changes of configuration; see [`crate::configuration`].
    Configuration = 3,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Unreadable {
    /// Larger than any that is sent.
    #[error("too long")]
    TooLong,
    /// Cut off, damaged on its way, or none of ours.
    #[error("damaged")]
    Damaged,
    /// From a program that speaks another version of the format.
    #[error("another version")]
    OtherVersion,
    /// For a state machine that this program does not have, or with words that it doesn't know.
    #[error("unknown words")]
    UnknownWords,
}

/// Seals what a state machine wrote. `body` must not be longer than [`BODY_MOST`].
pub fn seal(room: Room, body: &[u8]) -> Vec<u8> {
    debug_assert!(body.len() <= BODY_MOST, "{} bytes", body.len());
    let mut packet = Vec::with_capacity(HEAD + body.len());
    packet.extend([0; 4]);
    packet.extend([VERSION, room as u8]);
    packet.extend(body);
    let sum = checksum(&packet[4..]);
    packet[..4].copy_from_slice(&sum);
    packet
}

/// Opens a datagram.
pub fn open(packet: &[u8]) -> Result<(Room, &[u8]), Unreadable> {
    if packet.len() > DATAGRAM_MOST {
        return Err(Unreadable::TooLong);
    }
    let (Some(sum), Some(rest)) = (packet.get(..4), packet.get(4..)) else { return Err(Unreadable::Damaged) };
    let [version, room, body @ ..] = rest else { return Err(Unreadable::Damaged) };
    if sum != checksum(rest) {
        return Err(Unreadable::Damaged);
    }
    if *version != VERSION {
        return Err(Unreadable::OtherVersion);
    }
    match *room {
        r if r == Room::Swim as u8 => Ok((Room::Swim, body)),
        r if r == Room::Talk as u8 => Ok((Room::Talk, body)),
        r if r == Room::Configuration as u8 => Ok((Room::Configuration, body)),
        _ => Err(Unreadable::UnknownWords),
    }
}

fn checksum(rest: &[u8]) -> [u8; 4] {
    (xxh3_64_with_seed(rest, SEED) as u32).to_le_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The checksum of a packet, made right again after a change.
    fn resealed(mut packet: Vec<u8>) -> Vec<u8> {
        let sum = checksum(&packet[4..]);
        packet[..4].copy_from_slice(&sum);
        packet
    }

    #[test]
    fn what_was_sealed_opens_and_every_damage_is_found() {
        let packet = seal(Room::Talk, b"some words");
        assert_eq!(open(&packet), Ok((Room::Talk, &b"some words"[..])));
        assert_eq!(seal(Room::Swim, &[7; BODY_MOST]).len(), DATAGRAM_MOST);
        for length in 0..packet.len() {
            assert_eq!(open(&packet[..length]), Err(Unreadable::Damaged), "cut to {length}");
        }
        for bit in 0..packet.len() * 8 {
            let mut damaged = packet.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(open(&damaged), Err(Unreadable::Damaged), "bit {bit}");
        }
        assert_eq!(open(&[0; DATAGRAM_MOST + 1]), Err(Unreadable::TooLong));
    }

    #[test]
    fn a_later_version_and_a_room_that_is_not_here_are_told_apart_from_damage() {
        let mut later = seal(Room::Talk, b"x");
        later[4] = VERSION + 1;
        assert_eq!(open(&resealed(later)), Err(Unreadable::OtherVersion));
        let mut other = seal(Room::Talk, b"x");
        other[5] = 77;
        assert_eq!(open(&resealed(other)), Err(Unreadable::UnknownWords));
    }
}
