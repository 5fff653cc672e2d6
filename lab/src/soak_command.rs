//! `dilljunction-lab soak`: one plan of random faults from a seed, or several in a row.

use clap::Args;
use dilljunction_lab::soak::{draw::draw, line, play, smallest, Report};
use dilljunction_lab::world::agents::Subject;
use std::path::PathBuf;

/// Lines of what was wrong that are printed of one run.
const WRONG_MOST: usize = 12;

#[derive(Args)]
pub struct SoakArguments {
    /// What the plan is drawn from
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// So many seeds in a row, from --seed on
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// How long each runs
    #[arg(long, default_value_t = 0.5)]
    minutes: f64,
    /// The agent's program; built if none is named
    #[arg(long, value_name = "FILE")]
    agent: Option<PathBuf>,
    /// Runs in which the faults of a plan that breaks are made fewer; 0 prints them all
    #[arg(long, default_value_t = 8)]
    shrink: usize,
    /// Leave system calls and wall clocks alone; all other faults stay as the seed has them
    #[arg(long)]
    sound_machine: bool,
    /// Pass a file under deploy/ to every agent, such as deploy/events.toml
    #[arg(long, value_name = "FILE")]
    with: Vec<PathBuf>,
    /// Keep the agents' logs in this folder
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// Print the plan, and run nothing
    #[arg(long)]
    plan: bool,
}

pub async fn run(arguments: &SoakArguments) -> Result<bool, String> {
    let mut kept = true;
    for seed in (arguments.seed..).take(arguments.runs as usize) {
        kept &= one(arguments, seed).await?;
    }
    Ok(kept)
}

async fn one(arguments: &SoakArguments, seed: u64) -> Result<bool, String> {
    let mut world = draw(seed, arguments.minutes * 60.0);
    if arguments.sound_machine {
        world.machine.clear();
    }
    if arguments.plan {
        println!("{world:#?}");
        return Ok(true);
    }
    let program = match &arguments.agent {
        Some(program) => program.clone(),
        None => crate::built("dilljunction")?,
    };
    world.keep_logs = arguments.logs.clone();
    let files = arguments.with.iter().flat_map(|file| ["--with".to_string(), file.display().to_string()]);
    let subject = Subject::Program(program, files.collect());
    let report = play(world.clone(), subject.clone()).await?;
    print_report(seed, &report);
    if report.passed() || report.outcome.late {
        return Ok(report.passed());
    }
    let least = smallest(world, subject, arguments.shrink).await?;
    println!("  with the {} faults that matter, of those that were tried out:", least.fault.len());
    least.fault.iter().for_each(|fault| println!("    {}", line(fault)));
    Ok(false)
}

fn print_report(seed: u64, report: &Report) {
    let outcome = &report.outcome;
    let verdict = match (report.passed(), outcome.late) {
        (true, _) => "kept",
        (false, true) => "BROKEN, but the lab itself ran late: no verdict",
        (false, false) => "BROKEN",
    };
    let (tries, attempts, _) = outcome.verdict.looked_at;
    println!(
        "soak seed {seed}: {verdict}; {} agents, {} faults, {} tries, {} attempts, {} restarts, lab late by {:?} at most",
        outcome.world.agents,
        outcome.world.fault.len(),
        tries,
        attempts,
        outcome.ready_after.len(),
        outcome.evidence.lag_most
    );
    report.wrong.iter().take(WRONG_MOST).for_each(|wrong| println!("  {wrong}"));
    if report.wrong.len() > WRONG_MOST {
        println!("  ... and {} more", report.wrong.len() - WRONG_MOST);
    }
}
