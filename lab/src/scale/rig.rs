//! A large fleet on its feet: real agents and hosts of hollow ones, with the switch between them.

use crate::clock::Clock;
use crate::fleet::evidence::{Entry, Evidence};
use crate::fleet::flaw::{Broken, Flaw, BROKEN};
use crate::fleet::plan::{Act, Clocks, Plan};
use crate::fleet::process::{Ground, Process, ANY};
use crate::fleet::switch::Switch;
use crate::fleet::topology::Topology;
use crate::judge::evidence::{Book as ListBook, Word};
use crate::scale::book::Book;
use crate::scale::host::{Host, HostFault};
use crate::scale::measure::{Meter, Window};
use crate::scale::needs::{Needs, NoRoom, Room, AGENTS_A_HOST};
use crate::scale::schedule;
use crate::scale::share::{Bounds, Share};
use crate::scale::watch::{watch_host, watch_real, Eyes};
use crate::standins::discovery::{Entry as Listed, Registry, View};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Servers on the list that every agent watches; nobody calls them.
pub const SERVERS: usize = 100;
/// A fleet file that switches the view on and nothing else.
pub const VIEW_ONLY: &str = "[fleet]\njson = true\n";
/// How often it is looked whether the fleet has settled.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How long all must be one and true before a schedule ends early.
const HOLD: Duration = Duration::from_secs(2);
/// How long the first settling may take, for each hundred members, and at least.
const SETTLE_A_HUNDRED: Duration = Duration::from_secs(10);
const SETTLE_LEAST: Duration = Duration::from_secs(60);

/// What a run is.
#[derive(Debug, Clone)]
pub struct Setup {
    /// What goes wrong, and how many members there are.
    pub plan: Plan,
    /// Members that are processes of the agent's program.
    pub real: usize,
    /// The agent's program.
    pub agent: PathBuf,
    /// The program that hosts hollow agents.
    pub host: PathBuf,
    /// Files and logs.
    pub folder: PathBuf,
    /// What is wrong with the one that is broken on purpose.
    pub flaw: Option<Flaw>,
    /// How far the rig may go.
    pub bounds: Bounds,
    /// What the agents are switched on: the text of their fleet file.
    pub fleet_file: String,
}

/// Why there is no run.
#[derive(Debug, thiserror::Error)]
pub enum RigFault {
    /// The machine has no room for it.
    #[error("{0}")]
    NoRoom(#[from] NoRoom),
    /// A host of hollow agents fails.
    #[error("{0}")]
    Host(#[from] HostFault),
    /// A real agent, the switch or discovery fails, or the schedule can't be played.
    #[error("{0}")]
    Other(String),
    /// The members have not settled on one view.
    #[error("{agreeing} of {running} agents knew of all {running} after {:.0} s", within.as_secs_f64())]
    Unsettled {
        /// Agents whose view has as many members as run.
        agreeing: usize,
        /// Agents that run.
        running: usize,
        /// How long that was waited for.
        within: Duration,
    },
}

impl From<String> for RigFault {
    fn from(reason: String) -> RigFault {
        RigFault::Other(reason)
    }
}

/// Where a member runs.
pub(crate) enum Seat {
    /// In a process of its own, if it runs.
    Real(Option<Box<Process>>),
    /// In this host.
    Hollow {
        /// The host, by its place.
        host: usize,
        /// Whether it runs.
        runs: bool,
    },
}

/// A large fleet on its feet.
pub struct Rig {
    pub(crate) setup: Setup,
    pub(crate) ground: Ground,
    pub(crate) switch: Arc<Switch>,
    pub(crate) hosts: Vec<Arc<Host>>,
    pub(crate) seats: Vec<Seat>,
    pub(crate) eyes: Arc<Eyes>,
    starts: Vec<usize>,
    _discovery: View,
    watching: JoinSet<()>,
}

/// Which members are real: evenly among all, and the one that may be broken among them.
fn real_members(members: usize, real: usize) -> Vec<usize> {
    let mut numbers: Vec<usize> = (0..real).map(|i| (BROKEN + i * members / real) % members).collect();
    numbers.sort_unstable();
    numbers
}

impl Rig {
    /// Starts switch, discovery and hosts; no agent yet.
    pub async fn new(setup: Setup) -> Result<Rig, RigFault> {
        schedule::check(&setup.plan)?;
        let (members, seed) = (setup.plan.agents, setup.plan.seed);
        Needs::of(members, setup.real)?.check(Room::of_this_machine())?;
        std::fs::create_dir_all(&setup.folder).map_err(|e| format!("{}: {e}", setup.folder.display()))?;
        let fleet_file = setup.folder.join("fleet.toml");
        std::fs::write(&fleet_file, &setup.fleet_file)
            .map_err(|e| format!("{}: {e}", fleet_file.display()))?;
        let switch = Arc::new(Switch::start(members, seed, setup.flaw).await?);
        switch.net().topology = Some(Topology::new(members));
        let discovery = discovery().await.map_err(|e| format!("discovery: {e}"))?;
        let ground = Ground {
            program: setup.agent.clone(),
            fleet_file,
            folder: setup.folder.clone(),
            peers: switch.addresses()?,
            knows: setup.plan.knows,
            discovery: discovery.address(),
            seed,
        };
        let mut seats: Vec<Seat> = (0..members).map(|_| Seat::Hollow { host: 0, runs: false }).collect();
        real_members(members, setup.real).into_iter().for_each(|m| seats[m] = Seat::Real(None));
        let mut hosts = Vec::new();
        for (place, seat) in seats.iter_mut().filter(|seat| matches!(seat, Seat::Hollow { .. })).enumerate() {
            let host = place / AGENTS_A_HOST;
            if host == hosts.len() {
                let log = setup.folder.join(format!("host-{host}.log"));
                hosts.push(Arc::new(Host::start(&setup.host, &log)?));
            }
            *seat = Seat::Hollow { host, runs: false };
        }
        let eyes = Arc::new(Eyes::new(Book::new(members), members));
        let starts = vec![0; members];
        let mut rig = Rig {
            setup,
            ground,
            switch,
            hosts,
            seats,
            eyes,
            starts,
            _discovery: discovery,
            watching: JoinSet::new(),
        };
        rig.watch();
        Ok(rig)
    }

    /// Begins to read what the agents say.
    fn watch(&mut self) {
        for (place, host) in self.hosts.iter().enumerate() {
            let in_host = |seat: &Seat| matches!(seat, Seat::Hollow { host, .. } if *host == place);
            let members = self.seats.iter().enumerate().filter(|(_, seat)| in_host(seat)).map(|(m, _)| m);
            self.watching.spawn(watch_host(Arc::clone(&self.eyes), Arc::clone(host), members.collect()));
        }
        for (member, seat) in self.seats.iter().enumerate() {
            if matches!(seat, Seat::Real(_)) {
                self.watching.spawn(watch_real(Arc::clone(&self.eyes), Arc::clone(&self.switch), member));
            }
        }
    }

    /// Starts all agents, each host's one after the other and the hosts side by side.
    pub async fn start_all(&mut self) -> Result<(), RigFault> {
        let mut starting = JoinSet::new();
        for (place, host) in self.hosts.iter().enumerate() {
            let in_host = |seat: &Seat| matches!(seat, Seat::Hollow { host, .. } if *host == place);
            let members: Vec<usize> = (0..self.seats.len()).filter(|m| in_host(&self.seats[*m])).collect();
            let (host, fleet) = (Arc::clone(host), self.fleet());
            starting.spawn(async move {
                for member in members {
                    fleet.start_hollow(&host, member, 0).await?;
                }
                Ok::<_, HostFault>(())
            });
        }
        for member in 0..self.seats.len() {
            match &mut self.seats[member] {
                Seat::Hollow { runs, .. } => (*runs, self.starts[member]) = (true, 1),
                Seat::Real(_) => self.start(member).await?,
            }
        }
        while let Some(ended) = starting.join_next().await {
            ended.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// What it takes to start a hollow agent.
    fn fleet(&self) -> Fleet {
        Fleet {
            ground: self.ground.clone(),
            switches: self.setup.fleet_file.clone(),
            switch: Arc::clone(&self.switch),
            eyes: Arc::clone(&self.eyes),
        }
    }

    /// Starts an agent that does not run.
    pub(crate) async fn start(&mut self, member: usize) -> Result<(), RigFault> {
        let (starts, fleet) = (self.starts[member], self.fleet());
        self.starts[member] += 1;
        match &mut self.seats[member] {
            Seat::Hollow { runs: true, .. } | Seat::Real(Some(_)) => {}
            Seat::Hollow { host, runs } => {
                fleet.start_hollow(&self.hosts[*host], member, starts).await?;
                *runs = true;
            }
            Seat::Real(process) => {
                self.switch.broken(member, Broken::starts);
                let started =
                    Process::start(&self.ground, member, starts, Clocks::default(), None, None).await?;
                let at =
                    started.peers_at.ok_or_else(|| format!("agent {member} has no address for peers"))?;
                self.switch.place(member, at);
                self.eyes.book().started(member, started.admin);
                *process = Some(Box::new(started));
            }
        }
        Ok(())
    }

    pub(crate) async fn kill(&mut self, member: usize) -> Result<(), RigFault> {
        match &mut self.seats[member] {
            Seat::Hollow { runs: false, .. } | Seat::Real(None) => return Ok(()),
            Seat::Hollow { host, runs } => {
                self.eyes.book().ending(member);
                self.hosts[*host].kill_agent(member).await?;
                *runs = false;
            }
            Seat::Real(process) => {
                self.eyes.book().ending(member);
                if let Some(mut process) = process.take() {
                    process.kill().await;
                }
            }
        }
        self.eyes.book().write(Entry::Ended(member));
        Ok(())
    }

    /// Carries out a step.
    async fn act(&mut self, act: Act) -> Result<(), RigFault> {
        match act {
            Act::Begin(i) => {
                let fault = self.setup.plan.fault[i].clone();
                self.eyes.book().write(Entry::Began(i, fault.kind));
                let now = self.switch.now();
                let again = self.switch.net().begin(i, &fault, now);
                self.switch.send(again);
            }
            Act::End(i) => {
                self.switch.net().end(i);
                self.eyes.book().write(Entry::Over(i, self.setup.plan.fault[i].kind));
            }
            Act::Kill(member) => self.kill(member).await?,
            Act::Start(member, _) => self.start(member).await?,
            // The check of the schedule lets none of these through.
            Act::Terminate(_) | Act::Stop(_) | Act::Continue(_) | Act::Upgrade(_) => {}
        }
        Ok(())
    }

    /// Waits until all have settled on one view; how long that took.
    pub async fn settle(&mut self) -> Result<Duration, RigFault> {
        let within = SETTLE_LEAST.max(SETTLE_A_HUNDRED * self.seats.len().div_ceil(100) as u32);
        let begin = Instant::now();
        while begin.elapsed() < within {
            if self.eyes.book().is_settled() {
                return Ok(begin.elapsed());
            }
            self.look()?;
            sleep(LOOK_EVERY).await;
        }
        let (agreeing, running) = self.eyes.book().agreeing();
        Err(RigFault::Unsettled { agreeing, running, within })
    }

    /// Looks for agents that have ended by themselves or send too much, and for hosts that are of no use any more.
    fn look(&mut self) -> Result<(), RigFault> {
        if let Some(fault) = self.eyes.take_fault() {
            return Err(fault.into());
        }
        let flooding = std::mem::take(&mut self.switch.net().flooding);
        flooding.into_iter().for_each(|member| self.eyes.book().write(Entry::Flooded(member)));
        for (member, seat) in self.seats.iter_mut().enumerate() {
            let Seat::Real(process) = seat else { continue };
            if process.as_mut().is_some_and(|process| process.has_ended()) {
                *process = None;
                self.eyes.book().ending(member);
                self.eyes.book().write(Entry::Crashed(member));
            }
        }
        Ok(())
    }

    /// Nobody reads views from now on, or all do again.
    pub async fn rest(&self, rest: bool) {
        self.eyes.rest(rest).await;
    }

    /// Measures for so long, while nothing goes wrong.
    pub async fn measure(&mut self, length: Duration) -> Result<Window, RigFault> {
        let meter = Meter::start(self).await?;
        sleep(length).await;
        let window = meter.stop(self).await;
        self.look()?;
        window
    }

    /// Plays the schedule on a fleet that has settled; what the rig took of the machine meanwhile.
    pub async fn play(&mut self) -> Result<Share, RigFault> {
        let meter = Meter::start(self).await?;
        let begin = Instant::now();
        for (at, act) in self.setup.plan.steps() {
            while begin.elapsed().as_secs_f64() < at {
                sleep(LOOK_EVERY.min(Duration::from_secs_f64(at).saturating_sub(begin.elapsed()))).await;
                self.look()?;
            }
            self.act(act).await?;
        }
        let end = Instant::now() + Duration::from_secs_f64(self.setup.plan.settles_within()) + HOLD;
        let mut since: Option<Instant> = None;
        while Instant::now() < end && since.is_none_or(|since| since.elapsed() < HOLD) {
            sleep(LOOK_EVERY).await;
            self.look()?;
            since = if self.eyes.book().is_settled() { since.or(Some(Instant::now())) } else { None };
        }
        Ok(meter.stop(self).await?.rig)
    }

    /// Ends all agents; what was written down of them.
    pub fn end(mut self) -> Evidence {
        self.watching.abort_all();
        self.eyes.book().take_evidence()
    }
}

/// What hollow agents are started with, whichever host they run in.
struct Fleet {
    ground: Ground,
    switches: String,
    switch: Arc<Switch>,
    eyes: Arc<Eyes>,
}

impl Fleet {
    async fn start_hollow(&self, host: &Host, member: usize, starts: usize) -> Result<(), HostFault> {
        let config = self.ground.configuration(member, starts, ANY, ANY);
        let (peers_at, admin) = host.start_agent(member, config, &self.switches).await?;
        self.switch.place(member, peers_at);
        self.eyes.book().started(member, admin);
        Ok(())
    }
}

/// The list that every agent watches.
async fn discovery() -> std::io::Result<View> {
    let registry = Registry::default();
    let mut endpoints = HashMap::new();
    for server in 0..SERVERS {
        let (uid, building) = (format!("s{server}"), "a".to_string());
        registry.set(Listed { server, uid, building, word: Word::Serving(0), boot_ms: 0 });
        endpoints.insert(server, SocketAddr::from(([127, 1, 0, 1], 1 + server as u16)));
    }
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    View::start(0, registry, endpoints, listen, Clock::start(), ListBook::default()).await
}
