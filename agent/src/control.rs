//! The parts of an agent that carry no request: what decides, the watch on the list, the view of the other agents and the
//! operators' address. A whole [`crate::Agent`] and a [`crate::HollowAgent`] start them alike.

use crate::budget::Budget;
use crate::clients::Clients;
use crate::config::Config;
use crate::configuration::Target;
use crate::driver::Driver;
use crate::fronts::admin;
use crate::list::Commands;
use crate::log::{log_events, EventLevel};
use crate::peers::config::PeersConfig;
use crate::peers::Peers;
use crate::permits::lifecycle::LifeCycle;
use crate::sources::freshness::Terms;
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

/// A span of the decision module as the standard library has it.
pub fn length(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// A task that ends with its owner.
pub struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a task on the present [`tokio::task::LocalSet`].
pub fn task(work: impl Future<Output = ()> + 'static) -> Task {
    Task(spawn_local(work).abort_handle())
}

/// What a start makes of a machine that is short of something for a moment: it tries again so often and for so long.
const LISTEN_AGAIN: Duration = Duration::from_millis(50);
const LISTEN_TRIES: u32 = 40;
/// EINTR, ENOMEM, ENFILE, EMFILE and ENOBUFS: they pass, and say nothing of the address.
const PASSING_ERRORS: [i32; 5] = [4, 12, 23, 24, 105];

/// Listens for TCP connections; the error names the address.
pub async fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    let mut tries = 1;
    loop {
        let error = match TcpListener::bind(at).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let passes = error.raw_os_error().is_some_and(|number| PASSING_ERRORS.contains(&number));
        if !passes || tries >= LISTEN_TRIES {
            return Err(format!("cannot listen on {at}: {error}"));
        }
        tries += 1;
        sleep(LISTEN_AGAIN).await;
    }
}

/// What decides and what it is shared through, before anything listens.
pub struct Core {
    /// The balancer.
    pub driver: Driver,
    /// What is wanted of the source of the list.
    pub commands: Rc<Commands>,
    /// The life cycle of this process.
    pub clients: Rc<Clients>,
    /// The memory of bodies.
    pub bodies: Rc<Budget>,
    /// The settings, as the balancer has them.
    pub settings: Settings,
    /// The version of the list that the configuration holds.
    list_version: i64,
    seed: u64,
}

impl Core {
    /// Builds the balancer from a configuration, of which the known list is taken.
    pub fn new(config: &mut Config) -> Result<Core, String> {
        let file = &config.settings;
        // The protocol lets every refusal say when to come back.
        let settings = Settings { retry_after: true, ..file.settings() };
        let longest = length(settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default());
        let bodies = Budget::new(config.limits.body_bytes);
        let pool = Pool::new(
            config.limits.server_connections,
            length(file.connect_timeout().unwrap_or(Span::from_ms(250.0))),
            length(file.keepalive().unwrap_or(Span::from_ms(10_000.0))),
        );
        let reports = settings.report_source != ReportSource::None;
        let backends = Backends::new(pool, Rc::clone(&bodies), file.report_names().to_vec(), reports);
        let commands = Commands::new(config.discovery);
        let names = (file.zone_names(), file.kind_names());
        let known = config.known.take();
        let list_version = known.as_ref().map_or(0, |list| list.rev);
        let seed = config.seed;
        let driver = Driver::new(settings.clone(), seed, names, known, backends, Rc::clone(&commands))?;
        let life = LifeCycle::new(config.listener.is_some(), longest);
        let clients = Rc::new(Clients::new(life, driver.clone()));
        Ok(Core { driver, commands, clients, bodies, settings, list_version, seed })
    }
}

/// What the control parts are told.
pub struct ControlConfig {
    /// The other agents, where a file switches them on.
    pub peers: Option<PeersConfig>,
    /// Where operators call, if they do.
    pub admin: Option<SocketAddr>,
    /// The platform holds the clients' socket: another process of this agent may hold the address for datagrams.
    pub inherited: bool,
    /// What a change of configuration acts on.
    pub target: Rc<dyn Target>,
}

/// The control parts on their sockets; they end when this is dropped.
pub struct Control {
    /// The other agents.
    pub peers: Option<Rc<Peers>>,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    _tasks: Vec<Task>,
}

impl Control {
    /// Starts the watch on the list, and what the configuration switches on.
    pub async fn start(core: &Core, config: ControlConfig) -> Result<Control, String> {
        let terms = Terms::of(&core.settings);
        let watch = platform::run(
            core.driver.clone(),
            Rc::clone(&core.commands),
            core.list_version,
            terms,
            core.seed,
        );
        let mut tasks = vec![task(watch)];
        let mut peers = None;
        if let Some(told) = config.peers {
            log_events(told.json(), EventLevel::Fleet);
            let (started, run) =
                Peers::start(told, core.driver.clone(), config.target, config.inherited).await?;
            tasks.push(task(run));
            peers = Some(started);
        }
        let mut admin = None;
        if let Some(at) = config.admin {
            let door = listen(at).await.map_err(|e| format!("admin: {e}"))?;
            admin = door.local_addr().ok();
            tasks.push(task(admin::run(door, Rc::clone(&core.clients), peers.as_ref().map(Rc::clone))));
        }
        Ok(Control { peers, admin, _tasks: tasks })
    }
}
