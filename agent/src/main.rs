//! The program: a command line round [`dilljunction_agent`].

use clap::{Parser, Subcommand};
use dilljunction_agent::configuration::Document;
use dilljunction_agent::operators::configuration::{PublishRequest, Published, Status, PATH};
use dilljunction_agent::operators::{self, FleetView};
use dilljunction_agent::{log, Agent, Config, Signal, Switches};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::{spawn_local, LocalSet};

/// A load balancer beside its client: it decides which server gets a request, whether it is tried again, and when it is
/// refused.
///
/// With no argument it runs as the platform starts it: LB_CONFIG names its configuration (JSON); LB_LISTEN, LB_DISCOVERY,
/// LB_ADMIN and LB_NAME overrule four of its keys, and LB_LISTEN_FD names a listening socket to take over. SIGTERM ends it gently;
/// SIGHUP moves it to where the configuration names discovery now.
#[derive(Parser)]
#[command(name = "dilljunction", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Switch on what a file under deploy/ names (TOML); may be repeated
    #[arg(long = "with", value_name = "FILE")]
    with: Vec<PathBuf>,
    /// Allow a trial table, which makes this agent's clocks wrong for tests
    #[arg(long)]
    trial: bool,
    #[command(subcommand)]
    command: Option<Task>,
}

#[derive(Subcommand)]
enum Task {
    /// Say whether configurations are usable: *.toml as a file for --with, any other as LB_CONFIG names it
    Check {
        /// The files; those for --with are also checked together
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// What an agent that runs with deploy/fleet.toml knows of the others
    Fleet {
        #[command(subcommand)]
        what: FleetTask,
    },
}

#[derive(Subcommand)]
enum FleetTask {
    /// Its view: who is there, in which life, who is gone, and whether it is sure
    Show {
        /// The agent's operators' address
        #[arg(long, value_name = "ADDR")]
        admin: SocketAddr,
        /// As the agent words it, for programs
        #[arg(long)]
        json: bool,
    },
    /// Publish a change of configuration; the agent must be the writer that the table configuration names
    Publish {
        /// A TOML text with the table limits, as in deploy/limits.toml; at most 4,096 bytes
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The service whose agents put it in force
        #[arg(long, value_name = "SERVICE")]
        key: String,
        /// Why, for those who read the logs; at most 200 bytes
        #[arg(long, value_name = "TEXT")]
        why: String,
        /// The writer's operators' address
        #[arg(long, value_name = "ADDR")]
        admin: SocketAddr,
    },
    /// What it holds of changes of configuration, and since when it is in force; on the writer also who lags
    Config {
        /// The agent's operators' address
        #[arg(long, value_name = "ADDR")]
        admin: SocketAddr,
        /// As the agent words it, for programs
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(Task::Check { files }) = &arguments.command {
        return check(files);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let end = match (runtime, arguments.command) {
        (Ok(runtime), Some(Task::Fleet { what })) => runtime.block_on(fleet(what)),
        (Ok(runtime), _) => LocalSet::new().block_on(&runtime, run(&arguments.with, arguments.trial)),
        (Err(e), _) => Err(format!("cannot start the runtime: {e}")),
    };
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log(&fault);
            ExitCode::FAILURE
        }
    }
}

async fn fleet(what: FleetTask) -> Result<(), String> {
    match what {
        FleetTask::Show { admin, json } => show(admin, json).await,
        FleetTask::Publish { file, key, why, admin } => publish(&file, key, why, admin).await,
        FleetTask::Config { admin, json } => show_configuration(admin, json).await,
    }
}

/// Checks a value as the agents will, and sends it to the writer.
async fn publish(file: &Path, key: String, why: String, admin: SocketAddr) -> Result<(), String> {
    let value = Document::read(file).map_err(|fault| fault.to_string())?;
    let request = PublishRequest { key, why, value };
    let body = serde_json::to_vec(&request).map_err(|e| e.to_string())?;
    let answer = operators::post(admin, PATH, body.into()).await?;
    let published: Published = serde_json::from_slice(&answer).map_err(|e| format!("{admin}: {e}"))?;
    println!("{} version {} digest {}", published.key, published.version, published.digest);
    Ok(())
}

async fn show_configuration(admin: SocketAddr, json: bool) -> Result<(), String> {
    let answer = operators::ask(admin, PATH).await?;
    if json {
        println!("{}", String::from_utf8_lossy(&answer));
    } else {
        print!("{}", Status::parse(&answer).map_err(|e| format!("{admin}: {e}"))?.table());
    }
    Ok(())
}

async fn show(admin: SocketAddr, json: bool) -> Result<(), String> {
    let answer = operators::ask(admin, "/fleet").await?;
    if json {
        println!("{}", String::from_utf8_lossy(&answer));
    } else {
        print!("{}", FleetView::parse(&answer).map_err(|e| format!("{admin}: {e}"))?.table());
    }
    Ok(())
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut usable = true;
    let is_switch = |file: &Path| file.extension().is_some_and(|e| e == "toml");
    let mut all = Switches::default();
    for file in files {
        let found = if is_switch(file) {
            Switches::read(file).and_then(|one| all.clone().with(one).map_err(|fault| fault.in_file(file)))
        } else {
            Ok(all.clone())
        };
        let found = found.and_then(|switches| {
            all = switches;
            if is_switch(file) {
                Ok(())
            } else {
                Config::read(file, Switches::default()).map(drop)
            }
        });
        match found {
            Ok(()) => println!("{}: usable", file.display()),
            Err(fault) => {
                usable = false;
                eprintln!("{fault}");
            }
        }
    }
    // What is usable alone may still not fit together, such as more connections than descriptors.
    for file in files.iter().filter(|file| !is_switch(file)) {
        if let Some(fault) = usable.then(|| Config::read(file, all.clone()).err()).flatten() {
            usable = false;
            eprintln!("{fault}");
        }
    }
    if usable {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Moves to where the configuration names discovery, at each signal.
async fn reload(mut hangup: Signal, move_to: impl Fn(SocketAddr)) {
    loop {
        hangup.recv().await;
        match Config::reread_discovery() {
            Ok(source) => move_to(source),
            Err(fault) => log(&format!("the configuration stays as it was: {fault}")),
        }
    }
}

async fn run(with: &[PathBuf], trial: bool) -> Result<(), String> {
    // First of all: a signal that nobody waits for ends the program.
    let hangup = Signal::hangup().map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let mut term = Signal::terminate().map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let switches = Switches::read_all(with).map_err(|fault| fault.to_string())?;
    if switches.trial.is_some() && !trial {
        return Err("trial: this table makes the agent's clocks wrong; only --trial allows it".into());
    }
    let config = Config::from_env(switches).map_err(|fault| fault.to_string())?;
    let agent = Agent::start(config).await?;
    spawn_local(reload(hangup, agent.mover()));
    if let Some(admin) = agent.admin() {
        log(&format!("operators call at {admin}"));
    }
    log(&format!("listening on {}", agent.address()));
    agent.serve(term.recv()).await;
    Ok(())
}
