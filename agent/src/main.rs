//! The command line of [`dilljunction_agent`].

use clap::{Parser, Subcommand};
use dilljunction_agent::admin_client::configuration::{PublishRequest, Published, Status, PATH};
use dilljunction_agent::admin_client::{self, FleetView};
use dilljunction_agent::configuration::Document;
use dilljunction_agent::{avoid_huge_pages, log, Agent, Config, Features, Signal};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::{spawn_local, LocalSet};

/// A load balancer beside its client: it decides which server gets a request, whether it is retried, and when
/// it is refused.
///
/// With no argument it runs as the platform starts it: LB_CONFIG names its configuration (JSON); LB_LISTEN,
/// LB_DISCOVERY, LB_ADMIN and LB_NAME override four of its keys, and LB_LISTEN_FD names a listening socket to
/// take over. SIGTERM shuts it down gracefully; SIGHUP moves it to the discovery address that the
/// configuration names now.
#[derive(Parser)]
#[command(name = "dilljunction", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Enable the features in a file under deploy/ (TOML); may be repeated
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
    /// Check that configurations are usable: *.toml as a file for --with, any other as LB_CONFIG names it
    Check {
        /// The files; those for --with are also checked together
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show what an agent that runs with deploy/fleet.toml knows of the others
    Fleet {
        #[command(subcommand)]
        what: FleetTask,
    },
}

#[derive(Subcommand)]
enum FleetTask {
    /// Show its view: the members, their generations and states, and whether the view has converged
    Show {
        /// Address of the agent's admin listener
        #[arg(long, value_name = "ADDR")]
        admin: SocketAddr,
        /// Print the agent's JSON answer, for programs
        #[arg(long)]
        json: bool,
    },
    /// Publish a configuration change; the agent must be the writer that the table configuration names
    Publish {
        /// A TOML document with the table limits, as in deploy/limits.toml; at most 4,096 bytes
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The service whose agents apply it
        #[arg(long, value_name = "SERVICE")]
        key: String,
        /// The reason, for the log; at most 200 bytes
        #[arg(long, value_name = "TEXT")]
        why: String,
        /// Address of the writer's admin listener
        #[arg(long, value_name = "ADDR")]
        admin: SocketAddr,
    },
    /// Show the configurations that it stores, and since when each is in force; on the writer also which
    /// agents lag
    Config {
        /// Address of the agent's admin listener
        #[arg(long, value_name = "ADDR")]
        admin: SocketAddr,
        /// Print the agent's JSON answer, for programs
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    avoid_huge_pages();
    let arguments = Arguments::parse();
    if let Some(Task::Check { files }) = &arguments.command {
        return check(files);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match (runtime, arguments.command) {
        (Ok(runtime), Some(Task::Fleet { what })) => runtime.block_on(fleet(what)),
        (Ok(runtime), _) => LocalSet::new().block_on(&runtime, run(&arguments.with, arguments.trial)),
        (Err(e), _) => Err(format!("cannot start the runtime: {e}")),
    };
    match result {
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
    let answer = admin_client::post(admin, PATH, body.into()).await?;
    let published: Published = serde_json::from_slice(&answer).map_err(|e| format!("{admin}: {e}"))?;
    println!("{} version {} digest {}", published.key, published.version, published.digest);
    Ok(())
}

async fn show_configuration(admin: SocketAddr, json: bool) -> Result<(), String> {
    let answer = admin_client::get(admin, PATH).await?;
    if json {
        println!("{}", String::from_utf8_lossy(&answer));
    } else {
        print!("{}", Status::parse(&answer).map_err(|e| format!("{admin}: {e}"))?.table());
    }
    Ok(())
}

async fn show(admin: SocketAddr, json: bool) -> Result<(), String> {
    let answer = admin_client::get(admin, "/fleet").await?;
    if json {
        println!("{}", String::from_utf8_lossy(&answer));
    } else {
        print!("{}", FleetView::parse(&answer).map_err(|e| format!("{admin}: {e}"))?.table());
    }
    Ok(())
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut usable = true;
    let is_features_file = |file: &Path| file.extension().is_some_and(|e| e == "toml");
    let mut all = Features::default();
    for file in files {
        let checked = if is_features_file(file) {
            Features::read(file).and_then(|one| all.clone().with(one).map_err(|fault| fault.in_file(file)))
        } else {
            Ok(all.clone())
        };
        let checked = checked.and_then(|features| {
            all = features;
            if is_features_file(file) {
                Ok(())
            } else {
                Config::read(file, Features::default()).map(drop)
            }
        });
        match checked {
            Ok(()) => println!("{}: usable", file.display()),
            Err(fault) => {
                usable = false;
                eprintln!("{fault}");
            }
        }
    }
    // Files that are valid alone may still conflict, for instance in more connections than descriptors.
    for file in files.iter().filter(|file| !is_features_file(file)) {
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

/// Moves to the discovery address in the configuration, at each SIGHUP.
async fn reload(mut hangup: Signal, move_to: impl Fn(SocketAddr)) {
    loop {
        hangup.recv().await;
        match Config::reread_discovery() {
            Ok(source) => move_to(source),
            Err(fault) => log(&format!("reload failed, the configuration is unchanged: {fault}")),
        }
    }
}

async fn run(with: &[PathBuf], trial: bool) -> Result<(), String> {
    // Before anything else: a signal without a handler ends the process.
    let hangup = Signal::hangup().map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let mut term = Signal::terminate().map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let features = Features::read_all(with).map_err(|fault| fault.to_string())?;
    if features.trial.is_some() && !trial {
        return Err("trial: this table makes the agent's clocks wrong; only --trial allows it".into());
    }
    let config = Config::from_env(features).map_err(|fault| fault.to_string())?;
    let agent = Agent::start(config).await?;
    spawn_local(reload(hangup, agent.discovery_mover()));
    if let Some(admin) = agent.admin() {
        log(&format!("operators call at {admin}"));
    }
    log(&format!("listening on {}", agent.address()));
    agent.serve(term.recv()).await;
    Ok(())
}
