//! A schedule in virtual time: the views of up to 2,000 members in one process, the same network, the same judge.

use crate::fleet::evidence::{Belief, Entry, Evidence, Reader, Seen};
use crate::fleet::flaw::{Broken, Flaw, BROKEN};
use crate::fleet::net::{Net, Packet};
use crate::fleet::plan::{Act, Clocks, Knows, Plan};
use dilljunction_cluster::member::{Generation, Name, Number, State};
use dilljunction_cluster::view::{Setup, View};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Unix time when a simulation begins, in milliseconds.
const EPOCH_MS: u64 = 1_790_000_000_000;
/// What a datagram takes without any fault, in microseconds: the platform says 1 to 20 ms.
const TRAVEL_US: std::ops::Range<u64> = 1_000..20_000;
/// Datagrams that wait for a process that is stopped, as in a socket's buffer.
const WAITING_MOST: usize = 256;
/// How long the first settling may take before the schedule begins all the same, in seconds.
const FIRST_WAIT: f64 = 120.0;
/// How long all must be one and true before a run ends early, in seconds.
const HOLD: f64 = 3.0;
/// How often views are read, in microseconds.
const READ_EVERY_US: u64 = 100_000;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives { to: usize, from: usize, bytes: Vec<u8> },
    Timer(usize),
    Garbage,
}

struct Member {
    view: Option<View>,
    clocks: Clocks,
    started_at: u64,
    stopped: bool,
    waiting: VecDeque<(usize, Vec<u8>)>,
    timer_set_for: Option<u64>,
    reader: Reader,
    dirty: bool,
}

/// What a run has shown.
#[derive(Debug, Clone)]
pub struct Simulated {
    /// What was written down.
    pub evidence: Evidence,
    /// Packets and bytes that agents sent.
    pub carried: (u64, u64),
    /// How long the first settling took, in virtual seconds.
    pub first_settled: f64,
    /// How long it was, in virtual seconds.
    pub seconds: f64,
}

/// A fleet in virtual time, which a caller can also drive step by step.
pub struct Simulation {
    agents: usize,
    knows: Knows,
    addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    net: Net,
    now_us: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    random: fastrand::Rng,
    starts: u64,
    /// The one that is broken on purpose.
    broken: Option<Broken>,
    evidence: Evidence,
}

impl Simulation {
    /// All members that a plan names, none of them started.
    pub fn new(agents: usize, seed: u64, knows: Knows, flaw: Option<Flaw>) -> Simulation {
        let members = (0..agents)
            .map(|_| Member {
                view: None,
                clocks: Clocks::default(),
                started_at: 0,
                stopped: false,
                waiting: VecDeque::new(),
                timer_set_for: None,
                reader: Reader::default(),
                dirty: false,
            })
            .collect();
        Simulation {
            agents,
            knows,
            addresses: (0..agents).map(address).collect(),
            members,
            net: Net::new(agents, seed ^ 0x6e65_7477),
            now_us: 0,
            order: 0,
            queue: BinaryHeap::new(),
            random: fastrand::Rng::with_seed(seed),
            starts: 0,
            broken: flaw.map(Broken::new),
            evidence: Evidence::default(),
        }
    }

    /// The present time, in seconds.
    pub fn now(&self) -> f64 {
        self.now_us as f64 / 1e6
    }

    /// The network.
    pub fn net(&mut self) -> &mut Net {
        &mut self.net
    }

    /// A member's view, if it runs.
    pub fn view(&self, member: usize) -> Option<&View> {
        self.members[member].view.as_ref()
    }

    /// A member's own time.
    pub fn local(&self, member: usize) -> Duration {
        let m = &self.members[member];
        Duration::from_micros(self.now_us - m.started_at).mul_f64(m.clocks.rate)
    }

    fn push(&mut self, at_us: u64, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at_us, self.order, what)));
    }

    fn write(&mut self, entry: Entry) {
        self.evidence.entries.push((self.now(), entry));
    }

    /// Carries out a step of a schedule.
    pub fn act(&mut self, plan: &Plan, act: Act) {
        match act {
            Act::Begin(i) => {
                self.write(Entry::Began(i, plan.fault[i].kind));
                let again = self.net.begin(i, &plan.fault[i], self.now());
                for (n, packet) in (0..).zip(again) {
                    let Packet { from, to, bytes } = packet;
                    self.push(self.now_us + 500 * n, What::Arrives { to, from, bytes });
                }
                self.push(self.now_us, What::Garbage);
            }
            Act::End(i) => {
                self.net.end(i);
                self.write(Entry::Over(i, plan.fault[i].kind));
            }
            Act::Kill(m) => self.kill(m),
            Act::Terminate(m) => {
                if self.members[m].view.is_some() && !self.members[m].stopped {
                    self.write(Entry::Ending(m));
                    let local = self.local(m);
                    if let Some(view) = &mut self.members[m].view {
                        view.leave(local);
                    }
                    self.after(m);
                }
                self.kill(m);
            }
            Act::Stop(m) => {
                if self.members[m].view.is_some() && !self.members[m].stopped {
                    self.members[m].stopped = true;
                    self.write(Entry::Stopped(m));
                }
            }
            Act::Continue(m) => {
                if std::mem::take(&mut self.members[m].stopped) && self.members[m].view.is_some() {
                    self.write(Entry::Continued(m));
                    if let Some(broken) = self.broken.as_mut().filter(|_| m == BROKEN) {
                        broken.wakes();
                    }
                    let local = self.local(m);
                    // What waits for it is read when its timers are due: either may come first.
                    if self.random.bool() {
                        if let Some(view) = &mut self.members[m].view {
                            view.handle_timeout(local);
                        }
                        self.after(m);
                    }
                    while let Some((from, bytes)) = self.members[m].waiting.pop_front() {
                        self.arrives(m, from, &bytes);
                    }
                    self.members[m].timer_set_for = None;
                    self.after(m);
                }
            }
            Act::Start(m, clocks) => self.start(m, clocks),
            Act::Upgrade(m) => {
                if self.members[m].view.is_some() && !self.members[m].stopped {
                    self.write(Entry::Upgraded(m));
                    let clocks = self.members[m].clocks;
                    self.begin_life(m, clocks);
                }
            }
        }
    }

    fn kill(&mut self, m: usize) {
        if self.members[m].view.take().is_some() {
            self.members[m].stopped = false;
            self.members[m].waiting.clear();
            self.write(Entry::Ended(m));
        }
    }

    /// Starts a member that does not run.
    pub fn start(&mut self, m: usize, clocks: Clocks) {
        if self.members[m].view.is_none() {
            self.write(Entry::Started(m));
            self.begin_life(m, clocks);
        }
    }

    fn begin_life(&mut self, m: usize, clocks: Clocks) {
        self.starts += 1;
        let unix_ms = (EPOCH_MS + self.now_us / 1_000).saturating_add_signed(clocks.wall_step_ms);
        let setup = Setup {
            number: Number(m as u16),
            name: Name::new(&format!("n{m}")).unwrap_or_default(),
            generation: Generation::from_unix_ms(unix_ms),
            peers: self.knows.of(m, &self.addresses).to_vec(),
            seed: self.random.u64(..) ^ self.starts,
        };
        let member = &mut self.members[m];
        (member.clocks, member.started_at, member.stopped, member.timer_set_for) =
            (clocks, self.now_us, false, None);
        member.view = View::new(setup, Duration::ZERO).ok();
        member.reader = Reader::default();
        if let Some(broken) = self.broken.as_mut().filter(|_| m == BROKEN) {
            broken.starts();
        }
        self.after(m);
    }

    /// Takes what a member wants done after it was told something.
    fn after(&mut self, m: usize) {
        let Some(view) = &mut self.members[m].view else { return };
        let mut packets = Vec::new();
        while let Some((address, bytes)) = view.poll_packet() {
            let bytes = match self.broken.as_mut().filter(|_| m == BROKEN) {
                Some(broken) => broken.sends(bytes),
                None => bytes,
            };
            packets.push((address, bytes));
        }
        let mut changed = false;
        while view.poll_event().is_some() {
            changed = true;
        }
        self.members[m].dirty |= changed;
        for (address, bytes) in packets {
            let Some(to) = number(address).filter(|to| *to < self.agents) else { continue };
            let packet = Packet { from: m, to, bytes };
            for late in self.net.carry(&packet, self.now()) {
                let travel = self.random.u64(TRAVEL_US) + late.as_micros() as u64;
                self.push(self.now_us + travel, What::Arrives { to, from: m, bytes: packet.bytes.clone() });
            }
        }
        let member = &self.members[m];
        if let Some(due) = member.view.as_ref().and_then(View::next_timer) {
            let due_us = member.started_at + (due.div_f64(member.clocks.rate).as_micros() as u64) + 1;
            // At least a little later: a clock at another rate rounds, and time must go on.
            let due_us = due_us.max(self.now_us + 20);
            if member.timer_set_for.is_none_or(|set| set > due_us || set < self.now_us) {
                self.members[m].timer_set_for = Some(due_us);
                self.push(due_us, What::Timer(m));
            }
        }
    }

    fn arrives(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let local = self.local(to);
        if let Some(broken) = self.broken.as_mut().filter(|_| to == BROKEN) {
            broken.hears(bytes);
        }
        let from = self.addresses[from];
        if let Some(view) = &mut self.members[to].view {
            let _ = view.handle_packet(local, from, bytes);
            self.after(to);
        }
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until: f64) {
        self.run_until_us((until * 1e6) as u64);
    }

    fn run_until_us(&mut self, until_us: u64) {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until_us {
                break;
            }
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            if let Some(flooding) = self.net.flooding.pop() {
                self.write(Entry::Flooded(flooding));
            }
            self.now_us = self.now_us.max(at);
            match what {
                What::Arrives { to, from, bytes } => {
                    let member = &mut self.members[to];
                    if !member.stopped {
                        self.arrives(to, from, &bytes);
                    } else if member.waiting.len() < WAITING_MOST {
                        member.waiting.push_back((from, bytes));
                    }
                }
                What::Timer(m) => {
                    if self.members[m].timer_set_for == Some(at) {
                        self.members[m].timer_set_for = None;
                    }
                    if self.members[m].stopped {
                        continue;
                    }
                    let local = self.local(m);
                    if let Some(view) = &mut self.members[m].view {
                        view.handle_timeout(local);
                        self.after(m);
                    }
                }
                What::Garbage => {
                    let floods = self.net.garbage();
                    for &(to, per_second) in &floods {
                        for _ in 0..(per_second * 0.01).ceil() as usize {
                            let bytes: Vec<u8> =
                                (0..self.random.usize(0..300)).map(|_| self.random.u8(..)).collect();
                            let from = self.random.usize(0..self.agents);
                            self.push(self.now_us, What::Arrives { to, from, bytes });
                        }
                    }
                    if !floods.is_empty() {
                        self.push(self.now_us + 10_000, What::Garbage);
                    }
                }
            }
        }
        self.now_us = self.now_us.max(until_us);
    }

    /// Reads the views of all that run and are awake, and writes down what has changed.
    fn read(&mut self) {
        for m in 0..self.agents {
            let local = self.local(m);
            let member = &mut self.members[m];
            let Some(view) = member.view.as_ref().filter(|_| !member.stopped) else { continue };
            let seen = seen(view, local);
            let seen = match self.broken.as_mut().filter(|_| m == BROKEN) {
                Some(broken) => broken.says(seen),
                None => seen,
            };
            let entries = member.reader.read(m, seen, self.agents);
            let at = self.now();
            self.evidence.entries.extend(entries.into_iter().map(|entry| (at, entry)));
        }
    }

    /// Whether all that run are awake, hold one view, and hold exactly those that run for present.
    pub fn is_settled(&self) -> bool {
        let running = self.members.iter().filter(|m| m.view.is_some()).count();
        let mut digest = None;
        (0..self.agents).all(|m| {
            let Some(view) = self.view(m) else { return true };
            let same = *digest.get_or_insert(view.digest()) == view.digest();
            let local = self.local(m);
            if !same || view.size() != running || self.members[m].stopped {
                return false;
            }
            view.suspects() == 0 && view.is_converged(local) == (running * 2 > self.agents)
        })
    }

    /// Whether nobody has any gossip left to pass on.
    pub fn is_quiet(&self) -> bool {
        self.members.iter().filter_map(|m| m.view.as_ref()).all(|view| view.gossip_backlog() == 0)
    }

    /// Lets time pass until all are settled; how long that took, in seconds, or nothing if it did not come in time.
    pub fn settle(&mut self, within: f64) -> Option<f64> {
        let start = self.now();
        while self.now() - start <= within {
            if self.is_settled() {
                return Some(self.now() - start);
            }
            self.run_until_us(self.now_us + READ_EVERY_US);
        }
        None
    }
}

/// Addresses are laid out by number, so that nobody is searched for in a large fleet.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, (number / 250) as u8, (number % 250) as u8 + 1], 7946))
}

fn number(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else { return None };
    let [_, _, high, low] = v4.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low.checked_sub(1)?))
}

/// What a view says, as operators would read it.
fn seen(view: &View, local: Duration) -> Seen {
    let belief = |state: State| match state {
        State::Alive => Belief::Alive,
        State::Suspect => Belief::Suspect,
        State::Down => Belief::Gone,
    };
    let lines = view.members(local).into_iter();
    Seen {
        life: view.me().generation.into(),
        digest: view.digest(),
        sure: view.is_converged(local),
        lines: lines
            .map(|l| (usize::from(l.identity.number.0), l.identity.generation.into(), belief(l.state)))
            .collect(),
    }
}

/// Plays a schedule: all start, settle, the faults come, and it ends when all has settled again or the stated time is over.
pub fn simulate(plan: &Plan, flaw: Option<Flaw>) -> Simulated {
    let mut sim = Simulation::new(plan.agents, plan.seed, plan.knows, flaw);
    for m in 0..plan.agents {
        sim.start(m, Clocks::default());
    }
    let read_until = |sim: &mut Simulation, until: f64| {
        // In whole microseconds, which add up exactly.
        let until_us = (until * 1e6) as u64;
        while sim.now_us < until_us {
            sim.run_until_us((sim.now_us + READ_EVERY_US).min(until_us));
            sim.read();
        }
    };
    let first = sim.now() + FIRST_WAIT;
    while !sim.is_settled() && sim.now() < first {
        let next = sim.now_us + READ_EVERY_US;
        sim.run_until_us(next);
        sim.read();
    }
    let begin = sim.now();
    let first_settled = begin;
    for (at, act) in plan.steps() {
        read_until(&mut sim, begin + at);
        sim.act(plan, act);
    }
    let end = sim.now() + plan.settles_within() + HOLD;
    let mut settled_since = None;
    while sim.now() < end && settled_since.is_none_or(|since: f64| sim.now() - since < HOLD) {
        let next = sim.now_us + READ_EVERY_US;
        sim.run_until_us(next);
        sim.read();
        settled_since = if sim.is_settled() { settled_since.or(Some(sim.now())) } else { None };
    }
    Simulated { first_settled, seconds: sim.now(), carried: sim.net.carried, evidence: sim.evidence }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::checker::judge;

    #[test]
    fn drawn_schedules_are_kept_and_equal_seeds_tell_equal_stories() {
        for seed in 0..20 {
            let plan = Plan::draw(seed, 3 + seed as usize % 7);
            let run = simulate(&plan, None);
            let verdict = judge(&plan, &run.evidence);
            assert!(verdict.kept(), "seed {seed}: {verdict:#?}\n{}", plan.text().unwrap());
        }
        // At the end of a partition two members told each other of a suspicion for ever: each packet was meant for an earlier
        // identity, and was answered all the same.
        let storm = Plan::draw(61_121, 6);
        let verdict = judge(&storm, &simulate(&storm, None).evidence);
        assert!(verdict.kept(), "{verdict:#?}");
        let each = Plan::find("each-once").unwrap();
        let verdict = judge(&each, &simulate(&each, None).evidence);
        assert!(verdict.kept(), "{verdict:#?}");
        let plan = Plan::draw(3, 5);
        assert_eq!(simulate(&plan, None).evidence, simulate(&plan, None).evidence);
    }
}
