//! One keeper of a register.

use super::{Answer, Ask, Ballot, Held, KEPT_BACK, SERVES, higher, majority};
use crate::member::{Life, Number};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What an answer to a keeper that has forgotten said.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Heard<V> {
    promised: Ballot,
    held: Option<Held<V>>,
}

/// Whether it may vote.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Standing<V> {
    /// It has forgotten what it promised and held; who has told it what they hold.
    Forgotten(BTreeMap<Number, Heard<V>>),
    Votes,
}

/// A keeper in one of its lives.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Keeper<V> {
    life: Life,
    others: BTreeSet<Number>,
    votes_from: Duration,
    standing: Standing<V>,
    promised: Ballot,
    /// When the highest round was promised in this life.
    promised_at: Option<Duration>,
    held: Option<Held<V>>,
}

impl<V: Clone> Keeper<V> {
    /// One that starts now, and knows nothing but who the other keepers are.
    pub fn new(life: Life, others: BTreeSet<Number>, now: Duration) -> Keeper<V> {
        Keeper::with_vote_kept_back(life, others, now, KEPT_BACK)
    }

    /// The same with another time; for the model, which shows what goes wrong with none.
    pub fn with_vote_kept_back(
        life: Life,
        others: BTreeSet<Number>,
        now: Duration,
        kept_back: Duration,
    ) -> Keeper<V> {
        Keeper {
            life,
            others,
            votes_from: now + kept_back,
            standing: Standing::Forgotten(BTreeMap::new()),
            promised: Ballot::default(),
            promised_at: None,
            held: None,
        }
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        matches!(self.standing, Standing::Votes)
    }

    /// What it holds.
    pub fn held(&self) -> Option<&Held<V>> {
        self.held.as_ref()
    }

    /// What it asks all other keepers now, again and again, while it has forgotten.
    pub fn asks(&self, now: Duration) -> Option<Ask<V>> {
        (!self.votes() && now >= self.votes_from).then_some(Ask::Tell(self.life))
    }

    /// Answers a question, or says nothing.
    pub fn answer(&mut self, now: Duration, ask: Ask<V>) -> Option<Answer<V>> {
        if now < self.votes_from {
            return None;
        }
        match ask {
            Ask::Promise(ballot) => Some(self.promise(now, ballot)),
            Ask::Accept { held, founds } => self.accept(now, held, founds),
            // One that has forgotten has nothing to tell.
            Ask::Tell(to) => {
                self.votes().then(|| Answer::Told { to, promised: self.promised, held: self.held.clone() })
            }
        }
    }

    fn promise(&mut self, now: Duration, ballot: Ballot) -> Answer<V> {
        if ballot < self.promised {
            return Answer::Outbid { ballot, by: self.promised };
        }
        // Said again its time does not begin again.
        if ballot > self.promised || self.promised_at.is_none() {
            self.promised_at = Some(now);
        }
        self.promised = ballot;
        Answer::Promised { ballot, votes: self.votes(), held: self.held.clone() }
    }

    fn accept(&mut self, now: Duration, held: Held<V>, founds: bool) -> Option<Answer<V>> {
        if held.ballot < self.promised {
            return Some(Answer::Outbid { ballot: held.ballot, by: self.promised });
        }
        let serves = self.promised_at.is_some_and(|at| now.saturating_sub(at) <= SERVES);
        if held.ballot != self.promised || !serves || !(founds || self.votes()) {
            return None;
        }
        let ballot = held.ballot;
        self.held = Some(held);
        self.standing = Standing::Votes;
        Some(Answer::Accepted(ballot))
    }

    /// Another keeper has told what it holds; true if this one votes from now on. Whoever is no other keeper is not heard.
    pub fn told(&mut self, from: Number, answer: Answer<V>) -> bool {
        let Standing::Forgotten(heard) = &mut self.standing else { return false };
        let Answer::Told { to, promised, held, .. } = answer else { return false };
        if to != self.life || !self.others.contains(&from) {
            return false;
        }
        heard.insert(from, Heard { promised, held });
        if heard.len() < majority(self.others.len() + 1) {
            return false;
        }
        let heard = std::mem::take(heard);
        for one in heard.into_values() {
            if one.promised > self.promised {
                // Promised by others, and not by this life: it accepts nothing under it.
                (self.promised, self.promised_at) = (one.promised, None);
            }
            self.held = higher(self.held.take(), one.held);
        }
        self.standing = Standing::Votes;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: fn(u64) -> Duration = Duration::from_secs;

    fn ballot(round: u32) -> Ballot {
        Ballot { round, asker: Some(Number(9)), life: Life::from_unix_ms(1) }
    }

    fn life(n: u64) -> Life {
        Life::from_unix_ms(n)
    }

    fn told(to: u64, round: u32, value: Option<char>) -> Answer<char> {
        let held = value.map(|value| Held { ballot: ballot(round), value });
        Answer::Told { to: life(to), promised: ballot(round), held }
    }

    fn others() -> BTreeSet<Number> {
        [Number(1), Number(2)].into()
    }

    /// One that votes, and holds what two others have told it.
    fn voting() -> Keeper<char> {
        let mut keeper = Keeper::new(life(5), others(), S(0));
        assert!(!keeper.told(Number(1), told(5, 3, Some('a'))));
        assert!(keeper.told(Number(2), told(5, 2, Some('b'))));
        keeper
    }

    #[test]
    fn one_that_has_started_says_nothing_at_first_and_then_asks() {
        let mut keeper: Keeper<char> = Keeper::new(life(5), others(), S(100));
        assert_eq!(keeper.answer(S(104), Ask::Promise(ballot(1))), None);
        assert_eq!(keeper.asks(S(104)), None);
        assert_eq!(keeper.asks(S(105)), Some(Ask::Tell(life(5))));
        assert_eq!(keeper.answer(S(105), Ask::Tell(life(8))), None, "it has nothing to tell");
        let promised = keeper.answer(S(105), Ask::Promise(ballot(1)));
        assert!(matches!(promised, Some(Answer::Promised { votes: false, held: None, .. })), "{promised:?}");
        let held = Held { ballot: ballot(1), value: 'x' };
        let ask = Ask::Accept { held, founds: false };
        assert_eq!(keeper.answer(S(105), ask), None, "it has no vote");
    }

    #[test]
    fn it_votes_once_as_many_others_as_make_a_majority_have_told_this_life() {
        let mut keeper = Keeper::new(life(5), others(), S(0));
        assert!(!keeper.told(Number(1), told(5, 3, Some('a'))));
        assert!(!keeper.told(Number(1), told(5, 4, Some('c'))), "two lives of one keeper are one");
        assert!(!keeper.told(Number(2), told(4, 9, Some('b'))), "told to an earlier life");
        assert!(!keeper.told(Number(3), told(5, 9, Some('b'))), "told by one that is no keeper");
        assert!(keeper.told(Number(2), told(5, 2, None)));
        assert!(keeper.votes() && keeper.held().map(|h| h.value) == Some('c'));
        let outbid = keeper.answer(S(5), Ask::Promise(ballot(3)));
        assert_eq!(outbid, Some(Answer::Outbid { ballot: ballot(3), by: ballot(4) }));
    }

    #[test]
    fn it_accepts_only_under_a_promise_of_its_own_that_still_serves() {
        let accept = |round| Ask::Accept { held: Held { ballot: ballot(round), value: 'n' }, founds: false };
        let mut keeper = voting();
        assert_eq!(keeper.answer(S(10), accept(3)), None, "promised by another keeper");
        keeper.answer(S(10), Ask::Promise(ballot(4)));
        assert_eq!(keeper.answer(S(11), accept(5)), None, "under no promise");
        // Asking again does not make it serve longer.
        keeper.answer(S(12), Ask::Promise(ballot(4)));
        assert_eq!(keeper.answer(S(13), accept(4)), None, "late");
        keeper.answer(S(20), Ask::Promise(ballot(6)));
        assert_eq!(
            keeper.answer(S(21), accept(4)),
            Some(Answer::Outbid { ballot: ballot(4), by: ballot(6) })
        );
        assert_eq!(keeper.answer(S(22), accept(6)), Some(Answer::Accepted(ballot(6))));
        assert_eq!(keeper.held().map(|h| h.value), Some('n'));
    }
}
