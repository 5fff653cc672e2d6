//! What agents say of a published configuration, held against what was published. Without I/O.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an agent says at its operators' address.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Status {
    /// By key.
    pub entries: Vec<Entry>,
    /// On the writer: whether it publishes.
    pub synchronized: bool,
    /// On the writer: who has not reported to have in force what is published last.
    pub lagging: Vec<Lagging>,
    /// What was not taken.
    pub refused: Refused,
}

/// The configuration of one service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// The service.
    pub key: String,
    /// What is in force.
    pub in_force: Option<InForce>,
    /// What could not be put in force.
    pub rejected: Option<Rejected>,
}

/// A version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Which.
    pub version: u64,
    /// Its digest.
    pub digest: String,
    /// For how long.
    pub since_ms: u64,
}

/// A version that changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Rejected {
    /// Which.
    pub version: u64,
    /// Why.
    pub reason: String,
}

/// An agent that lags behind the writer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Lagging {
    /// Its number.
    pub number: usize,
}

/// How often something was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
pub struct Refused {
    /// Another digest under a version that is held.
    pub conflicts: u64,
    /// A lower version than is held.
    pub lower_versions: u64,
    /// Pieces that are not what their digest names.
    pub other_digests: u64,
    /// Entries of an agent that is not the writer.
    pub not_the_writer: u64,
}

/// What a writer answered to a request to publish.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Published {
    /// The version.
    pub version: u64,
    /// Its digest.
    pub digest: String,
}

/// A rule that an agent broke.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Breach {
    /// A version is in force under a digest with which it was not published.
    #[error("agent {agent} has version {version} in force with digest {digest}, which was not published")]
    OtherDigest {
        /// Which agent.
        agent: usize,
        /// Which version.
        version: u64,
        /// The digest.
        digest: String,
    },
    /// A lower version is in force than was before, in the same life.
    #[error("agent {agent} went back from version {before} to {version}")]
    WentBack {
        /// Which agent.
        agent: usize,
        /// What was in force.
        before: u64,
        /// What is.
        version: u64,
    },
    /// A writer published a version that is not above what was published before.
    #[error("version {version} was published after {before}")]
    NotAbove {
        /// What was published before.
        before: u64,
        /// What is now.
        version: u64,
    },
}

/// Holds what agents say of one key against what was published.
#[derive(Debug, Default)]
pub struct Judge {
    /// The writer goes above versions that others hold wrongly: a version that nobody asked for is right if all who have it
    /// have one digest.
    may_go_above: bool,
    published: BTreeMap<u64, String>,
    in_force: BTreeMap<usize, u64>,
    breaches: Vec<Breach>,
}

impl Judge {
    /// One for a fleet in which wrong versions or digests are told.
    pub fn of_wrong_words() -> Judge {
        Judge { may_go_above: true, ..Judge::default() }
    }

    /// The writer has published.
    pub fn published(&mut self, published: &Published) {
        let before = self.published.keys().next_back().copied();
        if let Some(before) = before.filter(|before| *before >= published.version) {
            self.breaches.push(Breach::NotAbove { before, version: published.version });
        }
        self.published.insert(published.version, published.digest.clone());
    }

    /// An agent starts from nothing.
    pub fn started(&mut self, agent: usize) {
        self.in_force.remove(&agent);
    }

    /// An agent says what it has in force.
    pub fn says(&mut self, agent: usize, in_force: &InForce) {
        let InForce { version, digest, .. } = in_force;
        if self.may_go_above {
            self.published.entry(*version).or_insert_with(|| digest.clone());
        }
        if self.published.get(version) != Some(digest) {
            let (version, digest) = (*version, digest.clone());
            self.breaches.push(Breach::OtherDigest { agent, version, digest });
        }
        let before = self.in_force.insert(agent, *version);
        if let Some(before) = before.filter(|before| before > version) {
            self.breaches.push(Breach::WentBack { agent, before, version: *version });
        }
    }

    /// What was broken so far.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn published(version: u64, digest: &str) -> Published {
        Published { version, digest: digest.into() }
    }

    fn in_force(version: u64, digest: &str) -> InForce {
        InForce { version, digest: digest.into(), since_ms: 0 }
    }

    #[test]
    fn what_was_published_breaks_nothing_and_a_new_life_begins_anew() {
        let mut judge = Judge::default();
        judge.published(&published(1, "a"));
        judge.published(&published(2, "b"));
        judge.says(3, &in_force(1, "a"));
        judge.says(3, &in_force(2, "b"));
        judge.started(3);
        judge.says(3, &in_force(1, "a"));
        assert_eq!(judge.breaches(), []);
    }

    #[test]
    fn a_version_that_the_writer_went_above_to_has_one_digest() {
        let mut judge = Judge::of_wrong_words();
        judge.published(&published(1, "a"));
        judge.says(3, &in_force(2, "b"));
        judge.says(4, &in_force(2, "b"));
        assert_eq!(judge.breaches(), []);
        judge.says(5, &in_force(2, "c"));
        assert_eq!(judge.breaches().len(), 1);
    }

    #[test]
    fn each_rule_can_be_broken() {
        let mut judge = Judge::default();
        judge.published(&published(1, "a"));
        judge.published(&published(2, "b"));
        judge.says(3, &in_force(2, "b"));
        judge.says(3, &in_force(1, "a"));
        judge.says(4, &in_force(2, "half of b"));
        judge.says(5, &in_force(7, "a"));
        judge.published(&published(1, "c"));
        let expected = [
            Breach::WentBack { agent: 3, before: 2, version: 1 },
            Breach::OtherDigest { agent: 4, version: 2, digest: "half of b".into() },
            Breach::OtherDigest { agent: 5, version: 7, digest: "a".into() },
            Breach::NotAbove { before: 2, version: 1 },
        ];
        assert_eq!(judge.breaches(), expected);
    }
}
