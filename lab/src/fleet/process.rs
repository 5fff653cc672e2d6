//! A real agent in a fleet: the program, started as the platform starts it, and what it is told by signals.

use crate::fleet::evidence::{Belief, Seen};
use crate::fleet::plan::{Clocks, Knows};
use crate::world::agents::{says_yes, usage, Usage};
use crate::world::platform;
use serde::Deserialize;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// An agent must listen within this.
const START_WAIT: Duration = Duration::from_secs(30);
/// How long a view may take to come; a process that is stopped gives none.
const VIEW_WAIT: Duration = Duration::from_secs(1);
/// Lines of a log that are kept.
const LOG_MOST: usize = 1 << 20;

/// What all processes of a fleet share.
#[derive(Debug, Clone)]
pub struct Ground {
    /// The agent's program.
    pub program: PathBuf,
    /// The file that switches the fleet on.
    pub fleet_file: PathBuf,
    /// Files of ours, and logs.
    pub folder: PathBuf,
    /// The public address of each agent.
    pub peers: Vec<SocketAddr>,
    /// Whom of them each knows at its start.
    pub knows: Knows,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For the agents' random numbers.
    pub seed: u64,
}

/// Any free port.
pub const ANY: &str = "127.0.0.1:0";

impl Ground {
    /// What the platform tells agent `number` at its `starts`th start in this run; clients' connections go to `listen`, and
    /// datagrams to `peer_listen`.
    pub fn configuration(
        &self,
        number: usize,
        starts: usize,
        listen: &str,
        peer_listen: &str,
    ) -> serde_json::Value {
        // A list that names somebody, so that the agent is ready; nobody asks it for anything.
        let known = json!({"rev": 1, "all": true, "targets": [{"uid": "s", "endpoint": "127.0.0.1:9", "state": "SERVING"}]});
        let seed = self.seed ^ ((number as u64) << 32) ^ starts as u64;
        json!({
            "name": format!("n{number}"), "listen": listen, "admin": ANY, "discovery": self.discovery,
            "seed": format!("{seed:x}"), "known": known,
            "peer_listen": peer_listen, "peers": self.knows.of(number, &self.peers),
            "settings": {"slotNo": number, "balancers": self.peers.len(), "discovery": "on_request", "limits": {"peers": true},
                "classes": [{"name": "read", "effect": "idempotent", "aimMs": 200, "deadlineMs": 400, "points": 1}]}
        })
    }
}

/// A process of an agent.
pub struct Process {
    child: Child,
    /// Where operators call.
    pub admin: SocketAddr,
    /// Where it listens for other agents; nothing while another process of the agent does.
    pub peers_at: Option<SocketAddr>,
    /// Comes when it has taken over that address.
    taken: tokio::sync::watch::Receiver<Option<SocketAddr>>,
}

impl Process {
    /// Starts agent `number` for the `starts`th time in this run. With `listener` the platform holds the clients' socket,
    /// as it does where agents are upgraded; `peers_at` is the address for datagrams, any if there is none yet.
    pub async fn start(
        ground: &Ground,
        number: usize,
        starts: usize,
        clocks: Clocks,
        listener: Option<&TcpListener>,
        peers_at: Option<SocketAddr>,
    ) -> Result<Process, String> {
        let name = format!("agent-{number}-{starts}");
        let of = |e: &dyn std::fmt::Display| format!("{name}: {e}");
        let listen = match listener {
            Some(listener) => listener.local_addr().map_err(|e| of(&e))?.to_string(),
            None => ANY.to_string(),
        };
        let peer_listen = peers_at.map_or(ANY.to_string(), |at| at.to_string());
        let config = ground.configuration(number, starts, &listen, &peer_listen);
        let write = |file: &str, text: String| {
            let path = ground.folder.join(file);
            std::fs::write(&path, text).map(|()| path).map_err(|e| of(&e))
        };
        let path = write(&format!("{name}.json"), config.to_string())?;
        let mut arguments = vec!["--with".to_string(), ground.fleet_file.display().to_string()];
        if clocks != Clocks::default() {
            let trial =
                format!("[trial]\nclock_rate = {:?}\nwall_step_ms = {}\n", clocks.rate, clocks.wall_step_ms);
            let trial = write(&format!("{name}.toml"), trial)?;
            arguments.extend(["--with".into(), trial.display().to_string(), "--trial".into()]);
        }
        let mut command = Command::from(platform::command(&ground.program, listener).map_err(|e| of(&e))?);
        command
            .args(&arguments)
            .env("LB_CONFIG", path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child =
            command.spawn().map_err(|e| format!("cannot start {}: {e}", ground.program.display()))?;
        let upgrade = listener.is_some() && peers_at.is_some();
        let said = timeout(START_WAIT, listening(&mut child, &ground.folder, &name, upgrade)).await;
        let (admin, taken) = said.map_err(|_| format!("{name} does not listen within {START_WAIT:?}"))??;
        let peers_at = *taken.borrow();
        Ok(Process { child, admin, peers_at, taken })
    }

    /// Waits until it listens for other agents.
    pub async fn takes_over(&mut self) -> Option<SocketAddr> {
        let taken = timeout(START_WAIT, self.taken.wait_for(Option::is_some)).await;
        self.peers_at = taken.ok().and_then(|taken| taken.ok().and_then(|at| *at));
        self.peers_at
    }

    /// SIGKILL.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    /// A signal by its name.
    pub async fn signal(&self, name: &str) {
        if let Some(id) = self.child.id() {
            let _ = Command::new("kill").args([name, &id.to_string()]).status().await;
        }
    }

    /// Waits for its end.
    pub async fn ended(&mut self) {
        if timeout(START_WAIT, self.child.wait()).await.is_err() {
            self.kill().await;
        }
    }

    /// True if it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its process number, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// What the machine says of it.
    pub fn usage(&self) -> Option<Usage> {
        usage(self.child.id()?)
    }
}

type Told = (SocketAddr, tokio::sync::watch::Receiver<Option<SocketAddr>>);

/// Reads the log until the agent has said where it is reached; the rest goes into a file.
async fn listening(child: &mut Child, folder: &Path, name: &str, upgrade: bool) -> Result<Told, String> {
    let stderr = child.stderr.take().ok_or("no log")?;
    let mut lines = BufReader::new(stderr).lines();
    let (tell, taken) = tokio::sync::watch::channel(None);
    let (mut admin, mut last) = (None, String::new());
    let address =
        |line: &str, words: &str| line.split_once(words).and_then(|(_, address)| address.trim().parse().ok());
    while let Ok(Some(line)) = lines.next_line().await {
        admin = address(&line, "operators call at ").or(admin);
        if let Some(at) = address(&line, "other agents reach this one at ") {
            tell.send_replace(Some(at));
        }
        if let Some(admin) = admin.filter(|_| upgrade || tell.borrow().is_some()) {
            let path = folder.join(format!("{name}.log"));
            tokio::spawn(async move {
                let mut kept = 0;
                let mut file = tokio::fs::File::create(path).await.ok();
                while let Ok(Some(line)) = lines.next_line().await {
                    if let Some(at) = address(&line, "other agents reach this one at ") {
                        tell.send_replace(Some(at));
                    }
                    kept += line.len();
                    if let Some(file) = file.as_mut().filter(|_| kept < LOG_MOST) {
                        let _ = file.write_all(format!("{line}\n").as_bytes()).await;
                    }
                }
                // Nobody hears of an address after this.
                drop(tell);
            });
            return Ok((admin, taken));
        }
        last = line;
    }
    Err(format!("{name} has ended at its start: {last}"))
}

#[derive(Deserialize)]
struct View {
    #[serde(rename = "self")]
    me: Me,
    digest: String,
    sure: bool,
    members: Vec<Line>,
}

#[derive(Deserialize)]
struct Me {
    life: u64,
}

#[derive(Deserialize)]
struct Line {
    number: usize,
    life: u64,
    state: String,
}

/// The status and the body of an answer at an operators' address, if it comes.
pub async fn answer(admin: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Vec<u8>)> {
    let ask = async {
        let mut stream = TcpStream::connect(admin).await.ok()?;
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let end = answer.windows(4).position(|w| w == b"\r\n\r\n")?;
        let status = answer.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
        let status = std::str::from_utf8(status).ok()?.parse().ok()?;
        Some((status, answer.split_off(end + 4)))
    };
    timeout(VIEW_WAIT, ask).await.ok()?
}

/// An answer's body at an operators' address, if its status is 200.
async fn get(admin: SocketAddr, path: &str) -> Option<Vec<u8>> {
    answer(admin, "GET", path, "").await.filter(|(status, _)| *status == 200).map(|(_, body)| body)
}

/// True if the process there takes clients.
pub async fn takes_clients(admin: SocketAddr) -> bool {
    says_yes(admin, "/healthcheck").await
}

/// What the agent there says of the fleet.
pub async fn view(admin: SocketAddr) -> Option<Seen> {
    let view: View = serde_json::from_slice(&get(admin, "/fleet").await?).ok()?;
    let line = |l: &Line| Some((l.number, l.life, Belief::of_word(&l.state)?));
    let digest = u64::from_str_radix(&view.digest, 16).ok()?;
    let lines = view.members.iter().map(line).collect::<Option<_>>()?;
    Some(Seen { life: view.me.life, digest, sure: view.sure, lines })
}
