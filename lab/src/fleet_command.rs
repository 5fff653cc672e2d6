//! `dilljunction-lab fleet`: schedules of faults between agents, played one after the other, shown and judged.

use crate::{subject, AgentChoice, FleetArguments};
use dilljunction_lab::fleet::checker::{judge, Rule, Verdict};
use dilljunction_lab::fleet::evidence::Evidence;
use dilljunction_lab::fleet::flaw::Flaw;
use dilljunction_lab::fleet::measure;
use dilljunction_lab::fleet::membership::Campaign;
use dilljunction_lab::fleet::page::{page, Row};
use dilljunction_lab::fleet::plan::Plan;
use dilljunction_lab::fleet::rig::{Rig, LATE_MOST};
use dilljunction_lab::fleet::shrink::shrink;
use dilljunction_lab::fleet::simulate::simulate;
use dilljunction_lab::show::live::Live;
use dilljunction_lab::world::agents::Subject;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a schedule that fails is played again to find what matters: in virtual time, and with real processes.
const SHRINK_TRIES: (usize, usize) = (200, 12);

/// How often a schedule is played at most while the lab itself runs late; the last run stands.
const TRIES_MOST: usize = 3;

enum Player {
    Virtual,
    Real { program: PathBuf, logs: PathBuf },
}

impl Player {
    async fn play(&self, plan: &Plan, flaw: Option<Flaw>) -> Result<Row, String> {
        let (verdict, first, seconds, packets, bytes, evidence): (Verdict, f64, f64, f64, f64, Evidence);
        let (mut cpu, mut rss, mut late) = (None, None, 0.0);
        match self {
            Player::Virtual => {
                let run = simulate(plan, flaw);
                let rate = |n: u64| n as f64 / run.seconds / plan.agents as f64;
                (verdict, first, seconds) = (judge(plan, &run.evidence), run.first_settled, run.seconds);
                (packets, bytes, evidence) = (rate(run.carried.0), rate(run.carried.1), run.evidence);
            }
            Player::Real { program, logs } => {
                let rig = Rig::new(plan.clone(), program.clone(), logs.join(&plan.name), flaw).await?;
                let mut live = Live::default();
                let run =
                    rig.play(|look| live.put(look.at, || look.picture(), || look.line() + "\n")).await?;
                (verdict, first, seconds) = (run.verdict, run.first_settled, run.seconds);
                (packets, bytes, evidence) = (run.packets_a_second, run.bytes_a_second, run.evidence);
                (cpu, rss, late) = (Some(run.cpu_ms_a_second), Some(run.rss_kib), run.late);
            }
        }
        let plan = plan.clone();
        Ok(Row { plan, verdict, first, seconds, packets, bytes, cpu, rss, late, evidence })
    }
}

pub async fn run(arguments: FleetArguments) -> Result<bool, String> {
    if let Some(folder) = &arguments.out {
        return write_membership(&arguments, folder);
    }
    if arguments.measure {
        let rows = measure::measure(arguments.agents, arguments.seed, arguments.runs);
        print!("{}", measure::table(arguments.agents, &rows));
        return Ok(rows.iter().all(measure::Measured::is_kept));
    }
    let flaw = arguments.flaw.as_deref().map(Flaw::find).transpose()?;
    let player = if arguments.in_virtual_time {
        Player::Virtual
    } else {
        let choice = AgentChoice { agent: arguments.agent.clone(), with: Vec::new() };
        let Subject::Program(program, _) = subject(&choice)? else { return Err("no program".into()) };
        let logs = std::env::temp_dir().join(format!("dilljunction-fleet-{}", std::process::id()));
        Player::Real { program, logs: arguments.logs.clone().unwrap_or(logs) }
    };
    let mut rows = Vec::new();
    for n in 0..arguments.runs {
        let plan = match &arguments.world {
            Some(world) => Plan::find(world)?,
            None => Plan::draw(arguments.seed + n, arguments.agents),
        };
        plan.check().map_err(|(key, reason)| format!("{key}: {reason}"))?;
        let mut row = player.play(&plan, flaw).await?;
        for _ in 1..TRIES_MOST {
            if row.late <= LATE_MOST {
                break;
            }
            println!("{}: the lab itself ran late by {:.1} s: played again", plan.name, row.late);
            row = player.play(&plan, flaw).await?;
        }
        println!("{}", line(&row));
        for breach in row.verdict.breaches.iter().take(5) {
            println!("    {:8.2} s  {}: {}", breach.at, breach.rule.name(), breach.what);
        }
        if !row.verdict.kept() && flaw.is_none() {
            let small = fewest(&player, &plan, &row.verdict).await?;
            let path = PathBuf::from(format!("{}.toml", small.name));
            std::fs::write(&path, small.text()?).map_err(|e| format!("{}: {e}", path.display()))?;
            println!(
                "    {} of its {} faults still fail: {}",
                small.fault.len(),
                plan.fault.len(),
                path.display()
            );
        }
        rows.push(row);
    }
    let kept = rows.iter().filter(|row| row.verdict.kept()).count();
    if rows.len() > 1 {
        println!("{kept} of {} kept", rows.len());
    }
    write(arguments.json.as_deref(), || serde_json::to_string(&rows).map_err(|e| e.to_string()))?;
    write(arguments.report.as_deref(), || page(&rows))?;
    Ok(kept == rows.len())
}

/// Measures several sizes and writes `membership-virtual.json` into a folder.
fn write_membership(arguments: &FleetArguments, folder: &Path) -> Result<bool, String> {
    let text = |sizes: &[usize]| sizes.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
    let FleetArguments { sizes, held_out, seed, runs, held_out_runs, threads, .. } = arguments;
    let command = format!(
        "dilljunction-lab fleet --measure --sizes {} --held-out {} --seed {seed} --runs {runs} --held-out-runs {held_out_runs} \
         --threads {threads} --out docs/capacity",
        text(sizes),
        text(held_out)
    );
    let campaign = Campaign {
        fitted: sizes.clone(),
        held_out: held_out.clone(),
        fitted_seeds: *runs,
        held_out_seeds: *held_out_runs,
        first_seed: *seed,
        threads: *threads,
        command,
    };
    campaign.measure(|timed| println!("{}", timed.line()))?.write(folder)?;
    Ok(true)
}

fn write(path: Option<&Path>, text: impl FnOnce() -> Result<String, String>) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, text()?).map_err(|e| format!("{}: {e}", path.display()))
}

fn line(row: &Row) -> String {
    let verdict = &row.verdict;
    let settled = verdict.settled_after.map_or("never settled".into(), |after| {
        format!("settled {after:.1} s after the last fault ({:.1} s stated)", verdict.settles_within)
    });
    let broken: Vec<String> = Rule::ALL
        .iter()
        .map(|rule| (rule, verdict.count(*rule)))
        .filter(|(_, count)| *count > 0)
        .map(|(rule, count)| format!("{} {count}", rule.name()))
        .collect();
    let word = if broken.is_empty() { "kept".to_string() } else { format!("BROKEN: {}", broken.join(", ")) };
    let load = format!("{:.0} packets and {:.0} bytes a second each", row.packets, row.bytes);
    let wrong = format!("{} wrong deaths, {:.1} s", verdict.wrong_deaths, verdict.wrong_death_seconds);
    format!(
        "{:14} {} agents, {} faults: {word}; {settled}; {wrong}; {load}",
        row.plan.name,
        row.plan.agents,
        row.plan.fault.len()
    )
}

/// The fewest faults that still break one of the same rules.
async fn fewest(player: &Player, plan: &Plan, verdict: &Verdict) -> Result<Plan, String> {
    let rules: Vec<Rule> = verdict.breaches.iter().map(|b| b.rule).collect();
    let same = |found: &Verdict| found.breaches.iter().any(|b| rules.contains(&b.rule));
    match player {
        Player::Virtual => {
            Ok(shrink(plan, SHRINK_TRIES.0, |plan| same(&judge(plan, &simulate(plan, None).evidence))))
        }
        Player::Real { .. } => {
            let handle = tokio::runtime::Handle::current();
            let small = tokio::task::block_in_place(|| {
                shrink(plan, SHRINK_TRIES.1, |plan| {
                    // A pause, so that what the last run has left is gone.
                    std::thread::sleep(Duration::from_millis(200));
                    handle.block_on(player.play(plan, None)).is_ok_and(|row| same(&row.verdict))
                })
            });
            Ok(small)
        }
    }
}
