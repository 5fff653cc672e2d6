//! `dilljunction-lab measure`: takes one measurement of a real agent and writes its file.

use crate::{subject, AgentChoice};
use clap::Args;
use dilljunction_lab::measure::{measure, with_head, Name, Setup};
use dilljunction_lab::world::agents::Subject;
use std::path::PathBuf;

#[derive(Args)]
pub struct MeasureArguments {
    /// What to measure
    name: Name,
    /// How often each size is measured
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=100))]
    repeats: u16,
    /// The folder that the file goes into
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    out: PathBuf,
    /// How long one size is watched in one repeat, in seconds; each measurement has its own time
    #[arg(long)]
    seconds: Option<f64>,
    /// Sizes in place of the measurement's own; the last one is held out of the fit
    #[arg(long, value_delimiter = ',')]
    sizes: Option<Vec<f64>>,
    /// The agent's program; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    agent: Option<PathBuf>,
    /// A line for the file's notes, such as what else the machine did; may be repeated
    #[arg(long, value_name = "TEXT")]
    note: Vec<String>,
}

pub async fn run(arguments: MeasureArguments) -> Result<bool, String> {
    let choice = AgentChoice { agent: arguments.agent.clone(), with: Vec::new() };
    let Subject::Program(program, _) = subject(&choice)? else { return Err("no program".into()) };
    let folder = std::env::temp_dir().join(format!("dilljunction-measure-{}", std::process::id()));
    let of = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(&folder).map_err(of)?;
    let setup = Setup {
        program,
        folder: folder.clone(),
        repeats: usize::from(arguments.repeats),
        seconds: arguments.seconds,
        sizes: arguments.sizes.clone(),
        tell: true,
        voids: true,
    };
    let findings = measure(arguments.name, &setup).await;
    let _ = std::fs::remove_dir_all(&folder);
    let mut measurement = with_head(arguments.name, findings?, command(&arguments));
    measurement.notes.extend(arguments.note);
    std::fs::create_dir_all(&arguments.out).map_err(|e| format!("{}: {e}", arguments.out.display()))?;
    measurement.write(&arguments.out)?;
    println!("{}", arguments.out.join(format!("{}.json", measurement.name)).display());
    Ok(true)
}

/// What is to be typed to take the measurement again.
fn command(arguments: &MeasureArguments) -> String {
    let mut words = vec!["dilljunction-lab measure".to_string(), arguments.name.text()];
    words.push(format!("--repeats {}", arguments.repeats));
    words.extend(arguments.seconds.map(|seconds| format!("--seconds {seconds}")));
    if let Some(sizes) = &arguments.sizes {
        let sizes: Vec<String> = sizes.iter().map(f64::to_string).collect();
        words.push(format!("--sizes {}", sizes.join(",")));
    }
    words.join(" ")
}
