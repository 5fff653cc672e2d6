//! What a seed stands for: who is there, which settings they have, and which faults happen when. The same seed is the same plan.

use crate::judge::evidence::Group;
use crate::standins::booking::{Point, Reports};
use crate::standins::discovery::Ailment;
use crate::standins::link::Direction;
use crate::standins::office::Habits;
use crate::world::agents::Upgrade;
use crate::world::{Class, EffectName, Fault, Kind, Limits, Machine, World};
use fastrand::Rng;

/// How many agents there are, at the least and the most.
pub const AGENTS: std::ops::RangeInclusive<usize> = 24..=40;
/// The first agents are upgraded and emptied by operators; the others are told to end, killed and stopped.
const OPERATED: usize = 3;
/// A new fault begins so often, in seconds.
const FAULT_EVERY_S: f64 = 0.45;
/// How often servers hang just when an agent is told to end.
const HANGS_AT_STOP: f64 = 0.6;
/// Faults begin so long before the end at the latest, in seconds.
const QUIET_END_S: f64 = 1.0;
/// Between two orders of operators to one agent, in seconds: the longest shutdown, and the time to look.
const OPERATORS_PAUSE_S: f64 = 6.0;
/// Error numbers of Linux, as the preloaded library takes them.
const ERRORS_OF_ACCEPT: [i32; 7] = [4, 12, 23, 71, 100, 103, 105];
const ERRORS_OF_CONNECT: [i32; 6] = [99, 101, 105, 110, 111, 113];
const ENOBUFS: i32 = 105;
/// Sets the generator of slow peers apart from that of the other faults.
const SLOW_PEERS_SEED: u64 = 0x510e_527f_ade6_82d1;
/// Sets the generator of slow sources and long cuts apart from both.
const LONG_SILENCES_SEED: u64 = 0x9b05_688c_2b3e_6c1f;
/// An answer of discovery takes so long at the most, in milliseconds: two of them fit into the 6 s after which news count as told.
const LIST_ANSWER_MOST_MS: f64 = 2_500.0;
/// Pieces of an answer of discovery, of which the whole list has some 2 kB.
const LIST_PIECES_MOST: u64 = 8;
const LIST_BYTES: u64 = 2_400;
/// How long a server drains that slow sources have to tell of, in seconds: longer than told late and the grace.
const DRAIN_S: (f64, f64) = (6.0, 9.0);
/// How long a building is cut off, in seconds.
const CUT_S: (f64, f64) = (0.1, 20.0);
/// Buildings that are looked at for a time without other faults of their links.
const CUTS_TRIED: usize = 8;
/// The least memory that an agent may be given.
const LEAST_MEMORY_MB: u64 = 16;
/// Clients of a crowd at each agent that do not behave.
const CROWD: usize = 12;
const HOUR_MS: i64 = 3_600_000;

/// Draws a plan that lasts so many seconds.
pub fn draw(seed: u64, seconds: f64) -> World {
    let mut random = Rng::with_seed(seed);
    let mut world = empty(seed, seconds);
    world.agents = random.usize(AGENTS);
    world.building.iter_mut().for_each(|building| building.servers = random.usize(3..=5));
    world.rate = f64::from(random.u32(250..=400));
    world.pushed = random.bool();
    world.rude_clients = random.usize(1..=2);
    world.list_late = between(&mut random, 0.05, 1.5);
    world.server.idle_ms = between(&mut random, 1_500.0, 10_000.0);
    world.class = classes(&mut random);
    world.clients = Habits {
        retries: random.u32(0..=2),
        retry_wait_ms: between(&mut random, 20.0, 200.0),
        mixed: random.bool(),
        leaving: between(&mut random, 0.0, 0.12),
        ..Habits::default()
    };
    world.machine = (OPERATED..world.agents).filter_map(|agent| machine(&mut random, agent)).collect();
    let last = (seconds - QUIET_END_S).max(0.5);
    let mut at = between(&mut random, 0.3, 1.0);
    while at < last {
        let next = at + between(&mut random, 0.1, 2.0 * FAULT_EVERY_S - 0.1);
        let at = std::mem::replace(&mut at, next);
        let fault = fault(&mut random, &world, at);
        if contradicts(&world.fault, &fault) {
            continue;
        }
        if fault.kind == Kind::Stop && random.f64() < HANGS_AT_STOP {
            let hang = hang_at_stop(&mut random, &world, at);
            world.fault.push(hang);
        }
        world.fault.push(fault);
    }
    add_slow_peers(&mut world, seed, last);
    add_long_silences(&mut world, seed, last);
    world
}

/// A pace of its own for some sources of the list, and a building that is cut off for long while answers and bodies are
/// under way. They have a generator of their own too.
fn add_long_silences(world: &mut World, seed: u64, last: f64) {
    let mut random = Rng::with_seed(seed ^ LONG_SILENCES_SEED);
    for agent in 0..world.agents {
        if random.bool() {
            let pace = list_pace(&mut random, last, format!("agent-{agent}"));
            world.fault.push(pace);
        }
    }
    let names: Vec<String> = world.servers().into_iter().map(|(name, _)| name).collect();
    let servers = vec![names[random.usize(0..names.len())].clone()];
    let at = between(&mut random, 0.0, last / 2.0);
    let lasts = Some(between(&mut random, DRAIN_S.0, DRAIN_S.1));
    world.fault.push(Fault { servers, ..plain(Kind::Drain, at, lasts) });
    let cuts = (0..CUTS_TRIED).filter_map(|_| long_cut(&mut random, world, last));
    let longest = cuts.max_by(|a, b| a.lasts.unwrap_or(0.0).total_cmp(&b.lasts.unwrap_or(0.0)));
    let Some(mut cut) = longest else { return };
    // Answers that take seconds are under way in the building when it is cut off.
    let building = cut.building.clone().unwrap_or_default();
    let place = world.building.iter().position(|one| one.name == building);
    let named = world.servers().into_iter().filter(|(_, home)| Some(*home) == place);
    let servers = named.map(|(name, _)| name).collect();
    let begins = cut.at;
    cut.at += between(&mut random, 0.1, 0.8);
    cut.lasts = cut.lasts.map(|lasts| (lasts - (cut.at - begins)).max(CUT_S.0));
    let (latency_ms, bytes) = (Some(between(&mut random, 50.0, 400.0)), Some(random.u64(70_000..230_000)));
    world.fault.push(Fault {
        servers,
        latency_ms,
        bytes,
        ..plain(Kind::Pause, begins, Some(cut.at - begins + 1.0))
    });
    world.fault.push(cut);
}

/// A source that takes up to [`LIST_ANSWER_MOST_MS`] for an answer, from its beginning or within it.
fn list_pace(random: &mut Rng, last: f64, agent: String) -> Fault {
    let (all_ms, head_share) =
        (between(random, 50.0, LIST_ANSWER_MOST_MS), [0.0, 1.0, random.f64()][random.usize(0..3)]);
    let pieces = random.u64(1..=LIST_PIECES_MOST);
    let at = between(random, 0.0, last / 4.0);
    Fault {
        agents: vec![agent],
        latency_ms: Some(all_ms * head_share),
        bytes: Some(LIST_BYTES.div_ceil(pieces)),
        jitter_ms: Some(all_ms * (1.0 - head_share) / pieces as f64),
        ..plain(Kind::ListPace, at, Some(last - at))
    }
}

/// A cut of a building that lasts until the next other fault of its links at the most.
fn long_cut(random: &mut Rng, world: &World, last: f64) -> Option<Fault> {
    let building = Some(world.building[random.usize(0..world.building.len())].name.clone());
    let at = between(random, 0.5, last);
    let ends = |fault: &Fault| fault.at + fault.lasts.unwrap_or(0.0);
    let of_links = world.fault.iter().filter(|fault| fault.building == building);
    let next = of_links.clone().filter(|fault| fault.at >= at).map(|fault| fault.at).fold(last, f64::min);
    if of_links.clone().any(|fault| fault.at < at && ends(fault) > at) {
        return None;
    }
    let lasts = between(random, CUT_S.0, CUT_S.1).min(next - at);
    (lasts >= CUT_S.0).then(|| Fault { building, ..plain(Kind::Cut, at, Some(lasts)) })
}

/// Servers that pause within answers, short and long ones, in every plan; in one of three the least memory and a crowd of clients that
/// do not behave. They have a generator of their own, so that the other faults of a seed stay what they were.
fn add_slow_peers(world: &mut World, seed: u64, last: f64) {
    let mut random = Rng::with_seed(seed ^ SLOW_PEERS_SEED);
    let names: Vec<String> = world.servers().into_iter().map(|(name, _)| name).collect();
    let mut at = between(&mut random, 0.2, 1.0);
    while at < last {
        let some = random.usize(1..=names.len().div_ceil(3));
        let servers = (0..some).map(|_| names[random.usize(0..names.len())].clone()).collect();
        let is_long = random.bool();
        let latency_ms = Some(between(&mut random, 20.0, if is_long { 700.0 } else { 400.0 }));
        let bytes = Some(if is_long { random.u64(70_000..230_000) } else { 0 });
        let lasts = Some(between(&mut random, 1.0, 4.0));
        world.fault.push(Fault { servers, latency_ms, bytes, ..plain(Kind::Pause, at, lasts) });
        at += between(&mut random, 1.0, 3.0);
    }
    if random.u8(0..3) == 0 {
        world.limits = Limits { sockets: 1024, memory_mb: LEAST_MEMORY_MB };
        world.rude_clients += CROWD;
    }
}

/// Operators don't send clients away whom they have just called back, nor replace a process that they are emptying: what is looked
/// for at the end of the one is undone by the other.
fn contradicts(before: &[Fault], fault: &Fault) -> bool {
    let is_operated = |fault: &Fault| matches!(fault.kind, Kind::DrainAgent | Kind::Upgrade);
    let end = |fault: &Fault| fault.at + fault.lasts.unwrap_or(0.0) + OPERATORS_PAUSE_S;
    let crosses = |other: &&Fault| {
        is_operated(other) && other.agents == fault.agents && other.at < end(fault) && fault.at < end(other)
    };
    is_operated(fault) && before.iter().any(|other| crosses(&other))
}

/// A quarter to a half of the servers hang while an agent is told to end, for longer than it may take.
fn hang_at_stop(random: &mut Rng, world: &World, stop_at: f64) -> Fault {
    let mut names: Vec<String> = world.servers().into_iter().map(|(name, _)| name).collect();
    random.shuffle(&mut names);
    names.truncate(random.usize(names.len() / 4..=names.len() / 2).max(1));
    let at = (stop_at - between(random, 0.2, 1.5)).max(0.0);
    Fault { servers: names, ..plain(Kind::Hang, at, Some(between(random, 5.3, 7.0))) }
}

/// Three buildings in which nothing happens.
fn empty(seed: u64, seconds: f64) -> World {
    let text = format!(
        "about = 'drawn from seed {seed}'\nseconds = {seconds:.2}\nrate = 300\nagents = {}\nskew = 1.2\nseed = {seed}\n\
         [[building]]\nname = 'a'\nservers = 3\n[[building]]\nname = 'b'\nservers = 3\n[[building]]\nname = 'c'\nservers = 3",
        AGENTS.start()
    );
    World::parse(&text, &format!("soak-{seed}")).unwrap_or_else(|fault| panic!("{fault}"))
}

fn between(random: &mut Rng, least: f64, most: f64) -> f64 {
    least + (most - least) * random.f64()
}

/// One class of each effect, with deadlines that are short, long, or longer than a shutdown.
fn classes(random: &mut Rng) -> Vec<Class> {
    let longest_ms = match random.u8(0..4) {
        0 => between(random, 300.0, 900.0),
        1 => between(random, 900.0, 3_000.0),
        _ => between(random, 3_100.0, 9_000.0),
    };
    let mut class = |name: &str, effect, group: Option<Group>, share: f64| {
        let deadline_ms = longest_ms * between(random, 0.4, 1.0);
        let window_ms = group.map(|_| deadline_ms * between(random, 0.5, 5.0));
        Class {
            name: name.into(),
            share,
            work_ms: (5.0, between(random, 10.0, 40.0)),
            wanted_ms: deadline_ms * 0.5,
            deadline_ms,
            worth: 1.0,
            effect,
            group,
            window_ms,
        }
    };
    vec![
        class("safe", EffectName::Safe, None, 0.3),
        class("keyed-all", EffectName::Keyed, Some(Group::All), 0.25),
        class("keyed-zone", EffectName::Keyed, Some(Group::Zone), 0.2),
        class("unsafe", EffectName::Unsafe, None, 0.25),
    ]
}

/// What the machine does to an agent, for about half of them.
fn machine(random: &mut Rng, agent: usize) -> Option<Machine> {
    let one_in = random.u32(3..40);
    let step = [-HOUR_MS, -3_000, 3_000, HOUR_MS][random.usize(0..4)];
    let faults = match random.u8(0..14) {
        0 | 1 => format!("interrupt={one_in}"),
        2 => format!("short={one_in}"),
        3 => format!("interrupt={one_in} short={one_in}"),
        4 => format!("accept={}/{one_in}", ERRORS_OF_ACCEPT[random.usize(0..ERRORS_OF_ACCEPT.len())]),
        5 => format!("connect={}/{one_in}", ERRORS_OF_CONNECT[random.usize(0..ERRORS_OF_CONNECT.len())]),
        6 => format!("socket={ENOBUFS}/{one_in}"),
        7 => format!("wall_ms={step} wall_after_ms={}", random.u32(0..4_000)),
        _ => return None,
    };
    Some(Machine {
        agents: vec![format!("agent-{agent}")],
        faults: format!("seed={} {faults}", random.u32(..)),
    })
}

fn fault(random: &mut Rng, world: &World, at: f64) -> Fault {
    match random.u8(0..100) {
        0..=44 => fault_of_agents(random, world, at),
        45..=84 => fault_of_servers(random, world, at),
        _ => fault_of_links(random, world, at),
    }
}

/// A fault of this kind that has nothing else yet.
fn plain(kind: Kind, at: f64, lasts: Option<f64>) -> Fault {
    Fault {
        at,
        lasts,
        kind,
        servers: Vec::new(),
        building: None,
        office: None,
        agents: Vec::new(),
        factor: None,
        odds: None,
        point: None,
        reports: None,
        list: None,
        latency_ms: None,
        jitter_ms: None,
        kib_s: None,
        bytes: None,
        direction: None,
        idle_ms: None,
        silently: false,
        new: None,
        kill_ms: None,
        every: None,
        stagger: 0.0,
    }
}

fn fault_of_agents(random: &mut Rng, world: &World, at: f64) -> Fault {
    let operated = vec![format!("agent-{}", random.usize(0..OPERATED))];
    let mut agents = vec![format!("agent-{}", random.usize(OPERATED..world.agents))];
    let short = between(random, 0.05, 1.0);
    let long = between(random, 0.5, 5.0);
    if random.u8(0..4) == 0 {
        agents.push(format!("agent-{}", random.usize(OPERATED..world.agents)));
        agents.dedup();
    }
    let mut fault = match random.u8(0..20) {
        0..=6 => plain(Kind::Stop, at, Some(short)),
        7 | 8 => {
            let kill_ms = Some(between(random, 0.0, 3_700.0));
            Fault { kill_ms, ..plain(Kind::Stop, at, Some(short)) }
        }
        9 => plain(Kind::Kill, at, Some(short)),
        10 | 11 => plain(Kind::Stall, at, Some(short)),
        12 => plain(Kind::ListMoves, at, None),
        13..=15 => {
            let list = [Ailment::Down, Ailment::Silent, Ailment::Stale][random.usize(0..3)];
            Fault { list: Some(list), ..plain(Kind::List, at, Some(long)) }
        }
        16 => {
            let latency_ms = Some(between(random, 10.0, 900.0));
            Fault { latency_ms, ..plain(Kind::ListLate, at, Some(long)) }
        }
        17 => {
            Fault { agents: operated.clone(), ..plain(Kind::DrainAgent, at, Some(between(random, 4.5, 6.0))) }
        }
        _ => {
            let new =
                [Upgrade::Well, Upgrade::Well, Upgrade::Killed, Upgrade::BothAtOnce][random.usize(0..4)];
            let every = Some(between(random, 1.5, 4.0));
            Fault { agents: operated.clone(), new: Some(new), every, ..plain(Kind::Upgrade, at, Some(long)) }
        }
    };
    if fault.agents.is_empty() {
        fault.agents = agents;
    }
    fault
}

fn fault_of_servers(random: &mut Rng, world: &World, at: f64) -> Fault {
    let names: Vec<String> = world.servers().into_iter().map(|(name, _)| name).collect();
    let some = random.usize(1..=3);
    let servers: Vec<String> = (0..some).map(|_| names[random.usize(0..names.len())].clone()).collect();
    let long = Some(between(random, 0.5, 6.0));
    let point =
        [Point::BeforeHead, Point::AfterHead, Point::BeforeEffect, Point::AfterEffect, Point::HalfAnswer]
            [random.usize(0..5)];
    let fault = match random.u8(0..14) {
        0..=3 => plain(Kind::Hang, at, long),
        4 | 5 => Fault { factor: Some(between(random, 2.0, 30.0)), ..plain(Kind::Slow, at, long) },
        6 => plain(Kind::Crash, at, long),
        7 => plain(Kind::Restart, at, None),
        8 | 9 => plain(Kind::Drain, at, long),
        10 => Fault {
            point: Some(point),
            odds: Some(between(random, 0.05, 0.6)),
            ..plain(Kind::Break, at, long)
        },
        11 => Fault { point: Some(point), ..plain(Kind::CrashAt, at, long) },
        12 => {
            let reports = [Reports::Noisy, Reports::Absurd, Reports::Missing][random.usize(0..3)];
            Fault { reports: Some(reports), ..plain(Kind::Reports, at, long) }
        }
        _ => {
            let (idle_ms, silently) = (Some(between(random, 20.0, 800.0)), random.bool());
            Fault { idle_ms, silently, ..plain(Kind::Idle, at, long) }
        }
    };
    Fault { servers, ..fault }
}

fn fault_of_links(random: &mut Rng, world: &World, at: f64) -> Fault {
    let building = Some(world.building[random.usize(0..world.building.len())].name.clone());
    let office = Some(world.office[random.usize(0..world.office.len())].name.clone());
    let long = Some(between(random, 0.3, 5.0));
    let direction = Some([Direction::Out, Direction::Back][random.usize(0..2)]);
    match random.u8(0..8) {
        0 | 1 => Fault { building, ..plain(Kind::Cut, at, long) },
        2 | 3 => Fault { building, direction, ..plain(Kind::HalfOpen, at, long) },
        4 => Fault { building, ..plain(Kind::Reset, at, None) },
        5 => {
            let bytes = Some(random.u64(0..4_000));
            Fault { building, direction, bytes, ..plain(Kind::CutAfter, at, long) }
        }
        6 => {
            let latency_ms = Some(between(random, 5.0, 120.0));
            Fault { building, latency_ms, jitter_ms: Some(20.0), ..plain(Kind::Line, at, long) }
        }
        _ => Fault { office, factor: Some(between(random, 2.0, 5.0)), ..plain(Kind::Flood, at, long) },
    }
}

#[cfg(test)]
mod tests;
