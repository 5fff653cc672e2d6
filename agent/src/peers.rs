//! Communication with the other agents: one UDP socket, one timer for the membership view and the
//! configuration, and limits on packets. All decisions are made by `dilljunction_cluster`.

mod clock;
pub mod config;
pub mod configuration;
mod events;

use self::clock::Clock;
use self::config::PeersConfig;
use self::configuration::{ConfigurationNode, Refusal};
use self::events::log_event;
use crate::admin_client::configuration::{InForce, PublishRequest, Published, Status};
use crate::configuration::Target;
use crate::driver::Driver;
use crate::features::TrialTable;
use crate::hollow::FleetSummary;
use crate::log::log;
use crate::metrics::Count;
use crate::rate_limiter::RateLimiter;
use dilljunction_cluster::envelope::{open, Channel, DATAGRAM_MAX};
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

/// Burst of packets that may be sent, and the sustained rate per second. A member of a converged fleet sends
/// about ten a second whatever the fleet's size; starts, healed partitions and the queries of newcomers need
/// the rest.
const SEND_BURST: f64 = 400.0;
const SEND_PER_SECOND: f64 = 400.0;
/// Packets that are read in one batch, and the pause after a full batch: during a flood of garbage the
/// clients' requests have the core in between.
const READ_BATCH: usize = 32;
const READ_PAUSE: Duration = Duration::from_millis(1);
/// How often a new process tries to bind the address that the old one still holds.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// This agent's link to the other agents of its fleet.
pub struct Peers {
    config: PeersConfig,
    clock: Clock,
    view: RefCell<View>,
    /// Configuration changes, where they are enabled.
    node: RefCell<Option<ConfigurationNode>>,
    target: Rc<dyn Target>,
    driver: Driver,
    /// The local address, once it listens.
    address: Cell<Option<SocketAddr>>,
    reported_size: Cell<Option<usize>>,
    stopped: Cell<bool>,
    /// Wakes the main loop for work other than packets and timers.
    wake: Notify,
}

impl Peers {
    /// Opens the socket and starts. With `inherited` the platform runs two processes of one agent at a time
    /// during an upgrade: the old process may still hold the address, and it is bound once that releases it.
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
        let (view, reported_size, stopped) = (RefCell::new(view), Cell::new(None), Cell::new(false));
        let address = Cell::new(socket.as_ref().and_then(|socket| socket.local_addr().ok()));
        let (node, wake) = (RefCell::new(None), Notify::new());
        let peers =
            Peers { config, clock, view, node, target, driver, address, reported_size, stopped, wake };
        let peers = Rc::new(peers);
        peers.start_configuration();
        let run = Rc::clone(&peers).run(socket);
        Ok((peers, run))
    }

    /// Starts receiving and publishing configuration changes, with an empty store.
    fn start_configuration(&self) {
        let (number, now) = (self.config.number, self.clock.now());
        let seed = self.config.setup(self.clock.unix_ms()).seed;
        let node = self
            .config
            .configuration
            .clone()
            .map(|config| ConfigurationNode::new(config, number, seed, Rc::clone(&self.target), now));
        *self.node.borrow_mut() = node;
    }

    async fn run(self: Rc<Self>, socket: Option<UdpSocket>) {
        let socket = match socket {
            Some(socket) => socket,
            None => {
                let Some(socket) = self.bind_when_free().await else { return };
                // The generation begins now: until here the fleet communicated with the old process.
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
        let mut rate_limiter = RateLimiter::new(SEND_BURST, SEND_PER_SECOND, std::time::Instant::now());
        let mut paused_until = None;
        while !self.stopped.get() {
            let next_timer_at = self.next_timer().map(|at| self.clock.instant(at));
            tokio::select! {
                () = until(next_timer_at) => self.handle_timeout(),
                () = until(paused_until), if paused_until.is_some() => paused_until = None,
                _ = socket.readable(), if paused_until.is_none() => {
                    if self.read_some(&socket) {
                        paused_until = Some(Instant::now() + READ_PAUSE);
                    }
                }
                () = self.wake.notified() => {}
            }
            // Membership events come first: the configuration depends on who is present.
            self.dispatch_events();
            self.write_all(&socket, &mut rate_limiter);
        }
    }

    fn next_timer(&self) -> Option<Duration> {
        let of_node = self.node.borrow().as_ref().and_then(ConfigurationNode::next_timer);
        [self.view.borrow().next_timer(), of_node].into_iter().flatten().min()
    }

    fn handle_timeout(&self) {
        let now = self.clock.now();
        self.view.borrow_mut().handle_timeout(now);
        if let Some(node) = &mut *self.node.borrow_mut() {
            node.handle_timeout(now);
        }
    }

    /// Passes a packet to the state machine of its channel; false if it was dropped.
    fn handle_packet(&self, from: SocketAddr, packet: &[u8]) -> bool {
        let now = self.clock.now();
        if let Some(node) = &mut *self.node.borrow_mut() {
            if let Ok((Channel::Configuration, body)) = open(packet) {
                return node.handle_packet(now, from, body).is_ok();
            }
        }
        self.view.borrow_mut().handle_packet(now, from, packet).is_ok()
    }

    /// Waits until the old process has released the address; `None` if this process ends before that.
    async fn bind_when_free(&self) -> Option<UdpSocket> {
        while !self.stopped.get() {
            if let Ok(socket) = UdpSocket::bind(self.config.listen).await {
                return Some(socket);
            }
            sleep(BIND_INTERVAL).await;
        }
        None
    }

    /// Reads one batch; true if there may be more to read.
    fn read_some(&self, socket: &UdpSocket) -> bool {
        let mut packet = [0; DATAGRAM_MAX + 1];
        for _ in 0..READ_BATCH {
            let Ok((length, from)) = socket.try_recv_from(&mut packet) else { return false };
            let taken = self.handle_packet(from, &packet[..length]);
            self.driver.metrics().count(if taken { Count::PeerPacket } else { Count::PeerPacketDropped });
        }
        true
    }

    fn write_all(&self, socket: &UdpSocket, rate_limiter: &mut RateLimiter) {
        let (view, node) = (&mut *self.view.borrow_mut(), &mut *self.node.borrow_mut());
        let mut next =
            || view.poll_packet().or_else(|| node.as_mut().and_then(ConfigurationNode::poll_packet));
        while let Some((to, packet)) = next() {
            // A packet that is not sent is lost, as any datagram may be; all of its content is sent again
            // later.
            if rate_limiter.take(std::time::Instant::now()).is_some()
                && socket.try_send_to(&packet, to).is_ok()
            {
                self.driver.metrics().count(Count::PeerPacketSent);
            }
        }
    }

    /// Dispatches the view's events: to the log, to the configuration (who is present), and to the decision
    /// module (how many agents share the servers). Applies received configuration.
    fn dispatch_events(&self) {
        let (view, node) = (&mut *self.view.borrow_mut(), &mut *self.node.borrow_mut());
        let now = self.clock.now();
        while let Some(event) = view.poll_event() {
            log_event(&event);
            if let (Some(node), Event::Member(change, identity)) = (node.as_mut(), &event) {
                node.on_member_change(*change, identity);
            }
        }
        let is_converged = view.is_converged(now);
        if let Some(node) = node {
            node.process_events(now, is_converged);
        }
        let size = is_converged.then(|| view.size());
        if self.reported_size.replace(size) != size {
            self.driver.set_agent_count(size.map(|n| n as u32));
        }
    }

    /// Shuts down. With `handed_over` another process of this agent takes over the address, and the fleet
    /// learns of its new generation; otherwise this agent announces that it leaves the fleet.
    pub fn shut_down(&self, handed_over: bool) {
        if !handed_over {
            self.view.borrow_mut().leave(self.clock.now());
        }
        self.stopped.set(true);
        self.wake.notify_one();
    }

    /// Publishes a configuration change; `None` where those are disabled.
    pub fn publish(&self, request: &PublishRequest) -> Option<Result<Published, Refusal>> {
        let published = self.node.borrow_mut().as_mut()?.publish(self.clock.now(), request);
        self.wake.notify_one();
        Some(published)
    }

    /// The state of the configuration for the admin API; `None` where changes of it are disabled.
    pub fn describe_configuration(&self) -> Option<Status> {
        Some(self.node.borrow().as_ref()?.describe(self.clock.now()))
    }

    /// The version in force of the service that this agent follows, if configuration changes are enabled and
    /// one has arrived.
    pub fn followed_in_force(&self) -> Option<InForce> {
        self.node.borrow().as_ref()?.followed_in_force(self.clock.now())
    }

    /// The address at which other agents reach this one; `None` while another process of this agent holds it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// A summary of the view, without its members.
    pub fn summary(&self) -> FleetSummary {
        let view = self.view.borrow();
        let (generation, digest) = (u64::from(view.me().generation), view.digest());
        FleetSummary {
            generation,
            digest,
            converged: view.is_converged(self.clock.now()),
            present: view.size(),
        }
    }

    /// The view for the admin API.
    pub fn describe(&self) -> serde_json::Value {
        let (view, now) = (self.view.borrow(), self.clock.now());
        let me = view.me();
        let members: Vec<_> = view
            .members(now)
            .into_iter()
            .map(|entry| {
                let identity = entry.identity;
                json!({"number": identity.number.0, "name": identity.name.as_str(),
                    "life": u64::from(identity.generation),
                    "state": entry.state.name(), "since_ms": entry.since.as_millis() as u64})
            })
            .collect();
        json!({"self": {"number": me.number.0, "name": me.name.as_str(), "life": u64::from(me.generation)},
            "digest": format!("{:016x}", view.digest()), "sure": view.is_converged(now), "members": members})
    }
}

/// Waits until an instant; for ever if there is none.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
