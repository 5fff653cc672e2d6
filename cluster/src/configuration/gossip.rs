//! The entries that have just come and are told to others: each a bounded number of times. Whom that misses finds out by
//! comparison.

use super::entry::{ENTRIES_MOST, Key};
use super::pace::{ADVERTISE_AT_ONCE, ADVERTISE_EVERY, ADVERTISE_TIMES};
use std::cmp::Reverse;
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

    /// The keys to be told of now, those first that were told of least; each counts as told. An entry of which this many copies
    /// were handed out is not told of any more.
    pub fn take(&mut self, now: Duration, copies_enough: u32) -> Vec<Key> {
        self.fresh.retain(|_, fresh| fresh.times_left > 0 && fresh.copies < copies_enough);
        let mut fresh: Vec<(&Key, &mut Fresh)> = self.fresh.iter_mut().collect();
        fresh.sort_by_key(|(_, fresh)| Reverse(fresh.times_left));
        fresh.truncate(ADVERTISE_AT_ONCE);
        let told = |(key, fresh): (&Key, &mut Fresh)| {
            fresh.times_left -= 1;
            key.clone()
        };
        let keys: Vec<Key> = fresh.into_iter().map(told).collect();
        self.due = (!keys.is_empty()).then(|| now + ADVERTISE_EVERY);
        keys
    }
}
