//! One change of a register: a round from its first question to its outcome.

use super::{Answer, Ask, Ballot, Held, SERVES, higher, majority};
use crate::member::Number;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is to become of the register, given what it holds.
pub trait Change<V> {
    /// The value that it should hold; `None` leaves it as it is, since something else than was expected is there.
    fn apply(&self, held: Option<&V>) -> Option<V>;
}

/// How a round ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome<V> {
    /// The register holds what the change made of it.
    Changed(V),
    /// The change did not apply: this is there, and stays.
    Lost(V),
    /// Nothing is held, and the change did not apply to that.
    Empty,
    /// Another round goes first; nothing was changed. To be tried again above it.
    Outbid(Ballot),
    /// No majority has answered in time, and nothing was changed.
    NoMajority,
    /// Some may have accepted: whoever changes the register next finds out, and may complete it.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promise<V> {
    votes: bool,
    held: Option<Held<V>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase<V> {
    Asking,
    /// All have been asked to accept this.
    Accepting {
        value: V,
        founds: bool,
        changed: bool,
        accepted: BTreeSet<Number>,
    },
    Ended,
}

/// A round. Its questions go to all keepers, and may go to them again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer<V, C> {
    ballot: Ballot,
    keepers: BTreeSet<Number>,
    change: C,
    until: Duration,
    promises: BTreeMap<Number, Promise<V>>,
    phase: Phase<V>,
}

impl<V: Clone, C: Change<V>> Proposer<V, C> {
    /// A round that begins now; its first questions are [`Proposer::asks`].
    pub fn new(ballot: Ballot, keepers: BTreeSet<Number>, change: C, now: Duration) -> Proposer<V, C> {
        let promises = BTreeMap::new();
        Proposer { ballot, keepers, change, until: now + SERVES, promises, phase: Phase::Asking }
    }

    /// When [`Proposer::look`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        (!matches!(self.phase, Phase::Ended)).then_some(self.until)
    }

    /// Whether it has come to asking for acceptance: [`Proposer::asks`] is something new then, to be sent at once.
    pub fn is_accepting(&self) -> bool {
        matches!(self.phase, Phase::Accepting { .. })
    }

    /// What it asks now of which keepers; to be sent again while they don't answer, and never once its time is over.
    pub fn asks(&self, now: Duration) -> Vec<(Number, Ask<V>)> {
        if now > self.until {
            return Vec::new();
        }
        match &self.phase {
            Phase::Asking => {
                let silent = self.keepers.iter().filter(|k| !self.promises.contains_key(k));
                silent.map(|k| (*k, Ask::Promise(self.ballot))).collect()
            }
            Phase::Accepting { value, founds, accepted, .. } => {
                let open = self.promises.iter().filter(|(k, _)| !accepted.contains(k));
                let held = Held { ballot: self.ballot, value: value.clone() };
                open.map(|(k, _)| (*k, Ask::Accept { held: held.clone(), founds: *founds })).collect()
            }
            Phase::Ended => Vec::new(),
        }
    }

    /// A keeper has answered; the outcome, if this is it. After a promise there may be something new to ask.
    pub fn answered(&mut self, now: Duration, from: Number, answer: Answer<V>) -> Option<Outcome<V>> {
        if let Some(outcome) = self.look(now) {
            return Some(outcome);
        }
        if !self.keepers.contains(&from) {
            return None;
        }
        match answer {
            Answer::Promised { ballot, votes, held } if ballot == self.ballot => {
                if !matches!(self.phase, Phase::Asking) {
                    return None;
                }
                // The first answer counts: a later life of that keeper would be a second vote.
                self.promises.entry(from).or_insert(Promise { votes, held });
                self.decide()
            }
            Answer::Outbid { ballot, by } if ballot == self.ballot => match self.phase {
                Phase::Asking => self.end(Outcome::Outbid(by)),
                // Others may have accepted, or may yet.
                _ => None,
            },
            Answer::Accepted(ballot) if ballot == self.ballot => self.count(from),
            _ => None,
        }
    }

    /// Time has passed.
    pub fn look(&mut self, now: Duration) -> Option<Outcome<V>> {
        if now <= self.until {
            return None;
        }
        match self.phase {
            Phase::Asking => self.end(Outcome::NoMajority),
            Phase::Accepting { .. } => self.end(Outcome::Unknown),
            Phase::Ended => None,
        }
    }

    fn end(&mut self, outcome: Outcome<V>) -> Option<Outcome<V>> {
        self.phase = Phase::Ended;
        Some(outcome)
    }

    /// Looks whether enough have promised.
    fn decide(&mut self) -> Option<Outcome<V>> {
        let votes = self.promises.values().filter(|p| p.votes).count();
        let founds = votes < majority(self.keepers.len());
        if founds && self.promises.len() < self.keepers.len() {
            return None;
        }
        let held = self.promises.values().fold(None, |held, p| higher(held, p.held.clone()));
        let held = held.map(|held| held.value);
        let (value, changed) = match (self.change.apply(held.as_ref()), held) {
            (Some(value), _) => (value, true),
            // What is there may be half done: it is told only once a majority holds it.
            (None, Some(held)) => (held, false),
            (None, None) => return self.end(Outcome::Empty),
        };
        self.phase = Phase::Accepting { value, founds, changed, accepted: BTreeSet::new() };
        None
    }

    fn count(&mut self, from: Number) -> Option<Outcome<V>> {
        let Phase::Accepting { value, founds, changed, accepted } = &mut self.phase else { return None };
        // Whoever accepts without having been counted among the promises was not asked to.
        if !self.promises.contains_key(&from) {
            return None;
        }
        accepted.insert(from);
        let enough = if *founds { self.keepers.len() } else { majority(self.keepers.len()) };
        if accepted.len() < enough {
            return None;
        }
        let outcome = if *changed { Outcome::Changed(value.clone()) } else { Outcome::Lost(value.clone()) };
        self.end(outcome)
    }
}
