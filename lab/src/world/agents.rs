//! The agents under test: the real program, started as a platform would start it, or one broken on purpose.

use crate::judge::evidence::AgentIndex;
use crate::preload;
use crate::world::broken::{Broken, Flaw};
use crate::world::{platform, EffectName, World};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{sleep, timeout};

/// An agent must listen, and know a list, within this.
const START_WAIT: Duration = Duration::from_secs(30);
/// A new process says within this that it takes clients, or it is no use.
const YES_WAIT: Duration = Duration::from_secs(6);
/// An old process that was told to end is killed after this: the longest deadline and a little more.
const OLD_ENDS: Duration = Duration::from_millis(3_700);
/// How often a process is asked whether it takes clients.
const ASK_EVERY: Duration = Duration::from_millis(20);

/// What stands between offices and servers.
#[derive(Debug, Clone)]
pub enum Subject {
    /// The real program, with these arguments.
    Program(PathBuf, Vec<String>),
    /// One that breaks a rule, in this process.
    Broken(Flaw),
}

/// An agent that runs.
pub struct Agent {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call, if they do.
    pub admin: Option<SocketAddr>,
    /// Where other agents reach it, if they do.
    pub peers_at: Option<SocketAddr>,
    running: Running,
    /// Processes of it besides: new ones that clients do not have yet, old ones on their way out.
    besides: Vec<Besides>,
    setup: Setup,
    /// The clients' socket, where the platform holds it.
    held: Option<Arc<TcpListener>>,
    starts: usize,
    /// It was told to end, and may have.
    is_ending: bool,
    /// How long its present process has been stopped in all, and since when it is now.
    stalled: (Duration, Option<Instant>),
}

struct Besides {
    child: Child,
    /// It was told to end; when it is killed if it has not.
    until: Option<Instant>,
}

/// How the platform brings a new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Upgrade {
    /// It says yes, and the old one is told to end.
    #[default]
    Well,
    /// It is killed soon after its start, whatever it has taken by then.
    Killed,
    /// It knows no list and is told none, never says yes, and is killed in the end.
    NeverReady,
    /// It says yes, and the old one is told to end only two seconds later: both take clients.
    BothAtOnce,
    /// It says yes, and the old one is killed and not told: what that had taken is lost, which the checker must find.
    CutOff,
}

enum Running {
    Program(Child),
    Broken(Broken),
    Nothing,
}

/// What an agent is told.
#[derive(Clone)]
pub struct Setup {
    /// Which one.
    pub index: AgentIndex,
    /// What it is.
    pub subject: Subject,
    /// Its configuration, as the platform words it.
    pub config: Value,
    /// Where its files go.
    pub folder: PathBuf,
    /// The platform holds the clients' socket, and operators call.
    pub held: bool,
    /// What its machine does, in the words of the preloaded library.
    pub machine: Option<String>,
}

/// What the machine says of a process.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub rss_kib: u64,
    /// CPU time since its start, in milliseconds.
    pub cpu_ms: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Agent {
    /// Starts an agent and waits until it listens.
    pub async fn start(setup: Setup, listen: Option<SocketAddr>) -> Result<Agent, String> {
        let held = if setup.held && matches!(setup.subject, Subject::Program(..)) {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(listen.unwrap_or(any));
            Some(Arc::new(listener.map_err(|e| format!("agent-{}: no socket to hold: {e}", setup.index))?))
        } else {
            None
        };
        Agent::begin(setup, listen, held, 0).await
    }

    async fn begin(
        setup: Setup,
        listen: Option<SocketAddr>,
        held: Option<Arc<TcpListener>>,
        starts: usize,
    ) -> Result<Agent, String> {
        let mut config = setup.config.clone();
        if let Some(listen) = listen {
            config["listen"] = json!(listen.to_string());
        }
        let Subject::Broken(flaw) = &setup.subject else {
            let launched = launch(&setup, config, held.as_deref(), starts, false).await?;
            let Launched { child, address, admin, peers_at } = launched;
            let running = Running::Program(child);
            let (besides, is_ending, stalled) = (Vec::new(), false, (Duration::ZERO, None));
            return Ok(Agent {
                address,
                admin,
                peers_at,
                running,
                besides,
                setup,
                held,
                starts,
                is_ending,
                stalled,
            });
        };
        let broken =
            Broken::start(*flaw, &config).await.map_err(|e| format!("agent-{}: {e}", setup.index))?;
        let (address, running) = (broken.address(), Running::Broken(broken));
        let (admin, peers_at, besides) = (None, None, Vec::new());
        let (is_ending, stalled) = (false, (Duration::ZERO, None));
        Ok(Agent { address, admin, peers_at, running, besides, setup, held, starts, is_ending, stalled })
    }

    /// Starts a new process beside the one that clients have, with what it is told now: the platform's way to a new version.
    /// `kill_after` is for [`Upgrade::Killed`], and `killing` is called just before. True unless the new process should have come to take clients and did not.
    pub async fn upgrade(
        agent: &AsyncMutex<Agent>,
        mut config: Value,
        manner: Upgrade,
        kill_after: Duration,
        killing: impl FnOnce(),
    ) -> Result<bool, String> {
        let (setup, held, starts) = {
            let mut agent = agent.lock().await;
            agent.starts += 1;
            if manner == Upgrade::NeverReady {
                // Nobody listens there, and it knows nobody to send to.
                config["discovery"] = json!("127.0.0.1:9");
                config.as_object_mut().map(|c| c.remove("known"));
            }
            if let Some(at) = agent.peers_at {
                config["peer_listen"] = json!(at.to_string());
            }
            let Some(held) = agent.held.clone() else { return Ok(true) };
            (Setup { config, ..agent.setup.clone() }, held, agent.starts)
        };
        let launched = launch(&setup, setup.config.clone(), Some(&held), starts, true).await?;
        let id = launched.child.id();
        let Some(admin) = launched.admin else { return Err("no door for operators".into()) };
        agent.lock().await.besides.push(Besides { child: launched.child, until: None });
        let says_yes = async {
            while !says_yes(admin, "/healthcheck").await {
                sleep(ASK_EVERY).await;
            }
        };
        let came = match manner {
            Upgrade::Killed => {
                sleep(kill_after).await;
                false
            }
            _ => timeout(YES_WAIT, says_yes).await.is_ok(),
        };
        if manner == Upgrade::BothAtOnce {
            sleep(Duration::from_secs(2)).await;
        }
        let mut agent = agent.lock().await;
        let Some(place) = agent.besides.iter().position(|b| b.child.id() == id) else { return Ok(came) };
        let mut new = agent.besides.remove(place);
        if !came {
            killing();
            let _ = new.child.kill().await;
            return Ok(manner == Upgrade::Killed || manner == Upgrade::NeverReady);
        }
        let old = std::mem::replace(&mut agent.running, Running::Program(new.child));
        agent.admin = Some(admin);
        agent.setup.config = setup.config;
        if let Running::Program(mut child) = old {
            if manner == Upgrade::CutOff {
                let _ = child.kill().await;
                return Ok(true);
            }
            signal(&child, "-TERM").await;
            agent.besides.push(Besides { child, until: Some(Instant::now() + OLD_ENDS) });
        }
        Ok(manner != Upgrade::NeverReady)
    }

    /// Kills old processes whose time is over, and forgets those that have ended.
    pub async fn kill_late(&mut self) {
        for mut besides in std::mem::take(&mut self.besides) {
            let late = besides.until.is_some_and(|until| Instant::now() > until);
            match besides.child.try_wait() {
                Ok(None) if late => drop(besides.child.kill().await),
                Ok(None) => self.besides.push(besides),
                _ => {}
            }
        }
    }

    /// Waits until it is ready for requests.
    pub async fn ready(&self) -> Result<(), String> {
        let ask = async {
            loop {
                if says_yes(self.address, "/health/ready").await {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(START_WAIT, ask)
            .await
            .map_err(|_| format!("agent-{} is not ready within {START_WAIT:?}", self.setup.index))
    }

    /// Kills it, as a machine does that runs out of memory.
    pub async fn kill(&mut self) {
        match std::mem::replace(&mut self.running, Running::Nothing) {
            Running::Program(mut child) => drop(child.kill().await),
            Running::Broken(broken) => drop(broken),
            Running::Nothing => {}
        }
        for mut besides in self.besides.drain(..) {
            let _ = besides.child.kill().await;
        }
    }

    /// Starts it again under its address, with what it is told now.
    pub async fn restart(&mut self, config: Value) -> Result<(), String> {
        self.kill().await;
        let setup = Setup { config, ..self.setup.clone() };
        *self = Agent::begin(setup, Some(self.address), self.held.clone(), self.starts + 1).await?;
        Ok(())
    }

    /// Tells it where discovery listens now: its file says so, and a SIGHUP.
    pub async fn move_discovery(&mut self, address: SocketAddr) -> Result<(), String> {
        self.setup.config["discovery"] = json!(address.to_string());
        let Running::Program(child) = &self.running else { return Ok(()) };
        let Some(id) = child.id() else { return Ok(()) };
        let path = self.setup.folder.join(format!("agent-{}-{}.json", self.setup.index, self.starts));
        let new = path.with_extension("new");
        std::fs::write(&new, self.setup.config.to_string()).map_err(|e| e.to_string())?;
        std::fs::rename(&new, &path).map_err(|e| e.to_string())?;
        let kill = Command::new("kill").args(["-HUP", &id.to_string()]).status().await;
        kill.map(drop).map_err(|e| format!("cannot signal agent-{}: {e}", self.setup.index))
    }

    /// Tells it to end; it is no crash if it does.
    pub async fn terminate(&mut self) {
        self.is_ending = true;
        if let Running::Program(child) = &self.running {
            signal(child, "-TERM").await;
        }
    }

    /// How often it was started before this time.
    pub fn starts(&self) -> usize {
        self.starts
    }

    /// True if its process has ended, whoever ended it.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.running {
            Running::Program(child) => !matches!(child.try_wait(), Ok(None)),
            Running::Nothing => true,
            Running::Broken(_) => false,
        }
    }

    /// How long its present process has been stopped by [`Agent::stall`].
    pub fn stalled(&self) -> Duration {
        let (before, since) = self.stalled;
        before + since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Stops it in the middle of whatever it does, or lets it go on.
    pub async fn stall(&mut self, stall: bool) {
        self.stalled = (self.stalled(), stall.then(Instant::now));
        let Running::Program(child) = &self.running else { return };
        if let Some(id) = child.id() {
            let signal = if stall { "-STOP" } else { "-CONT" };
            let _ = Command::new("kill").args([signal, &id.to_string()]).status().await;
        }
    }

    /// True if a program has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        match &mut self.running {
            Running::Program(child) => !self.is_ending && !matches!(child.try_wait(), Ok(None)),
            _ => false,
        }
    }

    /// The process that clients reach; none for one in this process.
    pub fn process_id(&self) -> Option<u32> {
        let Running::Program(child) = &self.running else { return None };
        child.id()
    }

    /// What the machine says of its processes, together; nothing for one in this process.
    pub fn usage(&self) -> Option<Usage> {
        let Running::Program(child) = &self.running else { return None };
        let besides = self.besides.iter().filter_map(|b| usage(b.child.id()?));
        Some(besides.fold(usage(child.id()?)?, |sum, more| Usage {
            rss_kib: sum.rss_kib + more.rss_kib,
            cpu_ms: sum.cpu_ms + more.cpu_ms,
            descriptors: sum.descriptors + more.descriptors,
        }))
    }
}

async fn signal(child: &Child, name: &str) {
    if let Some(id) = child.id() {
        let _ = Command::new("kill").args([name, &id.to_string()]).status().await;
    }
}

struct Launched {
    child: Child,
    address: SocketAddr,
    admin: Option<SocketAddr>,
    peers_at: Option<SocketAddr>,
}

/// Starts a process of an agent and waits until it has said where it listens. One that comes beside another is not waited for
/// until it has taken over the address for other agents.
async fn launch(
    setup: &Setup,
    mut config: Value,
    held: Option<&TcpListener>,
    starts: usize,
    beside: bool,
) -> Result<Launched, String> {
    let Subject::Program(program, arguments) = &setup.subject else { return Err("no program".into()) };
    let name = format!("agent-{}-{starts}", setup.index);
    let of = |e: &dyn std::fmt::Display| format!("{name}: {e}");
    if let Some(held) = held {
        config["listen"] = json!(held.local_addr().map_err(|e| of(&e))?.to_string());
        config["admin"] = json!("127.0.0.1:0");
    }
    let path = setup.folder.join(format!("{name}.json"));
    std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut command = Command::from(platform::command(program, held).map_err(|e| of(&e))?);
    command.args(arguments);
    if config.get("peer_listen").is_some() {
        // One for each process: another one may be reading.
        let fleet = setup.folder.join(format!("{name}.toml"));
        std::fs::write(&fleet, "[fleet]\n").map_err(|e| of(&e))?;
        command.arg("--with").arg(fleet);
    }
    if let Some(faults) = &setup.machine {
        command.env(preload::PRELOAD, preload::library()?).env(preload::FAULTS, faults);
    }
    let mut child = command
        .env("LB_CONFIG", &path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(|e| format!("cannot start {}: {e}", program.display()))?;
    let waits_for_peers = !beside && config.get("peer_listen").is_some();
    let said = timeout(START_WAIT, listening(&mut child, &setup.folder, &name, waits_for_peers)).await;
    let (address, admin, peers_at) =
        said.map_err(|_| format!("{name} does not listen within {START_WAIT:?}"))??;
    Ok(Launched { child, address, admin, peers_at })
}

type Addresses = (SocketAddr, Option<SocketAddr>, Option<SocketAddr>);

async fn listening(
    child: &mut Child,
    folder: &Path,
    name: &str,
    waits_for_peers: bool,
) -> Result<Addresses, String> {
    let stderr = child.stderr.take().ok_or("no log")?;
    let mut lines = BufReader::new(stderr).lines();
    let mut last = String::new();
    let (mut clients, mut admin, mut peers_at) = (None, None, None);
    let address =
        |line: &str, words: &str| line.split_once(words).and_then(|(_, address)| address.trim().parse().ok());
    while let Ok(Some(line)) = lines.next_line().await {
        clients = address(&line, "listening on ").or(clients);
        admin = address(&line, "operators call at ").or(admin);
        peers_at = address(&line, "other agents reach this one at ").or(peers_at);
        if let Some(clients) = clients.filter(|_| !waits_for_peers || peers_at.is_some()) {
            // The log is read to its end, or a full pipe would stop the agent; the last of it is kept for people.
            let path = folder.join(format!("{name}.log"));
            tokio::spawn(async move {
                let mut kept = 0;
                let mut file = tokio::fs::OpenOptions::new().create(true).append(true).open(path).await.ok();
                while let Ok(Some(line)) = lines.next_line().await {
                    kept += line.len();
                    if let Some(file) = file.as_mut().filter(|_| kept < 1 << 20) {
                        let _ = file.write_all(format!("{line}\n").as_bytes()).await;
                    }
                }
            });
            return Ok((clients, admin, peers_at));
        }
        last = line;
    }
    Err(format!("{name} has ended at its start: {last}"))
}

/// Whether a process answers a question with yes.
pub async fn says_yes(address: SocketAddr, path: &str) -> bool {
    is_answered(address, "GET", path).await
}

/// Gives a process an order at its operators' address; whether it took it.
pub async fn order(address: SocketAddr, path: &str) -> bool {
    is_answered(address, "POST", path).await
}

async fn is_answered(address: SocketAddr, method: &str, path: &str) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.ok()?;
        (&status == b"HTTP/1.1 200").then_some(())
    };
    timeout(Duration::from_secs(1), ask).await.is_ok_and(|ready| ready.is_some())
}

/// What the machine says of a process.
pub fn usage(pid: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let rss_kib = rss.trim().trim_end_matches(" kB").trim().parse().ok()?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Behind the name, which may hold anything: utime and stime are the 12th and 13th, in hundredths of a second.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
    Some(Usage { rss_kib, cpu_ms: ticks * 10, descriptors })
}

/// The configuration of an agent, as the platform words it.
pub fn config(
    world: &World,
    index: AgentIndex,
    discovery: SocketAddr,
    known: Option<&str>,
    seed: u64,
    peers: &[SocketAddr],
) -> Value {
    let classes: Vec<Value> = world
        .class
        .iter()
        .map(|c| {
            let effect = match c.effect {
                EffectName::Safe => "idempotent",
                EffectName::Keyed => "deduplicated",
                EffectName::Unsafe => "at_most_once",
            };
            let mut class = json!({"name": c.name, "effect": effect, "aimMs": c.wanted_ms,
                "deadlineMs": c.deadline_ms, "points": c.worth});
            if let (Some(group), Some(window)) = (c.group, c.window_ms) {
                class["group"] = json!(group);
                class["dedupWindowMs"] = json!(window);
            }
            class
        })
        .collect();
    let parties: Vec<Value> = world
        .office
        .iter()
        .map(|o| json!({"name": o.name, "fraction": o.share, "allowancePerS": allowance(world, o.share)}))
        .collect();
    let zones: Vec<&str> = world.building.iter().map(|b| b.name.as_str()).collect();
    let mut config = json!({
        "name": format!("agent-{index}"), "listen": format!("{}:0", platform::own_loopback()), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": world.limits.memory_mb, "sockets": world.limits.sockets},
        "settings": {
            "balancers": world.told.unwrap_or(world.agents as u32), "zone": index % zones.len(), "zones": zones, "kinds": ["standard-3core"],
            "discovery": if world.pushed { "pushed" } else { "on_request" }, "classes": classes, "parties": parties, "overShareWorth": 0.1,
            "feedback": {"fields": ["qps", "latency_ms", "eps", "queue"], "source": "piggyback"},
            "goal": {"whole": 0.6, "worstWindow": 0.1, "worstClass": 0.2, "worstTenant": 0.1},
            "penalties": {"lateFail": 0.05, "handshake": 0.03, "connection": 0.03, "waste": 0.02,
                "crossZone": 0.02, "probe": 0.01},
            "limits": {"cancel": true, "connectTimeoutMs": 250, "keepaliveMs": world.server.idle_ms,
                "maxAttempts": 6, "maxRetryAfterMs": 2000, "probes": true, "retryAfter": true,
                "secondCopies": true},
            "rules": {"askWithinMs": 10000, "coldShare": world.server.cold_share,
                "warmAfterMs": world.server.warm_ms, "overloadFactor": world.server.overload,
                "fallMs": world.server.fall_ms, "stopSendingWithinMs": 2000},
            "periodMs": 1, "weights": "silent", "worthBy": "request"
        }
    });
    if !peers.is_empty() {
        config["peers"] = json!(peers);
        config["peer_listen"] = json!("127.0.0.1:0");
        config["settings"]["slotNo"] = json!(index);
        config["settings"]["limits"]["peers"] = json!(true);
    }
    if let Some(known) = known.and_then(|text| serde_json::from_str::<Value>(text).ok()) {
        config["known"] = known;
    }
    config
}

/// The requests a second that are within an office's share.
pub fn allowance(world: &World, share: f64) -> f64 {
    (1.5 * share * world.rate).max(1.0)
}
