//! The agents under test: the real program, started as a platform would start it, or one broken on purpose.

use crate::judge::evidence::AgentIndex;
use crate::world::broken::{Broken, Flaw};
use crate::world::{EffectName, World};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// An agent must listen, and know a list, within this.
const START_WAIT: Duration = Duration::from_secs(30);

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
    running: Running,
    setup: Setup,
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
        let mut config = setup.config.clone();
        if let Some(listen) = listen {
            config["listen"] = json!(listen.to_string());
        }
        let name = format!("agent-{}", setup.index);
        let (address, running) = match &setup.subject {
            Subject::Broken(flaw) => {
                let broken = Broken::start(*flaw, &config).await.map_err(|e| format!("{name}: {e}"))?;
                (broken.address(), Running::Broken(broken))
            }
            Subject::Program(program, arguments) => {
                let path = setup.folder.join(format!("{name}.json"));
                std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
                let mut child = Command::new(program)
                    .args(arguments)
                    .env("LB_CONFIG", &path)
                    .env_remove("LB_LISTEN")
                    .env_remove("LB_DISCOVERY")
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(Stdio::piped())
                    .kill_on_drop(true)
                    .spawn()
                    .map_err(|e| format!("cannot start {}: {e}", program.display()))?;
                let address = timeout(START_WAIT, listening(&mut child, &setup.folder, &name)).await;
                let address =
                    address.map_err(|_| format!("{name} does not listen within {START_WAIT:?}"))??;
                (address, Running::Program(child))
            }
        };
        Ok(Agent { address, running, setup })
    }

    /// Waits until it is ready for requests.
    pub async fn ready(&self) -> Result<(), String> {
        let ask = async {
            loop {
                if is_ready(self.address).await {
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
    }

    /// Starts it again under its address, with what it is told now.
    pub async fn restart(&mut self, config: Value) -> Result<(), String> {
        self.kill().await;
        let setup = Setup { config, ..self.setup.clone() };
        *self = Agent::start(setup, Some(self.address)).await?;
        Ok(())
    }

    /// Tells it where discovery listens now: its file says so, and a SIGHUP.
    pub async fn move_discovery(&mut self, address: SocketAddr) -> Result<(), String> {
        self.setup.config["discovery"] = json!(address.to_string());
        let Running::Program(child) = &self.running else { return Ok(()) };
        let Some(id) = child.id() else { return Ok(()) };
        let path = self.setup.folder.join(format!("agent-{}.json", self.setup.index));
        let new = path.with_extension("new");
        std::fs::write(&new, self.setup.config.to_string()).map_err(|e| e.to_string())?;
        std::fs::rename(&new, &path).map_err(|e| e.to_string())?;
        let kill = Command::new("kill").args(["-HUP", &id.to_string()]).status().await;
        kill.map(drop).map_err(|e| format!("cannot signal agent-{}: {e}", self.setup.index))
    }

    /// Stops it in the middle of whatever it does, or lets it go on.
    pub async fn stall(&self, stall: bool) {
        let Running::Program(child) = &self.running else { return };
        if let Some(id) = child.id() {
            let signal = if stall { "-STOP" } else { "-CONT" };
            let _ = Command::new("kill").args([signal, &id.to_string()]).status().await;
        }
    }

    /// True if a program has ended by itself.
    pub fn has_crashed(&mut self) -> bool {
        match &mut self.running {
            Running::Program(child) => !matches!(child.try_wait(), Ok(None)),
            _ => false,
        }
    }

    /// What the machine says of its process; nothing for one in this process.
    pub fn usage(&self) -> Option<Usage> {
        let Running::Program(child) = &self.running else { return None };
        usage(child.id()?)
    }
}

async fn listening(child: &mut Child, folder: &Path, name: &str) -> Result<SocketAddr, String> {
    let stderr = child.stderr.take().ok_or("no log")?;
    let mut lines = BufReader::new(stderr).lines();
    let mut last = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Some((_, address)) = line.split_once("listening on ") {
            let address = address.trim().parse().map_err(|e| format!("{name}: {line}: {e}"))?;
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
            return Ok(address);
        }
        last = line;
    }
    Err(format!("{name} has ended at its start: {last}"))
}

async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let text = "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
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
        "name": format!("agent-{index}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": world.limits.memory_mb, "sockets": world.limits.sockets},
        "settings": {
            "balancers": world.told.unwrap_or(world.agents as u32), "zone": index % zones.len(), "zones": zones, "kinds": ["standard-3core"],
            "discovery": "on_request", "classes": classes, "parties": parties, "overShareWorth": 0.1,
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
    if let Some(known) = known.and_then(|text| serde_json::from_str::<Value>(text).ok()) {
        config["known"] = known;
    }
    config
}

/// The requests a second that are within an office's share.
pub fn allowance(world: &World, share: f64) -> f64 {
    (1.5 * share * world.rate).max(1.0)
}
