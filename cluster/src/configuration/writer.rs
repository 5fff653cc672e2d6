//! The state that only the writer has. It learns what the others hold before it publishes, publishes again
//! above versions that it has missed, and keeps the reports of the others.

use super::entry::Key;
use super::pace::{LEARN_FANOUT_MAX, LEARN_MIN_DURATION, REPUBLISH_INTERVAL};
use super::wire::{Report, Summary};
use crate::member::Number;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A member that does not have in force what was published last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lagging {
    /// The number of the member.
    pub number: Number,
    /// Its last report; `None` if it has not reported.
    pub last_report: Option<LastReport>,
}

/// What a member reported last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastReport {
    /// When the report was received, by the writer's clock.
    pub at: Duration,
    /// How many versions the member is behind what is published now, summed over all keys.
    pub versions_behind: u64,
    /// The number of entries whose latest version it rejected.
    pub rejected: u16,
}

/// The writer's state besides its entries.
pub struct Writer {
    started_at: Duration,
    /// Members that have held the same entries as this one at some time since the start.
    agreed: BTreeSet<Number>,
    /// Whether the shell has set the members.
    knows_members: bool,
    is_synchronized: bool,
    /// How many members to ask at once. It is one while comparisons show entries that are missing here, and
    /// doubles with each member that holds the same entries.
    parallel_queries: usize,
    /// When it last published a key in this generation.
    published: BTreeMap<Key, Duration>,
    reports: BTreeMap<Number, (Duration, Report)>,
}

impl Writer {
    /// The state of a writer that starts now and holds no entries.
    pub fn new(now: Duration) -> Writer {
        Writer {
            started_at: now,
            agreed: BTreeSet::new(),
            knows_members: false,
            is_synchronized: false,
            parallel_queries: 1,
            published: BTreeMap::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Records that the shell has set the members.
    pub fn mark_members_known(&mut self) {
        self.knows_members = true;
    }

    /// Records that another member holds the same entries.
    pub fn agreed(&mut self, number: Number) {
        self.agreed.insert(number);
        self.parallel_queries = (self.parallel_queries * 2).min(LEARN_FANOUT_MAX);
    }

    /// Records that another member holds different entries.
    pub fn disagreed(&mut self) {
        self.parallel_queries = 1;
    }

    /// How many members to ask now.
    pub fn parallel_queries(&self) -> usize {
        self.parallel_queries
    }

    /// Whether this member has held the same entries.
    pub fn has_agreed(&self, number: Number) -> bool {
        self.agreed.contains(&number)
    }

    /// How many members have held the same entries, the writer included, and how many have to.
    pub fn progress(&self, others: &[Number]) -> (usize, usize) {
        let agreeing = 1 + others.iter().filter(|number| self.agreed.contains(number)).count();
        let needed = 1 + others.len().div_ceil(2);
        (agreeing, needed)
    }

    /// Checks whether it has learnt enough to publish. Once it has, this stays true: it publishes above
    /// versions that it learns of later.
    pub fn update_synchronized(&mut self, now: Duration, others: &[Number]) -> bool {
        let (agreeing, needed) = self.progress(others);
        let waited = now.saturating_sub(self.started_at) >= LEARN_MIN_DURATION;
        self.is_synchronized |= self.knows_members && waited && agreeing >= needed;
        self.is_synchronized
    }

    /// Whether it may publish.
    pub fn is_synchronized(&self) -> bool {
        self.is_synchronized
    }

    /// Allows to publish without having learnt anything, for a mutant.
    #[cfg(test)]
    pub fn skip_learning(&mut self) {
        self.is_synchronized = true;
    }

    /// Records that it has published this key.
    pub fn published(&mut self, now: Duration, key: &Key) {
        self.published.insert(key.clone(), now);
    }

    /// Whether this key was published in this generation.
    pub fn has_published(&self, key: &Key) -> bool {
        self.published.contains_key(key)
    }

    /// Whether it may publish this key again above a version that others hold: at most once per
    /// [`REPUBLISH_INTERVAL`].
    pub fn may_republish(&self, now: Duration, key: &Key) -> bool {
        let at = self.published.get(key);
        self.is_synchronized && at.is_none_or(|at| now.saturating_sub(*at) >= REPUBLISH_INTERVAL)
    }

    /// Stores the report of a member.
    pub fn reported(&mut self, now: Duration, from: Number, report: Report) {
        self.reports.insert(from, (now, report));
    }

    /// The members among these that do not have in force what is published.
    pub fn lagging(&self, others: &[Number], published: Summary, versions: u64) -> Vec<Lagging> {
        let lags = |number: &&Number| self.reports.get(number).is_none_or(|(_, r)| r.in_force != published);
        let last_report = |(at, report): &(Duration, Report)| LastReport {
            at: *at,
            versions_behind: versions.saturating_sub(report.versions),
            rejected: report.rejected,
        };
        let entry = |number: &Number| Lagging {
            number: *number,
            last_report: self.reports.get(number).map(last_report),
        };
        others.iter().filter(lags).map(entry).collect()
    }
}
