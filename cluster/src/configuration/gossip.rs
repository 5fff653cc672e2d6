//! The entries that have just come and are told to others: each a bounded number of times. Whom that misses finds out by
//! comparison.

use super::entry::{ENTRIES_MOST, Key};
use super::pace::{ADVERTISE_EVERY, ADVERTISE_TIMES, COPIES_ENOUGH};
use std::collections::BTreeMap;
use std::time::Duration;

struct Fresh {
    times_left: u32,
    copies: u32,
}

/// What is still told of.
#[derive(Default)]
pub struct Gossip {
    fresh: BTreeMap<Key, Fresh>,
    due: Option<Duration>,
}

impl Gossip {
    /// This key has a new entry.
    pub fn add(&mut self, now: Duration, key: &Key) {
        if self.fresh.len() >= ENTRIES_MOST && !self.fresh.contains_key(key) {
            return;
        }
        self.fresh.insert(key.clone(), Fresh { times_left: ADVERTISE_TIMES, copies: 0 });
        // At once, unless something was told just now.
        self.due.get_or_insert(now);
    }

    /// A copy of this key's entry was handed out.
    pub fn handed_out(&mut self, key: &Key) {
        if let Some(fresh) = self.fresh.get_mut(key) {
            fresh.copies += 1;
        }
    }

    /// When the next telling is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.due
    }

    /// Puts the telling off, since there is no budget for it.
    pub fn put_off(&mut self, now: Duration) {
        self.due = Some(now + ADVERTISE_EVERY);
    }

    /// The keys to be told of now; each counts as told.
    pub fn take(&mut self, now: Duration) -> Vec<Key> {
        self.fresh.retain(|_, fresh| fresh.times_left > 0 && fresh.copies < COPIES_ENOUGH);
        self.due = (!self.fresh.is_empty()).then(|| now + ADVERTISE_EVERY);
        self.fresh.values_mut().for_each(|fresh| fresh.times_left -= 1);
        self.fresh.keys().cloned().collect()
    }
}
