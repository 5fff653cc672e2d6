//! `dilljunction-lab configuration-scale`: changes of configuration in a large fleet of a few real agents and many hollow ones.

use crate::built;
use clap::{Args, ValueEnum};
use dilljunction_lab::capacity::measurement::{Measurement, Point, Series};
use dilljunction_lab::capacity::provenance;
use dilljunction_lab::publishing::measure::{table, Times, NEED_MS};
use dilljunction_lab::publishing::operators::fleet_file;
use dilljunction_lab::scale::publishing::{Publishing, PublishingFault};
use dilljunction_lab::scale::rig::Setup;
use dilljunction_lab::scale::schedule::schedule;
use dilljunction_lab::scale::share::Bounds;
use std::path::PathBuf;
use std::time::Duration;

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Play {
    /// Changes one after the other while nothing else happens
    Spread,
    /// A change while 16 agents restart, and changes while a region is cut off for 30 s
    Faults,
    /// Many changes a second, for many services in turn
    Rush,
}

#[derive(Args)]
pub struct ConfigurationScaleArguments {
    /// What is measured
    #[arg(value_enum)]
    play: Play,
    /// Sizes of fleets that a line is fitted to
    #[arg(long, value_name = "N,N", value_delimiter = ',')]
    members: Vec<usize>,
    /// Sizes that are kept out of the fit
    #[arg(long, value_name = "N,N", value_delimiter = ',')]
    held_out: Vec<usize>,
    /// Agents that are processes of the program
    #[arg(long, default_value_t = 25)]
    real: usize,
    /// How often it is measured in each fleet
    #[arg(long, default_value_t = 3)]
    repeats: usize,
    /// spread: changes of one repeat
    #[arg(long, default_value_t = 5)]
    changes: usize,
    /// rush: changes a second
    #[arg(long, default_value_t = 10.0)]
    rate: f64,
    /// rush: how long, in seconds
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// rush: services that the changes are for
    #[arg(long, default_value_t = 230)]
    services: usize,
    /// The share of packets that is lost, beside one in a thousand between regions
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
    /// The agent's program; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    agent: Option<PathBuf>,
    /// The program that hosts hollow agents; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    hollow: Option<PathBuf>,
}

/// A quantity that one repeat has given.
struct Value {
    key: &'static str,
    unit: &'static str,
    value: f64,
}

/// The programs under test.
struct Programs {
    agent: PathBuf,
    host: PathBuf,
}

/// Measures every size; false if a change that nothing held up took longer than is needed.
pub async fn run(arguments: ConfigurationScaleArguments) -> Result<bool, String> {
    let programs = Programs {
        agent: arguments.agent.clone().map_or_else(|| built("dilljunction"), Ok)?,
        host: arguments.hollow.clone().map_or_else(|| built("dilljunction-hollow"), Ok)?,
    };
    if arguments.members.is_empty() && arguments.held_out.is_empty() {
        return Err("--members or --held-out has to name a size".into());
    }
    let (mut series, mut kept) = (Vec::new(), true);
    for &members in arguments.members.iter().chain(&arguments.held_out) {
        let held_out = arguments.held_out.contains(&members);
        let all = play_size(&arguments, &programs, members).await;
        for value in all.map_err(|fault| format!("{members} members: {fault}"))? {
            // After a heal the agents have to find each other again first.
            kept &= !value.key.ends_with("most") || value.key.starts_with("heal") || value.value <= NEED_MS;
            add(&mut series, members, held_out, &value);
        }
    }
    let measurement = measurement(&arguments, series);
    print!("{}", table(&measurement));
    if let Some(folder) = &arguments.out {
        measurement.write(folder)?;
    }
    Ok(kept)
}

async fn play_size(
    arguments: &ConfigurationScaleArguments,
    programs: &Programs,
    members: usize,
) -> Result<Vec<Value>, PublishingFault> {
    let folder = std::env::temp_dir().join(format!("dilljunction-configuration-{}", std::process::id()));
    let setup = Setup {
        plan: schedule("start", members, arguments.seed)
            .map_err(|reason| PublishingFault::Rig(reason.into()))?,
        real: arguments.real.min(members),
        agent: programs.agent.clone(),
        host: programs.host.clone(),
        folder: folder.clone(),
        flaw: None,
        bounds: Bounds::default(),
        fleet_file: fleet_file(),
    };
    let mut fleet = Publishing::start(setup, arguments.loss).await?;
    eprintln!("{members} members: all have a first change");
    let mut all = Vec::new();
    for repeat in 1..=arguments.repeats {
        let values = match arguments.play {
            Play::Spread => spread(&mut fleet, arguments.changes).await?,
            Play::Faults => faults(&mut fleet).await?,
            Play::Rush => rush(&mut fleet, arguments).await?,
        };
        let words: Vec<String> =
            values.iter().map(|value| format!("{} {:.0} {}", value.key, value.value, value.unit)).collect();
        eprintln!("{members} members, {repeat} of {}: {}", arguments.repeats, words.join(", "));
        all.extend(values);
    }
    drop(fleet);
    let _ = std::fs::remove_dir_all(folder);
    Ok(all)
}

async fn spread(fleet: &mut Publishing, changes: usize) -> Result<Vec<Value>, PublishingFault> {
    let meter = fleet.meter().await?;
    let times = fleet.changes(changes).await?;
    fleet.used(meter).await?;
    Ok(quantiles(["in-force-median", "in-force-p99", "in-force-most"], &times))
}

async fn faults(fleet: &mut Publishing) -> Result<Vec<Value>, PublishingFault> {
    let meter = fleet.meter().await?;
    let mut values = quantiles(
        ["restarts-median", "restarts-p99", "restarts-most"],
        &fleet.change_while_agents_restart().await?,
    );
    fleet.settle().await?;
    let healed = fleet.changes_while_a_region_is_cut_off().await?;
    values.extend(quantiles(["heal-median", "heal-p99", "heal-most"], &healed));
    fleet.used(meter).await?;
    fleet.settle().await?;
    Ok(values)
}

async fn rush(
    fleet: &mut Publishing,
    arguments: &ConfigurationScaleArguments,
) -> Result<Vec<Value>, PublishingFault> {
    let length = Duration::from_secs_f64(arguments.seconds);
    let rush = fleet.rush(arguments.rate, length, arguments.services).await?;
    let mut values = quantiles(["in-force-median", "in-force-p99", "in-force-most"], &rush.times);
    let of = |key, unit, value| Value { key, unit, value };
    values.push(of("real-cpu", "ms/s", rush.window.real.cpu_ms));
    values.push(of("real-resident", "MB", rush.window.real.resident_mb));
    values.push(of("real-bytes-out", "B/s", rush.window.real.bytes_out));
    values.push(of("real-bytes-in", "B/s", rush.window.real.bytes_in));
    values.push(of("writer-bytes-out", "B/s", rush.writer_bytes_out));
    Ok(values)
}

fn quantiles(keys: [&'static str; 3], times: &Times) -> Vec<Value> {
    let values = [times.quantile(0.5), times.quantile(0.99), times.most()];
    keys.into_iter().zip(values).map(|(key, value)| Value { key, unit: "ms", value }).collect()
}

fn add(series: &mut Vec<Series>, members: usize, held_out: bool, value: &Value) {
    let place = series.iter().position(|one| one.key == value.key).unwrap_or_else(|| {
        let (key, unit) = (value.key.to_string(), value.unit.to_string());
        series.push(Series { key, unit, fitted: Vec::new(), held_out: Vec::new() });
        series.len() - 1
    });
    let one = &mut series[place];
    let points = if held_out { &mut one.held_out } else { &mut one.fitted };
    let rounded = (value.value * 10.0).round() / 10.0;
    match points.iter_mut().find(|point| point.size == members as f64) {
        Some(point) => point.values.push(rounded),
        None => points.push(Point { size: members as f64, values: vec![rounded] }),
    }
}

fn measurement(arguments: &ConfigurationScaleArguments, series: Vec<Series>) -> Measurement {
    let percent = arguments.loss * 100.0;
    let lost = if percent > 0.0 { format!("-loss-{percent}") } else { String::new() };
    let (suffix, about) = match arguments.play {
        Play::Spread => ("", "from the request to publish until in force".to_string()),
        Play::Faults => (
            "-faults",
            "a change while 16 agents restart, from its publishing on; three changes missed by a region that is cut off for 30 s, \
             from the heal until its agents have the last one"
                .to_string(),
        ),
        Play::Rush => (
            "-rush",
            format!(
                "{} changes a second for {} s, of {} services in turn; the last change of each service",
                arguments.rate, arguments.seconds, arguments.services
            ),
        ),
    };
    let words: Vec<String> = std::env::args().skip(1).collect();
    let mut notes = vec![
        format!("{} real agents among hollow ones, 7 regions, 16 zones; values of 400 bytes", arguments.real),
        "each agent says itself since when a change is in force (1 ms); one in a thousand packets between regions is lost besides"
            .into(),
    ];
    notes.extend(arguments.note.clone());
    Measurement {
        name: format!("configuration-scale{suffix}{lost}"),
        about: format!(
            "Changes of configuration among many agents on one machine, {percent}% of packets lost: {about}"
        ),
        command: format!("dilljunction-lab {}", words.join(" ")),
        build: provenance::build(),
        machine: provenance::machine(),
        date: provenance::today(),
        driver: "members".into(),
        series,
        notes,
    }
}
