//! The soak: a few dozen real processes under faults that are drawn by a seed and overlap, judged from outside by the rules, and
//! by the violations that the agents count themselves.

pub mod draw;

use crate::shrink::fewest;
use crate::world::agents::Subject;
use crate::world::run::{run_on_time, Outcome};
use crate::world::{Fault, World};
use std::time::Duration;

/// Runs of one plan while the lab itself is late: a machine that is too busy says nothing of the agents.
const TRIES_ON_TIME: usize = 2;
/// Nine of ten processes that are started again are ready within this, and all within the other (standing test, "The gate").
const READY_MOST: Duration = Duration::from_secs(10);
const READY_LAST: Duration = Duration::from_secs(30);

/// What came of a soak.
pub struct Report {
    /// The run.
    pub outcome: Outcome,
    /// What was wrong, a line each; nothing if all is well.
    pub wrong: Vec<String>,
}

impl Report {
    /// True if nothing was wrong.
    pub fn passed(&self) -> bool {
        self.wrong.is_empty()
    }
}

/// Runs a plan and judges it.
pub async fn play(world: World, subject: Subject) -> Result<Report, String> {
    let outcome = run_on_time(world, subject, TRIES_ON_TIME).await?;
    let wrong = wrong(&outcome);
    Ok(Report { outcome, wrong })
}

/// What was wrong with a run, a line each.
fn wrong(outcome: &Outcome) -> Vec<String> {
    let breaches = outcome.verdict.breaches.iter();
    let mut wrong: Vec<String> = breaches
        .map(|b| format!("{}: {} at {:.3} s: {}", b.rule.name(), b.subject, b.at, b.evidence))
        .collect();
    wrong.extend(outcome.crashed.iter().map(|agent| format!("agent-{agent} crashed, or was not ready")));
    wrong.extend(outcome.complaints.iter().cloned());
    let allowed_kib = outcome.world.limits.memory_mb * 1024;
    for agent in 0..outcome.world.agents {
        let usages = outcome.frames.iter().filter_map(|frame| frame.agents.get(agent)?.as_ref());
        let peak_kib = usages.map(|usage| usage.rss_kib).max().unwrap_or_default();
        if peak_kib > allowed_kib {
            wrong.push(format!("agent-{agent} held {peak_kib} KiB of {allowed_kib}"));
        }
    }
    let slow = outcome.ready_after.iter().filter(|took| **took > READY_MOST).count();
    if slow * 10 > outcome.ready_after.len() || outcome.ready_after.iter().any(|took| *took > READY_LAST) {
        wrong.push(format!("{slow} of {} restarts took over {READY_MOST:?}", outcome.ready_after.len()));
    }
    wrong
}

/// The fewest faults with which a plan still breaks, tried at most so often.
pub async fn smallest(world: World, subject: Subject, tries: usize) -> Result<World, String> {
    let handle = tokio::runtime::Handle::current();
    let search = move || {
        let with = |fault: &[Fault]| World { fault: fault.to_vec(), ..world.clone() };
        let fails = |fault: &[Fault]| {
            let played = handle.block_on(play(with(fault), subject.clone()));
            played.is_ok_and(|report| !report.passed() && !report.outcome.late)
        };
        with(&fewest(&world.fault, tries, fails))
    };
    tokio::task::spawn_blocking(search).await.map_err(|e| e.to_string())
}

/// A fault in one line, for people.
pub fn line(fault: &Fault) -> String {
    let lasts = fault.lasts.map_or(String::new(), |lasts| format!(" for {lasts:.2} s"));
    let kill = fault.kill_ms.map_or(String::new(), |ms| format!(", killed after {ms:.0} ms"));
    format!("{:7.2} s {}{lasts}{kill}", fault.at, fault.label())
}
