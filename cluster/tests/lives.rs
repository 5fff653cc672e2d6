//! Members of small fleets in memory, each case by hand: lives, garbage, replays, stops.

use dilljunction_cluster::envelope::{DATAGRAM_MOST, Room, Unreadable, open, seal};
use dilljunction_cluster::member::{Life, Name, Number, State};
use dilljunction_cluster::pace;
use dilljunction_cluster::sync::Talk;
use dilljunction_cluster::view::{BadSetup, Change, Dropped, Event, GOSSIP_BACKLOG_MOST, Setup, View};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 3, (number / 250) as u8, 1 + (number % 250) as u8], 7946))
}

fn setup(number: usize, members: usize, unix_ms: u64) -> Setup {
    Setup {
        number: Number(number as u16),
        name: Name::new(&format!("n{number}")).unwrap(),
        life: Life::from_unix_ms(unix_ms),
        peers: (0..members).map(address).collect(),
        seed: unix_ms ^ number as u64,
    }
}

/// Members and the packets between them, which take 5 ms; a test turns the clock.
struct Fleet {
    now: Duration,
    members: Vec<Option<View>>,
    travelling: VecDeque<(Duration, usize, usize, Vec<u8>)>,
    /// All packets that were ever sent, with sender and receiver.
    sent: Vec<(usize, usize, Vec<u8>)>,
    events: Vec<(usize, Event)>,
}

impl Fleet {
    fn new(members: usize) -> Fleet {
        let now = Duration::ZERO;
        let view = |i| View::new(setup(i, members, 1_000_000), now).unwrap();
        let members = (0..members).map(|i| Some(view(i))).collect();
        Fleet { now, members, travelling: VecDeque::new(), sent: Vec::new(), events: Vec::new() }
    }

    fn view(&mut self, i: usize) -> &mut View {
        self.members[i].as_mut().unwrap()
    }

    fn drain(&mut self) {
        let count = self.members.len();
        for i in 0..count {
            let Some(view) = &mut self.members[i] else { continue };
            while let Some((to, packet)) = view.poll_packet() {
                assert!(packet.len() <= DATAGRAM_MOST);
                let to = (0..count).find(|n| address(*n) == to).unwrap();
                self.sent.push((i, to, packet.clone()));
                self.travelling.push_back((self.now + Duration::from_millis(5), i, to, packet));
            }
            while let Some(event) = view.poll_event() {
                self.events.push((i, event));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(5);
            while self.travelling.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, from, to, packet) = self.travelling.pop_front().unwrap();
                if let Some(view) = &mut self.members[to] {
                    let _ = view.handle_packet(self.now, address(from), &packet);
                }
            }
            for view in self.members.iter_mut().flatten() {
                if view.next_timer().is_some_and(|at| at <= self.now) {
                    view.handle_timeout(self.now);
                }
            }
            self.drain();
        }
    }

    fn is_one(&self) -> bool {
        let present = self.members.iter().flatten().count();
        let digests: Vec<u64> = self.members.iter().flatten().map(View::digest).collect();
        let whole = |v: &View| v.size() == present && v.is_sure(self.now);
        digests.windows(2).all(|pair| pair[0] == pair[1]) && self.members.iter().flatten().all(whole)
    }

    fn restart(&mut self, i: usize, unix_ms: u64) {
        self.members[i] = Some(View::new(setup(i, self.members.len(), unix_ms), self.now).unwrap());
    }

    fn seen(&self, event: &Event) -> usize {
        self.events.iter().filter(|(_, e)| e == event).count()
    }
}

#[test]
fn a_restart_is_one_change_of_life_and_never_a_death() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(3));
    assert!(fleet.is_one());
    fleet.restart(2, 2_000_000);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.is_one());
    let of_two = |c: Change| {
        fleet
            .events
            .iter()
            .filter(|(_, e)| matches!(e, Event::Member(x, who) if *x == c && who.number.0 == 2))
            .count()
    };
    assert_eq!((of_two(Change::NewLife), of_two(Change::Gone)), (4, 0));
}

#[test]
fn a_member_whose_clock_has_stepped_back_goes_above_what_the_fleet_knows() {
    let mut fleet = Fleet::new(4);
    fleet.run(Duration::from_secs(3));
    let before = fleet.view(1).me().life;
    fleet.restart(1, 1_000);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.is_one());
    assert_eq!(Some(fleet.view(1).me().life), before.above());
    // The same once its old life is known to be dead.
    fleet.members[1] = None;
    fleet.run(Duration::from_secs(15));
    assert!(fleet.is_one());
    fleet.restart(1, 1_000);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.is_one() && fleet.view(1).me().life > before);
}

#[test]
fn of_two_lives_of_one_name_the_higher_one_counts() {
    let mut fleet = Fleet::new(3);
    fleet.run(pace::OWN_START + Duration::from_secs(1));
    assert!(fleet.is_one());
    // Another process with number 2, later started: whatever it sends comes from the same address.
    let mut other = View::new(setup(2, 3, 9_000_000), fleet.now).unwrap();
    let life = other.me().life;
    other.handle_timeout(fleet.now);
    other.handle_timeout(fleet.now + pace::SEEK_EVERY_ALONE);
    let mut told = 0;
    while let Some((to, packet)) = other.poll_packet() {
        let to = (0..2).find(|n| address(*n) == to).unwrap();
        let now = fleet.now;
        fleet.view(to).handle_packet(now, address(2), &packet).unwrap();
        told += 1;
    }
    assert!(told > 0);
    fleet.run(Duration::from_secs(3));
    let known = fleet.view(0).members(Duration::ZERO).into_iter().find(|l| l.identity.number.0 == 2).unwrap();
    assert_eq!(known.identity.life, life);
    // The lower one hears so, and keeps quiet for a while; nothing goes back to it.
    assert_eq!(fleet.seen(&Event::Yielded { to: life }), 1);
    let now = fleet.now;
    assert!(!fleet.view(2).is_sure(now));
    fleet.run(pace::YIELD_FOR + Duration::from_secs(5));
    // The other one has fallen silent: the first takes part again, above it.
    assert!(fleet.is_one() && fleet.view(2).me().life > life);
}

#[test]
fn packets_of_an_earlier_life_change_nothing_an_hour_later() {
    let mut fleet = Fleet::new(4);
    fleet.run(Duration::from_secs(3));
    let old: Vec<_> = fleet.sent.iter().filter(|(from, ..)| *from == 3).cloned().collect();
    fleet.restart(3, 2_000_000);
    fleet.run(Duration::from_secs(5));
    fleet.members[3] = None;
    fleet.run(Duration::from_secs(3_600));
    assert!(fleet.is_one());
    let (digest, events) = (fleet.view(0).digest(), fleet.events.len());
    let mut earlier = 0;
    for (_, to, packet) in old {
        let now = fleet.now;
        let taken = fleet.view(to).handle_packet(now, address(3), &packet);
        earlier += usize::from(taken == Err(Dropped::EarlierLife));
    }
    fleet.run(Duration::from_secs(5));
    assert!(earlier > 5, "{earlier}");
    assert_eq!((fleet.view(0).digest(), fleet.events.len()), (digest, events));
}

#[test]
fn a_name_that_has_left_is_gone_at_once_and_does_not_come_back_by_gossip() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(3));
    let now = fleet.now;
    fleet.view(4).leave(now);
    fleet.drain();
    fleet.members[4] = None;
    fleet.run(Duration::from_secs(1));
    assert!(fleet.is_one(), "well before anybody could have found it silent");
    fleet.run(Duration::from_secs(120));
    assert!(fleet.is_one());
    let back = |e: &Event| matches!(e, Event::Member(Change::Back, _));
    assert!(!fleet.events.iter().any(|(_, e)| back(e)));
}

#[test]
fn a_member_that_was_stopped_for_twenty_seconds_calls_nobody_gone() {
    let mut fleet = Fleet::new(5);
    fleet.run(Duration::from_secs(3));
    let stopped = fleet.members[0].take();
    fleet.run(Duration::from_secs(20));
    assert!(fleet.is_one(), "four are left");
    fleet.members[0] = stopped;
    fleet.run(Duration::from_secs(5));
    assert!(fleet.is_one());
    let rash = |(i, e): &(usize, Event)| *i == 0 && matches!(e, Event::Member(Change::Gone, _));
    assert!(!fleet.events.iter().any(rash));
    assert!(fleet.events.iter().any(|(i, e)| *i == 0 && matches!(e, Event::Late(by) if by.as_secs() >= 19)));
}

#[test]
fn garbage_is_counted_and_changes_nothing() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(3));
    let sample: Vec<_> = fleet.sent.clone();
    let (digest, before) = (fleet.view(0).digest(), fleet.view(0).counts());
    let mut seed = 7_u64;
    let mut random = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize
    };
    let now = fleet.now;
    for _ in 0..20_000 {
        let (from, _, packet) = &sample[random() % sample.len()];
        let mut bad = packet.clone();
        match random() % 4 {
            0 => bad.truncate(random() % bad.len()),
            1 => {
                let at = random() % bad.len();
                bad[at] ^= 1 << (random() % 8);
            }
            2 => bad = (0..random() % 400).map(|_| random() as u8).collect(),
            // Sealed rightly, and nonsense inside.
            _ => {
                let room = if random() % 2 == 0 { Room::Swim } else { Room::Talk };
                bad = seal(room, &(0..random() % 200).map(|_| random() as u8).collect::<Vec<_>>());
            }
        }
        if &bad != packet {
            let _ = fleet.view(0).handle_packet(now, address(*from), &bad);
        }
    }
    let after = fleet.view(0).counts();
    assert!(after.dropped - before.dropped > 15_000, "{after:?}");
    assert_eq!(fleet.view(0).digest(), digest);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.is_one());
    assert_eq!(fleet.view(0).members(now).iter().filter(|l| l.state == State::Alive).count(), 3);
}

#[test]
fn strangers_and_false_addresses_are_not_heard() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(3));
    let now = fleet.now;
    let (from, to, packet) = fleet.sent.iter().find(|(from, to, _)| (*from, *to) == (1, 0)).cloned().unwrap();
    assert_eq!((from, to), (1, 0));
    let elsewhere = SocketAddr::from(([10, 9, 9, 9], 1));
    assert_eq!(fleet.view(0).handle_packet(now, elsewhere, &packet), Err(Dropped::Stranger));
    assert_eq!(fleet.view(0).handle_packet(now, address(2), &packet), Err(Dropped::Stranger));
    assert_eq!(fleet.view(0).handle_packet(now, address(1), &[0; 300]), Err(Unreadable::TooLong.into()));
}

#[test]
fn an_agent_that_the_older_ones_do_not_know_of_joins() {
    let mut fleet = Fleet::new(2);
    fleet.run(Duration::from_secs(3));
    // The third one's configuration names three, the others' two.
    fleet.members.push(Some(View::new(setup(2, 3, 5_000_000), fleet.now).unwrap()));
    fleet.run(Duration::from_secs(5));
    assert!(fleet.is_one());
    assert_eq!(fleet.view(0).members(Duration::ZERO).len(), 3);
}

/// The older ones' configuration names two of six: they compare views with the others as well.
#[test]
fn members_that_the_configuration_does_not_name_are_asked_as_well() {
    let mut fleet = Fleet::new(2);
    for i in 2..6 {
        fleet.members.push(Some(View::new(setup(i, i + 1, 5_000_000), fleet.now).unwrap()));
    }
    fleet.run(Duration::from_secs(10));
    assert!(fleet.is_one());
    fleet.sent.clear();
    fleet.run(Duration::from_secs(60));
    let asked = |to: usize| {
        let asks = |packet: &[u8]| {
            let Ok((Room::Talk, body)) = open(packet) else { return false };
            matches!(postcard::from_bytes(body), Ok(Talk::Ask { back: false, .. }))
        };
        fleet
            .sent
            .iter()
            .filter(|(from, receiver, packet)| *from == 0 && *receiver == to && asks(packet))
            .count()
    };
    let counts: Vec<usize> = (1..6).map(asked).collect();
    assert!(counts.iter().all(|n| *n > 2), "{counts:?}");
}

/// Without the bound some 300 updates wait at one of 700 members at once, and gossip goes on long after all are known to all.
#[test]
fn gossip_of_a_start_is_bounded_and_the_fleet_is_one_all_the_same() {
    const MEMBERS: usize = 700;
    // Whoever speaks to a member itself is always passed on.
    const HEARD_DIRECTLY: usize = 60;
    let mut fleet = Fleet::new(MEMBERS);
    let (mut most, mut is_one) = (0, false);
    let end = pace::join_known(MEMBERS, 0);
    while fleet.now < end {
        fleet.run(Duration::from_millis(100));
        let backlogs = fleet.members.iter().flatten().map(View::gossip_backlog);
        most = most.max(backlogs.max().unwrap_or(0));
        is_one |= fleet.is_one();
    }
    assert!(is_one && fleet.is_one());
    assert!(
        (GOSSIP_BACKLOG_MOST..GOSSIP_BACKLOG_MOST + HEARD_DIRECTLY).contains(&most),
        "{most} waited at most"
    );
    // A death is passed on whatever waits.
    fleet.members[7] = None;
    fleet.run(pace::crash_known(MEMBERS, 1));
    assert!(fleet.is_one());
}

#[test]
fn a_setup_that_makes_no_sense_is_refused() {
    let refused = |setup: Setup| View::new(setup, Duration::ZERO).err();
    assert_eq!(refused(setup(3, 3, 1)), Some(BadSetup::NotAmongPeers(Number(3), 3)));
    let mut twice = setup(0, 3, 1);
    twice.peers[2] = twice.peers[1];
    assert_eq!(refused(twice), Some(BadSetup::Twice(address(1))));
    let mut many = setup(0, 3, 1);
    many.peers = (0..5_000_u16).map(|i| SocketAddr::from(([10, 0, 0, 1], 1 + i))).collect();
    assert_eq!(refused(many), Some(BadSetup::TooMany(5_000)));
}
