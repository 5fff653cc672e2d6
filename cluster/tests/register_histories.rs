//! Thousands of drawn histories of a register: keepers start again from nothing, one after the other and a minority at a time, clocks run
//! fast and slow, askers stand still in the middle, datagrams are lost, doubled and late by up to ten seconds.
//!
//! The reference is a counter: of changes that came to be no two made the same of it, and whichever began after another had come to be
//! made more of it. Each history prints its seed when it fails.

use dilljunction_cluster::member::{Life, Number};
use dilljunction_cluster::register::keeper::Keeper;
use dilljunction_cluster::register::proposer::{Change, Outcome, Proposer};
use dilljunction_cluster::register::{Answer, Ask, Ballot, DRIFT, majority};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

type Value = u64;

const HISTORIES: u64 = 10_000;
const ASKERS: usize = 3;
/// Faults come until then, in milliseconds, and it ends then.
const CALM_AT: u64 = 60_000;
const ENDS_AT: u64 = 85_000;
/// How often what was not answered is asked again.
const AGAIN: u64 = 150;

#[derive(Clone)]
struct CountUp;

impl Change<Value> for CountUp {
    fn apply(&self, held: Option<&Value>) -> Option<Value> {
        Some(held.map_or(0, |held| *held) + 1)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Whom {
    Asker(usize),
    Keeper(usize),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Asked { from: Whom, to: usize, ask: Ask<Value> },
    Answered { from: usize, to: Whom, answer: Answer<Value> },
    KeeperAsks(usize),
    AskerAsks(usize),
    Begins(usize),
    Goes(usize),
    StartsAgain(usize),
}

struct Asker {
    round: Option<(u64, Proposer<Value, CountUp>)>,
    highest: u32,
    rate: f64,
    /// It stands still, and what comes waits.
    stands: bool,
    waiting: Vec<(usize, Answer<Value>)>,
}

struct History {
    random: SmallRng,
    now: u64,
    order: u64,
    events: BTreeMap<Reverse<(u64, u64)>, Event>,
    keepers: Vec<Keeper<Value>>,
    rates: Vec<f64>,
    lives: Vec<u64>,
    askers: Vec<Asker>,
    /// When each change that came to be began and ended, and what it made.
    changed: Vec<(u64, u64, Value)>,
    restarts: u32,
}

fn others(keeper: usize, keepers: usize) -> BTreeSet<Number> {
    (0..keepers).filter(|n| *n != keeper).map(|n| Number(n as u16)).collect()
}

fn local(ms: u64, rate: f64) -> Duration {
    Duration::from_secs_f64(ms as f64 * rate / 1e3)
}

impl History {
    fn new(seed: u64) -> History {
        let mut random = SmallRng::seed_from_u64(seed);
        let keepers = if random.random_bool(0.5) { 3 } else { 5 };
        let rate = |random: &mut SmallRng| random.random_range(1.0 - DRIFT..=1.0 + DRIFT);
        let rates: Vec<f64> = (0..keepers).map(|_| rate(&mut random)).collect();
        let mut history = History {
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            keepers: (0..keepers)
                .map(|k| Keeper::new(Life::from_unix_ms(1), others(k, keepers), Duration::ZERO))
                .collect(),
            lives: vec![1; keepers],
            askers: (0..ASKERS)
                .map(|_| Asker { round: None, highest: 0, rate: 1.0, stands: false, waiting: Vec::new() })
                .collect(),
            rates,
            changed: Vec::new(),
            restarts: 0,
            random,
        };
        for asker in 0..ASKERS {
            history.askers[asker].rate = rate(&mut history.random);
            let at = history.random.random_range(5_500..8_000);
            history.at(at, Event::Begins(asker));
        }
        (0..keepers).for_each(|k| history.at(0, Event::KeeperAsks(k)));
        let mut at = 10_000;
        while at < CALM_AT {
            let k = history.random.random_range(0..keepers);
            history.at(at, Event::StartsAgain(k));
            at += history.random.random_range(50..4_000);
        }
        history
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert(Reverse((at, self.order)), event);
    }

    /// Sends something, which comes in its time, twice, or never.
    fn send(&mut self, event: impl Fn() -> Event) {
        let calm = self.now >= CALM_AT;
        if !calm && self.random.random_bool(0.1) {
            return;
        }
        for _ in 0..1 + usize::from(!calm && self.random.random_bool(0.1)) {
            let late = !calm && self.random.random_bool(0.05);
            let travels =
                if late { self.random.random_range(20..10_000) } else { self.random.random_range(1..20) };
            self.at(self.now + travels, event());
        }
    }

    fn ask_keepers(&mut self, asker: usize) {
        let Some((_, proposer)) = &self.askers[asker].round else { return };
        for (to, ask) in proposer.asks(local(self.now, self.askers[asker].rate)) {
            let to = usize::from(to.0);
            self.send(|| Event::Asked { from: Whom::Asker(asker), to, ask: ask.clone() });
        }
    }

    fn ended(&mut self, asker: usize, outcome: Option<Outcome<Value>>) {
        let Some(outcome) = outcome else { return };
        let Some((began, _)) = self.askers[asker].round.take() else { return };
        match outcome {
            Outcome::Changed(value) => self.changed.push((began, self.now, value)),
            Outcome::Outbid(by) => {
                self.askers[asker].highest = self.askers[asker].highest.max(by.round);
            }
            Outcome::NoMajority | Outcome::Unknown | Outcome::Lost(_) | Outcome::Empty => {}
        }
        let pause = self.random.random_range(10..1_500);
        self.at(self.now + pause, Event::Begins(asker));
    }

    fn hear(&mut self, asker: usize, from: usize, answer: Answer<Value>) {
        let now = local(self.now, self.askers[asker].rate);
        let Some((_, proposer)) = &mut self.askers[asker].round else { return };
        let was_accepting = proposer.is_accepting();
        let outcome = proposer.answered(now, Number(from as u16), answer);
        let decided = !was_accepting && proposer.is_accepting();
        self.ended(asker, outcome);
        if decided {
            self.ask_keepers(asker);
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Asked { from, to, ask } => {
                let now = local(self.now, self.rates[to]);
                if let Some(answer) = self.keepers[to].answer(now, ask) {
                    self.send(|| Event::Answered { from: to, to: from, answer: answer.clone() });
                }
            }
            Event::Answered { from, to: Whom::Keeper(k), answer } => {
                self.keepers[k].told(Number(from as u16), answer);
            }
            Event::Answered { from, to: Whom::Asker(asker), answer } => {
                if self.askers[asker].stands {
                    self.askers[asker].waiting.push((from, answer));
                } else {
                    self.hear(asker, from, answer);
                }
            }
            Event::KeeperAsks(k) => {
                if let Some(ask) = self.keepers[k].asks(local(self.now, self.rates[k])) {
                    for to in (0..self.keepers.len()).filter(|to| *to != k) {
                        self.send(|| Event::Asked { from: Whom::Keeper(k), to, ask: ask.clone() });
                    }
                }
                self.at(self.now + AGAIN, Event::KeeperAsks(k));
            }
            Event::AskerAsks(asker) => {
                if self.askers[asker].stands || self.askers[asker].round.is_none() {
                    return;
                }
                let now = local(self.now, self.askers[asker].rate);
                let outcome = self.askers[asker].round.as_mut().and_then(|(_, proposer)| proposer.look(now));
                if outcome.is_some() {
                    self.ended(asker, outcome);
                } else {
                    self.ask_keepers(asker);
                    self.at(self.now + AGAIN, Event::AskerAsks(asker));
                }
            }
            Event::Begins(asker) => {
                let one = &mut self.askers[asker];
                one.highest += 1;
                let life = Life::from_unix_ms(1);
                let ballot = Ballot { round: one.highest, asker: Some(Number(100 + asker as u16)), life };
                let keepers: BTreeSet<Number> = (0..self.keepers.len()).map(|k| Number(k as u16)).collect();
                let proposer = Proposer::new(ballot, keepers, CountUp, local(self.now, one.rate));
                one.round = Some((self.now, proposer));
                self.ask_keepers(asker);
                self.at(self.now + AGAIN, Event::AskerAsks(asker));
                if self.now < CALM_AT && self.random.random_bool(0.1) {
                    self.askers[asker].stands = true;
                    let goes = self.now + self.random.random_range(10..8_000);
                    self.at(goes, Event::Goes(asker));
                }
            }
            Event::Goes(asker) => {
                self.askers[asker].stands = false;
                for (from, answer) in std::mem::take(&mut self.askers[asker].waiting) {
                    self.hear(asker, from, answer);
                }
                self.at(self.now, Event::AskerAsks(asker));
            }
            Event::StartsAgain(k) => {
                // A minority at a time; of a majority at once another test speaks.
                let forgotten = (0..self.keepers.len()).filter(|o| *o != k && !self.keepers[*o].votes());
                if forgotten.count() + 1 > self.keepers.len() - majority(self.keepers.len()) {
                    return;
                }
                self.restarts += 1;
                self.lives[k] += 1;
                let (life, now) = (Life::from_unix_ms(self.lives[k]), local(self.now, self.rates[k]));
                self.keepers[k] = Keeper::new(life, others(k, self.keepers.len()), now);
            }
        }
    }

    fn run(&mut self) {
        while let Some((Reverse((at, _)), event)) = self.events.pop_last() {
            if at > ENDS_AT {
                break;
            }
            self.now = self.now.max(at);
            self.happens(event);
        }
    }

    /// What is wrong with it, if anything is.
    fn wrong(&self) -> Option<String> {
        let mut made: Vec<Value> = self.changed.iter().map(|c| c.2).collect();
        made.sort_unstable();
        if let Some(twice) = made.windows(2).find(|pair| pair[0] == pair[1]) {
            return Some(format!("{} was made twice", twice[0]));
        }
        for (_, ended, value) in &self.changed {
            let later = self.changed.iter().find(|(began, _, later)| began > ended && later < value);
            if let Some((began, _, later)) = later {
                return Some(format!(
                    "{value} was there at {ended} ms, and {later} was made from {began} ms on"
                ));
            }
        }
        let calm = self.changed.iter().any(|(began, _, _)| *began > CALM_AT + 10_000);
        (!calm).then(|| "it never works again".to_string())
    }
}

#[test]
fn no_history_loses_a_change_or_goes_back() {
    let (mut changes, mut restarts) = (0, 0);
    for seed in 0..HISTORIES {
        let mut history = History::new(seed);
        history.run();
        if let Some(wrong) = history.wrong() {
            panic!("seed {seed}, {} keepers: {wrong}", history.keepers.len());
        }
        changes += history.changed.len();
        restarts += history.restarts;
    }
    eprintln!("{changes} changes, {restarts} restarts");
    assert!(changes > 10 * HISTORIES as usize && u64::from(restarts) > 5 * HISTORIES);
}

/// All keepers start again in the same second: what only they held is lost, and all together found the register anew; with one of
/// them away they do not, since that one may hold what they have forgotten.
#[test]
fn all_at_once_it_is_founded_anew_by_all_and_by_no_fewer() {
    let change = |keepers: &mut [Keeper<Value>], present: usize, round: u32, now: u64| {
        let numbers: BTreeSet<Number> = (0..keepers.len()).map(|k| Number(k as u16)).collect();
        let ballot = Ballot { round, asker: Some(Number(9)), life: Life::from_unix_ms(1) };
        let now = Duration::from_secs(now);
        let mut proposer = Proposer::new(ballot, numbers, CountUp, now);
        for _ in 0..2 {
            for (to, ask) in proposer.asks(now) {
                let to = usize::from(to.0);
                let answer = if to < present { keepers[to].answer(now, ask) } else { None };
                let outcome = answer.and_then(|answer| proposer.answered(now, Number(to as u16), answer));
                if outcome.is_some() {
                    return outcome;
                }
            }
        }
        proposer.look(now + Duration::from_secs(60))
    };
    let start = |k, life, now| Keeper::new(Life::from_unix_ms(life), others(k, 3), Duration::from_secs(now));
    let mut keepers: Vec<Keeper<Value>> = (0..3).map(|k| start(k, 1, 0)).collect();
    assert_eq!(change(&mut keepers, 2, 1, 10), Some(Outcome::NoMajority), "one is away");
    assert_eq!(change(&mut keepers, 3, 2, 20), Some(Outcome::Changed(1)));
    assert_eq!(
        change(&mut keepers, 2, 3, 30),
        Some(Outcome::Changed(2)),
        "a majority is enough from then on"
    );
    // Two forget: the third holds what was founded, and the last change is theirs to lose.
    (keepers[0], keepers[1]) = (start(0, 2, 40), start(1, 2, 40));
    assert_eq!(
        change(&mut keepers, 2, 4, 50),
        Some(Outcome::NoMajority),
        "those who have forgotten found nothing"
    );
    assert_eq!(change(&mut keepers, 3, 5, 60), Some(Outcome::Changed(2)), "on the highest that any holds");
}
