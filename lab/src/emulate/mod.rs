//! A world in virtual time: the lab's model of a booking server, its clients, links, lists and faults round the real
//! decision module, for sizes that no machine here can start as programs. Read from the same files and judged by the same
//! code as a run on sockets, and the same for the same seed on every machine.
//!
//! What it is for: what many agents do together (thousands of them, a minute of traffic in seconds), and the same history
//! again after a change. What it is not for: sockets, parsing, memory, CPU; those are the real program's. What it leaves
//! out of it: the agent's cap on connections, what the agent learns of early closes by servers, an empty answer to a
//! watch that has nothing to tell, and bandwidth of a line that several messages share.
//!
//! ```
//! use dilljunction_lab::{emulate, world::World};
//!
//! let mut world = World::find("calm").expect("shipped");
//! (world.agents, world.seconds) = (40, 2.0);
//! let one = emulate::run(&world, |_| {});
//! assert!(one.verdict.kept(), "{:?}", one.verdict);
//! assert_eq!(one.service.whole.got, emulate::run(&world, |_| {}).service.whole.got);
//! ```

mod agent;
mod faults;
mod server;

use crate::clock::At;
use crate::judge::checker::{judge, Verdict};
use crate::judge::evidence::{AgentIndex, Effect, End, Evidence, ServerIndex, Try, Word};
use crate::judge::service::{count, Service};
use crate::standins::booking::Point;
use crate::standins::link::Direction;
use crate::standins::office::{Arrivals, Client, Plan};
use crate::world::{agents, World};
use agent::Agent;
use ryelead::{Outcome, Reason, RequestId, ServerId, Settings, Span, Time, TimerId};
use server::Server;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

/// Between two programs of one machine or building, one way.
const NEAR: Duration = Duration::from_micros(50);
/// A connect that nobody answers has failed after this, as the lab configures real agents.
const CONNECT_WAIT: Duration = Duration::from_millis(250);
/// How long a client listens on after its give-up, as on sockets.
const LISTEN_ON: Duration = Duration::from_millis(400);
/// After the last client has its answer the world stands this long.
const SETTLE: Duration = Duration::from_millis(400);
/// After a link is whole again, what was stuck in it takes this long to come through.
const HEAL: Duration = Duration::from_millis(300);
/// How often agents look after connections that rest.
const RETIRE_EVERY: Duration = Duration::from_millis(500);
/// A request and an answer on the line, for faults that count bytes.
const REQUEST_BYTES: u64 = 300;
const ANSWER_BYTES: u64 = 220;
/// The module's clock at the beginning of the world, in microseconds: far enough from zero for old starts.
const EPOCH: u64 = 1_000_000_000;

fn module_time(at: At) -> Time {
    Time(EPOCH + at.0)
}

/// What came of an emulated run.
pub struct Emulated {
    /// Everything that was written down.
    pub evidence: Evidence,
    /// What the checker found.
    pub verdict: Verdict,
    /// The service.
    pub service: Service,
    /// How often which reason ended requests, by second and reason.
    pub given_up: BTreeMap<(u64, Reason), u64>,
    /// Figures of the whole run.
    pub totals: Totals,
}

/// Figures of a whole run.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct Totals {
    /// Tries of clients.
    pub tries: u64,
    /// Attempts that agents sent.
    pub attempts: u64,
    /// Probes that agents sent.
    pub probes: u64,
    /// Connections opened to servers.
    pub handshakes: u64,
    /// The most connections that one server held.
    pub connections_most: usize,
    /// Events that were handled.
    pub events: u64,
}

impl Emulated {
    /// How often each reason ended requests, over the whole run.
    pub fn reasons(&self) -> BTreeMap<Reason, u64> {
        let mut sums = BTreeMap::new();
        for ((_, reason), n) in &self.given_up {
            *sums.entry(*reason).or_default() += n;
        }
        sums
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// The next first try is due.
    Arrival,
    /// A client's try is due.
    Due(usize),
    /// A client's patience is over, or it leaves early.
    Over { client: usize, number: u32, end: End },
    /// An answer of its agent reaches a client.
    Answered { client: usize, number: u32, end: End },
    /// Something happens at an agent, in one of its lives.
    Agent(AgentIndex, u32, AgentEvent),
    /// A message reaches a server.
    Request(usize),
    /// Something happens in a server by itself.
    Turn(ServerIndex, u64),
    /// The list says something of a server from now on, unless that has begun another life.
    Listed(ServerIndex, Word, u32),
    /// A fault begins or ends at its target.
    Fault { fault: usize, target: Option<usize>, begins: bool },
    /// Agents look after their connections.
    Retire,
}

#[derive(Debug, Clone)]
enum AgentEvent {
    /// A client's request has come, whole.
    Take {
        client: usize,
    },
    /// Its client has gone.
    ClientGone(RequestId),
    /// No answer can reach the client any more.
    Deadline(RequestId),
    Timer(TimerId),
    Connected(usize),
    /// An attempt or a probe has ended without a word of its server.
    Failed(usize, Outcome),
    /// What a server has said of an attempt or a probe, with its report.
    Ended(usize, Outcome, Option<Vec<f64>>),
    /// The time of an attempt or a probe is over.
    Timeout(usize),
    /// The list may have something to tell.
    News,
    /// A call to the list has failed.
    ListFailed,
}

/// How far an attempt or a probe has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    Out,
    Over,
}

/// An attempt or a probe.
#[derive(Debug, Clone)]
struct Flight {
    agent: AgentIndex,
    agent_life: u32,
    server: ServerIndex,
    /// The request, the number of its attempt and its client; `None` for a probe.
    attempt: Option<(RequestId, u32, usize)>,
    sent: At,
    stage: Stage,
    connection: Connection,
    /// The agent has given it up with a reset: what has not arrived never will.
    taken_back: bool,
    /// Its number in the truth log.
    serial: Option<u64>,
    /// Where it will break.
    breaks: Option<Point>,
}

/// A connection as both its ends see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Connection {
    /// Counts the server's deaths: one from before leads nowhere.
    epoch: u32,
    /// Counts what the agent takes for lives of the server.
    life: u64,
    /// The server has room for it.
    welcome: bool,
    /// When its last answer had come.
    since: At,
}

/// One client and its present try.
struct Guest {
    client: Client,
    first: usize,
    class: usize,
    office: usize,
    agent: AgentIndex,
    key: Option<String>,
    call: String,
    sent: Option<At>,
    /// The agent's name for it, once it has been taken.
    request: Option<RequestId>,
    open: bool,
}

struct Link {
    /// Which two buildings.
    between: (usize, usize),
    cut_out: bool,
    cut_back: bool,
    latency: Duration,
    jitter: Duration,
    bandwidth: Option<f64>,
    cut_after: Option<(Direction, u64)>,
    stuck: Vec<(Direction, Event)>,
}

impl Link {
    fn is_cut(&self, direction: Direction) -> bool {
        match direction {
            Direction::Out => self.cut_out,
            Direction::Back => self.cut_back,
        }
    }
}

/// The list.
#[derive(Debug, Clone, Default)]
struct Registry {
    rev: u64,
    /// What is said of each server, since which version, and when its life began.
    entries: Vec<(Word, u64, Option<At>)>,
}

struct Emulation<'a> {
    world: &'a World,
    plan: Plan,
    settings: Vec<Settings>,
    now: At,
    queue: BinaryHeap<Reverse<(At, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    next: u64,
    random: fastrand::Rng,
    arrivals: Arrivals,
    floods: Vec<f64>,
    patience: f64,
    guests: Vec<Guest>,
    under_way: usize,
    names: usize,
    agents: Vec<Agent>,
    servers: Vec<Server>,
    /// The building of each server.
    buildings: Vec<usize>,
    links: Vec<Link>,
    /// Which link leads from one building to another.
    between: Vec<Vec<Option<usize>>>,
    registry: Registry,
    flights: Vec<Flight>,
    /// When a key took effect last, by class and building, if its repeats are dropped within one.
    repeats: HashMap<(usize, Option<usize>, String), At>,
    evidence: Evidence,
    given_up: BTreeMap<(u64, Reason), u64>,
    totals: Totals,
}

/// Plays a world to its end. `progress` is told the virtual time of every second.
pub fn run(world: &World, mut progress: impl FnMut(At)) -> Emulated {
    let mut emulation = Emulation::new(world);
    emulation.start();
    let mut told = At(0);
    let mut over: Option<At> = None;
    while let Some(Reverse((at, _, place))) = emulation.queue.pop() {
        let Some(event) = emulation.events[place].take() else { continue };
        emulation.free.push(place);
        emulation.now = at;
        if over.is_some_and(|end| at > end) {
            break;
        }
        if at.since(told) >= Duration::from_secs(1) {
            told = at;
            progress(at);
        }
        emulation.totals.events += 1;
        emulation.handle(event);
        if at > emulation.plan.until && emulation.under_way == 0 && over.is_none() {
            over = Some(at.plus(SETTLE));
        }
    }
    emulation.finish()
}

impl<'a> Emulation<'a> {
    fn new(world: &'a World) -> Self {
        let plan = world.plan(At::from_secs(world.seconds));
        let buildings: Vec<usize> = world.servers().into_iter().map(|s| s.1).collect();
        let mut random = fastrand::Rng::with_seed(world.seed);
        let servers = buildings.iter().map(|_| Server::new(world.server, random.u64(..))).collect();
        let mut links = Vec::new();
        let count = world.building.len();
        let mut between = vec![vec![None; count]; count];
        for a in 0..count {
            for b in a + 1..count {
                between[a][b] = Some(links.len());
                between[b][a] = Some(links.len());
                let latency = Duration::from_secs_f64(world.between_ms / 1e3);
                let (jitter, bandwidth, cut_after, stuck) = (Duration::ZERO, None, None, Vec::new());
                let (cut_out, cut_back) = (false, false);
                let between = (a, b);
                links.push(Link { between, cut_out, cut_back, latency, jitter, bandwidth, cut_after, stuck });
            }
        }
        let settings: Vec<Settings> = (0..count).map(|zone| settings_of(world, zone)).collect();
        let agents = (0..world.agents).map(|n| Agent::new(&settings[n % count], random.u64(..))).collect();
        let entries = buildings.iter().map(|_| (Word::Serving(0), 1, None)).collect();
        Emulation {
            patience: fastrand::Rng::with_seed(world.seed).f64(),
            arrivals: Arrivals::from(&plan, At(0)),
            floods: vec![1.0; plan.offices.len()],
            world,
            plan,
            settings,
            now: At(0),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            next: 0,
            random,
            guests: Vec::new(),
            under_way: 0,
            names: 0,
            agents,
            servers,
            buildings,
            links,
            between,
            registry: Registry { rev: 1, entries },
            flights: Vec::new(),
            repeats: HashMap::new(),
            evidence: Evidence::default(),
            given_up: BTreeMap::new(),
            totals: Totals::default(),
        }
    }

    fn start(&mut self) {
        for server in 0..self.servers.len() {
            self.write_life(server);
        }
        for agent in 0..self.agents.len() {
            self.start_agent(agent);
        }
        self.schedule_faults();
        self.after(RETIRE_EVERY, Event::Retire);
        self.draw_arrival();
    }

    fn at(&mut self, at: At, event: Event) {
        let place = self.free.pop().unwrap_or(self.events.len());
        if place == self.events.len() {
            self.events.push(None);
        }
        self.events[place] = Some(event);
        self.next += 1;
        self.queue.push(Reverse((at.max(self.now), self.next, place)));
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now.plus(wait), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Due(guest) => self.send_try(guest),
            Event::Over { client, number, end } | Event::Answered { client, number, end } => {
                self.end_try(client, number, end);
            }
            Event::Agent(agent, life, event) => self.at_agent(agent, life, event),
            Event::Request(flight) => self.reach_server(flight),
            Event::Turn(server, version) => self.turn(server, version),
            Event::Listed(server, word, life) => {
                if self.servers[server].life == life {
                    self.list_now(server, word);
                }
            }
            Event::Fault { fault, target, begins } => self.fault(fault, target, begins),
            Event::Retire => {
                for agent in 0..self.agents.len() {
                    self.retire(agent);
                }
                self.after(RETIRE_EVERY, Event::Retire);
            }
        }
    }

    // ---- clients ------------------------------------------------------------------------------------

    fn draw_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next(&self.plan, &self.floods) {
            let facts = &self.plan.classes[arrival.class].0;
            let client = Client::new(self.plan.habits, facts, arrival.due, self.patience, arrival.seed);
            let first = self.guests.len();
            let keyed = matches!(facts.effect, Effect::Keyed(..));
            self.guests.push(Guest {
                client,
                first,
                class: arrival.class,
                office: arrival.office,
                agent: arrival.agent,
                key: keyed.then(|| format!("key-{first}")),
                call: String::new(),
                sent: None,
                request: None,
                open: false,
            });
            self.at(arrival.due, Event::Arrival);
        }
    }

    fn arrive(&mut self) {
        let guest = self.guests.len() - 1;
        self.under_way += 1;
        self.send_try(guest);
        self.draw_arrival();
    }

    fn send_try(&mut self, place: usize) {
        let now = self.now;
        self.totals.tries += 1;
        let guest = &mut self.guests[place];
        guest.call = format!("c{}", self.names);
        self.names += 1;
        (guest.request, guest.open) = (None, true);
        let leaves = guest.client.leaves();
        let (agent, number, give_up) = (guest.agent, guest.client.number, guest.client.give_up);
        if self.agents[agent].is_down {
            guest.sent = None;
            self.after(NEAR, Event::Answered { client: place, number, end: End::Unsent });
            return;
        }
        guest.sent = Some(now);
        let life = self.agents[agent].life;
        self.after(NEAR, Event::Agent(agent, life, AgentEvent::Take { client: place }));
        let (at, end) = match leaves {
            Some(at) if at < give_up => (at, End::Left),
            _ => (give_up.plus(LISTEN_ON), End::Silent),
        };
        self.at(at, Event::Over { client: place, number, end });
    }

    fn end_try(&mut self, place: usize, number: u32, end: End) {
        let (now, guest) = (self.now, &mut self.guests[place]);
        if !guest.open || guest.client.number != number {
            return;
        }
        guest.open = false;
        let gone = matches!(end, End::Left | End::Silent).then_some(guest.request).flatten();
        self.evidence.tries.push(Try {
            began: None,
            bytes: 0,
            call: std::mem::take(&mut guest.call),
            first: guest.first,
            number,
            class: guest.class,
            office: guest.office,
            agent: guest.agent,
            key: guest.key.clone(),
            due: guest.client.due,
            sent: guest.sent,
            resent: None,
            give_up: guest.client.give_up,
            end: end.clone(),
            ended: now,
        });
        let agent = guest.agent;
        if guest.client.comes_again(&end, now) {
            let due = guest.client.due;
            self.at(due, Event::Due(place));
        } else {
            self.under_way -= 1;
        }
        if let Some(request) = gone {
            let life = self.agents[agent].life;
            self.after(NEAR, Event::Agent(agent, life, AgentEvent::ClientGone(request)));
        }
    }

    // ---- links --------------------------------------------------------------------------------------

    /// The link between an agent and a server, if they stand in two buildings.
    fn link(&self, agent: AgentIndex, server: ServerIndex) -> Option<usize> {
        self.between[agent % self.world.building.len()][self.buildings[server]]
    }

    /// How long a message takes between an agent and a server.
    fn way(&mut self, agent: AgentIndex, server: ServerIndex, bytes: u64) -> Duration {
        match self.link(agent, server) {
            None => NEAR,
            Some(link) => {
                let link = &self.links[link];
                let narrow = link.bandwidth.map_or(0.0, |bandwidth| bytes as f64 / bandwidth.max(1.0));
                link.latency + link.jitter.mul_f64(self.random.f64()) + Duration::from_secs_f64(narrow)
            }
        }
    }

    /// True if a message gets through now; if not it waits in the link.
    fn passes(&mut self, flight: usize, direction: Direction, bytes: u64, event: &Event) -> bool {
        let Flight { agent, server, .. } = self.flights[flight];
        let Some(link) = self.link(agent, server) else { return true };
        let link = &mut self.links[link];
        if let Some((which, left)) = &mut link.cut_after {
            if *which == direction {
                *left = left.saturating_sub(bytes);
                if *left == 0 {
                    link.cut_after = None;
                    (link.cut_out, link.cut_back) = (true, true);
                }
            }
        }
        let cut = link.is_cut(direction);
        if cut {
            link.stuck.push((direction, event.clone()));
        }
        !cut
    }

    fn finish(self) -> Emulated {
        let rules = self.world.rules();
        let (verdict, service) = (judge(&self.evidence, &rules), count(&self.evidence, &self.world.terms()));
        let Emulation { evidence, given_up, totals, .. } = self;
        Emulated { evidence, verdict, service, given_up, totals }
    }
}

/// The settings of an agent in a building, read from what a real one would be started with.
fn settings_of(world: &World, zone: usize) -> Settings {
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let config = agents::config(world, zone, nowhere, None, 0, &[]);
    let file: ryelead_settings::SettingsFile =
        serde_json::from_value(config["settings"].clone()).unwrap_or_default();
    file.settings()
}

fn span(time: Duration) -> Span {
    Span(time.as_micros() as u64)
}

fn server_id(server: ServerIndex) -> ServerId {
    ServerId(server as u32)
}
