//! `dilljunction-lab configuration-real`: how long a change of configuration takes among real processes.

use crate::built;
use clap::Args;
use dilljunction_lab::capacity::measurement::Measurement;
use dilljunction_lab::capacity::provenance;
use dilljunction_lab::publishing::measure::{play, series, table, NEED_MS};
use dilljunction_lab::publishing::rig::Setup;
use std::path::PathBuf;

#[derive(Args)]
pub struct PublishingArguments {
    /// The agent's program, in place of the one that is built here
    #[arg(long, value_name = "FILE")]
    agent: Option<PathBuf>,
    /// Sizes of fleets that a line is fitted to
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [3, 5, 9, 15])]
    members: Vec<usize>,
    /// Sizes that are kept out of the fit
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [12])]
    held_out: Vec<usize>,
    /// Fleets of each size
    #[arg(long, default_value_t = 3)]
    repeats: u64,
    /// Changes that are published in each fleet
    #[arg(long, default_value_t = 30)]
    changes: usize,
    /// The share of packets that is lost
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// For all that is random
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What a reader has to know, such as other load on the machine
    #[arg(long, value_name = "TEXT")]
    note: Vec<String>,
    /// The folder that the measurement goes to; without it nothing is written
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

/// How the times were taken.
const METHOD: &str =
    "values of 400 bytes, one change at a time; each agent says itself since when a change is in force (1 ms)";

/// Measures every size; false if a change took longer than is needed.
pub async fn run(arguments: PublishingArguments) -> Result<bool, String> {
    let PublishingArguments { members, held_out, repeats, changes, loss, seed, .. } = &arguments;
    let program = arguments.agent.clone().map_or_else(|| built("dilljunction"), Ok)?;
    let mut runs = Vec::new();
    for &agents in members.iter().chain(held_out) {
        if !(2..=100).contains(&agents) {
            return Err("--members and --held-out must lie between 2 and 100".into());
        }
        for repeat in 0..*repeats {
            let folder = std::env::temp_dir().join(format!("dilljunction-real-{}", std::process::id()));
            let seed = seed + repeat + 1_000 * agents as u64;
            let (program, loss) = (program.clone(), *loss);
            let setup = Setup { program, folder: folder.clone(), agents, seed, loss, tampering: None };
            let times = play(setup, *changes).await?;
            let _ = std::fs::remove_dir_all(folder);
            println!(
                "{agents:3} agents: median {:.0} ms, p99 {:.0} ms, most {:.0} ms",
                times.quantile(0.5),
                times.quantile(0.99),
                times.most()
            );
            runs.push(times);
        }
    }
    let kept = runs.iter().all(|times| times.most() <= NEED_MS);
    let percent = loss * 100.0;
    let name =
        if *loss > 0.0 { format!("configuration-real-loss-{percent}") } else { "configuration-real".into() };
    let list = |sizes: &[usize]| sizes.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
    let measurement = Measurement {
        name,
        about: format!(
            "Changes of configuration among real agents on one machine, {percent}% of packets lost: from the request to \
             publish until in force"
        ),
        command: format!(
            "dilljunction-lab configuration-real --members {} --held-out {} --repeats {repeats} --changes {changes} \
             --loss {loss} --seed {seed} --out docs/capacity",
            list(members),
            list(held_out)
        ),
        build: provenance::build(),
        machine: provenance::machine(),
        date: provenance::today(),
        driver: "members".into(),
        series: series(&runs, held_out),
        notes: [vec![METHOD.into()], arguments.note.clone()].concat(),
    };
    print!("{}", table(&measurement));
    if let Some(folder) = &arguments.out {
        measurement.write(folder)?;
    }
    Ok(kept)
}
