//! `dilljunction-lab configuration`: what changes of configuration take and cost, in virtual time.

use clap::{Args, ValueEnum};
use dilljunction_cluster::member::MEMBERS_MAX;
use dilljunction_lab::configuration::measure::{compare, measure, Place, What};
use dilljunction_lab::configuration::spread::{spread, Run};
use std::path::PathBuf;
use std::time::Duration;

#[derive(Args)]
pub struct ConfigurationArguments {
    /// Measure at every size, and write the measurement
    #[arg(long, value_name = "WHAT")]
    measure: Option<Measure>,
    /// Where the measurement goes
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    out: PathBuf,
    /// The commit that this program was built from
    #[arg(long, default_value = "unknown")]
    build: String,
    /// The day, as YYYY-MM-DD
    #[arg(long, default_value = "unknown")]
    date: String,
    /// Compare push and pull with trees at --members
    #[arg(long)]
    compare: bool,
    /// Members of a single run
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Changes a second of a single run
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
    /// Changes of a single run
    #[arg(long, default_value_t = 60)]
    changes: usize,
    /// Services that are changed in turn
    #[arg(long, default_value_t = 230)]
    services: usize,
    /// The bytes of a value
    #[arg(long, default_value_t = 400)]
    value: usize,
    /// The share of packets that is lost
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// For all that is random
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Clone, Copy, ValueEnum)]
enum Measure {
    Spread,
    Rate,
}

/// One of the three; false if a change did not come in force on every member.
pub fn run(arguments: &ConfigurationArguments) -> Result<bool, String> {
    if let Some(wanted) = arguments.measure {
        let what = match wanted {
            Measure::Spread => What::Spread,
            Measure::Rate => What::Rate,
        };
        measure(what, place(arguments), |line| println!("{line}"))?.write(&arguments.out)?;
        return Ok(true);
    }
    if !(1..=usize::from(MEMBERS_MAX)).contains(&arguments.members) {
        return Err(format!("--members must be from 1 to {MEMBERS_MAX}"));
    }
    if arguments.compare {
        print!("{}", compare(arguments.members, arguments.seed)?);
        return Ok(true);
    }
    single(arguments)
}

fn single(arguments: &ConfigurationArguments) -> Result<bool, String> {
    if !(arguments.rate.is_finite() && arguments.rate > 0.0) || arguments.services == 0 {
        return Err("--rate and --services must be above 0".into());
    }
    let shown = spread(Run {
        members: arguments.members,
        loss: arguments.loss,
        seed: arguments.seed,
        changes: arguments.changes,
        apart: Duration::from_secs_f64(1.0 / arguments.rate),
        services: arguments.services,
        value: arguments.value,
    })?;
    println!(
        "in force: median {:.2} s, p99 {:.2} s, most {:.2} s, missing {}",
        shown.within(0.5),
        shown.within(0.99),
        shown.within(1.0),
        shown.missing
    );
    println!(
        "bytes a second: out {:.0}, in {:.0}, busiest out {:.0}, writer out {:.0}, at rest {:.0}",
        shown.mean_out(),
        shown.mean_received(),
        shown.busiest_out(),
        shown.writer_out(),
        shown.at_rest
    );
    Ok(shown.missing == 0)
}

fn place(arguments: &ConfigurationArguments) -> Place {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = memory.lines().find_map(|line| line.strip_prefix("MemTotal:")?.trim().strip_suffix(" kB"));
    let gigabytes = total.and_then(|kib| kib.parse::<f64>().ok()).map_or(0.0, |kib| kib / 1_048_576.0);
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    Place {
        build: format!("{} {profile}", arguments.build),
        machine: format!("{cores} cores, {gigabytes:.0} GB, {}; virtual time", std::env::consts::OS),
        date: arguments.date.clone(),
    }
}
