//! A world on its feet: servers, lists, links and agents are started, faults happen in their time, offices send, and what
//! everybody wrote down is judged.

use crate::clock::{At, Clock};
use crate::fleet::switch::Switch;
use crate::judge::checker::{judge, Verdict};
use crate::judge::evidence::{Book, Evidence, Word};
use crate::judge::service::{count, Service};
use crate::standins::booking::{self, Booking, Look, Repeats, Work};
use crate::standins::discovery::{told_at_start, Entry, Registry, View};
use crate::standins::link::Links;
use crate::standins::office::{watch_lag, Offices};
use crate::standins::rude;
use crate::world::agents::{self, Agent, Setup, Subject, Usage};
use crate::world::inject::{usual, FaultInjector};
use crate::world::{Fault, World};
use ryelead::AnswerCloseReason;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How often the world is looked at.
pub const FRAME: Duration = Duration::from_millis(500);
/// What is still on its way when the last client has its answer has come by then.
const SETTLE: Duration = Duration::from_millis(400);
/// Agents that are started at once.
const STARTING_MOST: usize = 16;
/// Beyond these the lab ran late, and gives no figure.
const LATE_P99: Duration = Duration::from_millis(25);
const LATE_MOST: Duration = Duration::from_millis(150);

/// The world at a moment.
#[derive(Debug, Clone)]
pub struct Frame {
    /// Seconds since first tries began.
    pub at: f64,
    /// Tries that have ended, by how.
    pub counts: HashMap<&'static str, u64>,
    /// Tries under way.
    pub under_way: usize,
    /// The servers.
    pub servers: Vec<Look>,
    /// The agents that are processes.
    pub agents: Vec<Option<Usage>>,
    /// The faults that hold.
    pub faults: Vec<String>,
}

/// What came of a run.
pub struct Outcome {
    /// The world as it was run.
    pub world: World,
    /// Everything that was written down, with times from the first tries on.
    pub evidence: Evidence,
    /// What the checker found.
    pub verdict: Verdict,
    /// The service.
    pub service: Service,
    /// The world every half second.
    pub frames: Vec<Frame>,
    /// Agents that ended by themselves.
    pub crashed: Vec<usize>,
    /// How long processes that were started again after a shutdown took to be ready.
    pub ready_after: Vec<Duration>,
    /// Lines of the agents' logs in which one says that it broke a rule or has panicked.
    pub complaints: Vec<String>,
    /// The lab itself ran late: rules are judged with that much slack, and figures mean nothing.
    pub late: bool,
}

impl Outcome {
    /// True if every rule was kept and no agent crashed.
    pub fn passed(&self) -> bool {
        self.verdict.kept() && self.crashed.is_empty() && self.complaints.is_empty()
    }
}

/// A world that stands: servers, lists, links and agents, without offices.
pub struct Stage {
    /// The world.
    pub world: World,
    clock: Clock,
    book: Book,
    registry: Registry,
    bookings: Vec<Booking>,
    views: Vec<View>,
    links: Links,
    agents: Vec<Arc<AsyncMutex<Agent>>>,
    addresses: Vec<SocketAddr>,
    active: Arc<Mutex<Vec<String>>>,
    restarting: Arc<AtomicUsize>,
    /// Agents of which a new process did not come to take clients.
    failed: Arc<Mutex<Vec<usize>>>,
    /// How long processes that were started again took to be ready.
    ready_after: Arc<Mutex<Vec<Duration>>>,
    seed: Arc<Mutex<fastrand::Rng>>,
    tasks: JoinSet<()>,
    folder: Folder,
    /// What carries datagrams between agents, where they keep a view, and their addresses there.
    switch: Option<Arc<Switch>>,
    peers: Arc<Vec<SocketAddr>>,
}

/// A folder of this run, removed at its end.
struct Folder(PathBuf);

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

impl Folder {
    fn new() -> Result<Folder, String> {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("dilljunction-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }

    /// Copies all logs to another folder.
    fn copy_logs(&self, to: &Path) -> Result<(), String> {
        let named = |e: std::io::Error| format!("{}: {e}", to.display());
        std::fs::create_dir_all(to).map_err(named)?;
        for entry in std::fs::read_dir(&self.0).map_err(named)? {
            let from = entry.map_err(named)?.path();
            let name = from.file_name().filter(|_| from.extension().is_some_and(|e| e == "log"));
            if let Some(name) = name {
                std::fs::copy(&from, to.join(name)).map_err(named)?;
            }
        }
        Ok(())
    }

    /// What agents have said of broken rules and panics, the first of each log.
    fn complaints(&self) -> Vec<String> {
        let logs = std::fs::read_dir(&self.0).into_iter().flatten().flatten().map(|entry| entry.path());
        let logs = logs.filter(|path| path.extension().is_some_and(|e| e == "log"));
        let complaint = |line: &&str| {
            line.contains("violation: ") || line.contains("panicked") || !closes_for_a_reason(line)
        };
        let of = |path: PathBuf| {
            let text = std::fs::read(&path).ok()?;
            let text = String::from_utf8_lossy(&text);
            let line = text.lines().find(complaint)?;
            Some(format!("{}: {line}", path.file_stem()?.to_string_lossy()))
        };
        let mut found: Vec<String> = logs.filter_map(of).collect();
        found.sort();
        found
    }
}

/// False for a line that tells of an answer whose connection was closed for a reason that is not on the closed list, or
/// because its server was silent: no fault of a world is longer than the silences that the platform's pages name.
fn closes_for_a_reason(line: &str) -> bool {
    let Some((_, rest)) = line.split_once(r#""message":"answer closed""#) else { return true };
    let reason = rest.split_once(r#""reason":""#).and_then(|(_, rest)| rest.split('"').next());
    let reason = reason.and_then(AnswerCloseReason::from_name);
    reason.is_some_and(|reason| reason != AnswerCloseReason::ServerSilent)
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Stage {
    /// Starts everything but the offices.
    pub async fn set(world: World, subject: Subject) -> Result<Stage, String> {
        let failed = |what: &str| {
            let what = what.to_string();
            move |e: std::io::Error| format!("{what}: {e}")
        };
        let (clock, book, registry) = (Clock::start(), Book::default(), Registry::default());
        let folder = Folder::new()?;
        let mut random = fastrand::Rng::with_seed(world.seed);
        let any: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        let all = Repeats::default();
        let buildings: Vec<Repeats> = world.building.iter().map(|_| Repeats::default()).collect();
        let classes: Vec<Work> = world
            .class
            .iter()
            .zip(world.class_facts())
            .map(|(c, facts)| Work { name: c.name.clone(), effect: facts.effect, work_ms: c.work_ms })
            .collect();
        let mut bookings = Vec::new();
        for (index, (name, building)) in world.servers().into_iter().enumerate() {
            let setup = booking::Setup {
                index,
                name: name.clone(),
                figures: world.server,
                classes: classes.clone(),
                repeats: (buildings[building].clone(), all.clone()),
                seed: random.u64(..),
                cold: false,
                listen: any,
            };
            let started = Booking::start(setup, clock, book.clone(), None).await.map_err(failed(&name))?;
            let building = world.building[building].name.clone();
            registry.set(Entry { server: index, uid: name, building, word: Word::Serving(0), boot_ms: 0 });
            bookings.push(started);
        }
        let links = Links::default();
        let mut views = Vec::new();
        for agent in 0..world.agents {
            let home = agent % world.building.len();
            let mut endpoints = HashMap::new();
            for (index, (_, building)) in world.servers().iter().enumerate() {
                let target = bookings[index].address();
                let endpoint = if *building == home {
                    target
                } else {
                    let link = links.named(&link_name(&world, home, *building), world.seed);
                    link.set(usual(&world));
                    link.relay(target, clock).await.map_err(failed("a link"))?
                };
                endpoints.insert(index, endpoint);
            }
            let view = View::start(agent, registry.clone(), endpoints, any, clock, book.clone()).await;
            views.push(view.map_err(failed("discovery"))?);
        }
        let switch = if world.view && matches!(subject, Subject::Program(..)) {
            Some(Arc::new(Switch::start(world.agents, world.seed, None).await?))
        } else {
            None
        };
        let peers = Arc::new(switch.as_ref().map_or(Ok(Vec::new()), |s| s.addresses())?);
        let mut stage = Stage {
            switch,
            peers,
            clock,
            book,
            registry,
            bookings,
            views,
            links,
            agents: Vec::new(),
            addresses: Vec::new(),
            active: Arc::default(),
            restarting: Arc::default(),
            failed: Arc::default(),
            ready_after: Arc::default(),
            seed: Arc::new(Mutex::new(random)),
            tasks: JoinSet::new(),
            folder,
            world,
        };
        stage.start_agents(subject).await?;
        Ok(stage)
    }

    async fn start_agents(&mut self, subject: Subject) -> Result<(), String> {
        let mut starting = JoinSet::new();
        let mut started: Vec<Option<Agent>> = (0..self.world.agents).map(|_| None).collect();
        for index in 0..self.world.agents {
            let config = self.config(index);
            let held = self.world.is_operated(index);
            let folder = self.folder.0.clone();
            let machine = self.world.machine_faults(index);
            let setup = Setup { index, subject: subject.clone(), config, folder, held, machine };
            while starting.len() >= STARTING_MOST {
                settle(&mut starting, &mut started).await?;
            }
            starting.spawn(async move {
                let agent = Agent::start(setup, None).await?;
                agent.ready().await?;
                Ok::<_, String>((index, agent))
            });
        }
        while !starting.is_empty() {
            settle(&mut starting, &mut started).await?;
        }
        for (index, agent) in started.into_iter().flatten().enumerate() {
            self.addresses.push(agent.address);
            if let Some((switch, at)) = self.switch.as_ref().zip(agent.peers_at) {
                switch.place(index, at);
            }
            self.agents.push(Arc::new(AsyncMutex::new(agent)));
        }
        Ok(())
    }

    /// What an agent is told when it starts now, and the note that it was told.
    fn config(&self, index: usize) -> serde_json::Value {
        let view = &self.views[index];
        let seed = self.seed.lock().unwrap_or_else(PoisonError::into_inner).u64(..);
        let known = self.world.known.then(|| {
            let servers: Vec<_> = (0..self.bookings.len()).map(|s| (s, self.registry.word(s))).collect();
            let told = told_at_start(index, &servers, self.clock.now());
            self.book.open().told.extend(told);
            self.registry.known(view.endpoints())
        });
        agents::config(&self.world, index, view.address(), known.as_deref(), seed, &self.peers)
    }

    /// Names and addresses of everything, for people and other programs.
    pub fn directory(&self) -> serde_json::Value {
        let servers: Vec<_> = self
            .bookings
            .iter()
            .map(|b| serde_json::json!({"name": b.name(), "address": b.address().to_string()}))
            .collect();
        let agents: Vec<_> = self
            .addresses
            .iter()
            .zip(&self.views)
            .enumerate()
            .map(|(n, (address, view))| {
                serde_json::json!({"name": format!("agent-{n}"), "address": address.to_string(),
                    "discovery": view.address().to_string(),
                    "building": self.world.building[n % self.world.building.len()].name})
            })
            .collect();
        let links: Vec<_> = self.links.matching(|_| true).into_iter().map(|(name, _)| name).collect();
        let classes: Vec<_> = self.world.class.iter().map(|c| c.name.as_str()).collect();
        serde_json::json!({"world": self.world.name, "servers": servers, "agents": agents, "links": links,
            "classes": classes})
    }

    /// Lets the faults of the world happen, and stays for good.
    pub async fn stay(mut self) {
        let zero = self.clock.now();
        self.begin_faults(zero, None);
        std::future::pending().await
    }

    /// Lets the faults happen, counted from `zero`.
    pub fn begin_faults(&mut self, zero: At, offices: Option<&Offices>) {
        let faults = self.world.fault.clone();
        for fault in faults {
            let targets = self.targets(&fault);
            for (n, target) in targets.into_iter().enumerate() {
                let from = zero.plus(Duration::from_secs_f64(fault.at + fault.stagger * n as f64));
                let to = fault.lasts.map(|lasts| from.plus(Duration::from_secs_f64(lasts)));
                let injector = FaultInjector {
                    world: self.world.clone(),
                    clock: self.clock,
                    book: self.book.clone(),
                    registry: self.registry.clone(),
                    booking: target.server.map(|s| self.bookings[s].clone()),
                    agent: target.agent.map(|a| (a, Arc::clone(&self.agents[a]), self.views[a].clone())),
                    links: self.links.clone(),
                    offices: offices.cloned(),
                    restarting: Arc::clone(&self.restarting),
                    failed: Arc::clone(&self.failed),
                    ready_after: Arc::clone(&self.ready_after),
                    seed: Arc::clone(&self.seed),
                    switch: self.switch.clone(),
                    peers: Arc::clone(&self.peers),
                    fault: fault.clone(),
                };
                let (active, label) = (Arc::clone(&self.active), fault.label());
                // One line for a fault of many, for as long as the first of them holds.
                let shown = n == 0;
                self.tasks.spawn(async move {
                    injector.clock.until(from).await;
                    if shown {
                        active.lock().unwrap_or_else(PoisonError::into_inner).push(label.clone());
                    }
                    injector.begin(to).await;
                    if let Some(to) = to {
                        injector.clock.until(to).await;
                        injector.end().await;
                    }
                    if shown && (to.is_some() || injector.fault.kind.is_moment()) {
                        let mut active = active.lock().unwrap_or_else(PoisonError::into_inner);
                        if let Some(place) = active.iter().position(|l| *l == label) {
                            active.remove(place);
                        }
                    }
                });
            }
        }
    }

    fn targets(&self, fault: &Fault) -> Vec<Target> {
        let none = Target { server: None, agent: None };
        match fault.kind {
            kind if kind.is_of_agents() => {
                let agents = self.world.agents_named(&fault.agents);
                agents.into_iter().map(|a| Target { agent: Some(a), ..none }).collect()
            }
            _ if !fault.servers.is_empty() => {
                let servers = self.world.servers_named(&fault.servers);
                servers.into_iter().map(|s| Target { server: Some(s), ..none }).collect()
            }
            _ => vec![none],
        }
    }

    async fn frame(&self, zero: At, offices: &Offices) -> Frame {
        let mut usages = Vec::new();
        for agent in &self.agents {
            // One that is being started again has no figures.
            usages.push(match agent.try_lock() {
                Ok(mut agent) => {
                    agent.kill_late().await;
                    agent.usage()
                }
                Err(_) => None,
            });
        }
        Frame {
            at: self.clock.now().since(zero).as_secs_f64(),
            counts: offices.counts(),
            under_way: offices.under_way(),
            servers: self.bookings.iter().map(Booking::look).collect(),
            agents: usages,
            faults: self.active.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }
}

#[derive(Clone, Copy)]
struct Target {
    server: Option<usize>,
    agent: Option<usize>,
}

async fn settle(
    starting: &mut JoinSet<Result<(usize, Agent), String>>,
    started: &mut [Option<Agent>],
) -> Result<(), String> {
    match starting.join_next().await {
        Some(Ok(Ok((index, agent)))) => started[index] = Some(agent),
        Some(Ok(Err(fault))) => return Err(fault),
        Some(Err(fault)) => return Err(fault.to_string()),
        None => {}
    }
    Ok(())
}

fn link_name(world: &World, a: usize, b: usize) -> String {
    let (a, b) = (a.min(b), a.max(b));
    format!("{}~{}", world.building[a].name, world.building[b].name)
}

/// Runs a world, and again while the lab itself ran late: a machine that was too busy says nothing of the agents. The last
/// of `most` runs stands whatever it was.
pub async fn run_on_time(world: World, subject: Subject, most: usize) -> Result<Outcome, String> {
    let mut outcome = run(world.clone(), subject.clone(), |_, _| {}).await?;
    for _ in 1..most {
        if !outcome.late {
            break;
        }
        outcome = run(world.clone(), subject.clone(), |_, _| {}).await?;
    }
    Ok(outcome)
}

/// Runs a world with its offices to its end. `live` is shown the world every half second.
pub async fn run(
    world: World,
    subject: Subject,
    mut live: impl FnMut(&World, &Frame),
) -> Result<Outcome, String> {
    let mut stage = Stage::set(world, subject).await?;
    let world = stage.world.clone();
    let zero = stage.clock.now();
    let plan = world.plan(zero.plus(Duration::from_secs_f64(world.seconds)));
    let offices = Offices::new(plan, stage.addresses.clone(), stage.clock, stage.book.clone());
    stage.tasks.spawn(watch_lag(stage.clock, stage.book.clone()));
    for (agent, address) in stage.addresses.iter().enumerate() {
        for n in 0..world.rude_clients {
            let seed = world.seed ^ ((agent * world.rude_clients + n) as u64);
            stage.tasks.spawn(rude::run(agent, *address, stage.clock, stage.book.clone(), seed));
        }
    }
    stage.begin_faults(zero, Some(&offices));
    let mut sending = tokio::spawn(offices.clone().run());
    let mut frames = Vec::new();
    loop {
        tokio::select! {
            ended = &mut sending => {
                ended.map_err(|e| format!("the offices have failed: {e}"))?;
                break;
            }
            () = sleep(FRAME) => {
                let frame = stage.frame(zero, &offices).await;
                live(&world, &frame);
                frames.push(frame);
            }
        }
    }
    sleep(SETTLE).await;
    let mut crashed = Vec::new();
    for (index, agent) in stage.agents.iter().enumerate() {
        // One that is being started again at the end is not looked at.
        if let Ok(mut agent) = agent.try_lock() {
            if agent.has_crashed() {
                crashed.push(index);
            }
            agent.kill().await;
        }
    }
    stage.tasks.abort_all();
    crashed.extend(stage.failed.lock().unwrap_or_else(PoisonError::into_inner).drain(..));
    let ready_after = std::mem::take(&mut *stage.ready_after.lock().unwrap_or_else(PoisonError::into_inner));
    let complaints = stage.folder.complaints();
    if let Some(kept) = &world.keep_logs {
        stage.folder.copy_logs(kept)?;
    }
    let evidence = std::mem::take(&mut *stage.book.open()).since(zero);
    let late = evidence.lag_p99 > LATE_P99 || evidence.lag_most > LATE_MOST;
    let (verdict, service) = (judge(&evidence, &world.rules()), count(&evidence, &world.terms()));
    Ok(Outcome { world, evidence, verdict, service, frames, crashed, ready_after, complaints, late })
}
