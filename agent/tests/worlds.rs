//! The agent's own program in the lab's worlds: it keeps every rule in the worlds that find the mutants, and
//! in short forms of the shipped worlds. Checked by rules and counts, never by speed.

use dilljunction_lab::judge::checker::Rule;
use dilljunction_lab::judge::evidence::{End, Evidence};
use dilljunction_lab::standins::hand::program;
use dilljunction_lab::world::agents::{Subject, Upgrade};
use dilljunction_lab::world::proofs::PROOFS;
use dilljunction_lab::world::run::{run_on_time, Outcome};
use dilljunction_lab::world::World;
use std::sync::{Condvar, Mutex};
use tokio::runtime::Builder;

/// Worlds that run at a time: more would starve each other on a small machine.
const WORLDS_MAX: usize = 3;

/// A slot for a running world, released when dropped.
struct Slot;

static PLAYING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

impl Slot {
    fn take() -> Slot {
        let playing = PLAYING.0.lock().unwrap();
        *PLAYING.1.wait_while(playing, |playing| *playing >= WORLDS_MAX).unwrap() += 1;
        Slot
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *PLAYING.0.lock().unwrap() -= 1;
        PLAYING.1.notify_one();
    }
}

fn play(world: World) -> Outcome {
    let _slot = Slot::take();
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let subject = Subject::Program(program(), Vec::new());
    let outcome = runtime.block_on(run_on_time(world, subject, 4)).unwrap();
    assert!(outcome.passed(), "{:#?}, crashed: {:?}", outcome.verdict.breaches, outcome.crashed);
    outcome
}

fn served(evidence: &Evidence) -> usize {
    evidence.tries.iter().filter(|t| matches!(t.end, End::Served(_))).count()
}

/// A shipped world, smaller and shorter; its faults come proportionally sooner.
fn short(name: &str, rate: f64, pace: f64) -> World {
    let mut world = World::find(name).unwrap();
    world.building.iter_mut().for_each(|b| b.servers = b.servers.min(2));
    (world.rate, world.agents, world.seconds) = (rate, 2, world.seconds / pace);
    for fault in &mut world.fault {
        (fault.at, fault.stagger) = (fault.at / pace, fault.stagger / pace);
        fault.lasts = fault.lasts.map(|lasts| lasts / pace);
        // There are fewer servers and agents than the names were written for.
        for name in fault.servers.iter_mut().filter(|n| n.ends_with("-3")) {
            *name = name.replace("-3", "-2");
        }
    }
    world.check().unwrap();
    world
}

#[test]
fn the_agent_keeps_the_rules_in_the_worlds_that_find_the_mutants() {
    // In parallel: each takes a few seconds with little work.
    let worlds = PROOFS.iter().map(|proof| std::thread::spawn(|| (proof.flaw, play(proof.world()))));
    for world in worlds.collect::<Vec<_>>() {
        let (flaw, outcome) = world.join().unwrap();
        assert!(outcome.evidence.tries.len() > 20, "{flaw:?}: too few requests to prove anything");
        assert!(served(&outcome.evidence) > 0, "{flaw:?}: no request is served");
    }
}

#[test]
fn a_calm_world_is_served_completely() {
    let outcome = play(short("calm", 60.0, 5.0));
    let refused = outcome.evidence.tries.iter().filter(|t| matches!(t.end, End::Refused(_))).count();
    let tries = outcome.evidence.tries.len();
    assert!(
        served(&outcome.evidence) + refused == tries && refused * 4 < tries,
        "{refused} of {tries} refused"
    );
}

#[test]
fn a_flood_with_slow_servers_breaks_no_rule() {
    play(short("hearing-lists", 60.0, 5.0));
}

#[test]
fn a_partitioned_building_breaks_no_rule() {
    play(short("building-cut", 60.0, 5.0));
}

#[test]
fn cold_restarted_servers_break_no_rule() {
    let outcome = play(short("restart-storm", 60.0, 5.0));
    assert!(outcome.evidence.lives.iter().any(|life| life.cold), "no server restarted cold");
}

#[test]
fn a_rolling_drain_breaks_no_rule() {
    play(short("rolling-drain", 60.0, 5.0));
}

/// Requests that a killed agent held are left to its clients to retry, and break no rule.
#[test]
fn all_faults_at_once_with_a_killed_agent_break_no_rule() {
    let outcome = play(short("everything", 80.0, 5.0));
    let [outage] = outcome.evidence.outages[..] else { panic!("one agent is killed") };
    let after = |t: &&dilljunction_lab::judge::evidence::Try| t.agent == outage.agent && t.due > outage.to;
    let back = outcome.evidence.tries.iter().filter(after).any(|t| matches!(t.end, End::Served(_)));
    assert!(back, "the killed agent does not serve again");
}

/// Guards against coordinated omission: clients send when they are due, so that an agent that stalls for a
/// second shows a latency of a second, and requests that it could not answer meanwhile are no breach.
#[test]
fn a_stall_of_a_second_shows_as_a_second_of_latency() {
    let text = "about = 'a stall'
seconds = 3
rate = 60
agents = 1
[clients]
patience = [1.0, 1.0]
[[building]]
name = 'a'
servers = 2
[[class]]
name = 'read'
share = 1
work_ms = [2, 4]
wanted_ms = 4000
deadline_ms = 5000
worth = 1
effect = 'safe'
[[fault]]
kind = 'stall'
at = 1
for = 1
";
    let outcome = play(World::parse(text, "stall").unwrap());
    let [.., worst] = outcome.service.latencies[0].1[..] else { panic!("no latencies") };
    assert!(worst >= 900.0, "the worst of {} tries took {worst} ms", outcome.evidence.tries.len());
    // Requests that were due later in the stall waited less, each from its own due time.
    let waited = |t: &&dilljunction_lab::judge::evidence::Try| t.ended.since(t.due).as_millis() >= 250;
    let waiting = outcome.evidence.tries.iter().filter(waited).count();
    assert!(waiting >= 20, "{waiting} requests were due in the first three quarters of it");
}

/// A small world with one fault, written as in a world's file.
fn with_fault(fault: &str) -> World {
    let text = format!(
        "about = 'one fault'\nseconds = 2.2\nrate = 40\nagents = 2\nlist_late = 0.2
[clients]\npatience = [0.9, 0.9]
[[building]]\nname = 'a'\nservers = 2\n[[building]]\nname = 'b'\nservers = 2
[[fault]]\nat = 0.4\n{fault}\n"
    );
    World::parse(&text, fault).unwrap()
}

/// Every kind of fault is injected, and the agent survives it with all rules kept.
#[test]
fn no_kind_of_fault_breaks_a_rule() {
    const FAULTS: [&str; 28] = [
        "kind = 'slow'\nfor = 1\nservers = ['a-1']\nfactor = 6",
        "kind = 'hang'\nfor = 1\nservers = ['a-1', 'b-1']",
        "kind = 'crash'\nfor = 0.5\nservers = ['a-*']",
        "kind = 'restart'\nservers = ['a-1']",
        "kind = 'drain'\nfor = 1\nservers = ['a-1']",
        "kind = 'break'\nfor = 1\nservers = ['*']\npoint = 'before-head'\nodds = 0.2",
        "kind = 'break'\nfor = 1\nservers = ['*']\npoint = 'after-head'\nodds = 0.2",
        "kind = 'break'\nfor = 1\nservers = ['*']\npoint = 'before-effect'\nodds = 0.2",
        "kind = 'break'\nfor = 1\nservers = ['*']\npoint = 'half-answer'\nodds = 0.2",
        "kind = 'crash-at'\nfor = 0.5\nservers = ['a-1']\npoint = 'after-effect'",
        "kind = 'reports'\nfor = 1\nservers = ['*']\nreports = 'absurd'",
        "kind = 'idle'\nservers = ['*']\nidle_ms = 40\nsilently = true",
        "kind = 'cut'\nfor = 0.8\nbuilding = 'b'",
        "kind = 'half-open'\nfor = 0.8\nbuilding = 'b'\ndirection = 'back'",
        "kind = 'cut-after'\nfor = 0.8\nbuilding = 'b'\ndirection = 'out'\nbytes = 300",
        "kind = 'reset'\nbuilding = 'b'",
        "kind = 'line'\nfor = 1\nbuilding = 'b'\nlatency_ms = 30\njitter_ms = 20\nkib_s = 64",
        "kind = 'flood'\nfor = 1\noffice = 'legal-aid'\nfactor = 10",
        "kind = 'list'\nfor = 1\nlist = 'silent'",
        "kind = 'list'\nfor = 1\nlist = 'down'",
        "kind = 'list'\nfor = 1\nlist = 'stale'",
        "kind = 'list-late'\nfor = 1\nlatency_ms = 300",
        "kind = 'list-pace'\nfor = 1\nlatency_ms = 200\nbytes = 50\njitter_ms = 20",
        "kind = 'list-moves'",
        "kind = 'kill'\nfor = 0.2\nagents = ['agent-1']",
        "kind = 'upgrade'\nfor = 0.8\nevery = 1\nnew = 'well'\nagents = ['agent-1']",
        "kind = 'upgrade'\nfor = 0.8\nevery = 0.6\nnew = 'killed'\nagents = ['agent-1']",
        "kind = 'drain-agent'\nfor = 1\nagents = ['agent-1']",
    ];
    for batch in FAULTS.chunks(6) {
        let worlds = batch.iter().map(|fault| std::thread::spawn(move || (*fault, play(with_fault(fault)))));
        for world in worlds.collect::<Vec<_>>() {
            let (fault, outcome) = world.join().unwrap();
            assert!(served(&outcome.evidence) > 10, "{fault}: hardly any request is served");
        }
    }
}

/// The first seconds of a shipped world of operations work, with fewer servers.
fn beginning(name: &str, seconds: f64) -> World {
    let mut world = World::find(name).unwrap();
    world.building.iter_mut().for_each(|b| b.servers = 2);
    (world.rate, world.seconds) = (120.0, seconds);
    world.fault.retain(|f| f.at < seconds - 3.0);
    for fault in &mut world.fault {
        fault.lasts = fault.lasts.map(|lasts| lasts.min(seconds - 3.0 - fault.at));
    }
    world.check().unwrap();
    world
}

/// To every rule, two processes of an agent are one: new processes that start well, are killed while
/// starting, are never ready, or take clients beside the old one for a while.
#[test]
fn frequent_upgrades_lose_no_request() {
    let outcome = play(beginning("upgrade", 14.0));
    let lost = |agent: usize| {
        let tries = outcome.evidence.tries.iter().filter(move |t| t.agent == agent);
        tries.filter(|t| matches!(t.end, End::Closed | End::Silent | End::Broken | End::Unsent)).count()
    };
    // Agent 2's processes are killed with the requests that they hold.
    assert_eq!((lost(0), lost(1), lost(3)), (0, 0, 0));
    let descriptors = outcome.frames.iter().flat_map(|f| f.agents.iter().flatten()).map(|u| u.descriptors);
    assert!(descriptors.max().unwrap_or(usize::MAX) <= outcome.world.limits.sockets);
}

/// The checker must find what a bad upgrade loses: here the platform kills the old process instead of telling
/// it to shut down.
#[test]
fn an_upgrade_that_kills_the_old_process_is_found() {
    let mut world = beginning("upgrade", 8.0);
    world.fault.truncate(1);
    (world.fault[0].new, world.fault[0].every) = (Some(Upgrade::CutOff), Some(1.0));
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let subject = Subject::Program(program(), Vec::new());
    let _slot = Slot::take();
    let outcome = runtime.block_on(run_on_time(world, subject, 4)).unwrap();
    assert!(outcome.verdict.count(Rule::OneAnswer) > 0, "{:#?}", outcome.verdict);
}

/// Clients are sent away from one agent, which drains while the others serve, and return to it.
#[test]
fn an_agent_drained_by_operators_empties_in_time_and_returns() {
    let outcome = play(beginning("drain-agent", 14.0));
    let seen: Vec<bool> = outcome.evidence.emptied.iter().map(|e| e.away).collect();
    assert_eq!(seen, [true, false], "{:?}", outcome.evidence.emptied);
    let unsent = outcome.evidence.tries.iter().filter(|t| t.end == End::Unsent).count();
    assert_eq!(unsent, 0);
}

/// A world that is started without clients reports the addresses of its parts.
#[test]
fn a_world_without_clients_reports_the_addresses_of_its_parts() {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let subject = Subject::Program(program(), Vec::new());
    runtime.block_on(async {
        let stage =
            dilljunction_lab::world::run::Stage::set(World::find("calm").unwrap(), subject).await.unwrap();
        let directory = stage.directory();
        assert_eq!(directory["servers"].as_array().map(Vec::len), Some(6));
        assert_eq!(directory["links"], serde_json::json!(["san-fernando~marabella"]));
        for agent in directory["agents"].as_array().unwrap() {
            let address = agent["address"].as_str().unwrap();
            assert!(std::net::TcpStream::connect(address).is_ok(), "{agent}");
        }
    });
}
