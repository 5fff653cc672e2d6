//! A register that a majority of *acceptors* agrees on, changed by compare-and-set, although no acceptor has
//! durable storage.
//!
//! The protocol is single-decree Paxos in rounds, as in CASPaxos (Rystsov, 2018): to change the register, a
//! proposer asks all acceptors for a promise, learns the accepted value from a majority, and has a majority
//! accept the value that follows from it. The difference to CASPaxos is that an acceptor that restarts has
//! lost its promises and its accepted value. Three rules compensate for that.
//! `docs/design/agreed-settings.md` has the argument, and `tests/register_model.rs` checks every order of
//! events for three acceptors.
//!
//! 1. A promise is valid for [`PROMISE_TTL`]: by the proposer's clock from its first request on, and by the
//!    acceptor's clock from the promise on. An acceptor accepts only under a promise that it made itself, in
//!    its current generation.
//! 2. A restarted acceptor does not vote for [`VOTE_DELAY`]: by then no promise of an earlier generation of
//!    it can take effect.
//! 3. Then it requests the state of its peers, and votes again once as many peers as make up a majority have
//!    sent theirs.
//!
//! If a majority has lost its state at once, all acceptors together (none may be absent) bootstrap the
//! register from the highest proposal that any of them has accepted.

pub mod acceptor;
pub mod proposer;

use crate::member::{Generation, Number};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a promise is valid.
pub const PROMISE_TTL: Duration = Duration::from_millis(2_000);
/// The maximum deviation of a clock's rate, as a fraction.
pub const CLOCK_DRIFT_MAX: f64 = 0.05;
/// How long a restarted acceptor does not vote. A proposer that holds a promise of an earlier generation
/// sends its accept requests within [`PROMISE_TTL`] of its first request, and the other acceptors that
/// promised accept within [`PROMISE_TTL`] of that. This takes at most 2 * PROMISE_TTL / (1 -
/// CLOCK_DRIFT_MAX), and a clock that runs fast measures (1 + CLOCK_DRIFT_MAX) times as much.
pub const VOTE_DELAY: Duration = Duration::from_millis(5_000);

/// The number of a round. Ballots are totally ordered, and no two proposers use the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// The round, counted up by the proposer.
    pub round: u32,
    /// The proposer's number.
    pub proposer: Option<Number>,
    /// The proposer's generation.
    pub generation: Generation,
}

/// A value with the ballot that it is proposed or was accepted under.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Proposal<V> {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: V,
}

/// A request to an acceptor.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request<V> {
    /// Asks it to promise to take part in no lower ballot, and to send its accepted proposal.
    Promise(Ballot),
    /// Asks it to accept a proposal under its promise.
    Accept {
        /// The proposal: ballot and value.
        proposal: Proposal<V>,
        /// True if all acceptors were asked and all have to accept. With it, acceptors that have lost their
        /// state may vote.
        bootstrap: bool,
    },
    /// Asks for the state, on behalf of an acceptor that has lost its own. It carries the generation of the
    /// sender, so that responses to an earlier generation are ignored.
    ReadState(Generation),
}

/// An acceptor's response.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Response<V> {
    /// It promises the ballot.
    Promised {
        /// The promised ballot.
        ballot: Ballot,
        /// Whether it votes. An acceptor that has lost its state promises as well, to take part in a
        /// bootstrap.
        votes: bool,
        /// The proposal that it has accepted.
        accepted: Option<Proposal<V>>,
    },
    /// It has promised a higher ballot to another proposer.
    Preempted {
        /// The ballot of the request.
        ballot: Ballot,
        /// The higher ballot that it has promised.
        by: Ballot,
    },
    /// It has accepted the proposal with this ballot.
    Accepted(Ballot),
    /// Its state, sent to an acceptor that has lost its own.
    State {
        /// The generation of the acceptor that asked.
        to: Generation,
        /// The highest ballot that it has promised.
        promised: Ballot,
        /// The proposal that it has accepted.
        accepted: Option<Proposal<V>>,
    },
}

/// The size of a majority of so many acceptors.
pub fn majority(acceptors: usize) -> usize {
    acceptors / 2 + 1
}

/// The proposal with the higher ballot.
pub(crate) fn highest<V>(a: Option<Proposal<V>>, b: Option<Proposal<V>>) -> Option<Proposal<V>> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.ballot > a.ballot { b } else { a }),
        (a, b) => a.or(b),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_vote_delay_outlasts_every_promise_of_an_earlier_generation() {
        let longest = PROMISE_TTL.as_secs_f64() * 2.0 / (1.0 - CLOCK_DRIFT_MAX);
        assert!(VOTE_DELAY.as_secs_f64() / (1.0 + CLOCK_DRIFT_MAX) > longest);
    }

    #[test]
    fn any_two_quorums_intersect_and_so_do_a_quorum_and_the_peers_that_send_state() {
        for acceptors in 1..=9 {
            assert!(2 * majority(acceptors) > acceptors);
            // One acceptor of a majority that accepted has lost its state; the peers that send it theirs are
            // other ones.
            assert!(majority(acceptors) + (majority(acceptors) - 1) > acceptors - 1);
        }
    }
}
