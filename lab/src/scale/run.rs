//! One run: a fleet starts, settles, is measured, goes through a schedule, and is judged.

use crate::fleet::checker::{judge, Verdict};
use crate::scale::measure::{Meter, Window};
use crate::scale::rig::{Rig, RigFault, Setup};
use crate::scale::share::Share;
use serde::Serialize;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long a fleet that has settled is left alone before it is measured: what it still says of its start is over then. After
/// 3 s the first window still held gossip of the start at 400 and 800 members.
pub const CALM: Duration = Duration::from_secs(15);

/// What is measured of a fleet that has settled, before the schedule is played.
#[derive(Debug, Clone, Copy)]
pub struct Windows {
    /// How many windows.
    pub count: usize,
    /// How long each of them is.
    pub length: Duration,
    /// How long the fleet is left alone before the first; [`CALM`] where the figures count.
    pub calm: Duration,
}

/// What a run has shown.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// The schedule.
    pub schedule: String,
    /// Agents.
    pub members: usize,
    /// Those of them that were real.
    pub real: usize,
    /// How long it took to start all processes and agents, in seconds.
    pub started: f64,
    /// How long all took from then on to settle on one view, in seconds.
    pub settled: f64,
    /// What the rig took meanwhile.
    pub began: Share,
    /// What was measured while nothing went wrong.
    pub windows: Vec<Window>,
    /// What the rig took while the schedule was played.
    pub played: Option<Share>,
    /// The judgement.
    pub verdict: Verdict,
    /// Whether the run says anything of the agents.
    pub counts: bool,
    /// Why it does not.
    pub bottleneck: Option<String>,
}

impl Outcome {
    /// True if the run counts and every rule held.
    pub fn passed(&self) -> bool {
        self.counts && self.verdict.kept()
    }
}

/// Makes a run with these measurements; `tell` hears how far it is.
pub async fn run(setup: Setup, windows: Windows, mut tell: impl FnMut(&str)) -> Result<Outcome, RigFault> {
    let (plan, real, bounds) = (setup.plan.clone(), setup.real, setup.bounds);
    let mut rig = Rig::new(setup).await?;
    let (begin, meter) = (Instant::now(), Meter::start(&rig).await?);
    rig.start_all().await?;
    let started = begin.elapsed().as_secs_f64();
    tell(&format!("{} agents started in {started:.1} s", plan.agents));
    let settled = rig.settle().await;
    let began = meter.stop(&rig).await?.rig;
    tell(&format!("until then: {began:?}"));
    let settled = settled?.as_secs_f64();
    tell(&format!("one view after {settled:.1} s more"));
    let mut measured = Vec::new();
    if windows.count > 0 {
        rig.rest(true).await;
        sleep(windows.calm).await;
        for number in 1..=windows.count {
            tell(&format!("measuring {number} of {}", windows.count));
            measured.push(rig.measure(windows.length).await?);
        }
        rig.rest(false).await;
    }
    let played = if plan.fault.is_empty() { None } else { Some(rig.play().await?) };
    tell("judging");
    let verdict = judge(&plan, &rig.end());
    let shares = measured.iter().map(|window| &window.rig).chain(&played);
    let bottleneck = shares.filter_map(|share| share.bottleneck(&bounds)).next();
    Ok(Outcome {
        schedule: plan.name,
        members: plan.agents,
        real,
        started,
        settled,
        began,
        windows: measured,
        played,
        verdict,
        counts: bottleneck.is_none(),
        bottleneck,
    })
}
