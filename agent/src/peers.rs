//! The other agents: one datagram socket, the one timer of what the agents know of one another, and bounds on packets. It
//! decides nothing; that is `dilljunction_cluster`'s.

mod clock;
pub mod config;
pub mod configuration;
mod events;

use self::clock::Clock;
use self::config::PeersConfig;
use self::configuration::{ConfigurationShell, Refusal};
use self::events::log_event;
use crate::allowance::Allowance;
use crate::configuration::Target;
use crate::driver::Driver;
use crate::hollow::FleetSummary;
use crate::log::log;
use crate::operators::configuration::{InForce, PublishRequest, Published, Status};
use crate::switches::TrialTable;
use crate::tally::Count;
use dilljunction_cluster::envelope::{open, Room, DATAGRAM_MOST};
use dilljunction_cluster::view::{Event, View};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Packets that may be sent at once, and how many a second after that. A settled member sends some ten a second whatever
/// the size of its fleet; a start, a heal and the questions of newcomers are what the rest is for.
const SEND_BURST: f64 = 400.0;
const SEND_PER_SECOND: f64 = 400.0;
/// Packets that are read in one go, and the pause after so many: under a flood of garbage the requests of clients have
/// the core to themselves in between.
const READ_AT_ONCE: usize = 32;
const READ_PAUSE: Duration = Duration::from_millis(1);
/// How often a new process looks whether the old one has let go of the address.
const BIND_EVERY: Duration = Duration::from_millis(20);

/// The agents as this one knows them.
pub struct Peers {
    config: PeersConfig,
    clock: Clock,
    view: RefCell<View>,
    /// Changes of configuration, where they are switched on.
    shell: RefCell<Option<ConfigurationShell>>,
    target: Rc<dyn Target>,
    driver: Driver,
    /// Where it listens, once it does.
    address: Cell<Option<SocketAddr>>,
    told: Cell<Option<usize>>,
    ended: Cell<bool>,
    /// Rings when there is something to do besides packets and time.
    wake: Notify,
}

impl Peers {
    /// Opens the socket and starts. With `inherited` the platform runs two processes of one agent at a time during an
    /// upgrade: then the address may still be the old one's, and is taken when that lets go.
    pub async fn start(
        config: PeersConfig,
        driver: Driver,
        target: Rc<dyn Target>,
        inherited: bool,
    ) -> Result<(Rc<Peers>, impl std::future::Future<Output = ()>), String> {
        let TrialTable { clock_rate, wall_step_ms, .. } = config.trial;
        let clock = Clock::start(clock_rate, wall_step_ms);
        if config.trial != TrialTable::default() {
            log(&format!("a trial, not for service: {}", config.trial));
        }
        let socket = match UdpSocket::bind(config.listen).await {
            Ok(socket) => Some(socket),
            Err(e) if inherited && e.kind() == ErrorKind::AddrInUse => None,
            Err(e) => return Err(format!("cannot listen on {} for other agents: {e}", config.listen)),
        };
        let view = View::new(config.setup(clock.unix_ms()), clock.now()).map_err(|e| e.to_string())?;
        let (view, told, ended) = (RefCell::new(view), Cell::new(None), Cell::new(false));
        let address = Cell::new(socket.as_ref().and_then(|socket| socket.local_addr().ok()));
        let (shell, wake) = (RefCell::new(None), Notify::new());
        let peers = Peers { config, clock, view, shell, target, driver, address, told, ended, wake };
        let peers = Rc::new(peers);
        peers.start_configuration();
        let run = Rc::clone(&peers).run(socket);
        Ok((peers, run))
    }

    /// Takes and publishes changes of configuration from here on, knowing none.
    fn start_configuration(&self) {
        let (number, now) = (self.config.number, self.clock.now());
        let seed = self.config.setup(self.clock.unix_ms()).seed;
        let shell = self
            .config
            .configuration
            .clone()
            .map(|config| ConfigurationShell::new(config, number, seed, Rc::clone(&self.target), now));
        *self.shell.borrow_mut() = shell;
    }

    async fn run(self: Rc<Self>, socket: Option<UdpSocket>) {
        let socket = match socket {
            Some(socket) => socket,
            None => {
                let Some(socket) = self.take_over().await else { return };
                // This life begins now: until here the fleet has heard the old process.
                if let Ok(view) = View::new(self.config.setup(self.clock.unix_ms()), self.clock.now()) {
                    *self.view.borrow_mut() = view;
                    self.start_configuration();
                }
                socket
            }
        };
        if let Ok(address) = socket.local_addr() {
            self.address.set(Some(address));
            log(&format!("other agents reach this one at {address}"));
        }
        let mut allowance = Allowance::new(SEND_BURST, SEND_PER_SECOND, std::time::Instant::now());
        let mut resting_until = None;
        while !self.ended.get() {
            let due = self.next_timer().map(|at| self.clock.instant(at));
            tokio::select! {
                () = until(due) => self.handle_timeout(),
                () = until(resting_until), if resting_until.is_some() => resting_until = None,
                _ = socket.readable(), if resting_until.is_none() => {
                    if self.read_some(&socket) {
                        resting_until = Some(Instant::now() + READ_PAUSE);
                    }
                }
                () = self.wake.notified() => {}
            }
            // What the view tells comes first: the configuration goes by who is there.
            self.tell();
            self.write_all(&socket, &mut allowance);
        }
    }

    fn next_timer(&self) -> Option<Duration> {
        let of_shell = self.shell.borrow().as_ref().and_then(ConfigurationShell::next_timer);
        [self.view.borrow().next_timer(), of_shell].into_iter().flatten().min()
    }

    fn handle_timeout(&self) {
        let now = self.clock.now();
        self.view.borrow_mut().handle_timeout(now);
        if let Some(shell) = &mut *self.shell.borrow_mut() {
            shell.handle_timeout(now);
        }
    }

    /// Hands a packet to the state machine that it is for; false if it was dropped.
    fn handle_packet(&self, from: SocketAddr, packet: &[u8]) -> bool {
        let now = self.clock.now();
        if let Some(shell) = &mut *self.shell.borrow_mut() {
            if let Ok((Room::Configuration, body)) = open(packet) {
                return shell.handle_packet(now, from, body).is_ok();
            }
        }
        self.view.borrow_mut().handle_packet(now, from, packet).is_ok()
    }

    /// Waits until the old process has let go of the address; `None` if this one ends before that.
    async fn take_over(&self) -> Option<UdpSocket> {
        while !self.ended.get() {
            if let Ok(socket) = UdpSocket::bind(self.config.listen).await {
                return Some(socket);
            }
            sleep(BIND_EVERY).await;
        }
        None
    }

    /// True if there may be more to read.
    fn read_some(&self, socket: &UdpSocket) -> bool {
        let mut packet = [0; DATAGRAM_MOST + 1];
        for _ in 0..READ_AT_ONCE {
            let Ok((length, from)) = socket.try_recv_from(&mut packet) else { return false };
            let taken = self.handle_packet(from, &packet[..length]);
            self.driver.tally().count(if taken { Count::PeerPacket } else { Count::PeerPacketDropped });
        }
        true
    }

    fn write_all(&self, socket: &UdpSocket, allowance: &mut Allowance) {
        let (view, shell) = (&mut *self.view.borrow_mut(), &mut *self.shell.borrow_mut());
        let mut next =
            || view.poll_packet().or_else(|| shell.as_mut().and_then(ConfigurationShell::poll_packet));
        while let Some((to, packet)) = next() {
            // What is not sent is lost, as any datagram may be; everything in it is said again.
            if allowance.take(std::time::Instant::now()).is_some() && socket.try_send_to(&packet, to).is_ok()
            {
                self.driver.tally().count(Count::PeerPacketSent);
            }
        }
    }

    /// Hands on what the view has told: to the log, to the configuration who is there, and to the module how many agents
    /// share the servers. Puts in force what has come.
    fn tell(&self) {
        let (view, shell) = (&mut *self.view.borrow_mut(), &mut *self.shell.borrow_mut());
        let now = self.clock.now();
        while let Some(event) = view.poll_event() {
            log_event(&event);
            if let (Some(shell), Event::Member(change, who)) = (shell.as_mut(), &event) {
                shell.member(*change, who);
            }
        }
        let is_sure = view.is_sure(now);
        if let Some(shell) = shell {
            shell.settle(now, is_sure);
        }
        let number = is_sure.then(|| view.size());
        if self.told.replace(number) != number {
            self.driver.balancers(number.map(|n| n as u32));
        }
    }

    /// This process ends. With `handed_over` another one of this agent goes on with the address, and the fleet hears of its
    /// new life; without, this agent leaves the fleet, and says so.
    pub fn stop(&self, handed_over: bool) {
        if !handed_over {
            self.view.borrow_mut().leave(self.clock.now());
        }
        self.ended.set(true);
        self.wake.notify_one();
    }

    /// Publishes a change of configuration; `None` where those are off.
    pub fn publish(&self, request: &PublishRequest) -> Option<Result<Published, Refusal>> {
        let published = self.shell.borrow_mut().as_mut()?.publish(self.clock.now(), request);
        self.wake.notify_one();
        Some(published)
    }

    /// The configuration, as operators read it; `None` where changes of it are off.
    pub fn describe_configuration(&self) -> Option<Status> {
        Some(self.shell.borrow().as_ref()?.describe(self.clock.now()))
    }

    /// What is in force of the service that this agent follows, if changes of configuration are on and one has come.
    pub fn followed_in_force(&self) -> Option<InForce> {
        self.shell.borrow().as_ref()?.followed_in_force(self.clock.now())
    }

    /// Where other agents reach this one; nothing while another process of this agent holds the address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// What the view comes to, without its members.
    pub fn summary(&self) -> FleetSummary {
        let view = self.view.borrow();
        let (life, digest) = (u64::from(view.me().life), view.digest());
        FleetSummary { life, digest, sure: view.is_sure(self.clock.now()), present: view.size() }
    }

    /// The view, as operators read it.
    pub fn describe(&self) -> serde_json::Value {
        let (view, now) = (self.view.borrow(), self.clock.now());
        let me = view.me();
        let members: Vec<_> = view
            .members(now)
            .into_iter()
            .map(|line| {
                let who = line.identity;
                json!({"number": who.number.0, "name": who.name.as_str(), "life": u64::from(who.life),
                    "state": line.state.word(), "since_ms": line.since.as_millis() as u64})
            })
            .collect();
        json!({"self": {"number": me.number.0, "name": me.name.as_str(), "life": u64::from(me.life)},
            "digest": format!("{:016x}", view.digest()), "sure": view.is_sure(now), "members": members})
    }
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
