//! Every order of events for three keepers, two askers and a keeper that starts again from nothing: messages are lost, come twice, late,
//! and in any order. The real state machines, in steps of time that are longer than any promise serves.
//!
//! What must never be: two changes that both came to be, and were both made from the same. Each of the rules that make up for forgetting
//! is left out once, and the checker shows the history that goes wrong.

use dilljunction_cluster::member::{Life, Number};
use dilljunction_cluster::register::keeper::Keeper;
use dilljunction_cluster::register::proposer::{Change, Outcome, Proposer};
use dilljunction_cluster::register::{Answer, Ask, Ballot, KEPT_BACK};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const KEEPERS: u16 = 3;
/// Time goes on in steps of this.
const STEP: Duration = KEPT_BACK;

/// A value: how many changes it has seen, and whose the last one was.
type Value = (u8, u8);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CountUp(u8);

impl Change<Value> for CountUp {
    fn apply(&self, held: Option<&Value>) -> Option<Value> {
        Some((held.map_or(0, |held| held.0) + 1, self.0))
    }
}

/// What is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A keeper that has started again asks the others at once, and votes.
    Waiting,
    /// A keeper that has started again votes with what it has: nothing.
    Learning,
    /// Neither askers nor keepers that have not started again look at their clocks: a promise serves for ever. (One of the two is
    /// enough for what askers are told; both are kept, since others may have read what was accepted late.)
    Clocks,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Whom {
    Asker(usize),
    Keeper(usize),
}

/// A question on its way. Answers have no way of their own: one comes at once or never. A keeper's later answer to the same question,
/// asked again, stands for one that came late, and nothing that whoever hears of it can do depends on more.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: Whom,
    to: usize,
    ask: Ask<Value>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    step: u32,
    keepers: Vec<Keeper<Value>>,
    lives: Vec<u64>,
    /// The round of each asker, once it has begun.
    askers: Vec<Option<Proposer<Value, CountUp>>>,
    changed: Vec<Value>,
    /// All that was ever sent, any of which may come at any time, again, or never.
    sent: BTreeSet<Message>,
    restarts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Event {
    Begins(usize),
    /// A question comes, and its answer does or does not.
    Comes(Message, bool),
    StartsAgain(usize),
    AsksOthers(usize),
    TimePasses,
}

struct Keeping {
    without: Without,
    steps: u32,
}

impl Keeping {
    fn kept_back(&self) -> Duration {
        match self.without {
            Without::Waiting | Without::Learning => Duration::ZERO,
            _ => KEPT_BACK,
        }
    }

    fn others(keeper: usize) -> BTreeSet<Number> {
        (0..KEEPERS).filter(|n| usize::from(*n) != keeper).map(Number).collect()
    }

    /// A keeper that votes and holds nothing, as after a founding.
    fn voting(keeper: usize, life: u64, now: Duration) -> Keeper<Value> {
        let others = Keeping::others(keeper);
        let mut keeper =
            Keeper::with_vote_kept_back(Life::from_unix_ms(life), others.clone(), now, Duration::ZERO);
        for from in others {
            let to = Life::from_unix_ms(life);
            let told = Answer::Told { to, promised: Ballot::default(), held: None };
            keeper.told(from, told);
        }
        keeper
    }

    fn hear(&self, world: &mut World, now: Duration, from: usize, to: Whom, answer: Answer<Value>) {
        let number = Number(from as u16);
        match to {
            Whom::Keeper(k) => {
                world.keepers[k].told(number, answer);
            }
            Whom::Asker(asker) => {
                let Some(proposer) = &mut world.askers[asker] else { return };
                // Time never reaches a round that does not look.
                let now = if self.without == Without::Clocks { Duration::ZERO } else { now };
                if let Some(Outcome::Changed(value)) = proposer.answered(now, number, answer) {
                    world.changed.push(value);
                }
                self.send_asks(world, asker, now);
            }
        }
    }

    fn send_asks(&self, world: &mut World, asker: usize, now: Duration) {
        let Some(proposer) = &world.askers[asker] else { return };
        let asks = proposer.asks(now);
        for (to, ask) in asks {
            world.sent.insert(Message { from: Whom::Asker(asker), to: usize::from(to.0), ask });
        }
    }
}

impl Model for Keeping {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let keepers = (0..usize::from(KEEPERS)).map(|k| Keeping::voting(k, 1, Duration::ZERO)).collect();
        let (lives, askers) = (vec![1; usize::from(KEEPERS)], vec![None, None]);
        vec![World {
            step: 0,
            keepers,
            lives,
            askers,
            changed: Vec::new(),
            sent: BTreeSet::new(),
            restarts: 0,
        }]
    }

    fn actions(&self, world: &World, events: &mut Vec<Event>) {
        events.extend((0..world.askers.len()).filter(|a| world.askers[*a].is_none()).map(Event::Begins));
        events.extend(
            world.sent.iter().flat_map(|m| [true, false].map(|answered| Event::Comes(m.clone(), answered))),
        );
        if world.restarts == 0 {
            // Which one is all the same: no keeper differs from another.
            events.push(Event::StartsAgain(0));
        }
        let now = STEP * world.step;
        let forgotten = world.keepers.iter().enumerate().filter(|(_, k)| k.asks(now).is_some());
        events.extend(forgotten.map(|(k, _)| Event::AsksOthers(k)));
        if world.step < self.steps {
            events.push(Event::TimePasses);
        }
    }

    fn next_state(&self, before: &World, event: Event) -> Option<World> {
        let mut world = before.clone();
        let now = STEP * world.step;
        match event {
            Event::Begins(asker) => {
                let life = Life::from_unix_ms(1);
                let ballot = Ballot { round: 1, asker: Some(Number(20 + asker as u16)), life };
                let keepers: BTreeSet<Number> = (0..KEEPERS).map(Number).collect();
                let proposer = Proposer::new(ballot, keepers, CountUp(asker as u8), now);
                world.askers[asker] = Some(proposer);
                self.send_asks(&mut world, asker, now);
            }
            Event::StartsAgain(k) => {
                world.restarts += 1;
                world.lives[k] += 1;
                let life = Life::from_unix_ms(world.lives[k]);
                world.keepers[k] = if self.without == Without::Learning {
                    Keeping::voting(k, world.lives[k], now)
                } else {
                    Keeper::with_vote_kept_back(life, Keeping::others(k), now, self.kept_back())
                };
            }
            Event::AsksOthers(k) => {
                let ask = world.keepers[k].asks(now)?;
                for to in (0..world.keepers.len()).filter(|to| *to != k) {
                    let ask = ask.clone();
                    world.sent.insert(Message { from: Whom::Keeper(k), to, ask });
                }
            }
            Event::TimePasses => world.step += 1,
            Event::Comes(Message { from, to, ask }, answered) => {
                let stands = self.without == Without::Clocks && world.lives[to] == 1;
                let answer = world.keepers[to].answer(if stands { Duration::ZERO } else { now }, ask);
                if let Some(answer) = answer.filter(|_| answered) {
                    self.hear(&mut world, now, to, from, answer);
                }
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two changes are made from the same", |_: &Keeping, world: &World| {
                let versions: BTreeSet<u8> = world.changed.iter().map(|value| value.0).collect();
                versions.len() == world.changed.len()
            }),
            Property::sometimes("both changes come to be", |_: &Keeping, world: &World| {
                world.changed.len() == 2
            }),
            Property::sometimes("one that has forgotten votes again", |_: &Keeping, world: &World| {
                world.restarts > 0 && world.keepers.iter().all(Keeper::votes)
            }),
        ]
    }
}

#[test]
fn no_order_of_events_loses_a_change() {
    let checker = Keeping { without: Without::Nothing, steps: 1 }.checker().spawn_bfs().join();
    eprintln!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn each_rule_is_needed() {
    for (without, steps) in [(Without::Waiting, 0), (Without::Learning, 0), (Without::Clocks, 1)] {
        let checker = Keeping { without, steps }.checker().spawn_bfs().join();
        let found = checker.discovery("no two changes are made from the same");
        eprintln!("{without:?} {} states {}", checker.unique_state_count(), found.is_some());
        assert!(found.is_some(), "{without:?}: nothing goes wrong");
    }
}
