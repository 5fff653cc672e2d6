//! The new entries that are advertised to others, each in a bounded number of rounds. Members that miss all
//! of them find the entry by comparison.

use super::entry::{ENTRIES_MAX, Key};
use super::pace::{ADVERTISE_BATCH, ADVERTISE_INTERVAL, ADVERTISE_ROUNDS};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

struct Rumor {
    rounds_left: u32,
    copies: u32,
}

/// The entries that are still advertised.
#[derive(Default)]
pub struct Gossip {
    rumors: BTreeMap<Key, Rumor>,
    due: Option<Duration>,
}

impl Gossip {
    /// Starts to advertise the new entry of this key.
    pub fn add(&mut self, now: Duration, key: &Key) {
        if self.rumors.len() >= ENTRIES_MAX && !self.rumors.contains_key(key) {
            return;
        }
        self.rumors.insert(key.clone(), Rumor { rounds_left: ADVERTISE_ROUNDS, copies: 0 });
        // The first advertisement is sent at once, unless one was sent less than an interval ago.
        self.due.get_or_insert(now);
    }

    /// Counts a copy of this key's entry that was sent to another member.
    pub fn record_copy(&mut self, key: &Key) {
        if let Some(rumor) = self.rumors.get_mut(key) {
            rumor.copies += 1;
        }
    }

    /// When the next advertisement is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.due
    }

    /// Postpones the advertisement by one interval, since the rate limit is reached.
    pub fn postpone(&mut self, now: Duration) {
        self.due = Some(now + ADVERTISE_INTERVAL);
    }

    /// The keys to advertise now, least advertised first; each call counts as one round for them. An entry
    /// that was already sent to `copies_sufficient` members is no longer advertised.
    pub fn take_due(&mut self, now: Duration, copies_sufficient: u32) -> Vec<Key> {
        self.rumors.retain(|_, rumor| rumor.rounds_left > 0 && rumor.copies < copies_sufficient);
        let mut rumors: Vec<(&Key, &mut Rumor)> = self.rumors.iter_mut().collect();
        rumors.sort_by_key(|(_, rumor)| Reverse(rumor.rounds_left));
        rumors.truncate(ADVERTISE_BATCH);
        let count_round = |(key, rumor): (&Key, &mut Rumor)| {
            rumor.rounds_left -= 1;
            key.clone()
        };
        let keys: Vec<Key> = rumors.into_iter().map(count_round).collect();
        self.due = (!keys.is_empty()).then(|| now + ADVERTISE_INTERVAL);
        keys
    }
}
