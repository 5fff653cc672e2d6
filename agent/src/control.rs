//! The parts of an agent that carry no requests: the decision module, discovery, the membership view and the
//! admin listener. [`crate::Agent`] and [`crate::HollowAgent`] start them in the same way.

use crate::clients::Clients;
use crate::config::Config;
use crate::configuration::Target;
use crate::driver::Driver;
use crate::frontend::admin;
use crate::list::DiscoveryCommands;
use crate::log::{log_events, EventLevel};
use crate::memory_budget::MemoryBudget;
use crate::peers::config::PeersConfig;
use crate::peers::Peers;
use crate::permits::lifecycle::Lifecycle;
use crate::sources::freshness::PollPolicy;
use crate::sources::platform;
use crate::upstream::backend::Backends;
use crate::upstream::pool::Pool;
use ryelead::{ReportSource, Settings, Span};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

/// Converts a span of the decision module.
pub fn to_duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// A task that is aborted when this is dropped.
pub struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Spawns a task on the current [`tokio::task::LocalSet`].
pub fn task(work: impl Future<Output = ()> + 'static) -> Task {
    Task(spawn_local(work).abort_handle())
}

/// A machine may be short of resources for a moment when the agent starts: the interval between attempts to
/// listen, and the most attempts.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const LISTEN_ATTEMPTS_MAX: u32 = 40;
/// EINTR, ENOMEM, ENFILE, EMFILE and ENOBUFS are transient and say nothing about the address.
const TRANSIENT_ERRORS: [i32; 5] = [4, 12, 23, 24, 105];

/// Listens for TCP connections; the error names the address.
pub async fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    let mut attempts = 1;
    loop {
        let error = match TcpListener::bind(at).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let is_transient = error.raw_os_error().is_some_and(|number| TRANSIENT_ERRORS.contains(&number));
        if !is_transient || attempts >= LISTEN_ATTEMPTS_MAX {
            return Err(format!("cannot listen on {at}: {error}"));
        }
        attempts += 1;
        sleep(LISTEN_RETRY_INTERVAL).await;
    }
}

/// The decision module and its shared state, before anything listens.
pub struct Core {
    /// The decision module's driver.
    pub driver: Driver,
    /// Requests to the source of the server list.
    pub commands: Rc<DiscoveryCommands>,
    /// The life cycle of this process.
    pub clients: Rc<Clients>,
    /// The memory budget of bodies.
    pub bodies: Rc<MemoryBudget>,
    /// The settings in use.
    pub settings: Settings,
    /// The version of the server list in the configuration.
    list_version: i64,
    seed: u64,
}

impl Core {
    /// Builds the driver from a configuration; takes the known server list out of it.
    pub fn new(config: &mut Config) -> Result<Core, String> {
        let file = &config.settings;
        // The protocol allows `Retry-After` in every refusal.
        let settings = Settings { retry_after: true, ..file.settings() };
        let longest = to_duration(settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default());
        let bodies = MemoryBudget::new(config.limits.body_bytes);
        let pool = Pool::new(
            config.limits.server_connections,
            to_duration(file.connect_timeout().unwrap_or(Span::from_ms(250.0))),
            to_duration(file.keepalive().unwrap_or(Span::from_ms(10_000.0))),
        );
        let reports = settings.report_source != ReportSource::None;
        let backends = Backends::new(pool, Rc::clone(&bodies), file.report_names().to_vec(), reports);
        let commands = DiscoveryCommands::new(config.discovery);
        let names = (file.zone_names(), file.kind_names());
        let known = config.known.take();
        let list_version = known.as_ref().map_or(0, |list| list.rev);
        let seed = config.seed;
        let driver = Driver::new(settings.clone(), seed, names, known, backends, Rc::clone(&commands))?;
        let lifecycle = Lifecycle::new(config.listener.is_some(), longest);
        let clients = Rc::new(Clients::new(lifecycle, driver.clone()));
        Ok(Core { driver, commands, clients, bodies, settings, list_version, seed })
    }
}

/// The configuration of the control parts.
pub struct ControlConfig {
    /// Communication with the other agents, where `[fleet]` enables it.
    pub peers: Option<PeersConfig>,
    /// The address of the admin listener, if there is one.
    pub admin: Option<SocketAddr>,
    /// The platform holds the clients' socket: another process of this agent may still hold the UDP address.
    pub inherited: bool,
    /// The target of configuration changes.
    pub target: Rc<dyn Target>,
}

/// The running control parts; they stop when this is dropped.
pub struct Control {
    /// Communication with the other agents.
    pub peers: Option<Rc<Peers>>,
    /// The bound address of the admin listener.
    pub admin: Option<SocketAddr>,
    _tasks: Vec<Task>,
}

impl Control {
    /// Starts discovery, and the parts that the configuration enables.
    pub async fn start(core: &Core, config: ControlConfig) -> Result<Control, String> {
        let policy = PollPolicy::from_settings(&core.settings);
        let discovery = platform::run(
            core.driver.clone(),
            Rc::clone(&core.commands),
            core.list_version,
            policy,
            core.seed,
        );
        let mut tasks = vec![task(discovery)];
        let mut peers = None;
        if let Some(peers_config) = config.peers {
            log_events(peers_config.json(), EventLevel::Fleet);
            let (started, run) =
                Peers::start(peers_config, core.driver.clone(), config.target, config.inherited).await?;
            tasks.push(task(run));
            peers = Some(started);
        }
        let mut admin = None;
        if let Some(at) = config.admin {
            let listener = listen(at).await.map_err(|e| format!("admin: {e}"))?;
            admin = listener.local_addr().ok();
            tasks.push(task(admin::run(listener, Rc::clone(&core.clients), peers.as_ref().map(Rc::clone))));
        }
        Ok(Control { peers, admin, _tasks: tasks })
    }
}
