//! `dilljunction-lab scale`: fleets of a few real agents and many hollow ones, measured, judged and set beside what is predicted.

use crate::{built, ScaleArguments};
use dilljunction_lab::capacity::measurement::Measurement;
use dilljunction_lab::capacity::provenance;
use dilljunction_lab::fleet::checker::Rule;
use dilljunction_lab::fleet::flaw::Flaw;
use dilljunction_lab::scale::measure::{Used, Window};
use dilljunction_lab::scale::record::{self, Prediction};
use dilljunction_lab::scale::rig::{Setup, VIEW_ONLY};
use dilljunction_lab::scale::run::{run as play, Outcome, Windows, CALM};
use dilljunction_lab::scale::schedule::schedule;
use dilljunction_lab::scale::share::Bounds;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Breaches that are shown.
const SHOWN: usize = 5;

/// A size that is to be run.
struct Size {
    members: usize,
    held_out: bool,
    windows: usize,
}

/// The programs under test.
struct Programs {
    agent: PathBuf,
    host: PathBuf,
}

pub async fn run(arguments: ScaleArguments) -> Result<bool, String> {
    let programs = Programs {
        agent: arguments.agent.clone().map_or_else(|| built("dilljunction"), Ok)?,
        host: arguments.hollow.clone().map_or_else(|| built("dilljunction-hollow"), Ok)?,
    };
    let committed = arguments.out.clone().unwrap_or_else(|| repository().join("docs/capacity"));
    let mut passed = true;
    for size in sizes(&arguments) {
        let outcome = play_size(&arguments, &programs, &size).await?;
        print(&outcome);
        if let Some(path) = &arguments.json {
            let text = serde_json::to_string(&outcome).map_err(|e| e.to_string())?;
            std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        if let Some(reason) = &outcome.bottleneck {
            return Err(format!("does not count: {reason}"));
        }
        if arguments.predict {
            passed &= predict(&committed, &outcome)?;
        }
        if arguments.out.is_some() {
            write(&committed, &arguments, &outcome, size.held_out)?;
        }
        passed &= outcome.passed();
    }
    Ok(passed)
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn sizes(arguments: &ScaleArguments) -> Vec<Size> {
    let windows = arguments.repeats;
    let size = |held_out| move |members: &usize| Size { members: *members, held_out, windows };
    let fitted = arguments.sizes.iter().map(size(false));
    let all: Vec<Size> = fitted.chain(arguments.held_out.iter().map(size(true))).collect();
    if all.is_empty() {
        return vec![Size { members: arguments.members, held_out: true, windows }];
    }
    all
}

async fn play_size(arguments: &ScaleArguments, programs: &Programs, size: &Size) -> Result<Outcome, String> {
    let flaw = arguments.flaw.as_deref().map(Flaw::find).transpose()?;
    let logs = std::env::temp_dir().join(format!("dilljunction-scale-{}", std::process::id()));
    let setup = Setup {
        plan: schedule(&arguments.schedule, size.members, arguments.seed)?,
        real: arguments.real.min(size.members),
        agent: programs.agent.clone(),
        host: programs.host.clone(),
        folder: arguments.logs.clone().unwrap_or(logs),
        flaw,
        bounds: Bounds::default(),
        fleet_file: VIEW_ONLY.into(),
    };
    let length = Duration::from_secs_f64(arguments.seconds);
    let windows = Windows { count: size.windows, length, calm: CALM };
    play(setup, windows, |word| eprintln!("{} members: {word}", size.members))
        .await
        .map_err(|fault| format!("{} members: {fault}", size.members))
}

fn print(outcome: &Outcome) {
    let Outcome { schedule, members, real, started, settled, .. } = outcome;
    println!("{schedule}: {members} members, {real} of them real: started in {started:.1} s, one view after {settled:.1} s more");
    outcome.windows.iter().for_each(print_window);
    if let Some(share) = &outcome.played {
        println!(
            "  while it was played: lab {:.2} of {} threads, timers {:.0} ms late, hosts' {:.0} ms, {} of {} datagrams lost, {:.0}% idle",
            share.lab_cores, share.lab_threads, share.late_ms, share.host_late_ms, share.dropped, share.carried, share.idle * 100.0
        );
    }
    let verdict = &outcome.verdict;
    let after = verdict.settled_after.map_or("never".into(), |after| format!("{after:.1} s"));
    println!("  settled {after} after the last fault ({:.1} s stated)", verdict.settles_within);
    let known = &verdict.deaths_known_after;
    if let Some(most) = known.iter().copied().reduce(f64::max) {
        println!("  {} deaths known to all, the last after {most:.1} s", known.len());
    }
    println!("  {} wrong deaths, {:.1} s", verdict.wrong_deaths, verdict.wrong_death_seconds);
    for rule in Rule::ALL.iter().filter(|rule| verdict.count(**rule) > 0) {
        println!("  BROKEN: {} {}", rule.name(), verdict.count(*rule));
    }
    for breach in verdict.breaches.iter().take(SHOWN) {
        println!("    {:8.2} s  {}: {}", breach.at, breach.rule.name(), breach.what);
    }
    match &outcome.bottleneck {
        Some(reason) => println!("  DOES NOT COUNT: the rig is the bottleneck: {reason}"),
        None => println!("  counts; rules {}", if verdict.kept() { "kept" } else { "broken" }),
    }
}

fn print_window(window: &Window) {
    let line = |sort: &str, used: &Used| {
        println!(
            "  {sort:6} {:5}: {:6.2} ms/s, {:5.2} MB, out {:5.1} packets {:6.0} B/s, in {:5.1} packets {:6.0} B/s",
            used.agents, used.cpu_ms, used.resident_mb, used.packets_out, used.bytes_out, used.packets_in, used.bytes_in
        );
    };
    line("real", &window.real);
    line("hollow", &window.hollow);
    let rig = &window.rig;
    println!(
        "  rig in {:.1} s: {:.2} of {} threads, timers {:.0} ms late, hosts' {:.0} ms, {} of {} datagrams lost, {:.0}% idle",
        window.seconds, rig.lab_cores, rig.lab_threads, rig.late_ms, rig.host_late_ms, rig.dropped, rig.carried, rig.idle * 100.0
    );
}

fn predict(folder: &Path, outcome: &Outcome) -> Result<bool, String> {
    let measurement = Measurement::read(&folder.join(format!("{}.json", record::NAME)))?;
    let found =
        record::predictions(&measurement, outcome.members, &outcome.windows).map_err(|e| e.to_string())?;
    println!("  {:20} {:>12} {:>12}  within a quarter", "", "measured", "predicted");
    for Prediction { key, unit, measured, predicted } in &found {
        println!("  {:20} {measured:>12.2} {predicted:>12.2}", format!("{key} {unit}"));
    }
    let missed: Vec<&str> = found.iter().filter(|p| !p.holds()).map(|p| p.key.as_str()).collect();
    if !missed.is_empty() {
        println!("  not within a quarter: {}", missed.join(", "));
    }
    Ok(missed.is_empty())
}

/// This command, to be typed again.
fn command() -> String {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    format!("dilljunction-lab {}", arguments.join(" "))
}

/// Adds an outcome to the committed measurement; what stands there of another build or machine is thrown away.
fn write(folder: &Path, arguments: &ScaleArguments, outcome: &Outcome, held_out: bool) -> Result<(), String> {
    let path = folder.join(format!("{}.json", record::NAME));
    let fresh = Measurement {
        name: record::NAME.into(),
        about: "An agent's idle cost by the size of its fleet: real agents among hollow ones, 7 regions, 16 zones".into(),
        command: command(),
        build: provenance::build(),
        machine: provenance::machine(),
        date: provenance::today(),
        driver: "members".into(),
        series: Vec::new(),
        notes: vec![format!("{} real agents; windows of {} s, nobody reads views meanwhile", arguments.real, arguments.seconds)],
    };
    let old = Measurement::read(&path).ok();
    let same = |old: &Measurement| old.build == fresh.build && old.machine == fresh.machine;
    let mut measurement = old.filter(same).unwrap_or(fresh);
    record::add(&mut measurement, outcome.members, &outcome.windows, held_out);
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    measurement.write(folder)
}
