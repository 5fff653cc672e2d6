//! The entries that this member has heard of and asks for, and the pieces of them that have come.

use super::assembly::Assembly;
use super::entry::{Entry, Key, Label};
use super::wire::{Missing, Piece, Want};
use crate::member::Number;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry as Place;
use std::time::Duration;

/// Entries that are asked for at once. What is heard of beyond that comes up again by comparison.
pub const PULLS_MOST: usize = 32;
/// How long nothing may come before somebody else is asked: longer than there and back between regions.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);
/// How often an entry is asked for in vain before it is given up.
pub const TRIES_MOST: u32 = 6;
/// How often the pieces of an entry may turn out not to be what its label names before it is given up.
pub const DAMAGED_MOST: u32 = 3;
/// Members that are remembered to hold an entry.
const SOURCES_MOST: usize = 4;

struct Pull {
    label: Label,
    /// A later version that was heard of meanwhile, and from whom.
    newer: Option<(Label, Number)>,
    /// Who holds it; the first is the one that was asked.
    sources: Vec<Number>,
    assembly: Option<Assembly>,
    retry_at: Duration,
    /// Questions since something last came.
    tries: u32,
    /// How often the pieces were not what the label names.
    damaged: u32,
}

impl Pull {
    fn new(label: Label, source: Number, now: Duration) -> Pull {
        let retry_at = now + RETRY_AFTER;
        Pull { label, newer: None, sources: vec![source], assembly: None, retry_at, tries: 1, damaged: 0 }
    }

    fn want(&self) -> Want {
        let missing = self.assembly.as_ref().map_or(Missing::ALL, Assembly::missing);
        Want { key: self.label.key.clone(), version: self.label.version, missing }
    }

    /// Turns to a later version, if one was heard of.
    fn turn_to_newer(&mut self, now: Duration) {
        if let Some((label, source)) = self.newer.take() {
            *self = Pull::new(label, source, now);
        }
    }
}

/// What a piece has led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was not asked for, or has come before.
    Unwanted,
    /// More are missing.
    Incomplete,
    /// The entry is whole and has the digest of its label.
    Whole(Entry),
    /// All pieces have come, but they are not what the label names.
    Damaged,
}

/// How a pull is finished: where mutants differ.
#[derive(Debug, Clone, Copy, Default)]
pub struct Finish {
    /// An entry counts as whole as soon as its first piece has come.
    #[cfg(test)]
    pub half: bool,
    /// The digest is not looked at.
    #[cfg(test)]
    pub any_digest: bool,
}

impl Finish {
    fn is_whole(self, assembly: &Assembly) -> bool {
        #[cfg(test)]
        if self.half {
            return true;
        }
        assembly.is_whole()
    }

    fn bytes(self, assembly: Assembly) -> Vec<u8> {
        #[cfg(test)]
        if self.half {
            return assembly.into_padded_bytes();
        }
        assembly.into_bytes()
    }

    fn entry(self, label: Label, bytes: Vec<u8>) -> Option<Entry> {
        #[cfg(test)]
        if self.any_digest || self.half {
            return Some(Entry::unchecked(label, bytes));
        }
        Entry::from_bytes(label, bytes)
    }
}

/// All that is asked for, one entry a key.
#[derive(Default)]
pub struct Pulls {
    by_key: BTreeMap<Key, Pull>,
    finish: Finish,
}

impl Pulls {
    /// Finishes pulls as a mutant does.
    #[cfg(test)]
    pub fn set_finish(&mut self, finish: Finish) {
        self.finish = finish;
    }

    /// Somebody holds an entry that this member should have; what to ask for, if it is not being asked for.
    pub fn offered(&mut self, now: Duration, label: &Label, source: Number) -> Option<Want> {
        let is_full = self.by_key.len() >= PULLS_MOST;
        match self.by_key.entry(label.key.clone()) {
            Place::Vacant(_) if is_full => None,
            Place::Vacant(place) => Some(place.insert(Pull::new(label.clone(), source, now)).want()),
            Place::Occupied(mut place) => {
                let pull = place.get_mut();
                if pull.label == *label {
                    if pull.sources.len() < SOURCES_MOST && !pull.sources.contains(&source) {
                        pull.sources.push(source);
                    }
                } else if pull.newer.as_ref().map_or(pull.label.version, |(newer, _)| newer.version)
                    < label.version
                {
                    pull.newer = Some((label.clone(), source));
                }
                None
            }
        }
    }

    /// A piece has come. One of a later version than was asked for takes the place of that: its sender had no longer the
    /// one that was asked for.
    pub fn piece(&mut self, now: Duration, piece: Piece, from: Number) -> Progress {
        let key = piece.label.key.clone();
        let Some(pull) = self.by_key.get_mut(&key) else { return Progress::Unwanted };
        if piece.label.version > pull.label.version {
            let newer = pull.newer.take().filter(|(newer, _)| newer.version > piece.label.version);
            *pull = Pull { newer, ..Pull::new(piece.label.clone(), from, now) };
        }
        if piece.label != pull.label {
            return Progress::Unwanted;
        }
        if pull.assembly.is_none() {
            pull.assembly = Assembly::new(piece.length);
        }
        let Some(assembly) = &mut pull.assembly else { return Progress::Unwanted };
        if !assembly.add(piece) {
            return Progress::Unwanted;
        }
        pull.tries = 1;
        pull.retry_at = now + RETRY_AFTER;
        if !self.finish.is_whole(assembly) {
            return Progress::Incomplete;
        }
        let bytes = pull.assembly.take().map(|whole| self.finish.bytes(whole)).unwrap_or_default();
        match self.finish.entry(pull.label.clone(), bytes) {
            Some(entry) => Progress::Whole(entry),
            None => {
                // One of the pieces was wrong, and which of them nobody can tell.
                pull.sources.rotate_left(1);
                pull.damaged += 1;
                if pull.damaged >= DAMAGED_MOST {
                    self.by_key.remove(&key);
                }
                Progress::Damaged
            }
        }
    }

    /// An entry is held now; what to ask for next under its key, if a later version was heard of.
    pub fn done(&mut self, now: Duration, held: &Label) -> Option<(Number, Want)> {
        let pull = self.by_key.get_mut(&held.key)?;
        if pull.label.version <= held.version {
            pull.turn_to_newer(now);
        }
        if pull.label.version <= held.version {
            self.by_key.remove(&held.key);
            return None;
        }
        Some((pull.sources[0], pull.want()))
    }

    /// What is to be asked for again, and of whom; and how many were given up.
    pub fn retries(&mut self, now: Duration) -> (Vec<(Number, Want)>, usize) {
        let before = self.by_key.len();
        self.by_key.retain(|_, pull| pull.retry_at > now || pull.tries < TRIES_MOST || pull.newer.is_some());
        let given_up = before - self.by_key.len();
        let mut again = Vec::new();
        for pull in self.by_key.values_mut().filter(|pull| pull.retry_at <= now) {
            if pull.newer.is_some() {
                pull.turn_to_newer(now);
            } else {
                pull.sources.rotate_left(1);
                pull.tries += 1;
                pull.retry_at = now + RETRY_AFTER;
            }
            again.push((pull.sources[0], pull.want()));
        }
        (again, given_up)
    }

    /// When the next is due to be asked for again.
    pub fn next_timer(&self) -> Option<Duration> {
        self.by_key.values().map(|pull| pull.retry_at).min()
    }

    /// How many are asked for.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no more can be asked for.
    pub fn is_full(&self) -> bool {
        self.len() >= PULLS_MOST
    }
}
