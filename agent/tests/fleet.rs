//! Several processes of the program that know of one another, and faults between them.

use dilljunction_lab::fleet::checker::Rule;
use dilljunction_lab::fleet::evidence::{Belief, Entry};
use dilljunction_lab::fleet::plan::{Act, Clocks, Plan};
use dilljunction_lab::fleet::rig::{Outcome, Rig};
use dilljunction_lab::standins::hand::program;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// One fleet at a time: more would starve each other on a small machine.
static PLAYING: Mutex<()> = Mutex::new(());

fn folder() -> PathBuf {
    static FOLDERS: AtomicUsize = AtomicUsize::new(0);
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("dilljunction-fleet-{}-{number}", std::process::id()))
}

fn block_on<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap().block_on(work)
}

fn play(plan: Plan) -> Outcome {
    let _one = PLAYING.lock().unwrap_or_else(|e| e.into_inner());
    block_on(async { Rig::new(plan, program(), folder()).await.unwrap().play(|_, _| ()).await.unwrap() })
}

#[test]
fn nine_processes_settle_on_one_view_after_one_is_killed_and_after_it_is_back() {
    let _one = PLAYING.lock().unwrap_or_else(|e| e.into_inner());
    let plan = Plan { name: "kill".into(), about: "kill".into(), agents: 9, seed: 1, fault: vec![] };
    block_on(async {
        let mut rig = Rig::new(plan, program(), folder()).await.unwrap();
        for m in 0..9 {
            rig.start(m, Clocks::default()).await.unwrap();
        }
        let bound = Duration::from_secs(60);
        rig.settle(bound).await.expect("nine views that are one");
        rig.act(Act::Kill(4)).await.unwrap();
        assert!(!rig.is_settled(), "a death that is known before anybody can know it");
        rig.settle(bound).await.expect("eight views that call the ninth gone");
        rig.start(4, Clocks::default()).await.unwrap();
        rig.settle(bound).await.expect("nine again");
        let lives: Vec<u64> = rig
            .evidence()
            .entries
            .iter()
            .filter_map(|(_, e)| {
                if let Entry::Says { observer: 0, member: 4, life, .. } = e {
                    Some(*life)
                } else {
                    None
                }
            })
            .collect();
        assert!(lives.is_sorted() && lives.first() < lives.last(), "{lives:?}");
    });
}

#[test]
fn each_fault_once_between_nine_processes() {
    let outcome = play(Plan::find("each-once").unwrap());
    assert!(outcome.verdict.kept(), "{:#?}", outcome.verdict);
    // A judge that has seen nothing would keep everything.
    assert!(!outcome.verdict.deaths_known_after.is_empty() && outcome.verdict.count(Rule::Settles) == 0);
}

/// Two processes of one agent, one address for datagrams: the others see one change of life each time, and never a death.
#[test]
fn upgrades_are_changes_of_life_and_no_deaths() {
    let outcome = play(Plan::find("upgrades").unwrap());
    assert!(outcome.verdict.kept(), "{:#?}", outcome.verdict);
    for upgraded in 0..3 {
        let said = outcome.evidence.entries.iter().filter_map(|(_, entry)| match entry {
            Entry::Says { observer: 8, member, life, belief } if *member == upgraded => {
                Some((*life, *belief))
            }
            _ => None,
        });
        let said: Vec<_> = said.collect();
        assert!(said.first().map(|s| s.0) < said.last().map(|s| s.0), "{upgraded}: {said:?}");
        assert!(said.iter().all(|(_, belief)| *belief != Belief::Gone), "{upgraded}: {said:?}");
    }
}
