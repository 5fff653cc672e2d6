//! A fleet of the real state machines in virtual time. A member's shell puts in force at once whatever it is given.

use super::geography;
use dilljunction_cluster::configuration::{
    Configuration, Counts, Event, Key, Lagging, PublishError, Setup, Version,
};
use dilljunction_cluster::member::Number;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// The writer's number.
pub const WRITER: usize = 0;
/// How often a writer that is still learning is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(100);
/// How long it may learn.
const LEARNS_MOST: Duration = Duration::from_secs(120);

struct Member {
    configuration: Configuration,
    /// The version of each key that is in force.
    in_force: BTreeMap<Key, Version>,
    /// Members with other numbers here are not reached.
    side: usize,
    paused_until: Duration,
    /// When its next timer event is queued for.
    timer: Option<Duration>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Packet { from: usize, to: usize, body: Vec<u8> },
    Timer { member: usize },
}

/// What was published, and when it came in force.
#[derive(Debug, Clone)]
pub struct Change {
    /// Of which key.
    pub key: Key,
    /// Which version.
    pub version: Version,
    /// When it was published.
    pub at: Duration,
    /// How long each member took to have it, or a later one, in force; those that have not are missing.
    pub took: Vec<Duration>,
}

/// All members and the network between them.
pub struct Fleet {
    now: Duration,
    members: Vec<Member>,
    loss: f64,
    random: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    order: u64,
    changes: Vec<Change>,
    /// The changes of a key that not all have in force, by key.
    open: BTreeMap<Key, Vec<usize>>,
}

impl Fleet {
    /// So many members that start together; of their packets this share is lost.
    pub fn new(members: usize, loss: f64, seed: u64) -> Fleet {
        let mut random = fastrand::Rng::with_seed(seed);
        let everybody: Vec<Number> = (0..members as u16).map(Number).collect();
        let start = |number: usize| {
            let writer = Some(Number(WRITER as u16));
            let setup = Setup { me: Number(number as u16), writer, seed: random.u64(..) };
            let mut configuration = Configuration::new(setup, Duration::ZERO);
            configuration.set_members(&everybody);
            let in_force = BTreeMap::new();
            Member { configuration, in_force, side: 0, paused_until: Duration::ZERO, timer: None }
        };
        let members: Vec<Member> = (0..members).map(start).collect();
        let (queue, open) = (BinaryHeap::new(), BTreeMap::new());
        let mut fleet =
            Fleet { now: Duration::ZERO, members, loss, random, queue, order: 0, changes: Vec::new(), open };
        (0..fleet.members.len()).for_each(|number| fleet.settle(number));
        fleet
    }

    /// The time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// What was published.
    pub fn changes(&self) -> &[Change] {
        &self.changes
    }

    /// What each member has counted.
    pub fn counts(&self) -> Vec<Counts> {
        self.members.iter().map(|member| member.configuration.counts()).collect()
    }

    /// Who lags, as the writer knows it.
    pub fn lagging(&self) -> Vec<Lagging> {
        self.members[WRITER].configuration.lagging()
    }

    /// Cuts a region off, or heals it.
    pub fn cut(&mut self, region: usize, is_cut: bool) {
        for number in 0..self.members.len() {
            if geography::region(number) == region {
                self.members[number].side = usize::from(is_cut);
            }
        }
    }

    /// Tells each member who is on its side, as membership does in the end.
    pub fn tell_members(&mut self) {
        let sides: Vec<usize> = self.members.iter().map(|member| member.side).collect();
        for side in 0..2 {
            let there = (0..sides.len()).filter(|number| sides[*number] == side);
            let present: Vec<Number> = there.map(|number| Number(number as u16)).collect();
            for member in self.members.iter_mut().filter(|member| member.side == side) {
                member.configuration.set_members(&present);
            }
        }
    }

    /// Stops a member's process for a while.
    pub fn pause(&mut self, member: usize, time: Duration) {
        self.members[member].paused_until = self.now + time;
    }

    /// Starts a member again with nothing.
    pub fn restart(&mut self, number: usize) {
        let writer = Some(Number(WRITER as u16));
        let setup = Setup { me: Number(number as u16), writer, seed: self.random.u64(..) };
        self.members[number].configuration = Configuration::new(setup, self.now);
        self.members[number].in_force.clear();
        self.tell_members();
        self.settle(number);
    }

    /// Lets the writer publish, as soon as it has learnt enough.
    pub fn publish(&mut self, key: &str, value: &[u8]) -> Result<(), String> {
        let key = Key::new(key).map_err(|e| e.to_string())?;
        let until = self.now + LEARNS_MOST;
        loop {
            let now = self.now;
            let writer = &mut self.members[WRITER].configuration;
            match writer.publish(now, key.clone(), value, "measured in virtual time") {
                Ok(version) => {
                    self.open.entry(key.clone()).or_default().push(self.changes.len());
                    self.changes.push(Change { key, version, at: now, took: Vec::new() });
                    self.settle(WRITER);
                    return Ok(());
                }
                Err(PublishError::NotYetSynchronized { .. }) if now < until => self.run(TRY_AGAIN),
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, happening))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match happening {
                Happening::Packet { from, to, body } => self.deliver(from, to, body),
                Happening::Timer { member } => self.timer(member, at),
            }
        }
        self.now = until;
    }

    fn push(&mut self, at: Duration, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, happening)));
    }

    fn deliver(&mut self, from: usize, to: usize, body: Vec<u8>) {
        let (now, until) = (self.now, self.members[to].paused_until);
        if until > now {
            // What comes to a stopped process waits in its socket.
            return self.push(until, Happening::Packet { from, to, body });
        }
        // What is dropped has been counted.
        let _ = self.members[to].configuration.handle_packet(now, Number(from as u16), &body);
        self.settle(to);
    }

    fn timer(&mut self, number: usize, at: Duration) {
        let (now, member) = (self.now, &mut self.members[number]);
        if member.timer != Some(at) {
            return;
        }
        member.timer = None;
        if member.paused_until <= now {
            member.configuration.handle_timeout(now);
        }
        self.settle(number);
    }

    /// What a shell does after each call.
    fn settle(&mut self, number: usize) {
        while let Some(event) = self.members[number].configuration.poll_event() {
            if let Event::Received { key, version, .. } = event {
                self.put_in_force(number, key, version);
            }
        }
        while let Some((to, body)) = self.members[number].configuration.poll_packet() {
            self.carry(number, usize::from(to.0), body);
        }
        let member = &mut self.members[number];
        let Some(next) = member.configuration.next_timer() else { return };
        let next = next.max(member.paused_until).max(self.now);
        if member.timer.is_none_or(|set| set > next) {
            member.timer = Some(next);
            self.push(next, Happening::Timer { member: number });
        }
    }

    fn put_in_force(&mut self, number: usize, key: Key, version: Version) {
        let (now, members) = (self.now, self.members.len());
        let member = &mut self.members[number];
        if !member.configuration.accepted(now, &key, version) {
            return;
        }
        let before = member.in_force.insert(key.clone(), version);
        let Some(open) = self.open.get_mut(&key) else { return };
        for &index in open.iter() {
            let change = &mut self.changes[index];
            if change.version <= version && before.is_none_or(|before| before < change.version) {
                change.took.push(now - change.at);
            }
        }
        open.retain(|&index| self.changes[index].took.len() < members);
    }

    fn carry(&mut self, from: usize, to: usize, body: Vec<u8>) {
        let Some(target) = self.members.get(to) else { return };
        if target.side != self.members[from].side || self.random.f64() < self.loss {
            return;
        }
        let at = self.now + geography::delay(&mut self.random, from, to);
        self.push(at, Happening::Packet { from, to, body });
    }
}
