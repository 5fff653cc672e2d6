//! What the network between agents does with a packet, without I/O: the switch of the rig and the simulation ask the same
//! one.

use crate::fleet::plan::{Fault, Kind};
use crate::fleet::topology::Topology;
use std::collections::VecDeque;
use std::time::Duration;

/// Packets that are kept for being replayed: the first ones since the beginning, and the latest.
const KEPT_FIRST: usize = 400;
const KEPT_LAST: usize = 400;
/// How much later a packet comes that is overtaken, in milliseconds.
const OVERTAKEN_MS: std::ops::Range<f64> = 20.0..400.0;

/// Packets that a member may send in a second, whatever happens: a process that goes on after a stop answers at once what
/// has waited for it, a socket's buffer full, and what comes of that; the program's own bound is the same.
pub const SENT_MOST: u32 = 800;

/// A packet on its way, by members' numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Who sent it.
    pub from: usize,
    /// Where it goes.
    pub to: usize,
    /// What it holds.
    pub bytes: Vec<u8>,
}

/// The network between agents.
pub struct Net {
    agents: usize,
    /// Faults that are on, each with when it began, in seconds.
    active: Vec<(usize, Fault, f64)>,
    first: Vec<Packet>,
    last: VecDeque<Packet>,
    random: fastrand::Rng,
    /// What each member has sent in the present second.
    sent: Vec<u32>,
    second: u64,
    /// Who has sent more than [`SENT_MOST`] in a second, and has not been taken note of.
    pub flooding: Vec<usize>,
    /// What it took in, in packets and bytes.
    pub carried: (u64, u64),
    /// Where members stand, if that matters.
    pub topology: Option<Topology>,
}

impl Net {
    /// One without faults.
    pub fn new(agents: usize, seed: u64) -> Net {
        let random = fastrand::Rng::with_seed(seed);
        let (active, first, last) = (Vec::new(), Vec::new(), VecDeque::new());
        let (sent, flooding) = (vec![0; agents], Vec::new());
        Net {
            agents,
            active,
            first,
            last,
            random,
            sent,
            second: 0,
            flooding,
            carried: (0, 0),
            topology: None,
        }
    }

    /// A fault begins; what comes at once because of it.
    pub fn begin(&mut self, number: usize, fault: &Fault, now: f64) -> Vec<Packet> {
        self.active.push((number, fault.clone(), now));
        if fault.kind == Kind::Replay {
            self.first.iter().chain(&self.last).cloned().collect()
        } else {
            Vec::new()
        }
    }

    /// A fault ends.
    pub fn end(&mut self, number: usize) {
        self.active.retain(|(n, _, _)| *n != number);
    }

    /// The copies of a packet that arrive, each by how much later.
    pub fn carry(&mut self, packet: &Packet, now: f64) -> Vec<Duration> {
        self.carried.0 += 1;
        if self.second != now as u64 {
            self.second = now as u64;
            self.sent.fill(0);
        }
        self.sent[packet.from] += 1;
        if self.sent[packet.from] == SENT_MOST + 1 {
            self.flooding.push(packet.from);
        }
        if self.sent[packet.from] > SENT_MOST * 10 {
            // It is noted; a storm that feeds itself must not keep the lab from its end.
            return Vec::new();
        }
        self.carried.1 += packet.bytes.len() as u64;
        if self.first.len() < KEPT_FIRST {
            self.first.push(packet.clone());
        } else {
            if self.last.len() == KEPT_LAST {
                self.last.pop_front();
            }
            self.last.push_back(packet.clone());
        }
        if !self.passes(packet.from, packet.to, now) {
            return Vec::new();
        }
        let link = self.topology.map(|topology| topology.link(packet.from, packet.to));
        let Net { active, random, .. } = self;
        if link.is_some_and(|link| link.loss > 0.0 && random.f64() < link.loss) {
            return Vec::new();
        }
        let way = link.map_or(0.0, |link| link.latency.as_secs_f64() * 1e3);
        let mut chance = |kind: Kind| {
            let of_kind = active.iter().filter(|(_, f, _)| f.kind == kind);
            of_kind.fold(false, |hit, (_, f, _)| (random.f64() < f.amount) || hit)
        };
        if chance(Kind::Loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(chance(Kind::Doubling));
        let overtaken = chance(Kind::Reordering);
        let delays = active.iter().filter(|(_, f, _)| f.kind == Kind::Delay).map(|(_, f, _)| f.amount);
        let slow = delays.fold(0.0, f64::max);
        let mut late = || {
            let mut ms = way + slow * (0.5 + 0.5 * random.f64());
            if overtaken {
                ms += OVERTAKEN_MS.start + (OVERTAKEN_MS.end - OVERTAKEN_MS.start) * random.f64();
            }
            Duration::from_secs_f64(ms / 1e3)
        };
        (0..copies).map(|_| late()).collect()
    }

    /// Whether anything passes from one to another now.
    pub fn passes(&self, from: usize, to: usize, now: f64) -> bool {
        self.active.iter().all(|(_, fault, began)| passes(fault, now - began, from, to, self.agents))
    }

    /// Members to whom garbage comes now, and how many packets a second.
    pub fn garbage(&self) -> Vec<(usize, f64)> {
        let floods = self.active.iter().filter(|(_, f, _)| f.kind == Kind::Garbage);
        floods.flat_map(|(_, f, _)| f.members.iter().map(|m| (*m, f.amount))).collect()
    }
}

/// Whether a fault that has been on for so many seconds lets anything pass from one to another.
pub fn passes(fault: &Fault, on_for: f64, from: usize, to: usize, agents: usize) -> bool {
    let among = |m: usize| fault.members.contains(&m);
    match fault.kind {
        Kind::OneWay => (from, to) != (fault.members[0], fault.members[1]),
        Kind::Pair => !(among(from) && among(to)),
        Kind::Partition => among(from) == among(to),
        Kind::PartitionInThree => from * 3 / agents == to * 3 / agents,
        Kind::Flapping => (on_for * 1e3 / fault.amount) as u64 % 2 == 1 || !(among(from) || among(to)),
        Kind::Deaf => !among(to),
        _ => true,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(kind: Kind, members: &[usize], amount: f64) -> Fault {
        Fault { kind, at: 0.0, lasts: 1.0, members: members.to_vec(), amount }
    }

    fn packet(from: usize, to: usize) -> Packet {
        Packet { from, to, bytes: vec![from as u8, to as u8] }
    }

    /// Which of all ordered pairs of six nothing passes between.
    fn cut(kind: Kind, members: &[usize], amount: f64, on_for: f64) -> Vec<(usize, usize)> {
        let fault = fault(kind, members, amount);
        let pairs = (0..6).flat_map(|a| (0..6).map(move |b| (a, b))).filter(|(a, b)| a != b);
        pairs.filter(|(a, b)| !passes(&fault, on_for, *a, *b, 6)).collect()
    }

    #[test]
    fn each_cut_cuts_what_its_name_says() {
        assert_eq!(cut(Kind::OneWay, &[2, 4], 0.0, 0.0), [(2, 4)]);
        assert_eq!(cut(Kind::Pair, &[2, 4], 0.0, 0.0), [(2, 4), (4, 2)]);
        assert_eq!(cut(Kind::Partition, &[0, 1], 0.0, 0.0).len(), 2 * 2 * 4);
        assert_eq!(cut(Kind::PartitionInThree, &[], 0.0, 0.0).len(), 6 * 4);
        assert_eq!(cut(Kind::Deaf, &[3], 0.0, 0.0).iter().filter(|(_, to)| *to == 3).count(), 5);
        assert_eq!(cut(Kind::Deaf, &[3], 0.0, 0.0).len(), 5);
        assert_eq!(cut(Kind::Flapping, &[3], 500.0, 0.2).len(), 10);
        assert!(cut(Kind::Flapping, &[3], 500.0, 0.7).is_empty());
    }

    #[test]
    fn weather_loses_delays_doubles_and_ends() {
        let mut net = Net::new(6, 1);
        assert_eq!(net.carry(&packet(0, 1), 0.0), [Duration::ZERO]);
        net.begin(0, &fault(Kind::Loss, &[], 0.3), 0.0);
        let lost = (0..10_000).filter(|i| net.carry(&packet(0, 1), f64::from(*i)).is_empty()).count();
        assert!((2_800..3_200).contains(&lost), "{lost}");
        net.end(0);
        net.begin(1, &fault(Kind::Delay, &[], 100.0), 0.0);
        net.begin(2, &fault(Kind::Doubling, &[], 1.0), 0.0);
        let copies = net.carry(&packet(0, 1), 0.0);
        assert!(
            copies.len() == 2 && copies.iter().all(|d| (50..=100).contains(&d.as_millis())),
            "{copies:?}"
        );
        net.end(1);
        net.end(2);
        net.begin(3, &fault(Kind::Reordering, &[], 1.0), 0.0);
        assert!(net.carry(&packet(0, 1), 0.0)[0] >= Duration::from_millis(20));
        net.end(3);
        assert_eq!(net.carry(&packet(0, 1), 0.0), [Duration::ZERO]);
    }

    #[test]
    fn where_members_stand_packets_take_their_way_and_few_get_lost_between_regions() {
        let mut net = Net::new(160, 1);
        net.topology = Some(Topology::new(160));
        assert_eq!(net.carry(&packet(0, 1), 0.0), [Duration::from_micros(300)]);
        let far = (0..100_000).filter(|i| net.carry(&packet(0, 80), f64::from(*i)).is_empty()).count();
        assert!((50..150).contains(&far), "{far} of 100,000 lost between regions");
        let near = (0..10_000).filter(|i| net.carry(&packet(0, 1), f64::from(*i)).is_empty()).count();
        assert_eq!(near, 0);
    }

    #[test]
    fn whoever_sends_too_much_in_a_second_is_noted_once() {
        let mut net = Net::new(3, 1);
        (0..SENT_MOST).for_each(|_| drop(net.carry(&packet(0, 1), 0.5)));
        (0..SENT_MOST).for_each(|_| drop(net.carry(&packet(0, 1), 1.5)));
        assert!(net.flooding.is_empty());
        (0..5).for_each(|_| drop(net.carry(&packet(0, 1), 1.6)));
        assert_eq!(net.flooding, [0]);
    }

    #[test]
    fn a_replay_brings_the_first_and_the_latest_again() {
        let mut net = Net::new(300, 1);
        (0..1_500_usize).for_each(|i| drop(net.carry(&packet(i % 300, (i + 1) % 300), 0.0)));
        let again = net.begin(0, &fault(Kind::Replay, &[], 0.0), 0.0);
        assert_eq!(again.len(), KEPT_FIRST + KEPT_LAST);
        assert_eq!((again[0].from, again[KEPT_FIRST + KEPT_LAST - 1].from), (0, 1_499 % 300));
    }
}
