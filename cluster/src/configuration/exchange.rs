//! How a configuration answers packets and the passing of time.

use super::assembly::cut;
use super::entry::{Entry, Key, Label, Version};
use super::pace;
use super::pulls::Progress;
use super::store::Standing;
use super::wire::{Message, PartSet, Parts, Piece, Summary, Want, encode, pack};
use super::{Configuration, Dropped, Event, PACKETS_MOST};
use crate::envelope::{BODY_MOST, DATAGRAM_MOST};
use crate::member::Number;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::time::Duration;

/// The bytes of an envelope round a body.
const ENVELOPE: usize = DATAGRAM_MOST - BODY_MOST;

impl Configuration {
    /// A packet has come from this member: the body of one for [`crate::envelope::Room::Configuration`].
    pub fn handle_packet(&mut self, now: Duration, from: Number, body: &[u8]) -> Result<(), Dropped> {
        self.counts.received_bytes += (body.len() + ENVELOPE) as u64;
        let handled = self.handle(now, from, body);
        match handled {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.dropped += 1,
        }
        handled
    }

    fn handle(&mut self, now: Duration, from: Number, body: &[u8]) -> Result<(), Dropped> {
        if from == self.setup.me {
            return Err(Dropped::Stranger);
        }
        if body.len() > BODY_MOST {
            return Err(Dropped::Unreadable);
        }
        match postcard::from_bytes(body).map_err(|_| Dropped::Unreadable)? {
            Message::Compare(summary) => self.answer_comparison(now, from, summary),
            Message::Same(summary) => self.agree(now, from, summary),
            Message::Parts(parts) => self.compare_parts(now, from, &parts),
            Message::List(parts) => self.list(now, from, parts),
            Message::Have(labels) => return self.hear_of(now, from, &labels),
            Message::Want(wants) => self.hand_out(now, from, &wants),
            Message::Piece(piece) => return self.take_piece(now, from, piece),
            Message::Report(report) => {
                if let Some(writer) = &mut self.writer {
                    writer.reported(now, from, report);
                }
            }
        }
        Ok(())
    }

    /// When [`Configuration::handle_timeout`] is to be called next.
    pub fn next_timer(&self) -> Option<Duration> {
        let pulls = self.pulls.next_timer();
        [Some(self.compare_at), Some(self.report_at), self.gossip.next_timer(), pulls]
            .into_iter()
            .flatten()
            .min()
    }

    /// Time has passed. A process that was stopped finds everything due once, and nothing more than once.
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
            self.ask_again(now);
        }
    }

    // ---- comparing with one other ---------------------------------------------------------------------

    fn compare(&mut self, now: Duration) {
        // A member that lacks much asks more often: what one answer brings is bounded.
        let is_behind = !self.is_near || self.pulls.is_full();
        let every = if is_behind { pace::COMPARE_EVERY_UNLIKE } else { pace::COMPARE_EVERY };
        self.compare_at = now + every.mul_f64(self.random.random_range(0.9..1.1));
        if let Some(&other) = self.others.choose(&mut self.random) {
            self.send(other, &Message::Compare(self.store.summary()));
        }
    }

    fn answer_comparison(&mut self, now: Duration, from: Number, summary: Summary) {
        if summary == self.store.summary() {
            return self.send(from, &Message::Same(summary));
        }
        if !self.budget.is_left(now) {
            self.counts.refused += 1;
            return;
        }
        let salt = self.random.random_range(0..u32::MAX);
        self.send(from, &Message::Parts(self.store.parts(salt)));
    }

    fn agree(&mut self, now: Duration, from: Number, summary: Summary) {
        if summary != self.store.summary() {
            return;
        }
        self.has_agreed = true;
        self.is_near = true;
        let Some(writer) = &mut self.writer else { return };
        writer.agreed(from);
        if !writer.is_synchronized() && writer.look(now, &self.others) {
            self.tell(Event::Synchronized);
        }
    }

    fn compare_parts(&mut self, now: Duration, from: Number, parts: &Parts) {
        let unlike = parts.unlike(&self.store.parts(parts.salt));
        self.is_near = unlike.len() <= pace::PARTS_NEAR;
        if unlike.is_empty() {
            return;
        }
        if let Some(writer) = &mut self.writer {
            writer.disagreed();
        }
        self.send(from, &Message::List(unlike));
        self.list(now, from, unlike);
    }

    /// Tells what is held in these parts; of more than fits, some other part each time.
    fn list(&mut self, now: Duration, to: Number, parts: PartSet) {
        if !self.budget.is_left(now) {
            self.counts.refused += 1;
            return;
        }
        let mut labels = self.store.labels(parts);
        if !labels.is_empty() {
            let start = self.random.random_range(0..labels.len());
            labels.rotate_left(start);
        }
        for message in pack(&labels, pace::LIST_PACKETS_MOST, Message::Have) {
            self.send(to, &message);
        }
    }

    // ---- hearing of entries and asking for them -------------------------------------------------------

    fn hear_of(&mut self, now: Duration, from: Number, labels: &[Label]) -> Result<(), Dropped> {
        let mut wants = Vec::new();
        let mut outcome = Ok(());
        for label in labels {
            match self.weigh(now, from, label) {
                Ok(true) => wants.extend(self.pulls.offered(now, label, from)),
                Ok(false) => {}
                Err(dropped) => outcome = Err(dropped),
            }
        }
        self.ask(from, &wants);
        outcome
    }

    /// Whether an entry should be taken.
    fn weigh(&mut self, now: Duration, from: Number, label: &Label) -> Result<bool, Dropped> {
        if Some(label.writer) != self.setup.writer {
            self.counts.not_the_writer += 1;
            // Numbers are bounded, and so is this set.
            if self.strangers_told.insert(label.writer) {
                self.tell(Event::NotTheWriter { key: label.key.clone(), writer: label.writer, from });
            }
            return Err(Dropped::NotTheWriter);
        }
        match self.store.standing(label) {
            Standing::Newer => Ok(!self.goes_above(now, label)),
            Standing::Same | Standing::Full => Ok(false),
            Standing::Lower => {
                self.note_lower(from, label);
                Ok(self.takes_lower)
            }
            Standing::Conflict => {
                self.note_conflict(now, from, label);
                Err(Dropped::Conflict)
            }
        }
    }

    /// On the writer: others hold a higher version than this life of it has published. That must not undo what it has
    /// published, so it publishes that once more above. A key that it has not published it learns like everybody else.
    fn goes_above(&mut self, now: Duration, label: &Label) -> bool {
        let Some(writer) = &self.writer else { return false };
        let published = writer.has_published(&label.key);
        if published && writer.may_raise(now, &label.key) {
            self.raise(now, &label.key, label.version);
        }
        published
    }

    fn note_lower(&mut self, from: Number, label: &Label) {
        self.counts.lower += 1;
        let held = self.store.get(&label.key).map(|held| held.entry.label().version);
        let Some(held) = held.filter(|_| Some(from) == self.setup.writer) else { return };
        if self.lower_told.get(&label.key) != Some(&label.version) {
            self.lower_told.insert(label.key.clone(), label.version);
            self.tell(Event::LowerVersion { key: label.key.clone(), version: label.version, held });
        }
    }

    fn note_conflict(&mut self, now: Duration, from: Number, label: &Label) {
        self.counts.conflicts += 1;
        if self.conflicts_told.get(&label.key) != Some(&label.version) {
            self.conflicts_told.insert(label.key.clone(), label.version);
            self.tell(Event::Conflict { key: label.key.clone(), version: label.version, from });
        }
        if self.writer.as_ref().is_some_and(|writer| writer.may_raise(now, &label.key)) {
            self.raise(now, &label.key, label.version);
        }
    }

    /// Publishes what is held under a key once more, above a version that others hold.
    fn raise(&mut self, now: Duration, key: &Key, heard: Version) {
        let Some(content) = self.store.get(key).and_then(|held| held.entry.content()) else { return };
        let Some(version) = heard.next() else { return };
        if self.publish_as(now, key.clone(), version, &content).is_ok() {
            self.tell(Event::WentAbove { key: key.clone(), heard, version });
        }
    }

    fn ask(&mut self, from: Number, wants: &[Want]) {
        for message in pack(wants, wants.len(), Message::Want) {
            self.send(from, &message);
        }
    }

    fn ask_again(&mut self, now: Duration) {
        let (again, given_up) = self.pulls.retries(now);
        self.counts.retries += again.len() as u64;
        self.counts.given_up += given_up as u64;
        let mut by_source: BTreeMap<Number, Vec<Want>> = BTreeMap::new();
        for (source, want) in again {
            by_source.entry(source).or_default().push(want);
        }
        for (source, wants) in by_source {
            self.ask(source, &wants);
        }
    }

    // ---- handing out entries and taking them ----------------------------------------------------------

    fn hand_out(&mut self, now: Duration, to: Number, wants: &[Want]) {
        for want in wants {
            if !self.budget.is_left(now) {
                self.counts.refused += 1;
                return;
            }
            let Some(held) = self.store.get(&want.key) else { continue };
            let entry = held.entry.clone();
            let missing = match entry.label().version.cmp(&want.version) {
                std::cmp::Ordering::Less => continue,
                std::cmp::Ordering::Equal => want.missing,
                std::cmp::Ordering::Greater => super::wire::Missing::ALL,
            };
            self.gossip.handed_out(&want.key);
            for piece in cut(&entry, missing) {
                self.send(to, &Message::Piece(piece));
            }
        }
    }

    fn take_piece(&mut self, now: Duration, from: Number, piece: Piece) -> Result<(), Dropped> {
        if !self.weigh(now, from, &piece.label)? {
            return Err(Dropped::Unwanted);
        }
        match self.pulls.piece(now, piece, from) {
            Progress::Unwanted => Err(Dropped::Unwanted),
            Progress::Incomplete => Ok(()),
            Progress::Damaged => {
                self.counts.other_digest += 1;
                Err(Dropped::OtherDigest)
            }
            Progress::Whole(entry) => {
                self.counts.taken += 1;
                self.hold(now, entry);
                Ok(())
            }
        }
    }

    /// An entry is whole: the shell is told of it, and so are others.
    pub(super) fn hold(&mut self, now: Duration, entry: Entry) {
        let label = entry.label().clone();
        self.store.take(entry);
        self.received.insert(label.key.clone());
        // One that lacks much has nothing to tell: what it learns is what all others hold.
        if self.is_near || self.writer.is_some() {
            self.gossip.add(now, &label.key);
        }
        if let Some((source, want)) = self.pulls.done(now, &label) {
            self.ask(source, &[want]);
        }
    }

    // ---- telling others -------------------------------------------------------------------------------

    fn advertise(&mut self, now: Duration) {
        if !self.budget.is_left(now) {
            return self.gossip.put_off(now);
        }
        let (copies_enough, to) = match self.budget.is_busy() {
            true => (pace::COPIES_ENOUGH_WHEN_BUSY, pace::ADVERTISE_TO_WHEN_BUSY),
            false => (pace::COPIES_ENOUGH, pace::ADVERTISE_TO),
        };
        let keys = self.gossip.take(now, copies_enough);
        let labels: Vec<Label> = keys
            .iter()
            .filter_map(|key| self.store.get(key))
            .map(|held| held.entry.label().clone())
            .collect();
        let messages = pack(&labels, pace::ADVERTISE_PACKETS_MOST, Message::Have);
        let targets: Vec<Number> = self.others.sample(&mut self.random, to).copied().collect();
        for target in targets {
            messages.iter().for_each(|message| self.send(target, message));
        }
    }

    /// Tells the writer what is in force; on the writer, asks what the others hold until it may publish.
    fn report(&mut self, now: Duration) {
        if self.writer.is_some() {
            return self.learn(now);
        }
        let every = pace::report_every(self.others.len() + 1);
        self.report_at = now + every.mul_f64(self.random.random_range(0.9..1.1));
        if let Some(writer) = self.setup.writer {
            self.send(writer, &Message::Report(self.store.report()));
        }
    }

    fn learn(&mut self, now: Duration) {
        let Some(writer) = &mut self.writer else { return };
        if writer.is_synchronized() {
            self.report_at = now + pace::COMPARE_EVERY;
            return;
        }
        self.report_at = now + pace::LEARN_EVERY;
        if writer.look(now, &self.others) {
            return self.tell(Event::Synchronized);
        }
        let unheard: Vec<Number> =
            self.others.iter().copied().filter(|number| !writer.has_agreed(*number)).collect();
        let asked: Vec<Number> = unheard.sample(&mut self.random, writer.asks_at_once()).copied().collect();
        let question = Message::Compare(self.store.summary());
        asked.into_iter().for_each(|number| self.send(number, &question));
    }

    fn send(&mut self, to: Number, message: &Message) {
        let Some(body) = encode(message) else { return };
        let bytes = body.len() + ENVELOPE;
        self.budget.spend(bytes);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes as u64;
        if self.packets.len() >= PACKETS_MOST {
            self.packets.pop_front();
            self.counts.overflowed += 1;
        }
        self.packets.push_back((to, body));
    }
}
