//! The other agents: one datagram socket, the one timer of what the agents know of one another, and bounds on packets. It
//! decides nothing; that is `dilljunction_cluster`'s.

use crate::allowance::Allowance;
use crate::driver::Driver;
use crate::fault::Fault;
use crate::hollow::FleetSummary;
use crate::log::log;
use crate::switches::{FleetTable, TrialTable};
use crate::tally::Count;
use dilljunction_cluster::envelope::DATAGRAM_MOST;
use dilljunction_cluster::member::{Life, Name, Number, NAME_MOST};
use dilljunction_cluster::view::{Event, Setup, View};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
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

/// What an agent is told of its peers, checked.
#[derive(Debug, Clone)]
pub struct PeersConfig {
    listen: SocketAddr,
    number: Number,
    name: Name,
    peers: Vec<SocketAddr>,
    seed: u64,
    trial: TrialTable,
    json: bool,
}

/// The words of the configuration that concern peers, unread: where `[fleet]` is off nobody looks at them.
pub struct PeerWords {
    /// `settings.limits.peers`.
    pub allowed: bool,
    /// `settings.slotNo`.
    pub number: Option<u16>,
    /// `name`.
    pub name: String,
    /// `peer_listen`.
    pub listen: Option<serde_json::Value>,
    /// `peers`.
    pub peers: Option<serde_json::Value>,
    /// For random choices.
    pub seed: u64,
}

fn read<T: serde::de::DeserializeOwned>(key: &str, value: Option<serde_json::Value>) -> Result<T, Fault> {
    let value = value.ok_or_else(|| Fault::of_key(key, "is missing, and [fleet] needs it"))?;
    serde_json::from_value(value).map_err(|e| Fault::of_key(key, e.to_string()))
}

impl PeersConfig {
    /// Reads what the platform says of peers.
    pub fn new(
        words: PeerWords,
        fleet: &FleetTable,
        trial: Option<TrialTable>,
    ) -> Result<PeersConfig, Fault> {
        if !words.allowed {
            let reason = "is false: the platform carries no datagrams between agents, and [fleet] needs them";
            return Err(Fault::of_key("settings.limits.peers", reason));
        }
        let listen = read("peer_listen", words.listen)?;
        let peers: Vec<SocketAddr> = read("peers", words.peers)?;
        let number = words.number.ok_or_else(|| {
            Fault::of_key("settings.slotNo", "is missing: [fleet] needs this agent's place among \"peers\"")
        })?;
        let number = Number::try_from(number).map_err(|e| Fault::of_key("settings.slotNo", e.to_string()))?;
        if usize::from(number.0) >= peers.len() {
            let reason = format!(
                "this agent's own address is not among them: its number is {number}, and there are {}",
                peers.len()
            );
            return Err(Fault::of_key("peers", reason));
        }
        let name = Name::new(&words.name).map_err(|_| {
            Fault::of_key("name", format!("is longer than {NAME_MOST} bytes, which [fleet] can't carry"))
        })?;
        let trial = trial.unwrap_or_default();
        let config = PeersConfig { listen, number, name, peers, seed: words.seed, trial, json: fleet.json };
        config.setup(0).check().map_err(|e| Fault::of_key("peers", e.to_string()))?;
        Ok(config)
    }

    /// Whether event lines are JSON.
    pub fn json(&self) -> bool {
        self.json
    }

    fn setup(&self, unix_ms: u64) -> Setup {
        let life = Life::from_unix_ms(unix_ms);
        Setup {
            number: self.number,
            name: self.name.clone(),
            life,
            peers: self.peers.clone(),
            // Agents may have one seed, or none: they must not all ask the same member at the same moment.
            seed: self.seed ^ (u64::from(self.number.0) << 48) ^ unix_ms,
        }
    }
}

/// All of the cluster's time: monotonic, from the start of this process, and for a trial at a wrong rate.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    rate: f64,
    wall_step_ms: i64,
}

impl Clock {
    fn now(&self) -> Duration {
        self.start.elapsed().mul_f64(self.rate)
    }

    fn instant(&self, at: Duration) -> Instant {
        // Rounded up, or a timer would be looked at a moment before it is due, over and over.
        self.start + at.div_f64(self.rate) + Duration::from_micros(1)
    }

    fn unix_ms(&self) -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (unix.as_millis() as u64).saturating_add_signed(self.wall_step_ms)
    }
}

/// The agents as this one knows them.
pub struct Peers {
    config: PeersConfig,
    clock: Clock,
    view: RefCell<View>,
    driver: Driver,
    /// Where it listens, once it does.
    address: Cell<Option<SocketAddr>>,
    told: Cell<Option<usize>>,
    ended: Cell<bool>,
    end: Notify,
}

impl Peers {
    /// Opens the socket and starts. With `inherited` the platform runs two processes of one agent at a time during an
    /// upgrade: then the address may still be the old one's, and is taken when that lets go.
    pub async fn start(
        config: PeersConfig,
        driver: Driver,
        inherited: bool,
    ) -> Result<(Rc<Peers>, impl std::future::Future<Output = ()>), String> {
        let TrialTable { clock_rate, wall_step_ms, .. } = config.trial;
        let clock = Clock { start: Instant::now(), rate: clock_rate, wall_step_ms };
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
        let peers = Rc::new(Peers { config, clock, view, driver, address, told, ended, end: Notify::new() });
        let run = Rc::clone(&peers).run(socket);
        Ok((peers, run))
    }

    async fn run(self: Rc<Self>, socket: Option<UdpSocket>) {
        let socket = match socket {
            Some(socket) => socket,
            None => {
                let Some(socket) = self.take_over().await else { return };
                // This life begins now: until here the fleet has heard the old process.
                if let Ok(view) = View::new(self.config.setup(self.clock.unix_ms()), self.clock.now()) {
                    *self.view.borrow_mut() = view;
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
            let due = self.view.borrow().next_timer().map(|at| self.clock.instant(at));
            tokio::select! {
                () = until(due) => self.view.borrow_mut().handle_timeout(self.clock.now()),
                () = until(resting_until), if resting_until.is_some() => resting_until = None,
                _ = socket.readable(), if resting_until.is_none() => {
                    if self.read_some(&socket) {
                        resting_until = Some(Instant::now() + READ_PAUSE);
                    }
                }
                () = self.end.notified() => {}
            }
            self.write_all(&socket, &mut allowance);
            self.tell();
        }
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
            let taken = self.view.borrow_mut().handle_packet(self.clock.now(), from, &packet[..length]);
            self.driver.tally().count(if taken.is_ok() {
                Count::PeerPacket
            } else {
                Count::PeerPacketDropped
            });
        }
        true
    }

    fn write_all(&self, socket: &UdpSocket, allowance: &mut Allowance) {
        let view = &mut *self.view.borrow_mut();
        while let Some((to, packet)) = view.poll_packet() {
            // What is not sent is lost, as any datagram may be; everything in it is said again.
            if allowance.take(std::time::Instant::now()).is_some() && socket.try_send_to(&packet, to).is_ok()
            {
                self.driver.tally().count(Count::PeerPacketSent);
            }
        }
    }

    /// Hands on what the view has told: to the log, and to the module how many agents share the servers.
    fn tell(&self) {
        let view = &mut *self.view.borrow_mut();
        while let Some(event) = view.poll_event() {
            log_event(&event);
        }
        let number = view.is_sure(self.clock.now()).then(|| view.size());
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
        self.end.notify_one();
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

fn log_event(event: &Event) {
    match event {
        Event::Member(change, who) => {
            let (number, life, name) = (who.number.0, u64::from(who.life), who.name.as_str());
            tracing::info!(target: "fleet", event = change.word(), number, life, name);
        }
        Event::Sure(true) => tracing::info!(target: "fleet", event = "sure"),
        Event::Sure(false) => tracing::warn!(target: "fleet", event = "unsure"),
        Event::WentAbove { known, life } => {
            let (known, life) = (u64::from(*known), u64::from(*life));
            tracing::warn!(target: "fleet", event = "went-above", known, life);
        }
        Event::CalledGone => tracing::warn!(target: "fleet", event = "called-gone"),
        Event::Yielded { to } => tracing::error!(target: "fleet", event = "yielded", to = u64::from(*to)),
        Event::Late(by) => tracing::warn!(target: "fleet", event = "late", ms = by.as_millis() as u64),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn agents_without_a_seed_of_their_own_draw_differently() {
        let of = |number: u16, unix_ms| {
            let words = PeerWords {
                allowed: true,
                number: Some(number),
                name: "n".into(),
                listen: Some(json!("127.0.0.1:0")),
                peers: Some(json!(["127.0.0.1:1", "127.0.0.1:2"])),
                seed: 0,
            };
            PeersConfig::new(words, &FleetTable::default(), None).unwrap().setup(unix_ms).seed
        };
        assert!(of(0, 1) != of(1, 1) && of(0, 1) != of(0, 2));
    }
}
