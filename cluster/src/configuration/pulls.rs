//! The entries that this member is requesting from others, and the pieces received so far.

use super::assembly::Assembly;
use super::entry::{Entry, Key, Label};
use super::wire::{Missing, Piece, Want};
use crate::member::Number;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry as MapEntry;
use std::time::Duration;

/// The maximum number of entries requested at once. Entries beyond it are found again by the next comparison.
pub const PULLS_MAX: usize = 32;
/// How long to wait for a piece before another member is asked. It is longer than a round trip between
/// regions.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);
/// How often an entry is requested without an answer before the pull is given up.
pub const TRIES_MAX: u32 = 6;
/// How often the received pieces may fail to match the digest before the pull is given up.
pub const MISMATCHES_MAX: u32 = 3;
/// The maximum number of members remembered as holders of an entry.
const SOURCES_MAX: usize = 4;

struct Pull {
    label: Label,
    /// A later version that was advertised in the meantime, and by whom.
    newer: Option<(Label, Number)>,
    /// Members that hold the entry; the first one is the one asked last.
    sources: Vec<Number>,
    assembly: Option<Assembly>,
    retry_at: Duration,
    /// Requests since the last piece was received.
    tries: u32,
    /// How often the received pieces did not match the digest.
    mismatches: u32,
}

impl Pull {
    fn new(label: Label, source: Number, now: Duration) -> Pull {
        let retry_at = now + RETRY_AFTER;
        Pull { label, newer: None, sources: vec![source], assembly: None, retry_at, tries: 1, mismatches: 0 }
    }

    fn want(&self) -> Want {
        let missing = self.assembly.as_ref().map_or(Missing::ALL, Assembly::missing);
        Want { key: self.label.key.clone(), version: self.label.version, missing }
    }

    /// Starts over with the later version, if one was advertised.
    fn switch_to_newer(&mut self, now: Duration) {
        if let Some((label, source)) = self.newer.take() {
            *self = Pull::new(label, source, now);
        }
    }
}

/// The result of adding a piece.
#[derive(Debug, PartialEq, Eq)]
pub enum PieceOutcome {
    /// The piece was not requested, or is a duplicate.
    Unwanted,
    /// More pieces are missing.
    Incomplete,
    /// The entry is complete and matches its digest.
    Complete(Entry),
    /// All pieces have been received, but they do not match the digest.
    DigestMismatch,
}

/// How a pull is completed; mutants change it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Completion {
    /// An entry counts as complete after its first piece.
    #[cfg(test)]
    pub accept_partial: bool,
    /// The digest is not checked.
    #[cfg(test)]
    pub skip_digest: bool,
}

impl Completion {
    fn is_complete(self, assembly: &Assembly) -> bool {
        #[cfg(test)]
        if self.accept_partial {
            return true;
        }
        assembly.is_complete()
    }

    fn bytes(self, assembly: Assembly) -> Vec<u8> {
        #[cfg(test)]
        if self.accept_partial {
            return assembly.into_padded_bytes();
        }
        assembly.into_bytes()
    }

    fn entry(self, label: Label, bytes: Vec<u8>) -> Option<Entry> {
        #[cfg(test)]
        if self.skip_digest || self.accept_partial {
            return Some(Entry::unchecked(label, bytes));
        }
        Entry::from_bytes(label, bytes)
    }
}

/// All pulls in progress, at most one for each key.
#[derive(Default)]
pub struct Pulls {
    by_key: BTreeMap<Key, Pull>,
    completion: Completion,
}

impl Pulls {
    /// Sets how pulls are completed, for a mutant.
    #[cfg(test)]
    pub fn set_completion(&mut self, completion: Completion) {
        self.completion = completion;
    }

    /// A member has advertised an entry that this one should request. Returns the request to send now, unless
    /// a pull for this key is in progress or too many are.
    pub fn add_source(&mut self, now: Duration, label: &Label, source: Number) -> Option<Want> {
        let is_full = self.by_key.len() >= PULLS_MAX;
        match self.by_key.entry(label.key.clone()) {
            MapEntry::Vacant(_) if is_full => None,
            MapEntry::Vacant(slot) => Some(slot.insert(Pull::new(label.clone(), source, now)).want()),
            MapEntry::Occupied(mut slot) => {
                let pull = slot.get_mut();
                if pull.label == *label {
                    if pull.sources.len() < SOURCES_MAX && !pull.sources.contains(&source) {
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

    /// Adds a received piece. A piece of a later version than the requested one replaces the pull: its sender
    /// no longer held the requested version.
    pub fn add_piece(&mut self, now: Duration, piece: Piece, from: Number) -> PieceOutcome {
        let key = piece.label.key.clone();
        let Some(pull) = self.by_key.get_mut(&key) else { return PieceOutcome::Unwanted };
        if piece.label.version > pull.label.version {
            let newer = pull.newer.take().filter(|(newer, _)| newer.version > piece.label.version);
            *pull = Pull { newer, ..Pull::new(piece.label.clone(), from, now) };
        }
        if piece.label != pull.label {
            return PieceOutcome::Unwanted;
        }
        if pull.assembly.is_none() {
            pull.assembly = Assembly::new(piece.length);
        }
        let Some(assembly) = &mut pull.assembly else { return PieceOutcome::Unwanted };
        if !assembly.add(piece) {
            return PieceOutcome::Unwanted;
        }
        pull.tries = 1;
        pull.retry_at = now + RETRY_AFTER;
        if !self.completion.is_complete(assembly) {
            return PieceOutcome::Incomplete;
        }
        let bytes = pull.assembly.take().map(|assembly| self.completion.bytes(assembly)).unwrap_or_default();
        match self.completion.entry(pull.label.clone(), bytes) {
            Some(entry) => PieceOutcome::Complete(entry),
            None => {
                // One of the pieces was wrong, and it can't be determined which.
                pull.sources.rotate_left(1);
                pull.mismatches += 1;
                if pull.mismatches >= MISMATCHES_MAX {
                    self.by_key.remove(&key);
                }
                PieceOutcome::DigestMismatch
            }
        }
    }

    /// An entry is stored now. If a later version of its key was advertised, returns the request for it.
    pub fn complete(&mut self, now: Duration, held: &Label) -> Option<(Number, Want)> {
        let pull = self.by_key.get_mut(&held.key)?;
        if pull.label.version <= held.version {
            pull.switch_to_newer(now);
        }
        if pull.label.version <= held.version {
            self.by_key.remove(&held.key);
            return None;
        }
        Some((pull.sources[0], pull.want()))
    }

    /// The requests to repeat now and whom to send them to, and the number of pulls that were given up.
    pub fn take_retries(&mut self, now: Duration) -> (Vec<(Number, Want)>, usize) {
        let before = self.by_key.len();
        self.by_key.retain(|_, pull| pull.retry_at > now || pull.tries < TRIES_MAX || pull.newer.is_some());
        let given_up = before - self.by_key.len();
        let mut due = Vec::new();
        for pull in self.by_key.values_mut().filter(|pull| pull.retry_at <= now) {
            if pull.newer.is_some() {
                pull.switch_to_newer(now);
            } else {
                pull.sources.rotate_left(1);
                pull.tries += 1;
                pull.retry_at = now + RETRY_AFTER;
            }
            due.push((pull.sources[0], pull.want()));
        }
        (due, given_up)
    }

    /// When the next request has to be repeated.
    pub fn next_timer(&self) -> Option<Duration> {
        self.by_key.values().map(|pull| pull.retry_at).min()
    }

    /// The number of pulls in progress.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no further pull can be started.
    pub fn is_full(&self) -> bool {
        self.len() >= PULLS_MAX
    }
}
