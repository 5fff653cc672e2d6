//! An acceptor of a register.

use super::{Ballot, PROMISE_TTL, Proposal, Request, Response, VOTE_DELAY, highest, majority};
use crate::member::{Generation, Number};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The state that a peer has sent to a recovering acceptor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StateResponse<V> {
    promised: Ballot,
    accepted: Option<Proposal<V>>,
}

/// Whether an acceptor may vote.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum VotingState<V> {
    /// It has lost its promises and its accepted proposal; holds the state received from each peer so far.
    Recovering(BTreeMap<Number, StateResponse<V>>),
    Voting,
}

/// An acceptor in one of its generations.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    generation: Generation,
    peers: BTreeSet<Number>,
    votes_from: Duration,
    voting_state: VotingState<V>,
    promised: Ballot,
    /// When the highest ballot was promised; `None` if it was not promised in this generation.
    promised_at: Option<Duration>,
    accepted: Option<Proposal<V>>,
}

impl<V: Clone> Acceptor<V> {
    /// Creates an acceptor that starts now with no state; it only knows its peers, the other acceptors.
    pub fn new(generation: Generation, peers: BTreeSet<Number>, now: Duration) -> Acceptor<V> {
        Acceptor::with_vote_delay(generation, peers, now, VOTE_DELAY)
    }

    /// The same with a given vote delay. The model uses it to show what goes wrong without one.
    pub fn with_vote_delay(
        generation: Generation,
        peers: BTreeSet<Number>,
        now: Duration,
        vote_delay: Duration,
    ) -> Acceptor<V> {
        Acceptor {
            generation,
            peers,
            votes_from: now + vote_delay,
            voting_state: VotingState::Recovering(BTreeMap::new()),
            promised: Ballot::default(),
            promised_at: None,
            accepted: None,
        }
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        matches!(self.voting_state, VotingState::Voting)
    }

    /// The proposal that it has accepted.
    pub fn accepted(&self) -> Option<&Proposal<V>> {
        self.accepted.as_ref()
    }

    /// The request that it sends to all peers while it is recovering; to be repeated until it votes.
    pub fn pending_request(&self, now: Duration) -> Option<Request<V>> {
        (!self.votes() && now >= self.votes_from).then_some(Request::ReadState(self.generation))
    }

    /// Handles a request; `None` if it is not answered.
    pub fn handle_request(&mut self, now: Duration, request: Request<V>) -> Option<Response<V>> {
        if now < self.votes_from {
            return None;
        }
        match request {
            Request::Promise(ballot) => Some(self.promise(now, ballot)),
            Request::Accept { proposal, bootstrap } => self.accept(now, proposal, bootstrap),
            // A recovering acceptor has no state to send.
            Request::ReadState(to) => self.votes().then(|| Response::State {
                to,
                promised: self.promised,
                accepted: self.accepted.clone(),
            }),
        }
    }

    fn promise(&mut self, now: Duration, ballot: Ballot) -> Response<V> {
        if ballot < self.promised {
            return Response::Preempted { ballot, by: self.promised };
        }
        // A repeated promise does not extend the validity of the first one.
        if ballot > self.promised || self.promised_at.is_none() {
            self.promised_at = Some(now);
        }
        self.promised = ballot;
        Response::Promised { ballot, votes: self.votes(), accepted: self.accepted.clone() }
    }

    fn accept(&mut self, now: Duration, proposal: Proposal<V>, bootstrap: bool) -> Option<Response<V>> {
        if proposal.ballot < self.promised {
            return Some(Response::Preempted { ballot: proposal.ballot, by: self.promised });
        }
        let is_valid = self.promised_at.is_some_and(|at| now.saturating_sub(at) <= PROMISE_TTL);
        if proposal.ballot != self.promised || !is_valid || !(bootstrap || self.votes()) {
            return None;
        }
        let ballot = proposal.ballot;
        self.accepted = Some(proposal);
        self.voting_state = VotingState::Voting;
        Some(Response::Accepted(ballot))
    }

    /// Handles the state sent by a peer; true if this acceptor votes from now on. Responses of nodes that are
    /// no peers are ignored.
    pub fn handle_state(&mut self, from: Number, response: Response<V>) -> bool {
        let VotingState::Recovering(responses) = &mut self.voting_state else { return false };
        let Response::State { to, promised, accepted, .. } = response else { return false };
        if to != self.generation || !self.peers.contains(&from) {
            return false;
        }
        responses.insert(from, StateResponse { promised, accepted });
        if responses.len() < majority(self.peers.len() + 1) {
            return false;
        }
        let responses = std::mem::take(responses);
        for response in responses.into_values() {
            if response.promised > self.promised {
                // Promised by peers, not by this generation: it accepts nothing under this ballot.
                (self.promised, self.promised_at) = (response.promised, None);
            }
            self.accepted = highest(self.accepted.take(), response.accepted);
        }
        self.voting_state = VotingState::Voting;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: fn(u64) -> Duration = Duration::from_secs;

    fn ballot(round: u32) -> Ballot {
        Ballot { round, proposer: Some(Number(9)), generation: Generation::from_unix_ms(1) }
    }

    fn generation(n: u64) -> Generation {
        Generation::from_unix_ms(n)
    }

    fn state_response(to: u64, round: u32, value: Option<char>) -> Response<char> {
        let accepted = value.map(|value| Proposal { ballot: ballot(round), value });
        Response::State { to: generation(to), promised: ballot(round), accepted }
    }

    fn peers() -> BTreeSet<Number> {
        [Number(1), Number(2)].into()
    }

    /// An acceptor that votes, with the state that two peers have sent it.
    fn voting() -> Acceptor<char> {
        let mut acceptor = Acceptor::new(generation(5), peers(), S(0));
        assert!(!acceptor.handle_state(Number(1), state_response(5, 3, Some('a'))));
        assert!(acceptor.handle_state(Number(2), state_response(5, 2, Some('b'))));
        acceptor
    }

    #[test]
    fn a_restarted_acceptor_is_silent_during_the_vote_delay_and_then_requests_state() {
        let mut acceptor: Acceptor<char> = Acceptor::new(generation(5), peers(), S(100));
        assert_eq!(acceptor.handle_request(S(104), Request::Promise(ballot(1))), None);
        assert_eq!(acceptor.pending_request(S(104)), None);
        assert_eq!(acceptor.pending_request(S(105)), Some(Request::ReadState(generation(5))));
        assert_eq!(
            acceptor.handle_request(S(105), Request::ReadState(generation(8))),
            None,
            "it has no state to send"
        );
        let promised = acceptor.handle_request(S(105), Request::Promise(ballot(1)));
        assert!(
            matches!(promised, Some(Response::Promised { votes: false, accepted: None, .. })),
            "{promised:?}"
        );
        let proposal = Proposal { ballot: ballot(1), value: 'x' };
        let request = Request::Accept { proposal, bootstrap: false };
        assert_eq!(acceptor.handle_request(S(105), request), None, "it has no vote");
    }

    #[test]
    fn an_acceptor_votes_once_enough_peers_have_sent_state_to_this_generation() {
        let mut acceptor = Acceptor::new(generation(5), peers(), S(0));
        assert!(!acceptor.handle_state(Number(1), state_response(5, 3, Some('a'))));
        assert!(
            !acceptor.handle_state(Number(1), state_response(5, 4, Some('c'))),
            "two answers of one peer count once"
        );
        assert!(
            !acceptor.handle_state(Number(2), state_response(4, 9, Some('b'))),
            "sent to an earlier generation"
        );
        assert!(
            !acceptor.handle_state(Number(3), state_response(5, 9, Some('b'))),
            "sent by a node that is no acceptor"
        );
        assert!(acceptor.handle_state(Number(2), state_response(5, 2, None)));
        assert!(acceptor.votes() && acceptor.accepted().map(|h| h.value) == Some('c'));
        let preempted = acceptor.handle_request(S(5), Request::Promise(ballot(3)));
        assert_eq!(preempted, Some(Response::Preempted { ballot: ballot(3), by: ballot(4) }));
    }

    #[test]
    fn an_acceptor_accepts_only_under_its_own_promise_that_has_not_expired() {
        let accept = |round| Request::Accept {
            proposal: Proposal { ballot: ballot(round), value: 'n' },
            bootstrap: false,
        };
        let mut acceptor = voting();
        assert_eq!(acceptor.handle_request(S(10), accept(3)), None, "promised by another acceptor");
        acceptor.handle_request(S(10), Request::Promise(ballot(4)));
        assert_eq!(acceptor.handle_request(S(11), accept(5)), None, "without a promise");
        // A repeated request does not extend the promise.
        acceptor.handle_request(S(12), Request::Promise(ballot(4)));
        assert_eq!(acceptor.handle_request(S(13), accept(4)), None, "after the promise has expired");
        acceptor.handle_request(S(20), Request::Promise(ballot(6)));
        assert_eq!(
            acceptor.handle_request(S(21), accept(4)),
            Some(Response::Preempted { ballot: ballot(4), by: ballot(6) })
        );
        assert_eq!(acceptor.handle_request(S(22), accept(6)), Some(Response::Accepted(ballot(6))));
        assert_eq!(acceptor.accepted().map(|h| h.value), Some('n'));
    }
}
