//! What only the writer does: it learns what the others hold before it publishes, goes above what it missed, and keeps what
//! the others report.

use super::entry::Key;
use super::pace::{LEARN_FOR, LEARN_FROM, RAISE_EVERY};
use super::wire::{Report, Summary};
use crate::member::Number;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member that has not in force what was published last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lagging {
    /// Which.
    pub number: Number,
    /// What was last heard from it; `None` if nothing.
    pub heard: Option<LastReport>,
}

/// What a member last reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastReport {
    /// When, by the writer's clock.
    pub at: Duration,
    /// How many versions it was behind of what is published now, summed over all keys.
    pub versions_behind: u64,
    /// Entries whose latest version it rejected.
    pub rejected: u16,
}

/// What the writer keeps beside its entries.
pub struct Writer {
    started: Duration,
    /// Who had the same entries as this member, since it started.
    agreed: BTreeSet<Number>,
    /// The shell has said who is there.
    knows_members: bool,
    is_synchronized: bool,
    /// How many it asks at once: one while it is told of entries that it lacks, more and more once it lacks none.
    asks_at_once: usize,
    /// When it last published a key itself in this life.
    published: BTreeMap<Key, Duration>,
    reports: BTreeMap<Number, (Duration, Report)>,
}

impl Writer {
    /// A writer that starts now and holds nothing.
    pub fn new(now: Duration) -> Writer {
        Writer {
            started: now,
            agreed: BTreeSet::new(),
            knows_members: false,
            is_synchronized: false,
            asks_at_once: 1,
            published: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }

    /// The shell has said who is there.
    pub fn members_told(&mut self) {
        self.knows_members = true;
    }

    /// Another member holds the same entries.
    pub fn agreed(&mut self, number: Number) {
        self.agreed.insert(number);
        self.asks_at_once = (self.asks_at_once * 2).min(LEARN_FROM);
    }

    /// Another member holds other entries.
    pub fn disagreed(&mut self) {
        self.asks_at_once = 1;
    }

    /// How many to ask now.
    pub fn asks_at_once(&self) -> usize {
        self.asks_at_once
    }

    /// Whether this one holds the same entries, or did.
    pub fn has_agreed(&self, number: Number) -> bool {
        self.agreed.contains(&number)
    }

    /// How many have to hold the same entries, this member among them, and how many do.
    pub fn progress(&self, others: &[Number]) -> (usize, usize) {
        let heard = 1 + others.iter().filter(|number| self.agreed.contains(number)).count();
        let needed = 1 + others.len().div_ceil(2);
        (heard, needed)
    }

    /// Looks whether it has learnt enough to publish. Once it has, it stays so: what it hears of later it goes above.
    pub fn look(&mut self, now: Duration, others: &[Number]) -> bool {
        let (heard, needed) = self.progress(others);
        let listened = now.saturating_sub(self.started) >= LEARN_FOR;
        self.is_synchronized |= self.knows_members && listened && heard >= needed;
        self.is_synchronized
    }

    /// Whether it may publish.
    pub fn is_synchronized(&self) -> bool {
        self.is_synchronized
    }

    /// Publishes without having learnt anything, as a mutant does.
    #[cfg(test)]
    pub fn skip_learning(&mut self) {
        self.is_synchronized = true;
    }

    /// It has published this key.
    pub fn published(&mut self, now: Duration, key: &Key) {
        self.published.insert(key.clone(), now);
    }

    /// Whether this key was published in this life.
    pub fn has_published(&self, key: &Key) -> bool {
        self.published.contains_key(key)
    }

    /// Whether it may go above what others hold of this key: at most once in [`RAISE_EVERY`].
    pub fn may_raise(&self, now: Duration, key: &Key) -> bool {
        let at = self.published.get(key);
        self.is_synchronized && at.is_none_or(|at| now.saturating_sub(*at) >= RAISE_EVERY)
    }

    /// A member has reported.
    pub fn reported(&mut self, now: Duration, from: Number, report: Report) {
        self.reports.insert(from, (now, report));
    }

    /// Who of these lags behind what is published.
    pub fn lagging(&self, others: &[Number], published: Summary, versions: u64) -> Vec<Lagging> {
        let lags = |number: &&Number| self.reports.get(number).is_none_or(|(_, r)| r.in_force != published);
        let heard = |(at, report): &(Duration, Report)| LastReport {
            at: *at,
            versions_behind: versions.saturating_sub(report.versions),
            rejected: report.rejected,
        };
        let line = |number: &Number| Lagging { number: *number, heard: self.reports.get(number).map(heard) };
        others.iter().filter(lags).map(line).collect()
    }
}
