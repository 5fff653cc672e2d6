//! A large fleet in small: real agents and hollow ones with zones between them, what goes wrong, and that it is found.

use dilljunction_lab::fleet::checker::Rule;
use dilljunction_lab::fleet::flaw::Flaw;
use dilljunction_lab::publishing::operators::{fleet_file, Refusal};
use dilljunction_lab::scale::publishing::{Publishing, PublishingFault};
use dilljunction_lab::scale::rig::{Setup, VIEW_ONLY};
use dilljunction_lab::scale::run::{run, Outcome, Windows};
use dilljunction_lab::scale::schedule::schedule;
use dilljunction_lab::scale::share::Bounds;
use dilljunction_lab::standins::hand::program;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;

const MEMBERS: usize = 40;
const REAL: usize = 3;
const THREADS: usize = 2;
/// Runs while the machine stood still under the lab; the last one stands.
const RUNS_MOST: usize = 3;

/// One fleet at a time.
static PLAYING: Mutex<()> = Mutex::new(());

/// Other tests may take all of the machine; a rig that is a second late says nothing of the agents all the same.
fn patient() -> Bounds {
    Bounds { lab_busy: 1.0, late_ms: 1_000.0, host_late_ms: 1_000.0, dropped: 0.001, idle: 0.0 }
}

fn setup(name: &str, flaw: Option<Flaw>) -> Setup {
    let folder = std::env::temp_dir().join(format!("dilljunction-scale-{}-{name}", std::process::id()));
    Setup {
        plan: schedule(name, MEMBERS, 1).unwrap(),
        real: REAL,
        agent: program(),
        host: PathBuf::from(env!("CARGO_BIN_EXE_dilljunction-hollow")),
        folder,
        flaw,
        bounds: patient(),
        fleet_file: VIEW_ONLY.into(),
    }
}

/// Of so many seconds. No figure of it is looked at but that it is there, so that nobody waits for the start's gossip to end.
fn one_window(seconds: u64) -> Windows {
    Windows { count: 1, length: Duration::from_secs(seconds), calm: Duration::from_secs(1) }
}

fn block_on<T>(work: impl std::future::Future<Output = T>) -> T {
    let _one = PLAYING.lock().unwrap_or_else(|e| e.into_inner());
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(THREADS).enable_all().build().unwrap().block_on(work)
}

fn play(setup: Setup) -> Outcome {
    block_on(async {
        let name = &setup.plan.name;
        let once = || run(setup.clone(), one_window(2), |_| ());
        let mut outcome = once().await.unwrap();
        for _ in 1..RUNS_MOST {
            let Some(reason) = &outcome.bottleneck else { break };
            eprintln!("{name}: played again: {reason}");
            outcome = once().await.unwrap();
        }
        outcome
    })
}

#[test]
fn forty_members_keep_every_rule_through_a_cut_a_dead_machine_and_restarts() {
    let outcome = play(setup("short", None));
    assert!(outcome.passed(), "{:?} {:#?}", outcome.bottleneck, outcome.verdict);
    assert!(outcome.verdict.settled_after.is_some());
    let window = &outcome.windows[0];
    assert_eq!((window.real.agents, window.hollow.agents), (REAL, MEMBERS - REAL));
    for used in [window.real, window.hollow] {
        assert!(used.cpu_ms > 0.0 && used.resident_mb > 0.0, "{used:?}");
        assert!(used.packets_out > 0.0 && used.packets_in > 0.0, "{used:?}");
        assert!(used.bytes_out > used.packets_out && used.bytes_in > used.packets_in, "{used:?}");
    }
}

#[test]
fn a_member_that_breaks_a_rule_on_purpose_is_found() {
    let mut setup = setup("machine", Some(Flaw::KeepsTheDead));
    // One death is known soon, so that what is not known by then is found soon.
    setup.plan.fault[0].members.truncate(1);
    let outcome = play(setup);
    assert!(outcome.counts, "{:?}", outcome.bottleneck);
    assert!(!outcome.passed() && outcome.verdict.count(Rule::Settles) > 0, "{:#?}", outcome.verdict);
}

#[test]
fn a_change_is_in_force_at_real_and_hollow_agents_and_at_those_that_restart_meanwhile() {
    let setup = Setup { fleet_file: fleet_file(), ..setup("start", None) };
    block_on(async {
        let mut fleet = Publishing::start(setup, 0.01).await.unwrap();
        let times = fleet.changes(2).await.unwrap();
        assert_eq!((times.agents, times.all.len(), times.last.len()), (MEMBERS, 2 * MEMBERS, 2));
        let times = fleet.change_while_agents_restart().await.unwrap();
        assert_eq!(times.all.len(), MEMBERS);
        let rush = fleet.rush(4.0, Duration::from_secs(3), 5).await.unwrap();
        assert_eq!((rush.published, rush.times.last.len(), rush.times.all.len()), (12, 5, 5 * MEMBERS));
        assert!(rush.writer_bytes_out > 0.0);
    });
}

#[test]
fn a_fleet_without_changes_of_configuration_publishes_none() {
    let fault =
        block_on(Publishing::start(setup("start", None), 0.0)).err().expect("nothing to publish with");
    assert!(matches!(fault, PublishingFault::Refused(Refusal { status: 404, .. })), "{fault}");
}

/// The lab's threads are kept from their work for longer than any bound: what was measured is no figure of the agents.
#[test]
fn a_run_in_which_the_rig_was_the_bottleneck_does_not_count() {
    let outcome = block_on(async {
        let stall = || {
            for _ in 0..THREADS {
                tokio::spawn(async { std::thread::sleep(Duration::from_millis(1_500)) });
            }
        };
        let tell = |word: &str| {
            if word.starts_with("measuring") {
                // In the middle of the window.
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                    stall();
                });
            }
        };
        run(setup("start", None), one_window(6), tell).await.unwrap()
    });
    let reason = outcome.bottleneck.clone().expect("a reason");
    assert!(!outcome.counts && !outcome.passed() && reason.contains("timer of the lab"), "{reason}");
    let json = serde_json::to_value(&outcome).unwrap();
    assert_eq!(json["counts"], false);
    assert_eq!(json["bottleneck"], reason);
}
