//! Handles received packets: those of the membership protocol and the comparisons of views.

use super::{Dropped, Participation, TimerKind, UPDATE_COUNT_BYTES, View};
use crate::envelope::{Channel, Unreadable, open};
use crate::member::{Identity, State};
use crate::pace;
use crate::sync::{Checksums, SyncMessage, pack};
use bytes::{Buf, BufMut};
use foca::{Codec, Member};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of updates in the gossip backlog from which a member that others report alive is still
/// accepted, but no longer passed on. When hundreds of members start at once, the comparison of views spreads
/// them sooner: gossip would send each update ten times, for minutes, and the membership protocol scans its
/// whole backlog for each packet that it sends. Deaths, suspicions and refutations are always passed on,
/// since a comparison leaves out suspicions.
pub const GOSSIP_BACKLOG_MAX: usize = 128;

/// A packet of the membership protocol without the updates that need not be processed or passed on.
#[derive(Default)]
pub(super) struct Pruned {
    /// The body, if it has changed.
    body: Option<Vec<u8>>,
    /// Updates to apply without passing them on.
    without_gossip: Vec<Member<Identity>>,
}

/// Returns whether an update says only that a member is alive, and refutes nothing.
fn is_join(update: &Member<Identity>) -> bool {
    update.state() == foca::State::Alive && update.incarnation() == 0
}

impl View {
    /// Checks a packet and passes it to the handler of its channel.
    pub(super) fn receive(&mut self, now: Duration, from: SocketAddr, packet: &[u8]) -> Result<(), Dropped> {
        let (channel, body) = open(packet)?;
        if self.participation != Participation::Active {
            return Err(Dropped::NotParticipating);
        }
        // After `open`, since garbage must cost no scan of the whole table.
        self.update_evidence_window(now);
        match channel {
            Channel::Swim => self.receive_swim(now, from, body),
            Channel::Sync => {
                let message = postcard::from_bytes(body).map_err(|_| Unreadable::UnknownMessage)?;
                if !self.is_known(from) {
                    return Err(Dropped::UnknownSender);
                }
                self.receive_sync(now, from, message);
                Ok(())
            }
            // The caller passes these to the configuration's state machine.
            Channel::Configuration => Err(Unreadable::UnknownMessage.into()),
        }
    }

    /// Returns whether an address belongs to another member that the configuration or the table names.
    pub(super) fn is_known(&self, address: SocketAddr) -> bool {
        address != self.me().address && (self.peer_addresses.contains(&address) || self.table.is_at(address))
    }

    /// Handles a packet of the membership protocol.
    pub(super) fn receive_swim(
        &mut self,
        now: Duration,
        from: SocketAddr,
        body: &[u8],
    ) -> Result<(), Dropped> {
        let mut updates = body;
        let header = self.codec.decode_header(&mut updates).map_err(|_| Unreadable::UnknownMessage)?;
        let (sender, receiver) = (&header.src, &header.dst);
        if sender.address != from
            || !self.codec.matches_configuration(sender)
            || sender.number == self.me().number
        {
            return Err(Dropped::UnknownSender);
        }
        if let Some(known) =
            self.table.get(sender.number).map(|e| e.identity.generation).filter(|l| *l > sender.generation)
        {
            // Either the sender has just started with a clock that has stepped back, or this packet was
            // delayed.
            self.send_sync(from, &SyncMessage::HigherGeneration { number: sender.number, generation: known });
            return Err(Dropped::EarlierGeneration);
        }
        self.evidence.record(sender);
        self.mark_if_relevant(&Member::new(sender.clone(), header.src_incarnation, foca::State::Alive));
        let pruned = self.without_known_updates(&header, body, updates);
        let mut decoded = true;
        self.swim(now, |swim, actions| {
            let handled = swim.handle_data(pruned.body.as_deref().unwrap_or(body), actions);
            decoded = !matches!(handled, Err(foca::Error::Decode(_) | foca::Error::MalformedPacket));
            handled
        });
        if !decoded {
            return Err(Unreadable::UnknownMessage.into());
        }
        self.swim(now, |swim, actions| swim.apply_many(pruned.without_gossip.into_iter(), false, actions));
        let me = self.me().clone();
        if receiver.number == me.number && *receiver != me {
            // The membership protocol ignores packets for an earlier identity. The sender, which does not
            // know the present one, learns it here. A suspicion must not be sent in answer to such a packet:
            // nothing in it was applied, and the refutation would come back the same way, for ever.
            self.send_sync(from, &SyncMessage::Records(vec![Member::alive(me)]));
            return Ok(());
        }
        // A suspect is notified at once by every member that it contacts, so that it can refute the
        // suspicion.
        self.refresh(now);
        let suspected =
            self.table.get(sender.number).is_some_and(|e| e.state == State::Suspect && e.identity == *sender);
        let suspect = suspected.then(|| self.swim.iter_members().find(|m| m.id() == sender).cloned());
        if let Some(suspect) = suspect.flatten() {
            self.send_sync(from, &SyncMessage::Records(vec![suspect]));
        }
        Ok(())
    }

    /// Marks a member as possibly changed by an update that the membership protocol is given; returns false
    /// if the update can't change anything.
    pub(super) fn mark_if_relevant(&self, update: &Member<Identity>) -> bool {
        let number = update.id().number;
        let is_relevant = number == self.me().number || self.table.could_change(update);
        if is_relevant {
            self.evidence.stale.borrow_mut().insert(number);
        }
        is_relevant
    }

    /// Removes from a packet's body the updates that can't change anything and those that are not to be
    /// passed on by gossip. `updates` is what follows the header. For each update that changes nothing, the
    /// membership protocol would search all its members in vain.
    pub(super) fn without_known_updates(
        &mut self,
        header: &foca::Header<Identity>,
        body: &[u8],
        updates: &[u8],
    ) -> Pruned {
        let carries_updates = !matches!(header.message, foca::Message::Announce | foca::Message::Broadcast);
        if updates.len() < UPDATE_COUNT_BYTES || !carries_updates || header.dst != *self.me() {
            return Pruned::default();
        }
        self.prune(body, updates).unwrap_or_default()
    }

    /// Returns `None` if an update can't be decoded: the membership protocol rejects the packet then.
    fn prune(&mut self, body: &[u8], mut updates: &[u8]) -> Option<Pruned> {
        let is_backlog_full = self.gossip_backlog() >= GOSSIP_BACKLOG_MAX;
        let mut without_gossip = Vec::new();
        let mut pruned = body[..body.len() - updates.len()].to_vec();
        let count_at = pruned.len();
        let count = updates.get_u16();
        pruned.put_u16(0);
        let mut kept: u16 = 0;
        for _ in 0..count {
            let update = self.codec.decode_member(&mut updates).ok()?;
            if !self.mark_if_relevant(&update) {
                continue;
            }
            if is_backlog_full && is_join(&update) && update.id().number != self.me().number {
                without_gossip.push(update);
            } else {
                self.codec.encode_member(&update, &mut pruned).ok()?;
                kept += 1;
            }
        }
        pruned.extend_from_slice(updates);
        pruned[count_at..count_at + UPDATE_COUNT_BYTES].copy_from_slice(&kept.to_be_bytes());
        Some(Pruned { body: (kept < count).then_some(pruned), without_gossip })
    }

    /// Handles a message between views.
    pub(super) fn receive_sync(&mut self, now: Duration, from: SocketAddr, message: SyncMessage) {
        match message {
            SyncMessage::Compare { checksums, is_reply } => self.compare(now, from, &checksums, is_reply),
            SyncMessage::Same { digest } if digest == self.digest() => self.last_agreement = Some(now),
            SyncMessage::Records(records) => {
                self.evidence.last_sender.replace(None);
                let records = records.into_iter().filter(|r| self.codec.matches_configuration(r.id()));
                let records = records.map(|r| self.evidence.apply_evidence(r));
                let records: Vec<_> = records.filter(|r| self.mark_if_relevant(r)).collect();
                self.swim(now, |swim, actions| swim.apply_many(records.into_iter(), false, actions));
            }
            SyncMessage::HigherGeneration { number, generation }
                if number == self.me().number && generation > self.me().generation =>
            {
                self.handle_higher_generation(now, generation);
            }
            // Late, or for another member.
            SyncMessage::Same { .. } | SyncMessage::HigherGeneration { .. } => {}
        }
    }

    /// Answers a request to compare views.
    pub(super) fn compare(&mut self, now: Duration, from: SocketAddr, checksums: &Checksums, is_reply: bool) {
        self.refresh(now);
        let own = self.summary().checksums();
        let differing = own.differing_buckets(checksums);
        if differing.is_empty() {
            self.last_agreement = Some(now);
            if !is_reply {
                self.send_sync(from, &SyncMessage::Same { digest: self.digest() });
            }
            return;
        }
        for message in self.records(differing) {
            self.send_sync(from, &message);
        }
        if !is_reply {
            self.send_sync(from, &SyncMessage::Compare { checksums: own, is_reply: true });
        }
        if !std::mem::replace(&mut self.sync_soon_set, true) {
            self.timers.set(now + pace::SYNC_INTERVAL_AFTER_DIFFERENCE, TimerKind::SyncSoon);
        }
    }

    /// Returns this view's records of the members in these buckets, as many as one answer holds. It sends
    /// bucket by bucket, since one that has arrived whole is not sent again. The order of the buckets and the
    /// first record in each are random, so that records that do not fit this time get another chance the next
    /// time. The table must be up to date.
    pub(super) fn records(&mut self, mut buckets: Vec<usize>) -> Vec<SyncMessage> {
        buckets.shuffle(&mut self.random);
        let first = |bucket: &usize| self.random.random_range(0..self.table.bucket_size(*bucket).max(1));
        let firsts: Vec<usize> = buckets.iter().map(first).collect();
        let buckets = buckets.into_iter().zip(firsts);
        pack(buckets.flat_map(|(bucket, first)| self.table.records_of_bucket(bucket, first)))
    }
}
