//! One change of a register: a round from its first request to its outcome.

use super::{Ballot, PROMISE_TTL, Proposal, Request, Response, highest, majority};
use crate::member::Number;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Computes the new value of the register from the current one.
pub trait Change<V> {
    /// The value that the register should hold; `None` leaves it unchanged, because the current value is not
    /// the expected one.
    fn apply(&self, accepted: Option<&V>) -> Option<V>;
}

/// How a round ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome<V> {
    /// The register holds the result of the change.
    Changed(V),
    /// The change did not apply; the register holds this value and keeps it.
    Unchanged(V),
    /// The register is empty, and the change did not apply to that.
    Empty,
    /// An acceptor has promised a higher ballot; nothing was changed. The round can be retried with a ballot
    /// above this one.
    Preempted(Ballot),
    /// No majority has promised in time; nothing was changed.
    NoMajority,
    /// Some acceptors may have accepted: the next round finds out and may complete the change.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promise<V> {
    votes: bool,
    accepted: Option<Proposal<V>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase<V> {
    Preparing,
    /// All acceptors that promised have been asked to accept this value.
    Accepting {
        value: V,
        bootstrap: bool,
        changed: bool,
        voters: BTreeSet<Number>,
    },
    Ended,
}

/// A round. Its requests go to all acceptors, and may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer<V, C> {
    ballot: Ballot,
    acceptors: BTreeSet<Number>,
    change: C,
    deadline: Duration,
    promises: BTreeMap<Number, Promise<V>>,
    phase: Phase<V>,
}

impl<V: Clone, C: Change<V>> Proposer<V, C> {
    /// Starts a round now; its first requests are [`Proposer::pending_requests`].
    pub fn new(ballot: Ballot, acceptors: BTreeSet<Number>, change: C, now: Duration) -> Proposer<V, C> {
        let promises = BTreeMap::new();
        Proposer { ballot, acceptors, change, deadline: now + PROMISE_TTL, promises, phase: Phase::Preparing }
    }

    /// When [`Proposer::handle_timeout`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        (!matches!(self.phase, Phase::Ended)).then_some(self.deadline)
    }

    /// Whether the round has reached the accept phase. On entry to it [`Proposer::pending_requests`] are new
    /// and have to be sent at once.
    pub fn is_accepting(&self) -> bool {
        matches!(self.phase, Phase::Accepting { .. })
    }

    /// The requests to send now and the acceptors they go to. They may be repeated while there is no
    /// response; there are none after the deadline.
    pub fn pending_requests(&self, now: Duration) -> Vec<(Number, Request<V>)> {
        if now > self.deadline {
            return Vec::new();
        }
        match &self.phase {
            Phase::Preparing => {
                let pending_promises = self.acceptors.iter().filter(|k| !self.promises.contains_key(k));
                pending_promises.map(|k| (*k, Request::Promise(self.ballot))).collect()
            }
            Phase::Accepting { value, bootstrap, voters, .. } => {
                let pending = self.promises.iter().filter(|(k, _)| !voters.contains(k));
                let proposal = Proposal { ballot: self.ballot, value: value.clone() };
                pending
                    .map(|(k, _)| (*k, Request::Accept { proposal: proposal.clone(), bootstrap: *bootstrap }))
                    .collect()
            }
            Phase::Ended => Vec::new(),
        }
    }

    /// Handles a response of an acceptor; returns the outcome if the round has ended. After a promise there
    /// may be new requests.
    pub fn handle_response(
        &mut self,
        now: Duration,
        from: Number,
        response: Response<V>,
    ) -> Option<Outcome<V>> {
        if let Some(outcome) = self.handle_timeout(now) {
            return Some(outcome);
        }
        if !self.acceptors.contains(&from) {
            return None;
        }
        match response {
            Response::Promised { ballot, votes, accepted } if ballot == self.ballot => {
                if !matches!(self.phase, Phase::Preparing) {
                    return None;
                }
                // The first response counts: one from a later generation of that acceptor would be a second
                // vote.
                self.promises.entry(from).or_insert(Promise { votes, accepted });
                self.try_propose()
            }
            Response::Preempted { ballot, by } if ballot == self.ballot => match self.phase {
                Phase::Preparing => self.end(Outcome::Preempted(by)),
                // Other acceptors may have accepted, or may still do so.
                _ => None,
            },
            Response::Accepted(ballot) if ballot == self.ballot => self.record_acceptance(from),
            _ => None,
        }
    }

    /// Ends the round if its deadline has passed.
    pub fn handle_timeout(&mut self, now: Duration) -> Option<Outcome<V>> {
        if now <= self.deadline {
            return None;
        }
        match self.phase {
            Phase::Preparing => self.end(Outcome::NoMajority),
            Phase::Accepting { .. } => self.end(Outcome::Unknown),
            Phase::Ended => None,
        }
    }

    fn end(&mut self, outcome: Outcome<V>) -> Option<Outcome<V>> {
        self.phase = Phase::Ended;
        Some(outcome)
    }

    /// Checks whether enough acceptors have promised, and enters the accept phase if so.
    fn try_propose(&mut self) -> Option<Outcome<V>> {
        let votes = self.promises.values().filter(|p| p.votes).count();
        let bootstrap = votes < majority(self.acceptors.len());
        if bootstrap && self.promises.len() < self.acceptors.len() {
            return None;
        }
        let accepted = self.promises.values().fold(None, |accepted, p| highest(accepted, p.accepted.clone()));
        let accepted = accepted.map(|accepted| accepted.value);
        let (value, changed) = match (self.change.apply(accepted.as_ref()), accepted) {
            (Some(value), _) => (value, true),
            // The accepted value may not be held by a majority: it is returned only once a majority has
            // accepted it again.
            (None, Some(accepted)) => (accepted, false),
            (None, None) => return self.end(Outcome::Empty),
        };
        self.phase = Phase::Accepting { value, bootstrap, changed, voters: BTreeSet::new() };
        None
    }

    fn record_acceptance(&mut self, from: Number) -> Option<Outcome<V>> {
        let Phase::Accepting { value, bootstrap, changed, voters } = &mut self.phase else { return None };
        // An acceptor whose promise was not counted was not asked to accept.
        if !self.promises.contains_key(&from) {
            return None;
        }
        voters.insert(from);
        let needed = if *bootstrap { self.acceptors.len() } else { majority(self.acceptors.len()) };
        if voters.len() < needed {
            return None;
        }
        let outcome =
            if *changed { Outcome::Changed(value.clone()) } else { Outcome::Unchanged(value.clone()) };
        self.end(outcome)
    }
}
