//! What one agent says of the configuration, changed on its way so that the checksum of the datagram is right: what only the
//! state machine's own checks can find.

use dilljunction_cluster::configuration::entry::Label;
use dilljunction_cluster::envelope::{open, seal, Channel, BODY_MAX};

/// The numbers of the two messages that carry entries, as the state machine writes them.
const HAVE: u8 = 4;
const PIECE: u8 = 6;

/// What is changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tampering {
    /// A byte of each piece of a value.
    DamagedPieces,
    /// The version of each entry that it tells of is lower by one.
    LowerVersions,
    /// The digest of each entry that it tells of is another one.
    OtherDigests,
}

impl Tampering {
    /// All of them.
    pub const ALL: [Tampering; 3] =
        [Tampering::DamagedPieces, Tampering::LowerVersions, Tampering::OtherDigests];

    /// What goes on in place of a packet.
    pub fn change(self, packet: Vec<u8>) -> Vec<u8> {
        let Ok((Channel::Configuration, body)) = open(&packet) else { return packet };
        let changed = match body.split_first() {
            Some((&HAVE, labels)) => self.change_labels(labels),
            Some((&PIECE, piece)) => self.change_piece(piece),
            _ => None,
        };
        match changed {
            Some(body) if body.len() <= BODY_MAX => seal(Channel::Configuration, &body),
            _ => packet,
        }
    }

    fn change_labels(self, labels: &[u8]) -> Option<Vec<u8>> {
        let labels: Vec<Label> = postcard::from_bytes(labels).ok()?;
        let changed: Option<Vec<Label>> = labels.into_iter().map(|label| self.change_label(label)).collect();
        let mut body = vec![HAVE];
        body.extend(postcard::to_allocvec(&changed?).ok()?);
        Some(body)
    }

    fn change_piece(self, piece: &[u8]) -> Option<Vec<u8>> {
        let (label, rest) = postcard::take_from_bytes::<Label>(piece).ok()?;
        let mut body = vec![PIECE];
        body.extend(postcard::to_allocvec(&self.change_label(label)?).ok()?);
        body.extend(rest);
        if self == Tampering::DamagedPieces {
            *body.last_mut()? ^= 1;
        }
        Some(body)
    }

    fn change_label(self, mut label: Label) -> Option<Label> {
        match self {
            Tampering::DamagedPieces => {}
            Tampering::LowerVersions => label.version = (u64::from(label.version) - 1).try_into().ok()?,
            Tampering::OtherDigests => {
                let mut digest = postcard::to_allocvec(&label.digest).ok()?;
                *digest.last_mut()? ^= 1;
                label.digest = postcard::from_bytes(&digest).ok()?;
            }
        }
        Some(label)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dilljunction_cluster::configuration::{Configuration, Key, Setup};
    use dilljunction_cluster::member::Number;
    use std::time::Duration;

    /// What a writer tells two others of an entry, and the pieces that it hands out.
    fn said() -> Vec<Vec<u8>> {
        let (me, other) = (Number::try_from(0).unwrap(), Number::try_from(1).unwrap());
        let setup = |me| Setup { me, writer: Some(Number::try_from(0).unwrap()), seed: 1 };
        let mut writer = Configuration::new(setup(me), Duration::ZERO);
        let mut reader = Configuration::new(setup(other), Duration::ZERO);
        writer.set_members(&[me, other]);
        reader.set_members(&[me, other]);
        let (mut packets, mut is_published) = (Vec::new(), false);
        for ms in (0..10_000).step_by(10) {
            let now = Duration::from_millis(ms);
            writer.handle_timeout(now);
            reader.handle_timeout(now);
            if !is_published && ms > 5_000 {
                is_published = writer.publish(now, Key::new("k").unwrap(), &[7; 500], "").is_ok();
                is_published &= writer.publish(now, Key::new("k").unwrap(), &[8; 500], "").is_ok();
            }
            while let Some((_, body)) = writer.poll_packet() {
                packets.push(seal(Channel::Configuration, &body));
                let _ = reader.handle_packet(now, me, &body);
            }
            while let Some((_, body)) = reader.poll_packet() {
                let _ = writer.handle_packet(now, other, &body);
            }
        }
        assert!(is_published && packets.len() > 10);
        packets
    }

    #[test]
    fn each_way_changes_what_carries_entries_and_leaves_the_rest_and_the_checksum_right() {
        let packets = said();
        for tampering in Tampering::ALL {
            let mut changed = 0;
            for packet in &packets {
                let after = tampering.change(packet.clone());
                let kind = open(&after).expect("a right checksum").1[0];
                changed += usize::from(after != *packet);
                assert!(after == *packet || [HAVE, PIECE].contains(&kind));
            }
            assert!(changed > 0, "{tampering:?}");
        }
        let other = seal(Channel::Swim, b"x");
        assert_eq!(Tampering::DamagedPieces.change(other.clone()), other);
    }
}
