//! Packets that come in: the membership protocol's, and the comparisons of views.

use super::{Dropped, Standing, TimerKind, UPDATE_COUNT_BYTES, View};
use crate::envelope::{Room, Unreadable, open};
use crate::member::{Identity, State};
use crate::pace;
use crate::sync::{Sums, Talk, pack};
use bytes::{Buf, BufMut};
use foca::{Codec, Member};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Updates that wait to be passed on by gossip, beyond which a member that others report alive is taken in and not passed on. When
/// hundreds start at once the comparison of views tells everybody of them sooner; gossip would tell each of each ten times, for
/// minutes, and the membership protocol goes through all that waits for each packet that it sends. Deaths, suspicions and
/// refutations are always passed on: a comparison leaves suspicions out.
pub const GOSSIP_BACKLOG_MOST: usize = 128;

/// A packet of the membership protocol after what it need not see was taken out.
#[derive(Default)]
pub(super) struct Pruned {
    /// Its body, if that has changed.
    body: Option<Vec<u8>>,
    /// Updates to be taken in without passing them on.
    not_to_spread: Vec<Member<Identity>>,
}

/// Whether an update says no more than that a member is there: it refutes nothing.
fn is_join(update: &Member<Identity>) -> bool {
    update.state() == foca::State::Alive && update.incarnation() == 0
}

impl View {
    pub(super) fn receive(&mut self, now: Duration, from: SocketAddr, packet: &[u8]) -> Result<(), Dropped> {
        let (room, body) = open(packet)?;
        if self.standing != Standing::Present {
            return Err(Dropped::NotListening);
        }
        // Only now: garbage must cost no look at the whole table.
        self.update_evidence_window(now);
        match room {
            Room::Swim => self.receive_swim(now, from, body),
            Room::Talk => {
                let talk = postcard::from_bytes(body).map_err(|_| Unreadable::UnknownWords)?;
                if !self.is_known(from) {
                    return Err(Dropped::Stranger);
                }
                self.receive_talk(now, from, talk);
                Ok(())
            }
            // The shell gives these to the configuration's state machine.
            Room::Configuration => Err(Unreadable::UnknownWords.into()),
        }
    }

    pub(super) fn is_known(&self, address: SocketAddr) -> bool {
        address != self.me().address && (self.by_address.contains(&address) || self.table.is_at(address))
    }

    pub(super) fn receive_swim(
        &mut self,
        now: Duration,
        from: SocketAddr,
        body: &[u8],
    ) -> Result<(), Dropped> {
        let mut updates = body;
        let header = self.codec.decode_header(&mut updates).map_err(|_| Unreadable::UnknownWords)?;
        let (sender, meant) = (&header.src, &header.dst);
        if sender.address != from
            || !self.codec.matches_configuration(sender)
            || sender.number == self.me().number
        {
            return Err(Dropped::Stranger);
        }
        if let Some(known) =
            self.table.get(sender.number).map(|e| e.identity.life).filter(|l| *l > sender.life)
        {
            // It has just started and its clock has stepped back, or this packet has travelled for long.
            self.send_talk(from, &Talk::Higher { number: sender.number, life: known });
            return Err(Dropped::EarlierLife);
        }
        self.evidence.record(sender);
        self.note(&Member::new(sender.clone(), header.src_incarnation, foca::State::Alive));
        let pruned = self.without_known_updates(&header, body, updates);
        let mut read = true;
        self.swim(now, |swim, requests| {
            let handled = swim.handle_data(pruned.body.as_deref().unwrap_or(body), requests);
            read = !matches!(handled, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket));
            handled
        });
        if !read {
            return Err(Unreadable::UnknownWords.into());
        }
        self.swim(now, |swim, requests| swim.apply_many(pruned.not_to_spread.into_iter(), false, requests));
        let me = self.me().clone();
        if meant.number == me.number && *meant != me {
            // The membership protocol reads nothing that was meant for an earlier identity. Whoever has not heard of the present
            // one hears it now; a suspicion must not be told for such a packet, since nothing in it was believed, and the
            // contradiction would come back the same way, for ever.
            self.send_talk(from, &Talk::Records(vec![Member::alive(me)]));
            return Ok(());
        }
        // Whoever is suspected hears so at once from all that it talks to, and can contradict.
        self.refresh(now);
        let suspected =
            self.table.get(sender.number).is_some_and(|e| e.state == State::Suspect && e.identity == *sender);
        let suspect = suspected.then(|| self.swim.iter_members().find(|m| m.id() == sender).cloned());
        if let Some(suspect) = suspect.flatten() {
            self.send_talk(from, &Talk::Records(vec![suspect]));
        }
        Ok(())
    }

    /// Takes note of an update that the membership protocol is given; false if it can't change anything.
    pub(super) fn note(&self, update: &Member<Identity>) -> bool {
        let number = update.id().number;
        let could = number == self.me().number || self.table.could_change(update);
        if could {
            self.evidence.stale.borrow_mut().add(number);
        }
        could
    }

    /// Takes the updates out of a packet's body that can't change anything, and those that are not to be spread by gossip.
    /// `updates` is what follows the header. The membership protocol would search all its members for each of the former, and
    /// do nothing.
    pub(super) fn without_known_updates(
        &mut self,
        header: &foca::Header<Identity>,
        body: &[u8],
        updates: &[u8],
    ) -> Pruned {
        let reads_updates = !matches!(header.message, foca::Message::Announce | foca::Message::Broadcast);
        if updates.len() < UPDATE_COUNT_BYTES || !reads_updates || header.dst != *self.me() {
            return Pruned::default();
        }
        self.prune(body, updates).unwrap_or_default()
    }

    /// Nothing if an update can't be read: that is for the membership protocol to refuse.
    fn prune(&mut self, body: &[u8], mut updates: &[u8]) -> Option<Pruned> {
        let is_crowded = self.gossip_backlog() >= GOSSIP_BACKLOG_MOST;
        let mut not_to_spread = Vec::new();
        let mut pruned = body[..body.len() - updates.len()].to_vec();
        let count_at = pruned.len();
        let count = updates.get_u16();
        pruned.put_u16(0);
        let mut kept: u16 = 0;
        for _ in 0..count {
            let update = self.codec.decode_member(&mut updates).ok()?;
            if !self.note(&update) {
                continue;
            }
            if is_crowded && is_join(&update) && update.id().number != self.me().number {
                not_to_spread.push(update);
            } else {
                self.codec.encode_member(&update, &mut pruned).ok()?;
                kept += 1;
            }
        }
        pruned.extend_from_slice(updates);
        pruned[count_at..count_at + UPDATE_COUNT_BYTES].copy_from_slice(&kept.to_be_bytes());
        Some(Pruned { body: (kept < count).then_some(pruned), not_to_spread })
    }

    pub(super) fn receive_talk(&mut self, now: Duration, from: SocketAddr, talk: Talk) {
        match talk {
            Talk::Ask { sums, back } => self.compare(now, from, &sums, back),
            Talk::Same { digest } if digest == self.digest() => self.agreed = Some(now),
            Talk::Records(records) => {
                self.evidence.speaker.replace(None);
                let records = records.into_iter().filter(|r| self.codec.matches_configuration(r.id()));
                let records = records.map(|r| self.evidence.weigh(r));
                let records: Vec<_> = records.filter(|r| self.note(r)).collect();
                self.swim(now, |swim, requests| swim.apply_many(records.into_iter(), false, requests));
            }
            Talk::Higher { number, life } if number == self.me().number && life > self.me().life => {
                self.higher_life_known(now, life);
            }
            // Late, or meant for another.
            Talk::Same { .. } | Talk::Higher { .. } => {}
        }
    }

    /// Somebody asks whether its view is like this one.
    pub(super) fn compare(&mut self, now: Duration, from: SocketAddr, sums: &Sums, back: bool) {
        self.refresh(now);
        let own = self.summary().sums();
        let unlike = own.unlike(sums);
        if unlike.is_empty() {
            self.agreed = Some(now);
            if !back {
                self.send_talk(from, &Talk::Same { digest: self.digest() });
            }
            return;
        }
        for talk in self.records(unlike) {
            self.send_talk(from, &talk);
        }
        if !back {
            self.send_talk(from, &Talk::Ask { sums: own, back: true });
        }
        if !std::mem::replace(&mut self.asks_soon, true) {
            self.timers.set(now + pace::SYNC_EVERY_UNLIKE, TimerKind::SyncSoon);
        }
    }

    /// What it knows of the members in these parts, as much as one answer holds: part by part, since one that has come whole is
    /// not sent again, in any order and from anywhere in each, since what does not fit this time is to be another piece the next
    /// time. The table must be up to date.
    pub(super) fn records(&mut self, mut parts: Vec<usize>) -> Vec<Talk> {
        parts.shuffle(&mut self.random);
        let first = |part: &usize| self.random.random_range(0..self.table.part_size(*part).max(1));
        let firsts: Vec<usize> = parts.iter().map(first).collect();
        let parts = parts.into_iter().zip(firsts);
        pack(parts.flat_map(|(part, first)| self.table.records_of_part(part, first)))
    }
}
