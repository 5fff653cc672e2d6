//! A register that a majority of *keepers* agrees on, changed by compare-and-set, though no keeper has a disk that lasts.
//!
//! Single-value Paxos in rounds, as in CASPaxos (Rystsov, 2018): whoever changes the register asks all keepers for a promise,
//! learns from a majority what is held, and has a majority accept what follows from it. What is different here is that a keeper
//! which starts again has forgotten what it promised. Three rules make up for that; `docs/design/agreed-settings.md` has the argument,
//! `tests/register_model.rs` every order of events for three keepers.
//!
//! 1. A promise serves for [`SERVES`], by the clock of who asked from its first question on, and by the keeper's clock from the promise
//!    on, and a keeper accepts only what it promised itself, in its present life.
//! 2. A keeper that has started keeps its vote back for [`KEPT_BACK`]: by then nothing can come of what an earlier life of it promised.
//! 3. Then it asks what the others hold, and votes again once as many keepers as make a majority, itself not among them, have told it.
//!
//! Where a majority has forgotten at once, all keepers together (none may be missing) found the register anew on the highest that
//! any of them holds.

pub mod keeper;
pub mod proposer;

use crate::member::{Life, Number};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a promise serves.
pub const SERVES: Duration = Duration::from_millis(2_000);
/// How far a clock may run fast or slow, as a part of one.
pub const DRIFT: f64 = 0.05;
/// How long a keeper that has started keeps its vote back. Whoever holds a promise of an earlier life of it asks for acceptance within
/// [`SERVES`] of its first question, and whoever else has promised accepts within [`SERVES`] of that: at most 2 * SERVES / (1 - DRIFT)
/// in all, of which a clock that runs fast shows (1 + DRIFT) times as much.
pub const KEPT_BACK: Duration = Duration::from_millis(5_000);

/// The number of a round. It rises; no two askers share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts up.
    pub round: u32,
    /// Whose it is.
    pub asker: Option<Number>,
    /// In which of its lives.
    pub life: Life,
}

/// What a keeper holds: a value, and the round in which it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held<V> {
    /// The round.
    pub ballot: Ballot,
    /// The value.
    pub value: V,
}

/// What is asked of a keeper.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask<V> {
    /// Promise to take part in no lower round, and say what you hold.
    Promise(Ballot),
    /// Accept this, as you have promised.
    Accept {
        /// The round, and the value.
        held: Held<V>,
        /// All keepers were asked, and all are to accept: those that had forgotten may vote with this.
        founds: bool,
    },
    /// Say what you hold to a keeper that has forgotten. With its life, so that an answer to an earlier one counts for nothing.
    Tell(Life),
}

/// A keeper's answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Answer<V> {
    /// It promises.
    Promised {
        /// The round.
        ballot: Ballot,
        /// Whether it has a vote; one that has forgotten promises as well, for a founding.
        votes: bool,
        /// What it holds.
        held: Option<Held<V>>,
    },
    /// It has promised this higher round to another.
    Outbid {
        /// The round that was asked for.
        ballot: Ballot,
        /// The one that it has promised.
        by: Ballot,
    },
    /// It has accepted in this round.
    Accepted(Ballot),
    /// To one that has forgotten.
    Told {
        /// The life of the one that asked.
        to: Life,
        /// The highest round that it has promised.
        promised: Ballot,
        /// What it holds.
        held: Option<Held<V>>,
    },
}

/// How many of so many keepers are a majority.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}

/// The higher of two, by round.
pub(crate) fn higher<V>(a: Option<Held<V>>, b: Option<Held<V>>) -> Option<Held<V>> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.ballot > a.ballot { b } else { a }),
        (a, b) => a.or(b),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_vote_is_kept_back_until_nothing_can_come_of_an_old_promise() {
        let longest = SERVES.as_secs_f64() * 2.0 / (1.0 - DRIFT);
        assert!(KEPT_BACK.as_secs_f64() / (1.0 + DRIFT) > longest);
    }

    #[test]
    fn two_majorities_share_a_keeper_and_so_do_a_majority_and_those_who_tell() {
        for keepers in 1..=9 {
            assert!(2 * majority(keepers) > keepers);
            // Of a majority that accepted one has forgotten; those who tell it are others.
            assert!(majority(keepers) + (majority(keepers) - 1) > keepers - 1);
        }
    }
}
