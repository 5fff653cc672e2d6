//! The protocol: how a configuration handles packets and timers.

use super::assembly::split;
use super::entry::{Entry, Key, Label, Version};
use super::pace;
use super::pulls::PieceOutcome;
use super::store::LabelStatus;
use super::wire::{Message, PartSet, Parts, Piece, Summary, Want, encode, pack};
use super::{Configuration, Dropped, Event, PACKETS_MAX};
use crate::envelope::{BODY_MAX, DATAGRAM_MAX};
use crate::member::Number;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::time::Duration;

/// The bytes that the envelope adds to a body.
const ENVELOPE_BYTES: usize = DATAGRAM_MAX - BODY_MAX;

impl Configuration {
    /// Handles a packet from this member: the body of an envelope for
    /// [`crate::envelope::Channel::Configuration`].
    pub fn handle_packet(&mut self, now: Duration, from: Number, body: &[u8]) -> Result<(), Dropped> {
        self.counts.received_bytes += (body.len() + ENVELOPE_BYTES) as u64;
        let handled = self.handle(now, from, body);
        match handled {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.dropped += 1,
        }
        handled
    }

    fn handle(&mut self, now: Duration, from: Number, body: &[u8]) -> Result<(), Dropped> {
        if from == self.setup.me {
            return Err(Dropped::UnknownSender);
        }
        if body.len() > BODY_MAX {
            return Err(Dropped::Unreadable);
        }
        match postcard::from_bytes(body).map_err(|_| Dropped::Unreadable)? {
            Message::Compare(summary) => self.handle_compare(now, from, summary),
            Message::Same(summary) => self.handle_same(now, from, summary),
            Message::Parts(parts) => self.handle_parts(now, from, &parts),
            Message::List(parts) => self.send_labels(now, from, parts),
            Message::Have(labels) => return self.handle_have(now, from, &labels),
            Message::Want(wants) => self.handle_want(now, from, &wants),
            Message::Piece(piece) => return self.handle_piece(now, from, piece),
            Message::Report(report) => {
                if let Some(writer) = &mut self.writer {
                    writer.reported(now, from, report);
                }
            }
        }
        Ok(())
    }

    /// When [`Configuration::handle_timeout`] has to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        let pulls = self.pulls.next_timer();
        [Some(self.compare_at), Some(self.report_at), self.gossip.next_timer(), pulls]
            .into_iter()
            .flatten()
            .min()
    }

    /// Runs the timers that are due. After a pause of the process each due timer runs once, not once per
    /// missed interval.
    pub fn handle_timeout(&mut self, now: Duration) {
        if self.compare_at <= now {
            self.compare(now);
        }
        if self.report_at <= now {
            self.report(now);
        }
        if self.gossip.next_timer().is_some_and(|due| due <= now) {
            self.advertise(now);
        }
        if self.pulls.next_timer().is_some_and(|due| due <= now) {
            self.retry_pulls(now);
        }
    }

    // ---- anti-entropy: comparing with one other member -------------------------------------------------

    fn compare(&mut self, now: Duration) {
        // A member that lacks many entries compares more often, since one answer brings a bounded number.
        let is_behind = !self.is_nearly_equal || self.pulls.is_full();
        let interval = if is_behind { pace::COMPARE_INTERVAL_BEHIND } else { pace::COMPARE_INTERVAL };
        self.compare_at = now + interval.mul_f64(self.random.random_range(0.9..1.1));
        if let Some(&other) = self.others.choose(&mut self.random) {
            self.send(other, &Message::Compare(self.store.summary()));
        }
    }

    fn handle_compare(&mut self, now: Duration, from: Number, summary: Summary) {
        if summary == self.store.summary() {
            return self.send(from, &Message::Same(summary));
        }
        if !self.rate_limiter.has_tokens(now) {
            self.counts.rate_limited += 1;
            return;
        }
        let salt = self.random.random_range(0..u32::MAX);
        self.send(from, &Message::Parts(self.store.parts(salt)));
    }

    fn handle_same(&mut self, now: Duration, from: Number, summary: Summary) {
        if summary != self.store.summary() {
            return;
        }
        self.has_agreed = true;
        self.is_nearly_equal = true;
        let Some(writer) = &mut self.writer else { return };
        writer.agreed(from);
        if !writer.is_synchronized() && writer.update_synchronized(now, &self.others) {
            self.push_event(Event::Synchronized);
        }
    }

    fn handle_parts(&mut self, now: Duration, from: Number, parts: &Parts) {
        let differing = parts.differing(&self.store.parts(parts.salt));
        self.is_nearly_equal = differing.len() <= pace::NEARLY_EQUAL_PARTS;
        if differing.is_empty() {
            return;
        }
        if let Some(writer) = &mut self.writer {
            writer.disagreed();
        }
        self.send(from, &Message::List(differing));
        self.send_labels(now, from, differing);
    }

    /// Sends the labels of the entries in these parts. If more exist than fit, it sends a different selection
    /// each time.
    fn send_labels(&mut self, now: Duration, to: Number, parts: PartSet) {
        if !self.rate_limiter.has_tokens(now) {
            self.counts.rate_limited += 1;
            return;
        }
        let mut labels = self.store.labels(parts);
        if !labels.is_empty() {
            let start = self.random.random_range(0..labels.len());
            labels.rotate_left(start);
        }
        for message in pack(&labels, pace::LIST_PACKETS_MAX, Message::Have) {
            self.send(to, &message);
        }
    }

    // ---- receiving advertisements and requesting entries -----------------------------------------------

    fn handle_have(&mut self, now: Duration, from: Number, labels: &[Label]) -> Result<(), Dropped> {
        let mut wants = Vec::new();
        let mut outcome = Ok(());
        for label in labels {
            match self.should_pull(now, from, label) {
                Ok(true) => wants.extend(self.pulls.add_source(now, label, from)),
                Ok(false) => {}
                Err(dropped) => outcome = Err(dropped),
            }
        }
        self.send_wants(from, &wants);
        outcome
    }

    /// Decides whether to request an entry with this label.
    fn should_pull(&mut self, now: Duration, from: Number, label: &Label) -> Result<bool, Dropped> {
        if Some(label.writer) != self.setup.writer {
            self.counts.not_the_writer += 1;
            // Numbers are bounded, and so is this set.
            if self.reported_writers.insert(label.writer) {
                self.push_event(Event::NotTheWriter { key: label.key.clone(), writer: label.writer, from });
            }
            return Err(Dropped::NotTheWriter);
        }
        match self.store.label_status(label) {
            LabelStatus::Newer => Ok(!self.republish_if_published(now, label)),
            LabelStatus::Same | LabelStatus::Full => Ok(false),
            LabelStatus::Lower => {
                self.record_lower(from, label);
                Ok(self.accepts_lower)
            }
            LabelStatus::Conflict => {
                self.record_conflict(now, from, label);
                Err(Dropped::Conflict)
            }
        }
    }

    /// On the writer: others hold a higher version than it has published in this generation. That version
    /// must not replace the published value, so the writer publishes its value again under a still higher
    /// version. A key that it has not published it learns like any other member. Returns whether the key was
    /// published.
    fn republish_if_published(&mut self, now: Duration, label: &Label) -> bool {
        let Some(writer) = &self.writer else { return false };
        let published = writer.has_published(&label.key);
        if published && writer.may_republish(now, &label.key) {
            self.republish_above(now, &label.key, label.version);
        }
        published
    }

    fn record_lower(&mut self, from: Number, label: &Label) {
        self.counts.lower_versions += 1;
        let held = self.store.get(&label.key).map(|held| held.entry.label().version);
        let Some(held) = held.filter(|_| Some(from) == self.setup.writer) else { return };
        if self.reported_lower.get(&label.key) != Some(&label.version) {
            self.reported_lower.insert(label.key.clone(), label.version);
            self.push_event(Event::LowerVersion { key: label.key.clone(), version: label.version, held });
        }
    }

    fn record_conflict(&mut self, now: Duration, from: Number, label: &Label) {
        self.counts.conflicts += 1;
        if self.reported_conflicts.get(&label.key) != Some(&label.version) {
            self.reported_conflicts.insert(label.key.clone(), label.version);
            self.push_event(Event::Conflict { key: label.key.clone(), version: label.version, from });
        }
        if self.writer.as_ref().is_some_and(|writer| writer.may_republish(now, &label.key)) {
            self.republish_above(now, &label.key, label.version);
        }
    }

    /// Publishes the held value of a key again, under a version above the one that others hold.
    fn republish_above(&mut self, now: Duration, key: &Key, seen: Version) {
        let Some(content) = self.store.get(key).and_then(|held| held.entry.content()) else { return };
        let Some(version) = seen.next() else { return };
        if self.publish_as(now, key.clone(), version, &content).is_ok() {
            self.push_event(Event::RepublishedAbove { key: key.clone(), seen, version });
        }
    }

    fn send_wants(&mut self, from: Number, wants: &[Want]) {
        for message in pack(wants, wants.len(), Message::Want) {
            self.send(from, &message);
        }
    }

    fn retry_pulls(&mut self, now: Duration) {
        let (due, given_up) = self.pulls.take_retries(now);
        self.counts.retries += due.len() as u64;
        self.counts.given_up += given_up as u64;
        let mut by_source: BTreeMap<Number, Vec<Want>> = BTreeMap::new();
        for (source, want) in due {
            by_source.entry(source).or_default().push(want);
        }
        for (source, wants) in by_source {
            self.send_wants(source, &wants);
        }
    }

    // ---- sending and receiving entries -----------------------------------------------------------------

    fn handle_want(&mut self, now: Duration, to: Number, wants: &[Want]) {
        for want in wants {
            if !self.rate_limiter.has_tokens(now) {
                self.counts.rate_limited += 1;
                return;
            }
            let Some(held) = self.store.get(&want.key) else { continue };
            let entry = held.entry.clone();
            let missing = match entry.label().version.cmp(&want.version) {
                std::cmp::Ordering::Less => continue,
                std::cmp::Ordering::Equal => want.missing,
                std::cmp::Ordering::Greater => super::wire::Missing::ALL,
            };
            self.gossip.record_copy(&want.key);
            for piece in split(&entry, missing) {
                self.send(to, &Message::Piece(piece));
            }
        }
    }

    fn handle_piece(&mut self, now: Duration, from: Number, piece: Piece) -> Result<(), Dropped> {
        if !self.should_pull(now, from, &piece.label)? {
            return Err(Dropped::Unwanted);
        }
        match self.pulls.add_piece(now, piece, from) {
            PieceOutcome::Unwanted => Err(Dropped::Unwanted),
            PieceOutcome::Incomplete => Ok(()),
            PieceOutcome::DigestMismatch => {
                self.counts.digest_mismatches += 1;
                Err(Dropped::DigestMismatch)
            }
            PieceOutcome::Complete(entry) => {
                self.counts.pulled += 1;
                self.store_entry(now, entry);
                Ok(())
            }
        }
    }

    /// Stores a complete entry, queues it for the shell and advertises it to others.
    pub(super) fn store_entry(&mut self, now: Duration, entry: Entry) {
        let label = entry.label().clone();
        self.store.insert(entry);
        self.received.insert(label.key.clone());
        // A member that lacks many entries does not advertise: all others already hold what it receives.
        if self.is_nearly_equal || self.writer.is_some() {
            self.gossip.add(now, &label.key);
        }
        if let Some((source, want)) = self.pulls.complete(now, &label) {
            self.send_wants(source, &[want]);
        }
    }

    // ---- advertising and reporting ---------------------------------------------------------------------

    fn advertise(&mut self, now: Duration) {
        if !self.rate_limiter.has_tokens(now) {
            return self.gossip.postpone(now);
        }
        let (copies_sufficient, to) = match self.rate_limiter.is_busy() {
            true => (pace::COPIES_SUFFICIENT_WHEN_BUSY, pace::ADVERTISE_FANOUT_WHEN_BUSY),
            false => (pace::COPIES_SUFFICIENT, pace::ADVERTISE_FANOUT),
        };
        let keys = self.gossip.take_due(now, copies_sufficient);
        let labels: Vec<Label> = keys
            .iter()
            .filter_map(|key| self.store.get(key))
            .map(|held| held.entry.label().clone())
            .collect();
        let messages = pack(&labels, pace::ADVERTISE_PACKETS_MAX, Message::Have);
        let targets: Vec<Number> = self.others.sample(&mut self.random, to).copied().collect();
        for target in targets {
            messages.iter().for_each(|message| self.send(target, message));
        }
    }

    /// Reports to the writer what is in force. On the writer: asks members what they hold until it may
    /// publish.
    fn report(&mut self, now: Duration) {
        if self.writer.is_some() {
            return self.query_members(now);
        }
        let interval = pace::report_interval(self.others.len() + 1);
        self.report_at = now + interval.mul_f64(self.random.random_range(0.9..1.1));
        if let Some(writer) = self.setup.writer {
            self.send(writer, &Message::Report(self.store.report()));
        }
    }

    fn query_members(&mut self, now: Duration) {
        let Some(writer) = &mut self.writer else { return };
        if writer.is_synchronized() {
            self.report_at = now + pace::COMPARE_INTERVAL;
            return;
        }
        self.report_at = now + pace::LEARN_INTERVAL;
        if writer.update_synchronized(now, &self.others) {
            return self.push_event(Event::Synchronized);
        }
        let pending: Vec<Number> =
            self.others.iter().copied().filter(|number| !writer.has_agreed(*number)).collect();
        let queried: Vec<Number> =
            pending.sample(&mut self.random, writer.parallel_queries()).copied().collect();
        let query = Message::Compare(self.store.summary());
        queried.into_iter().for_each(|number| self.send(number, &query));
    }

    fn send(&mut self, to: Number, message: &Message) {
        let Some(body) = encode(message) else { return };
        let bytes = body.len() + ENVELOPE_BYTES;
        self.rate_limiter.charge(bytes);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes as u64;
        if self.packets.len() >= PACKETS_MAX {
            self.packets.pop_front();
            self.counts.overflowed += 1;
        }
        self.packets.push_back((to, body));
    }
}
