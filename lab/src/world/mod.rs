//! Worlds as files: who is there, what is asked for, and what goes wrong when. Every file is checked; a fault in one names
//! file, key and reason.

pub mod agents;
pub mod alone;
pub mod broken;
mod inject;
pub mod platform;
pub mod proofs;
pub mod run;

use crate::clock::At;
use crate::judge::checker::Rules;
use crate::judge::evidence::{ClassFacts, Effect, Group};
use crate::judge::service::Terms;
use crate::standins::booking::{Figures, Point, Reports};
use crate::standins::discovery::Ailment;
use crate::standins::link::Direction;
use crate::standins::office::{Habits, Office, Plan};
use crate::world::agents::Upgrade;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The worlds that come with the lab.
pub const SHIPPED: [(&str, &str); 11] = [
    ("tour", include_str!("../../worlds/tour.toml")),
    ("calm", include_str!("../../worlds/calm.toml")),
    ("flood", include_str!("../../worlds/flood.toml")),
    ("hearing-lists", include_str!("../../worlds/hearing-lists.toml")),
    ("building-cut", include_str!("../../worlds/building-cut.toml")),
    ("restart-storm", include_str!("../../worlds/restart-storm.toml")),
    ("rolling-drain", include_str!("../../worlds/rolling-drain.toml")),
    ("everything", include_str!("../../worlds/everything.toml")),
    ("upgrade", include_str!("../../worlds/upgrade.toml")),
    ("drain-agent", include_str!("../../worlds/drain-agent.toml")),
    ("garbage", include_str!("../../worlds/garbage.toml")),
];

/// The largest world file, in bytes.
const FILE_MOST: u64 = 1024 * 1024;
const SERVERS_MOST: usize = 2000;
const AGENTS_MOST: usize = 2000;

/// A world.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// What it shows, in a line.
    pub about: String,
    /// How long first tries come, in seconds.
    pub seconds: f64,
    /// For all random numbers.
    #[serde(default = "one")]
    pub seed: u64,
    /// First tries a second, of all offices together.
    pub rate: f64,
    /// How many agents there are; they stand in the buildings in turn.
    pub agents: usize,
    /// How much more the first agents carry than the last: each this many times the next one's part. 1 for equal parts.
    #[serde(default = "skew")]
    pub skew: f64,
    /// Whether agents are told the list at their start.
    #[serde(default = "yes")]
    pub known: bool,
    /// How many agents the configuration says that there are, right or wrong; as many as there are if left out.
    #[serde(default)]
    pub told: Option<u32>,
    /// Whether agents keep a view of the fleet and learn from it how many they are; the emulator takes it for settled.
    #[serde(default)]
    pub view: bool,
    /// How late the list is, in seconds: what happens to a server stands in it after this.
    #[serde(default = "list_late")]
    pub list_late: f64,
    /// Latency between buildings, one way, in milliseconds.
    #[serde(default = "between")]
    pub between_ms: f64,
    /// The limits of each agent.
    #[serde(default)]
    pub limits: Limits,
    /// The buildings.
    pub building: Vec<Building>,
    /// The figures of every server.
    #[serde(default)]
    pub server: Figures,
    /// What is asked for; the users' three classes if there is none.
    #[serde(default = "classes")]
    pub class: Vec<Class>,
    /// Who asks; the users' offices if there is none.
    #[serde(default = "offices")]
    pub office: Vec<OfficeShare>,
    /// What clients are like.
    #[serde(default)]
    pub clients: Habits,
    /// Whether lists are pushed to the agents' machines; otherwise agents ask for them.
    #[serde(default)]
    pub pushed: bool,
    /// Clients that stop in the middle of a request, write several at once, or rest until they are closed: so many at once at
    /// each agent.
    #[serde(default)]
    pub rude_clients: usize,
    /// System calls that fail and wall clocks that step under agents.
    #[serde(default)]
    pub machine: Vec<Machine>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// Where the agents' logs are kept when the run is over, if they are.
    #[serde(skip)]
    pub keep_logs: Option<PathBuf>,
}

/// What the machine does to some agents, from each start of theirs on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Which agents, by name; `*` stands for any text.
    pub agents: Vec<String>,
    /// What goes wrong, in the words of the preloaded library (`lab/preload`).
    pub faults: String,
}

/// A building and its servers, which are named after it: `marabella-1` and so on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Building {
    /// Its name.
    pub name: String,
    /// How many servers stand in it.
    pub servers: usize,
}

/// The limits of an agent.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 64 }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// The least and the most work, in milliseconds of a warm core.
    pub work_ms: (f64, f64),
    /// An answer after this is worth nothing, in milliseconds.
    pub wanted_ms: f64,
    /// No client waits longer, in milliseconds.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: EffectName,
    /// For `keyed`: who drops repeats, `all` or `zone`.
    pub group: Option<Group>,
    /// For `keyed`: for how long, in milliseconds.
    pub window_ms: Option<f64>,
}

/// What a class allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EffectName {
    /// May be repeated.
    Safe,
    /// May be repeated where its key is known.
    Keyed,
    /// Must not be repeated.
    Unsafe,
}

/// An office and its part of the traffic.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OfficeShare {
    /// Its name.
    pub name: String,
    /// Its share.
    pub share: f64,
}

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Servers work `factor` times slower.
    Slow,
    /// Servers take requests and do nothing about them.
    Hang,
    /// Servers die; after `for` seconds they come back cold, and are gone from the list meanwhile.
    Crash,
    /// Servers stop and start again cold at once.
    Restart,
    /// Servers are listed as draining; after `for` seconds they come back cold.
    Drain,
    /// Servers pause for `latency_ms` twice within each answer.
    Pause,
    /// `odds` of the servers' requests break at `point`.
    Break,
    /// Each of the servers crashes whole when its next request comes to `point`, and comes back cold after `for` seconds.
    CrashAt,
    /// Load reports are spoilt: `reports`.
    Reports,
    /// Idle connections to servers are closed after `idle_ms`, without a word if `silently`.
    Idle,
    /// A building is cut off from the others, without a word.
    Cut,
    /// One direction of a building's links passes nothing: `direction`.
    HalfOpen,
    /// A building's links are cut once `bytes` more have gone in a `direction`.
    CutAfter,
    /// A building's connections are reset.
    Reset,
    /// A building's links take `latency_ms` with `jitter_ms` more, and carry `kib_s` for each connection.
    Line,
    /// An office sends `factor` times its usual traffic.
    Flood,
    /// The agents' discovery fails: `list`.
    List,
    /// The agents' discovery answers `latency_ms` late.
    ListLate,
    /// The agents' discovery writes its answers slowly: the head `latency_ms` late, and then `bytes` at a time, each piece
    /// `jitter_ms` after the one before.
    ListPace,
    /// The agents' discovery moves, and they are told by SIGHUP.
    ListMoves,
    /// Agents are killed and started again after `for` seconds.
    Kill,
    /// Agents are told to end (SIGTERM), killed when the platform may kill them, or `kill_ms` after the signal, and started again
    /// `for` seconds after they have ended.
    Stop,
    /// Agents are stopped in the middle of whatever they do, and go on after `for` seconds.
    Stall,
    /// A new process of an agent comes beside the old one, again `every` so many seconds for `for` seconds; `new` says how.
    Upgrade,
    /// Operators send the agents' clients away, and want them back after `for` seconds.
    DrainAgent,
    /// Garbage comes to the agents at the address for other agents, `factor` packets a second.
    Garbage,
}

/// Something that goes wrong.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds; to the end if it is left out.
    #[serde(rename = "for")]
    pub lasts: Option<f64>,
    /// What it is.
    pub kind: Kind,
    /// Which servers, by name; `*` stands for any text.
    #[serde(default)]
    pub servers: Vec<String>,
    /// Which building.
    pub building: Option<String>,
    /// Which office.
    pub office: Option<String>,
    /// Which agents, by name (`agent-0` and so on); `*` stands for any text.
    #[serde(default)]
    pub agents: Vec<String>,
    /// How many times slower, or more.
    pub factor: Option<f64>,
    /// The part of all requests, 0 to 1.
    pub odds: Option<f64>,
    /// Where a request breaks.
    pub point: Option<Point>,
    /// How reports are spoilt.
    pub reports: Option<Reports>,
    /// How discovery fails.
    pub list: Option<Ailment>,
    /// One way, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Up to this much more.
    pub jitter_ms: Option<f64>,
    /// KiB a second.
    pub kib_s: Option<f64>,
    /// Bytes.
    pub bytes: Option<u64>,
    /// Which way.
    pub direction: Option<Direction>,
    /// How long connections may rest, in milliseconds.
    pub idle_ms: Option<f64>,
    /// Whether they close without a word.
    #[serde(default)]
    pub silently: bool,
    /// How a new process goes.
    pub new: Option<Upgrade>,
    /// How soon after the signal a process that was told to end is killed, in milliseconds.
    pub kill_ms: Option<f64>,
    /// How often it happens again, in seconds.
    pub every: Option<f64>,
    /// How long each of several servers waits for the one before, in seconds: a rolling fault.
    #[serde(default)]
    pub stagger: f64,
}

impl Kind {
    /// Whether it happens to agents.
    fn is_of_agents(self) -> bool {
        use Kind::*;
        matches!(
            self,
            List | ListLate | ListPace | ListMoves | Kill | Stop | Stall | Upgrade | DrainAgent | Garbage
        )
    }
}

impl Fault {
    /// A few words for pictures and the live view.
    pub fn label(&self) -> String {
        let kind = serde_name(self.kind);
        let whom = self.servers.iter().chain(&self.agents).chain(&self.building).chain(&self.office);
        let whom: Vec<&str> = whom.map(String::as_str).collect();
        let much = self.factor.map_or(String::new(), |f| format!(" x{f}"));
        format!("{kind} {}{much}", whom.join(",")).trim().to_string()
    }
}

fn serde_name(kind: Kind) -> String {
    let mut name = String::new();
    for (n, c) in format!("{kind:?}").chars().enumerate() {
        if c.is_uppercase() && n > 0 {
            name.push('-');
        }
        name.extend(c.to_lowercase());
    }
    name
}

fn one() -> u64 {
    1
}
fn skew() -> f64 {
    1.5
}
fn yes() -> bool {
    true
}
fn list_late() -> f64 {
    1.0
}
fn between() -> f64 {
    0.6
}

fn classes() -> Vec<Class> {
    let class =
        |name: &str, share, work_ms, wanted_ms, deadline_ms, worth, keyed: Option<(Group, f64)>| Class {
            name: name.into(),
            share,
            work_ms,
            wanted_ms,
            deadline_ms,
            worth,
            effect: if keyed.is_some() { EffectName::Keyed } else { EffectName::Safe },
            group: keyed.map(|k| k.0),
            window_ms: keyed.map(|k| k.1),
        };
    vec![
        class("read-schedule", 0.43, (25.0, 45.0), 200.0, 400.0, 1.0, None),
        class("assign-session", 0.31, (45.0, 81.0), 400.0, 1000.0, 3.0, Some((Group::Zone, 1000.0))),
        class("log-session", 0.26, (67.0, 120.0), 500.0, 1500.0, 10.0, Some((Group::All, 7500.0))),
    ]
}

fn offices() -> Vec<OfficeShare> {
    let shares = [
        ("south-courts", 0.19),
        ("family-court", 0.16),
        ("legal-aid", 0.16),
        ("port-authority", 0.14),
        ("city-council", 0.13),
        ("health-board", 0.11),
        ("immigration-desk", 0.05),
        ("school-board", 0.03),
        ("small-firms", 0.03),
    ];
    shares.iter().map(|(name, share)| OfficeShare { name: (*name).into(), share: *share }).collect()
}

/// True if a name fits a pattern in which `*` stands for any text.
pub fn fits(pattern: &str, name: &str) -> bool {
    match pattern.split_once('*') {
        None => pattern == name,
        Some((start, rest)) => name.strip_prefix(start).is_some_and(|left| {
            (0..=left.len()).filter(|&n| left.is_char_boundary(n)).any(|n| fits(rest, &left[n..]))
        }),
    }
}

impl World {
    /// A shipped world by its name, or a file.
    pub fn find(name: &str) -> Result<World, String> {
        if let Some((name, text)) = SHIPPED.iter().find(|(shipped, _)| *shipped == name) {
            return World::parse(text, name);
        }
        let path = Path::new(name);
        if !path.exists() {
            let names: Vec<&str> = SHIPPED.iter().map(|s| s.0).collect();
            return Err(format!("{name}: no such file, and no world of the lab ({})", names.join(", ")));
        }
        let length = std::fs::metadata(path).map_err(|e| format!("{name}: cannot be read: {e}"))?.len();
        if length > FILE_MOST {
            return Err(format!("{name}: is larger than {FILE_MOST} bytes"));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
        World::parse(&text, name)
    }

    /// Reads the text of a world; `name` is what faults are said of, and its name if it states none.
    pub fn parse(text: &str, name: &str) -> Result<World, String> {
        let document =
            toml::Deserializer::parse(text).map_err(|e| format!("{name}: is not TOML: {}", e.message()))?;
        let mut world: World = serde_path_to_error::deserialize(document).map_err(|e| {
            let message = e.inner().message().replace('\n', " ");
            format!("{name}: {}: {message}", e.path())
        })?;
        if world.name.is_empty() {
            let stem = Path::new(name).file_stem().map(|s| s.to_string_lossy().into_owned());
            world.name = stem.unwrap_or_else(|| name.into());
        }
        world.check().map_err(|(key, reason)| format!("{name}: {key}: {reason}"))?;
        Ok(world)
    }

    /// The names of the servers and the building of each, in order.
    pub fn servers(&self) -> Vec<(String, usize)> {
        let of = |(n, b): (usize, &Building)| {
            (1..=b.servers).map(|i| (format!("{}-{i}", b.name), n)).collect::<Vec<_>>()
        };
        self.building.iter().enumerate().flat_map(of).collect()
    }

    /// The places of the servers that patterns name.
    pub fn servers_named(&self, patterns: &[String]) -> Vec<usize> {
        let servers = self.servers();
        let hit = |name: &str| patterns.iter().any(|p| fits(p, name));
        (0..servers.len()).filter(|&n| hit(&servers[n].0)).collect()
    }

    /// The places of the agents that patterns name; all if there is none.
    pub fn agents_named(&self, patterns: &[String]) -> Vec<usize> {
        let hit = |name: &str| patterns.is_empty() || patterns.iter().any(|p| fits(p, name));
        (0..self.agents).filter(|n| hit(&format!("agent-{n}"))).collect()
    }

    /// The first fault that happens to processes, which no emulation has: its place, and its kind's word.
    pub fn fault_of_processes(&self) -> Option<(usize, String)> {
        let of_processes =
            |f: &Fault| matches!(f.kind, Kind::Stop | Kind::Upgrade | Kind::DrainAgent | Kind::Garbage);
        let place = self.fault.iter().position(of_processes)?;
        Some((place, serde_name(self.fault[place].kind)))
    }

    /// What the machine does to an agent, in the words of the preloaded library.
    pub fn machine_faults(&self, agent: usize) -> Option<String> {
        let of = |machine: &&Machine| self.agents_named(&machine.agents).contains(&agent);
        let words: Vec<&str> = self.machine.iter().filter(of).map(|m| m.faults.as_str()).collect();
        (!words.is_empty()).then(|| words.join(" "))
    }

    /// Whether the platform holds the clients' socket of an agent, and operators call it.
    pub fn is_operated(&self, agent: usize) -> bool {
        let operated = |f: &&Fault| matches!(f.kind, Kind::Upgrade | Kind::DrainAgent);
        self.fault.iter().filter(operated).any(|f| self.agents_named(&f.agents).contains(&agent))
    }

    /// The classes as rules and service see them.
    pub fn class_facts(&self) -> Vec<ClassFacts> {
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        let fact = |c: &Class| ClassFacts {
            name: c.name.clone(),
            effect: match c.effect {
                EffectName::Safe => Effect::Safe,
                EffectName::Unsafe => Effect::Unsafe,
                EffectName::Keyed => {
                    Effect::Keyed(c.group.unwrap_or(Group::Zone), ms(c.window_ms.unwrap_or(0.0)))
                }
            },
            wanted: ms(c.wanted_ms),
            deadline: ms(c.deadline_ms),
            worth: c.worth,
        };
        self.class.iter().map(fact).collect()
    }

    /// The part of the traffic that each agent's clients make.
    pub fn agent_shares(&self) -> Vec<f64> {
        // A geometric fall over very many agents would leave the last with nothing at all.
        let steps = |n: usize| (n as f64 * 8.0 / self.agents.max(8) as f64).min(8.0);
        let shares: Vec<f64> = (0..self.agents).map(|n| self.skew.powf(-steps(n))).collect();
        let sum: f64 = shares.iter().sum();
        shares.iter().map(|s| s / sum).collect()
    }

    /// What the offices do until a moment.
    pub fn plan(&self, until: At) -> Plan {
        Plan {
            offices: self.office.iter().map(|o| Office { name: o.name.clone(), share: o.share }).collect(),
            classes: self.class_facts().into_iter().zip(self.class.iter().map(|c| c.share)).collect(),
            rate: self.rate,
            agent_shares: self.agent_shares(),
            habits: self.clients,
            until,
            seed: self.seed,
        }
    }

    /// What the checker holds agents to.
    pub fn rules(&self) -> Rules {
        Rules {
            classes: self.class_facts(),
            figures: self.server,
            buildings: self.servers().into_iter().map(|s| s.1).collect(),
            drain_grace: Duration::from_secs(2),
        }
    }

    /// What service is counted by.
    pub fn terms(&self) -> Terms {
        let office = |o: &OfficeShare| (o.name.clone(), agents::allowance(self, o.share));
        let offices = self.office.iter().map(office).collect();
        Terms { classes: self.class_facts(), offices, over_share: 0.1 }
    }

    /// Says what can't be used, as a key and a reason.
    pub fn check(&self) -> Result<(), (String, String)> {
        let fault = |key: &str, reason: &str| Err((key.to_string(), reason.to_string()));
        let between = |key: String, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err((key, format!("is {value}; must lie between {least} and {most}")))
            }
        };
        between("seconds".into(), self.seconds, 0.1, 86_400.0)?;
        between("rate".into(), self.rate, 0.0, 100_000.0)?;
        between("skew".into(), self.skew, 1.0, 10.0)?;
        between("between_ms".into(), self.between_ms, 0.0, 10_000.0)?;
        between("list_late".into(), self.list_late, 0.0, 3600.0)?;
        between("agents".into(), self.agents as f64, 1.0, AGENTS_MOST as f64)?;
        between("limits.sockets".into(), self.limits.sockets as f64, 64.0, 1e6)?;
        between("limits.memory_mb".into(), self.limits.memory_mb as f64, 16.0, 1e6)?;
        between("building".into(), self.servers().len() as f64, 1.0, SERVERS_MOST as f64)?;
        let figures = &self.server;
        between("server.cores".into(), figures.cores, 0.01, 10_000.0)?;
        between("server.slots".into(), figures.slots as f64, 1.0, 100_000.0)?;
        between("server.cold_share".into(), figures.cold_share, 0.01, 1.0)?;
        between("server.overload".into(), figures.overload, 1.0, 1e6)?;
        for (key, value) in [
            ("handshake_ms", figures.handshake_ms),
            ("probe_ms", figures.probe_ms),
            ("warm_ms", figures.warm_ms),
            ("fall_ms", figures.fall_ms),
            ("idle_ms", figures.idle_ms),
            ("report_ms", figures.report_ms),
        ] {
            between(format!("server.{key}"), value, 0.0, 3_600_000.0)?;
        }
        between("clients.retries".into(), f64::from(self.clients.retries), 0.0, 100.0)?;
        between("clients.retry_wait_ms".into(), self.clients.retry_wait_ms, 1.0, 60_000.0)?;
        between("clients.leaving".into(), self.clients.leaving, 0.0, 1.0)?;
        let (least, most) = self.clients.patience;
        if !(least > 0.0 && least <= most && most <= 1.0) {
            return fault(
                "clients.patience",
                "must be two shares of a deadline, the lesser first, at most 1",
            );
        }
        if self.class.is_empty() {
            return fault("class", "there must be one at least");
        }
        for (n, class) in self.class.iter().enumerate() {
            let key = |part: &str| format!("class[{n}].{part}");
            between(key("share"), class.share, 0.0, 1.0)?;
            between(key("work_ms"), class.work_ms.0, 0.0, class.work_ms.1)?;
            between(key("work_ms"), class.work_ms.1, 0.0, 3_600_000.0)?;
            between(key("deadline_ms"), class.deadline_ms, 1.0, 3_600_000.0)?;
            between(key("wanted_ms"), class.wanted_ms, 1.0, class.deadline_ms)?;
            between(key("worth"), class.worth, 0.0, 1e9)?;
            let keyed = class.effect == EffectName::Keyed;
            if keyed != class.group.is_some() || keyed != class.window_ms.is_some() {
                return fault(&key("effect"), "keyed needs group and window_ms, and nothing else has them");
            }
            between(key("window_ms"), class.window_ms.unwrap_or(1.0), 1.0, 3_600_000.0)?;
        }
        if self.office.is_empty() || self.office.iter().any(|o| !(0.0..=1.0).contains(&o.share)) {
            return fault("office", "there must be one at least, each with a share of 0 to 1");
        }
        for (n, machine) in self.machine.iter().enumerate() {
            if self.agents_named(&machine.agents).is_empty() {
                return fault(&format!("machine[{n}].agents"), "no agent has such a name");
            }
        }
        between("rude_clients".into(), self.rude_clients as f64, 0.0, 64.0)?;
        self.fault.iter().enumerate().try_for_each(|(n, f)| {
            self.check_fault(f).map_err(|(key, reason)| (format!("fault[{n}].{key}"), reason))
        })
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), (String, String)> {
        use Kind::*;
        let no = |key: &str, reason: String| Err((key.to_string(), reason));
        let kind = serde_name(fault.kind);
        let servers = matches!(
            fault.kind,
            Slow | Hang | Pause | Crash | Restart | Drain | Break | CrashAt | Reports | Idle
        );
        let building = matches!(fault.kind, Cut | HalfOpen | CutAfter | Reset | Line);
        let agents = fault.kind.is_of_agents();
        let needs: [(&str, bool, bool); 16] = [
            ("servers", !fault.servers.is_empty(), servers),
            ("building", fault.building.is_some(), building),
            ("office", fault.office.is_some(), fault.kind == Flood),
            ("factor", fault.factor.is_some(), matches!(fault.kind, Slow | Flood | Garbage)),
            ("odds", fault.odds.is_some(), fault.kind == Break),
            ("point", fault.point.is_some(), matches!(fault.kind, Break | CrashAt)),
            ("reports", fault.reports.is_some(), fault.kind == Reports),
            ("list", fault.list.is_some(), fault.kind == List),
            (
                "latency_ms",
                fault.latency_ms.is_some(),
                matches!(fault.kind, Line | ListLate | ListPace | Pause),
            ),
            ("bytes", fault.bytes.is_some(), matches!(fault.kind, CutAfter | ListPace | Pause)),
            ("direction", fault.direction.is_some(), matches!(fault.kind, CutAfter | HalfOpen)),
            ("idle_ms", fault.idle_ms.is_some(), fault.kind == Idle),
            (
                "for",
                fault.lasts.is_some() || !matches!(fault.kind, Kill | Stop | Stall | Upgrade | DrainAgent),
                true,
            ),
            ("every", fault.every.is_some(), fault.kind == Upgrade),
            ("new", fault.new.is_some(), fault.kind == Upgrade),
            ("at", fault.at >= 0.0 && fault.lasts.is_none_or(|f| f >= 0.0) && fault.stagger >= 0.0, true),
        ];
        for (key, there, needed) in needs {
            if needed && !there {
                return no(key, format!("{kind} needs it"));
            }
            if there && !needed {
                return no(key, format!("{kind} has no use for it"));
            }
        }
        if !fault.agents.is_empty() && !agents {
            return no("agents", format!("{kind} has no use for it"));
        }
        if servers && self.servers_named(&fault.servers).is_empty() {
            return no("servers", format!("no server is named {}", fault.servers.join(", ")));
        }
        if agents && self.agents_named(&fault.agents).is_empty() {
            return no("agents", format!("no agent is named {}", fault.agents.join(", ")));
        }
        if fault.building.as_ref().is_some_and(|b| self.building.iter().all(|known| known.name != *b)) {
            return no("building", "no such building".into());
        }
        if fault.office.as_ref().is_some_and(|o| self.office.iter().all(|known| known.name != *o)) {
            return no("office", "no such office".into());
        }
        let most = if fault.kind == Garbage { 200_000.0 } else { 1_000.0 };
        if fault.factor.is_some_and(|f| !(0.01..=most).contains(&f)) {
            return no("factor", format!("must lie between 0.01 and {most}"));
        }
        if fault.kind == Garbage && !self.view {
            return no("kind", "garbage comes to agents that have a view: view = true".into());
        }
        if fault.kill_ms.is_some_and(|ms| fault.kind != Stop || !(0.0..=60_000.0).contains(&ms)) {
            return no("kill_ms", "is for stop, and must lie between 0 and 60,000".into());
        }
        if fault.every.is_some_and(|every| every < 0.5) {
            return no("every", "must be half a second at least".into());
        }
        if fault.odds.is_some_and(|o| !(0.0..=1.0).contains(&o)) {
            return no("odds", "must lie between 0 and 1".into());
        }
        let figures = [fault.latency_ms, fault.jitter_ms, fault.idle_ms, fault.kib_s];
        if figures.iter().flatten().any(|f| !(0.0..=3_600_000.0).contains(f)) {
            return no("latency_ms", "times and rates must lie between 0 and 3,600,000".into());
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
