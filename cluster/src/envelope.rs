//! The envelope of every datagram between agents. It detects damage, carries the version of the format, and
//! selects the state machine that handles the body.
//!
//! ```text
//! 0..4   checksum of the rest (low 32 bits of XXH3-64, little endian)
//! 4      version of the format
//! 5      channel: the state machine that handles the body
//! 6..    body
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The largest datagram that the platform carries, in bytes.
pub const DATAGRAM_MAX: usize = 256;
const HEADER_BYTES: usize = 6;
/// The largest body that a state machine may put into one datagram, in bytes.
pub const BODY_MAX: usize = DATAGRAM_MAX - HEADER_BYTES;
/// The version of the format that this program reads and writes.
pub const VERSION: u8 = 1;
/// The seed of the checksum. It makes datagrams of other programs fail the check, even where these use the
/// same hash.
const SEED: u64 = 0x6469_6c6c_6a75_6e63;

/// The state machine that a datagram is for. A number is never reused for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Channel {
    /// The membership protocol (SWIM): probes, their answers and gossip.
    Swim = 1,
    /// Synchronization of views: comparing checksums, exchanging records, reporting a higher generation.
    Sync = 2,
    /// Changes of configuration; see [`crate::configuration`].
    Configuration = 3,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Unreadable {
    /// It is larger than [`DATAGRAM_MAX`].
    #[error("too long")]
    TooLong,
    /// It is truncated, damaged in transit, or from another program.
    #[error("damaged")]
    Damaged,
    /// Its sender uses another version of the format.
    #[error("unsupported version")]
    OtherVersion,
    /// It is for a channel that this program does not have, or holds a message that this program can't
    /// decode.
    #[error("unknown message")]
    UnknownMessage,
}

/// Wraps the body that a state machine wrote into a packet. `body` must not be longer than [`BODY_MAX`]
/// bytes.
pub fn seal(channel: Channel, body: &[u8]) -> Vec<u8> {
    debug_assert!(body.len() <= BODY_MAX, "a body of {} bytes", body.len());
    let mut packet = Vec::with_capacity(HEADER_BYTES + body.len());
    packet.extend([0; 4]);
    packet.extend([VERSION, channel as u8]);
    packet.extend(body);
    let sum = checksum(&packet[4..]);
    packet[..4].copy_from_slice(&sum);
    packet
}

/// Checks a datagram and returns its channel and body.
pub fn open(packet: &[u8]) -> Result<(Channel, &[u8]), Unreadable> {
    if packet.len() > DATAGRAM_MAX {
        return Err(Unreadable::TooLong);
    }
    let (Some(sum), Some(rest)) = (packet.get(..4), packet.get(4..)) else { return Err(Unreadable::Damaged) };
    let [version, channel, body @ ..] = rest else { return Err(Unreadable::Damaged) };
    if sum != checksum(rest) {
        return Err(Unreadable::Damaged);
    }
    if *version != VERSION {
        return Err(Unreadable::OtherVersion);
    }
    match *channel {
        r if r == Channel::Swim as u8 => Ok((Channel::Swim, body)),
        r if r == Channel::Sync as u8 => Ok((Channel::Sync, body)),
        r if r == Channel::Configuration as u8 => Ok((Channel::Configuration, body)),
        _ => Err(Unreadable::UnknownMessage),
    }
}

fn checksum(rest: &[u8]) -> [u8; 4] {
    (xxh3_64_with_seed(rest, SEED) as u32).to_le_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Recomputes the checksum of a packet that was changed on purpose.
    fn resealed(mut packet: Vec<u8>) -> Vec<u8> {
        let sum = checksum(&packet[4..]);
        packet[..4].copy_from_slice(&sum);
        packet
    }

    #[test]
    fn a_sealed_packet_opens_and_every_damage_is_detected() {
        let packet = seal(Channel::Sync, b"some words");
        assert_eq!(open(&packet), Ok((Channel::Sync, &b"some words"[..])));
        assert_eq!(seal(Channel::Swim, &[7; BODY_MAX]).len(), DATAGRAM_MAX);
        for length in 0..packet.len() {
            assert_eq!(open(&packet[..length]), Err(Unreadable::Damaged), "cut to {length}");
        }
        for bit in 0..packet.len() * 8 {
            let mut damaged = packet.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(open(&damaged), Err(Unreadable::Damaged), "bit {bit}");
        }
        assert_eq!(open(&[0; DATAGRAM_MAX + 1]), Err(Unreadable::TooLong));
    }

    #[test]
    fn a_later_version_and_an_unknown_channel_are_not_reported_as_damage() {
        let mut later = seal(Channel::Sync, b"x");
        later[4] = VERSION + 1;
        assert_eq!(open(&resealed(later)), Err(Unreadable::OtherVersion));
        let mut other = seal(Channel::Sync, b"x");
        other[5] = 77;
        assert_eq!(open(&resealed(other)), Err(Unreadable::UnknownMessage));
    }
}
