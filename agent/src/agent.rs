//! One agent, whole: started from its configuration, serving until it is told to stop.

use crate::clients::Clients;
use crate::config::Config;
use crate::configuration::live::{Connections, LiveLimits};
use crate::control::{length, listen, task, Control, ControlConfig, Core, Task};
use crate::fronts::plain::intake::{Catalogue, Class};
use crate::fronts::plain::server::Server;
use crate::list::Commands;
use crate::log::{allow_lines, log, log_events, EventLevel};
use crate::share::file::Share;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// How often it is looked whether a stop is over.
const END_EVERY: Duration = Duration::from_millis(5);
/// How long a process that stops accepts what has come to its listening socket by then.
const QUEUE_WAIT: Duration = Duration::from_millis(10);

/// An agent that listens. It lives on the thread and the [`tokio::task::LocalSet`] on which it was started; when it is
/// dropped it stops at once.
pub struct Agent {
    server: Rc<Server>,
    listener: TcpListener,
    address: SocketAddr,
    clients: Rc<Clients>,
    commands: Rc<Commands>,
    /// The platform holds the listening socket: another process goes on with the address.
    inherited: bool,
    control: Control,
    _tasks: Vec<Task>,
}

impl Agent {
    /// Starts an agent; must be called on a [`tokio::task::LocalSet`]. Fails if the configuration can't be decided by
    /// or its address can't be listened on.
    pub async fn start(mut config: Config) -> Result<Agent, String> {
        let inherited = config.listener.is_some();
        if let Some(events) = config.events.take() {
            allow_lines(events.lines_per_second);
            log_events(events.json, EventLevel::Requests);
        }
        let core = Core::new(&mut config)?;
        let (driver, clients) = (core.driver.clone(), Rc::clone(&core.clients));
        let file = &config.settings;
        let classes = file.class_names().into_iter().zip(&core.settings.classes);
        let classes = classes.map(|(name, c)| Class { name, effect: c.effect, deadline: length(c.deadline) });
        let bodies = Rc::clone(&core.bodies);
        let catalogue = Catalogue { classes: classes.collect(), tenants: file.tenant_names(), bodies };
        let room = (config.limits.client_connections, config.limits.client_crowd);
        let server = Server::new(driver.clone(), Rc::clone(&clients), catalogue, room);
        let tally = config.tally_every.map(|every| {
            driver.tally().switch_on();
            task(driver.clone().tell_tally(every))
        });
        let mut tasks = vec![task(driver.clone().run()), task(Rc::clone(&server).sweep())];
        tasks.extend(tally);
        let listener = match config.listener {
            Some(listener) => TcpListener::from_std(listener).map_err(|e| format!("cannot listen: {e}"))?,
            None => listen(config.listen).await?,
        };
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let whole = (config.limits.client_connections, config.limits.server_connections);
        // Two processes are one agent for a while.
        let share = inherited.then(|| Share::new(&std::env::temp_dir(), address, whole));
        let connections =
            Connections { server: Rc::clone(&server), clients: Rc::clone(&clients), driver: driver.clone() };
        let live = Rc::new(LiveLimits::new(config.base, connections, Rc::clone(&core.bodies), share));
        if live.share() {
            tasks.push(task(Rc::clone(&live).run()));
        }
        let told = ControlConfig { peers: config.peers, admin: config.admin, inherited, target: live };
        let control = Control::start(&core, told).await?;
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

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators call, if they do.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.control.admin
    }

    /// What moves this agent to another address of discovery while it serves.
    pub fn mover(&self) -> impl Fn(SocketAddr) + 'static {
        let commands = Rc::clone(&self.commands);
        move |source| {
            if commands.move_to(source) {
                log(&format!("discovery is at {source} now"));
            }
        }
    }

    /// Serves until `stop` comes, then answers what it has taken and ends: within 0.9 s if nothing is owed (1.4 s where
    /// the platform holds the socket), and 0.6 s over the longest deadline of a class at the latest.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let Agent { server, listener, clients, inherited, control, _tasks, .. } = self;
        let mut listener = Some(listener);
        let mut stop = pin!(stop);
        let mut stopped = false;
        loop {
            clients.look();
            let accepting = async {
                match &listener {
                    Some(listener) if clients.accepts() => server.accept(listener).await,
                    // Until there is a server to send to, which lists bring.
                    _ if !stopped => sleep(END_EVERY).await,
                    _ => pending().await,
                }
            };
            tokio::select! {
                () = accepting => {}
                () = clients.changed() => {}
                () = stop.as_mut(), if !stopped => {
                    clients.stop();
                    if let Some(peers) = &control.peers {
                        peers.stop(inherited);
                    }
                    stopped = true;
                }
                () = sleep(END_EVERY), if listener.is_none() => {}
            }
            if stopped && !clients.accepts() {
                if let Some(listener) = listener.take().filter(|_| !inherited) {
                    // Whoever waits in its queue has been accepted as far as it can tell, and would be reset.
                    let _ = timeout(QUEUE_WAIT, server.accept(&listener)).await;
                }
            }
            server.settle();
            let permit = clients.exits(server.connections(), server.owed());
            if let Some(permit) = permit.filter(|_| stopped) {
                server.end_process(permit);
                return;
            }
        }
    }
}
