//! The real agent: the decisions of `ryelead` on real sockets. Started with `LB_CONFIG` in the environment.

mod backend;
mod budget;
mod config;
mod discovery;
mod driver;
mod head;
mod intake;
mod log;
mod pool;
mod rest;
mod seats;
mod server;
mod wire;

use backend::Backends;
use budget::Budget;
use config::Config;
use discovery::Commands;
use driver::Driver;
use intake::{Catalogue, Class};
use log::log;
use pool::Pool;
use ryelead::{Discovery, ReportSource, Settings, Span};
use server::Server;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// After SIGTERM new connections go on coming for a while, and are served.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// Once nothing is owed, connections that have not been used yet are given this long.
const LINGER: Duration = Duration::from_millis(400);
/// The end, counted from SIGTERM over the longest deadline.
const STOP_SLACK: Duration = Duration::from_millis(300);

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let end = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run()),
        Err(e) => Err(format!("cannot start the runtime: {e}")),
    };
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log(&fault);
            ExitCode::FAILURE
        }
    }
}

fn length(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Moves to where the configuration names discovery, at each signal.
async fn reload(mut hangup: Signal, commands: Rc<Commands>) {
    while hangup.recv().await.is_some() {
        match Config::reread_discovery() {
            Ok(source) if commands.move_to(source) => log(&format!("discovery is at {source} now")),
            Ok(_) => {}
            Err(fault) => log(&format!("the configuration stays as it was: {fault}")),
        }
    }
}

async fn run() -> Result<(), String> {
    // First of all: a signal that nobody waits for ends the program.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let config = Config::from_env()?;
    let file = &config.settings;
    // The protocol lets every refusal say when to come back.
    let settings = Settings { retry_after: true, ..file.settings() };
    let classes = file.class_names().into_iter().zip(&settings.classes);
    let classes = classes.map(|(name, c)| Class { name, effect: c.effect, deadline: length(c.deadline) });
    let classes = classes.collect();
    let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let pushed = settings.discovery == Discovery::Pushed;
    let bodies = Budget::new(config.body_bytes);
    let pool = Pool::new(
        config.backend_connections,
        length(file.connect_timeout().unwrap_or(Span::from_ms(250.0))),
        length(file.keepalive().unwrap_or(Span::from_ms(10_000.0))),
    );
    let backends = Backends::new(
        pool,
        Rc::clone(&bodies),
        file.report_names().to_vec(),
        settings.report_source != ReportSource::None,
    );
    let commands = Commands::new(config.discovery);
    let names = (file.zone_names(), file.kind_names());
    let version = config.known.as_ref().map_or(0, |list| list.rev);
    let driver = Driver::new(settings, config.seed, names, config.known, backends, Rc::clone(&commands))?;
    spawn_local(driver.clone().run());
    spawn_local(reload(hangup, Rc::clone(&commands)));
    spawn_local(discovery::run(driver.clone(), commands, version, pushed));

    let catalogue = Catalogue { classes, tenants: file.tenant_names(), bodies };
    let server = Server::new(driver, catalogue, config.client_connections, config.client_crowd);
    spawn_local(Rc::clone(&server).sweep());
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log(&format!("listening on {address}"));
    tokio::select! {
        () = server.accept(&listener) => {}
        _ = term.recv() => {}
    }

    // Clients go on coming until they have noticed; what they send is served to the end.
    let stop = Instant::now();
    server.begin_stop();
    let _ = timeout(ACCEPT_ON, server.accept(&listener)).await;
    drop(listener);
    server.close_all();
    let quiet_from = stop + ACCEPT_ON + LINGER;
    let last = stop + length(longest) + STOP_SLACK;
    while server.connections() > 0 && Instant::now() < last {
        if server.owed() == 0 && Instant::now() >= quiet_from {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}
