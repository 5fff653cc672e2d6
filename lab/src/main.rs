//! `dilljunction-lab`: see agents work, and see what they do when something fails.

mod capacity_command;
mod configuration_command;
mod configuration_scale_command;
mod fleet_command;
mod measure_command;
mod publishing_command;
mod scale_command;
mod soak_command;

use clap::{Args, Parser, Subcommand};
use dilljunction_lab::clock::Clock;
use dilljunction_lab::judge::evidence::Book;
use dilljunction_lab::show::live::{judged, served, verdict, Live};
use dilljunction_lab::show::report;
use dilljunction_lab::show::tally::Fleet;
use dilljunction_lab::world::agents::Subject;
use dilljunction_lab::world::run::{run, Outcome, Stage};
use dilljunction_lab::world::{alone, World, SHIPPED};
use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Instant;

/// A world for dilljunction on loopback: servers, lists, links and offices that fail on command, and a checker of the rules.
///
/// With no argument: builds the agent, runs a small world with one fault, shows it live, and ends with a verdict and a
/// report (about 30 s). Exit status 0 only if every rule held and no agent crashed.
#[derive(Parser)]
#[command(name = "dilljunction-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Run a world with its offices, and judge it
    Run {
        /// A shipped world (see `worlds`) or a file
        world: String,
        #[command(flatten)]
        size: Size,
        #[command(flatten)]
        agent: AgentChoice,
        /// Where the report goes
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        /// Write verdict and service as JSON as well
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Start a world without offices, print its names and addresses as one line of JSON, and stay until interrupted
    Up {
        /// A shipped world or a file
        world: String,
        #[command(flatten)]
        size: Size,
        #[command(flatten)]
        agent: AgentChoice,
    },
    /// Start one stand-in alone, and stay until interrupted
    Standin {
        /// booking, discovery, link or offices
        name: alone::Name,
        /// Where it listens
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// For link: where it leads; for discovery: the servers that it lists; for offices: the agents
        #[arg(long, value_name = "ADDR")]
        to: Vec<SocketAddr>,
        /// For offices: requests a second
        #[arg(long, default_value_t = 20.0)]
        rate: f64,
    },
    /// Play a world in virtual time, with the real decision module in up to 2,000 agents; judged like a run
    Emulate {
        /// A shipped world or a file
        world: String,
        #[command(flatten)]
        size: Size,
        /// Every client has a patience of its own
        #[arg(long)]
        mixed: bool,
        /// Write verdict, service and reasons as JSON as well
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Add up what the agents of a fleet have counted, second by second; they write it with deploy/tally.toml
    Tally {
        /// The folder that holds their logs, one file (*.log) each
        folder: PathBuf,
    },
    /// Many agents that know of one another, with faults between them: judged, exit status 0 only if every rule held
    Fleet(FleetArguments),
    /// Write docs/CAPACITY.md from its template, the committed measurements and the target
    Capacity(capacity_command::CapacityArguments),
    /// Measure one real agent over several sizes of one driver, and write the file that the capacity model reads
    Measure(measure_command::MeasureArguments),
    /// A large fleet of a few real agents and many hollow ones: measured, judged, and set beside what is predicted
    Scale(ScaleArguments),
    /// How long a change of configuration takes among real agents, from the request to publish until it is in force
    ConfigurationReal(publishing_command::PublishingArguments),
    /// The same in a large fleet of a few real agents and many hollow ones
    ConfigurationScale(configuration_scale_command::ConfigurationScaleArguments),
    /// What changes of configuration take and cost in a fleet, in virtual time
    Configuration(configuration_command::ConfigurationArguments),
    /// Random, overlapping faults over a few dozen real processes, drawn by a seed and judged by the rules; exit status 1 if one breaks
    Soak(soak_command::SoakArguments),
    /// List the worlds that come with the lab
    Worlds,
}

#[derive(Args)]
struct FleetArguments {
    /// A shipped schedule (each-once) or a file; without one, a schedule is drawn from --seed
    world: Option<String>,
    /// The seed that a schedule is drawn from
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Agents of a drawn schedule
    #[arg(long, default_value_t = 9)]
    agents: usize,
    /// So many schedules in a row, from --seed on
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// In virtual time, with the same state machines and no process
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// In virtual time: measure how long a crash, a start, and the end of a partition take to be known
    #[arg(long)]
    measure: bool,
    /// With --measure and --out: the numbers of agents that a line is fitted to
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [100, 200, 400, 800])]
    sizes: Vec<usize>,
    /// With --measure and --out: the numbers of agents that are kept out of the fit
    #[arg(long, value_name = "N", value_delimiter = ',', default_values_t = [1_600])]
    held_out: Vec<usize>,
    /// With --measure and --out: seeds for each number that is kept out; --runs is that of the others
    #[arg(long, default_value_t = 2)]
    held_out_runs: u64,
    /// With --measure and --out: runs at a time
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// With --measure: measure --sizes and --held-out and write membership-virtual.json into this folder
    #[arg(long, value_name = "FOLDER", requires = "measure")]
    out: Option<PathBuf>,
    /// One member breaks a rule on purpose, to see that it is found
    #[arg(long, value_name = "FLAW")]
    flaw: Option<String>,
    /// The agent's program; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    agent: Option<PathBuf>,
    /// Where configurations and logs of the agents go
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
    /// Write the verdicts as JSON as well
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page about the runs as well
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

#[derive(Args)]
struct ScaleArguments {
    /// Agents
    #[arg(long, default_value_t = 100)]
    members: usize,
    /// Several sizes in a row, to which lines are fitted, in place of --members
    #[arg(long, value_delimiter = ',', value_name = "N,N")]
    sizes: Vec<usize>,
    /// Sizes that are kept out of the fit
    #[arg(long, value_delimiter = ',', value_name = "N,N")]
    held_out: Vec<usize>,
    /// Agents that are processes of the program
    #[arg(long, default_value_t = 25)]
    real: usize,
    /// What goes wrong: start (nothing), machine, rack, zone, region, restarts, all or short
    #[arg(long, default_value = "start")]
    schedule: String,
    /// How often a fleet that has settled is measured
    #[arg(long, default_value_t = 3)]
    repeats: usize,
    /// How long each time, in seconds
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Print what was measured beside what the committed measurements predict
    #[arg(long)]
    predict: bool,
    /// For all random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// One member breaks a rule on purpose, to see that it is found
    #[arg(long, value_name = "FLAW")]
    flaw: Option<String>,
    /// Write what was measured into scale.json of this folder
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// Write the outcome as JSON as well
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// The agent's program; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    agent: Option<PathBuf>,
    /// The program that hosts hollow agents; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    hollow: Option<PathBuf>,
    /// Where configurations and logs of the agents go
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
}

#[derive(Args, Default)]
struct Size {
    /// Agents
    #[arg(long)]
    agents: Option<usize>,
    /// Servers in each building
    #[arg(long)]
    servers: Option<usize>,
    /// Requests a second of all offices
    #[arg(long)]
    rate: Option<f64>,
    /// How long requests come, in seconds
    #[arg(long)]
    seconds: Option<f64>,
    /// For all random numbers
    #[arg(long)]
    seed: Option<u64>,
    /// Memory of each agent, in MB
    #[arg(long)]
    memory_mb: Option<u64>,
    /// Descriptors of each agent
    #[arg(long)]
    sockets: Option<usize>,
    /// How many agents the configuration says that there are
    #[arg(long, value_name = "N")]
    told: Option<u32>,
    /// Agents keep a view of the fleet and learn from it how many they are
    #[arg(long)]
    view: bool,
}

#[derive(Args, Default)]
struct AgentChoice {
    /// The agent's program; by default it is built from this repository
    #[arg(long, value_name = "PROGRAM")]
    agent: Option<PathBuf>,
    /// A file under deploy/ for every agent; may be repeated
    #[arg(long = "with", value_name = "FILE")]
    with: Vec<PathBuf>,
}

/// Threads of the switch of a large fleet, which carries what hundreds of processes send.
const SWITCH_THREADS: usize = 4;

fn main() -> ExitCode {
    let task = Arguments::parse().command;
    let is_large = matches!(task, Some(Task::Scale(_) | Task::ConfigurationScale(_)));
    let threads = if is_large { SWITCH_THREADS } else { 2 };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let end = match runtime {
        Ok(runtime) => runtime.block_on(async {
            tokio::select! {
                end = work(task) => end,
                _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
                // Agents that were started end with the lab, however it is told to end.
                () = terminated() => Err("told to end".into()),
            }
        }),
        Err(e) => Err(format!("cannot start the runtime: {e}")),
    };
    match end {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("dilljunction-lab: {fault}");
            ExitCode::from(2)
        }
    }
}

async fn terminated() {
    use tokio::signal::unix::{signal, SignalKind};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => drop(signal.recv().await),
        Err(_) => std::future::pending().await,
    }
}

async fn work(task: Option<Task>) -> Result<bool, String> {
    match task {
        None => play("tour", &Size::default(), &AgentChoice::default(), None, None).await,
        Some(Task::Run { world, size, agent, report, json }) => {
            play(&world, &size, &agent, report.as_deref(), json.as_deref()).await
        }
        Some(Task::Up { world, size, agent }) => {
            let stage = Stage::set(sized(&world, &size)?, subject(&agent)?).await?;
            println!("{}", stage.directory());
            stage.stay().await;
            Ok(true)
        }
        Some(Task::Standin { name, listen, to, rate }) => {
            alone::start(name, listen, &to, rate, Clock::start(), Book::default()).await?;
            std::future::pending().await
        }
        Some(Task::Emulate { world, size, mixed, json }) => {
            let mut world = sized(&world, &size)?;
            world.clients.mixed |= mixed;
            emulate(&world, json.as_deref())
        }
        Some(Task::Tally { folder }) => tally(&folder),
        Some(Task::Fleet(arguments)) => fleet_command::run(arguments).await,
        Some(Task::Capacity(arguments)) => capacity_command::run(&arguments),
        Some(Task::Measure(arguments)) => measure_command::run(arguments).await,
        Some(Task::ConfigurationReal(arguments)) => publishing_command::run(arguments).await,
        Some(Task::Scale(arguments)) => scale_command::run(arguments).await,
        Some(Task::ConfigurationScale(arguments)) => configuration_scale_command::run(arguments).await,
        Some(Task::Configuration(arguments)) => configuration_command::run(&arguments),
        Some(Task::Soak(arguments)) => soak_command::run(&arguments).await,
        Some(Task::Worlds) => {
            for (name, _) in SHIPPED {
                let world = World::find(name)?;
                println!("{name:15} {}", world.about);
            }
            Ok(true)
        }
    }
}

fn tally(folder: &Path) -> Result<bool, String> {
    let named = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
    let mut fleet = Fleet::default();
    let mut lines = 0;
    for entry in std::fs::read_dir(folder).map_err(|e| named(folder, e))? {
        let path = entry.map_err(|e| named(folder, e))?.path();
        if path.extension().is_some_and(|e| e == "log") {
            let log = std::fs::read(&path).map_err(|e| named(&path, e))?;
            lines += fleet.read(&String::from_utf8_lossy(&log));
        }
    }
    if lines == 0 {
        return Err(format!(
            "{}: no *.log here holds a tally; run agents with deploy/tally.toml",
            folder.display()
        ));
    }
    print!("{}", fleet.table());
    Ok(true)
}

fn sized(name: &str, size: &Size) -> Result<World, String> {
    let mut world = World::find(name)?;
    if let Some(servers) = size.servers {
        world.building.iter_mut().for_each(|b| b.servers = servers);
    }
    world.agents = size.agents.unwrap_or(world.agents);
    world.rate = size.rate.unwrap_or(world.rate);
    world.seconds = size.seconds.unwrap_or(world.seconds);
    world.seed = size.seed.unwrap_or(world.seed);
    world.limits.memory_mb = size.memory_mb.unwrap_or(world.limits.memory_mb);
    world.limits.sockets = size.sockets.unwrap_or(world.limits.sockets);
    (world.told, world.view) = (size.told.or(world.told), size.view || world.view);
    world.check().map_err(|(key, reason)| format!("{name}: {key}: {reason}"))?;
    Ok(world)
}

/// The agent's program, built if none is named.
fn subject(choice: &AgentChoice) -> Result<Subject, String> {
    let mut arguments = Vec::new();
    for file in &choice.with {
        arguments.extend(["--with".to_string(), file.display().to_string()]);
    }
    if let Some(program) = &choice.agent {
        return Ok(Subject::Program(program.clone(), arguments));
    }
    Ok(Subject::Program(built("dilljunction")?, arguments))
}

/// The program of a package of this repository, built beside this one.
fn built(package: &str) -> Result<PathBuf, String> {
    let here = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = here.parent().ok_or("the lab's own program has no folder")?;
    let program = folder.join(package);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    if root.join("Cargo.toml").exists() {
        eprintln!("building {package} ...");
        let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        cargo.args(["build", "--quiet", "-p", package]).current_dir(&root);
        cargo.arg("--target-dir").arg(folder.parent().unwrap_or(folder));
        if folder.file_name().is_some_and(|name| name == "release") {
            cargo.arg("--release");
        }
        let built = cargo.status().map_err(|e| format!("cannot run cargo: {e}"))?;
        if !built.success() {
            return Err(format!("{package} does not build"));
        }
    }
    if !program.exists() {
        return Err(format!("{}: no such program; name one on the command line", program.display()));
    }
    Ok(program)
}

async fn play(
    name: &str,
    size: &Size,
    agent: &AgentChoice,
    page: Option<&Path>,
    json: Option<&Path>,
) -> Result<bool, String> {
    let (world, subject) = (sized(name, size)?, subject(agent)?);
    println!("{}: {}", world.name, world.about);
    let mut live = Live::default();
    let outcome = run(world, subject, |world, frame| live.show(world, frame)).await?;
    print!("{}", verdict(&outcome));
    let page =
        page.map_or_else(|| PathBuf::from(format!("lab-{}.html", outcome.world.name)), Path::to_path_buf);
    std::fs::write(&page, report::page(&outcome)?).map_err(|e| format!("{}: {e}", page.display()))?;
    println!("  report: {}", page.display());
    if let Some(json) = json {
        std::fs::write(json, summary(&outcome)).map_err(|e| format!("{}: {e}", json.display()))?;
    }
    Ok(outcome.passed())
}

fn summary(outcome: &Outcome) -> String {
    // What a lab that ran late has measured is no figure.
    let service = (!outcome.late).then_some(&outcome.service);
    let usage = outcome.frames.last().map(|f| f.agents.clone());
    serde_json::json!({"world": outcome.world.name, "seed": outcome.world.seed, "passed": outcome.passed(),
        "late": outcome.late, "verdict": outcome.verdict, "service": service, "agents": usage})
    .to_string()
}

fn emulate(world: &World, json: Option<&Path>) -> Result<bool, String> {
    if let Some((place, kind)) = world.fault_of_processes() {
        let name = &world.name;
        return Err(format!("{name}: fault[{place}].kind: {kind} happens to processes; `run` plays it"));
    }
    println!("{}: {}, in virtual time", world.name, world.about);
    let started = Instant::now();
    let shows = std::io::stderr().is_terminal();
    let emulated = dilljunction_lab::emulate::run(world, |at| {
        if shows {
            eprint!("\r{:.0} s of {:.0}   ", at.secs(), world.seconds);
        }
    });
    if shows {
        eprint!("\r");
    }
    print!("{}", judged(&world.name, &emulated.verdict));
    print!("{}", served(&emulated.service));
    let reasons: Vec<String> =
        emulated.reasons().iter().map(|(reason, n)| format!("{} {n}", reason.name())).collect();
    println!("  given up: {}", if reasons.is_empty() { "none".into() } else { reasons.join(", ") });
    let totals = emulated.totals;
    println!(
        "  {} tries, {} attempts, {} probes, {} connections opened, {} at most at one server; {} events in {:.1} s",
        totals.tries, totals.attempts, totals.probes, totals.handshakes, totals.connections_most, totals.events,
        started.elapsed().as_secs_f64()
    );
    if let Some(json) = json {
        let reasons: BTreeMap<&str, u64> = emulated.reasons().iter().map(|(r, n)| (r.name(), *n)).collect();
        let text = serde_json::json!({"world": world.name, "seed": world.seed, "agents": world.agents,
            "passed": emulated.verdict.kept(), "verdict": emulated.verdict, "service": emulated.service,
            "given_up": reasons, "totals": totals});
        std::fs::write(json, text.to_string()).map_err(|e| format!("{}: {e}", json.display()))?;
    }
    Ok(emulated.verdict.kept())
}
