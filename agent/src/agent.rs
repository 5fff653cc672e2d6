//! A complete agent: starts from its configuration and serves until it is told to shut down.

use crate::clients::Clients;
use crate::config::Config;
use crate::configuration::live::{Connections, LiveLimits};
use crate::control::{listen, task, to_duration, Control, ControlConfig, Core, Task};
use crate::frontend::http::server::Server;
use crate::frontend::http::validation::{Class, RequestRules};
use crate::list::DiscoveryCommands;
use crate::log::{log, log_events, set_line_rate, EventLevel};
use crate::metrics::resident_kilobytes;
use crate::overload::MemoryMonitor;
use crate::sharing::file::ConnectionShare;
use std::cell::Cell;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Interval at which a shutdown checks whether it is complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a process that shuts down keeps accepting connections that its listening socket has queued by
/// then.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(10);

/// An agent that is listening. It lives on the thread and the [`tokio::task::LocalSet`] on which it was
/// started; dropping it stops it at once.
pub struct Agent {
    server: Rc<Server>,
    listener: TcpListener,
    address: SocketAddr,
    clients: Rc<Clients>,
    commands: Rc<DiscoveryCommands>,
    /// The platform holds the listening socket: another process takes over the address.
    inherited: bool,
    control: Control,
    _tasks: Vec<Task>,
}

impl Agent {
    /// Starts an agent; must be called on a [`tokio::task::LocalSet`]. Fails if the decision module refuses
    /// the configuration or an address can't be listened on.
    pub async fn start(mut config: Config) -> Result<Agent, String> {
        let inherited = config.listener.is_some();
        if let Some(events) = config.events.take() {
            set_line_rate(events.lines_per_second);
            log_events(events.json, EventLevel::Requests);
        }
        let core = Core::new(&mut config)?;
        let (driver, clients) = (core.driver.clone(), Rc::clone(&core.clients));
        let file = &config.settings;
        let classes = file.class_names().into_iter().zip(&core.settings.classes);
        let classes =
            classes.map(|(name, c)| Class { name, effect: c.effect, deadline: to_duration(c.deadline) });
        let bodies = Rc::clone(&core.bodies);
        let request_rules = RequestRules { classes: classes.collect(), tenants: file.tenant_names(), bodies };
        let client_limits = (config.limits.client_connections, config.limits.client_eviction_limits);
        let server = Server::new(driver.clone(), Rc::clone(&clients), request_rules, client_limits);
        let tally = config.metrics_interval.map(|every| {
            driver.metrics().enable();
            let (levels_server, levels_bodies) = (Rc::clone(&server), Rc::clone(&core.bodies));
            let levels = move || {
                vec![
                    ("clients", levels_server.connections().open),
                    ("body-bytes", levels_bodies.held()),
                    ("resident-kb", resident_kilobytes()),
                ]
            };
            task(driver.clone().log_metrics(every, levels))
        });
        let mut tasks = vec![task(driver.clone().run()), task(Rc::clone(&server).sweep())];
        tasks.extend(tally);
        let listener = match config.listener {
            Some(listener) => TcpListener::from_std(listener).map_err(|e| format!("cannot listen: {e}"))?,
            None => listen(config.listen).await?,
        };
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let totals = (config.limits.client_connections, config.limits.server_connections);
        // During an upgrade two processes serve as one agent.
        let share = inherited.then(|| ConnectionShare::new(&std::env::temp_dir(), address, totals));
        let others_bytes = Rc::<Cell<u64>>::default();
        for shortage in [core.bodies.shortage(), driver.pool().shortage()] {
            let server = Rc::downgrade(&server);
            shortage.set(move || server.upgrade().into_iter().for_each(|server| server.end_longest_silent()));
        }
        let monitor = Rc::new(MemoryMonitor {
            server: Rc::clone(&server),
            driver: driver.clone(),
            bodies: Rc::clone(&core.bodies),
            limit_bytes: config.base.deployment.memory_bytes(),
            others_bytes: Rc::clone(&others_bytes),
            level: Cell::default(),
        });
        tasks.push(task(monitor.run()));
        let connections = Connections {
            server: Rc::clone(&server),
            clients: Rc::clone(&clients),
            driver: driver.clone(),
            bodies: Rc::clone(&core.bodies),
            body_bytes: Cell::new(config.limits.body_bytes),
            others_bytes,
        };
        let live = Rc::new(LiveLimits::new(config.base, connections, share));
        if live.update_share() {
            tasks.push(task(Rc::clone(&live).run()));
        }
        let control_config =
            ControlConfig { peers: config.peers, admin: config.admin, inherited, target: live };
        let control = Control::start(&core, control_config).await?;
        Ok(Agent {
            server,
            listener,
            address,
            clients,
            commands: core.commands,
            inherited,
            control,
            _tasks: tasks,
        })
    }

    /// The address on which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address of the admin listener, if there is one.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.control.admin
    }

    /// Returns a function that moves this agent to another address of the discovery service while it serves.
    pub fn discovery_mover(&self) -> impl Fn(SocketAddr) + 'static {
        let commands = Rc::clone(&self.commands);
        move |source| {
            if commands.set_source(source) {
                log(&format!("discovery moved to {source}"));
            }
        }
    }

    /// Serves until `stop` completes, then answers all accepted requests and ends: within 0.9 s if no answer
    /// is pending (1.4 s where the platform holds the socket), and 0.6 s after the longest deadline of a class
    /// otherwise, or once no client goes on reading an answer.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let Agent { server, listener, clients, inherited, control, _tasks, .. } = self;
        let mut listener = Some(listener);
        let mut stop = pin!(stop);
        let mut stopped = false;
        loop {
            clients.check_startup();
            let accepting = async {
                match &listener {
                    Some(listener) if clients.accepts() => server.accept(listener).await,
                    // Clients are accepted once a list has brought a server to send to.
                    _ if !stopped => sleep(SHUTDOWN_POLL_INTERVAL).await,
                    _ => pending().await,
                }
            };
            tokio::select! {
                () = accepting => {}
                () = clients.changed() => {}
                () = stop.as_mut(), if !stopped => {
                    clients.stop();
                    if let Some(peers) = &control.peers {
                        peers.shut_down(inherited);
                    }
                    stopped = true;
                }
                () = sleep(SHUTDOWN_POLL_INTERVAL), if listener.is_none() => {}
            }
            if stopped && !clients.accepts() {
                if let Some(listener) = listener.take().filter(|_| !inherited) {
                    // Connections in the kernel's accept queue look established to their clients, and would
                    // be reset.
                    let _ = timeout(ACCEPT_QUEUE_TIMEOUT, server.accept(&listener)).await;
                }
            }
            server.close_idle_connections();
            let permit = clients.exit_permit(server.connections());
            if let Some(permit) = permit.filter(|_| stopped) {
                server.end_process(permit);
                return;
            }
        }
    }
}
