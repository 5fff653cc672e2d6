//! Asks discovery for the list of backends: a watch on changes, and the whole list once.

use crate::driver::Driver;
use crate::wire::{Gauge, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

/// How long a watch waits for news.
const HOLD: Duration = Duration::from_secs(20);
/// How long a call may take besides that; the service gives up its own calls well before.
const ANSWER_WAIT: Duration = Duration::from_secs(5);
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// The largest list that is read.
const LIST_MOST: usize = 8 * 1024 * 1024;
/// Pause after an answer that came at once and brought nothing new, so that a discovery which does not wait is not
/// asked without end; well within the 200 ms that may lie between two watches.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a pushed list is asked for again; the source is on the same machine.
const PUSHED_PAUSE: Duration = Duration::from_millis(500);

/// A list or a change of it, in discovery's form.
#[derive(Debug, Clone, Deserialize)]
pub struct ListReply {
    /// Its version.
    pub rev: i64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub all: bool,
    /// Its lines.
    #[serde(deserialize_with = "readable")]
    pub targets: Vec<Target>,
}

/// The lines that can be read: one that can't must not make the agent deaf to all others.
fn readable<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Target>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Line {
        Read(Target),
        Other(IgnoredAny),
    }
    let lines = Vec::<Line>::deserialize(input)?.into_iter();
    Ok(lines
        .filter_map(|line| match line {
            Line::Read(target) => Some(target),
            Line::Other(_) => None,
        })
        .collect())
}

/// A line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Target {
    /// The server's name at all agents.
    pub uid: String,
    /// Where this agent reaches it.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Its kind.
    #[serde(default)]
    pub model: String,
    /// Its cell.
    #[serde(default)]
    pub pod_group: u32,
    /// What it does at present.
    pub state: State,
    /// Its size among the others.
    #[serde(default)]
    pub capacity_hint: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

/// The states of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// Takes requests.
    Serving,
    /// Finishes what it has.
    Draining,
    /// Has left.
    Deleted,
}

/// How the driver tells discovery what the module wants.
pub struct Commands {
    following: watch::Sender<bool>,
    fetch: Notify,
}

impl Commands {
    /// Neither watching nor asking.
    pub fn new() -> Rc<Self> {
        Rc::new(Commands { following: watch::Sender::new(false), fetch: Notify::new() })
    }

    /// Starts or ends the watch.
    pub fn follow(&self, active: bool) {
        self.following.send_replace(active);
    }

    /// Asks for the whole list once.
    pub fn fetch(&self) {
        self.fetch.notify_one();
    }
}

/// A kept connection to discovery; it is closed when this is dropped.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: SocketAddr) -> Option<Line> {
    let stream = timeout(CONNECT_WAIT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (wire, _) = Wire::new(stream, Gauge::default().enter());
    let (sender, connection) = http1::handshake(wire).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(Line { sender, task: task.abort_handle() })
}

/// One call; `None` if it failed in whatever way.
async fn call(address: SocketAddr, line: &mut Option<Line>, path: &str) -> Option<ListReply> {
    // A line that discovery has closed between two calls is no failure of the next one.
    let mut kept = line.take().filter(|l| l.sender.is_ready());
    if kept.is_none() {
        kept = connect(address).await;
    }
    let mut kept = kept?;
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
    let answer = kept.sender.send_request(request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
    let list = serde_json::from_slice(&body).ok()?;
    if timeout(Duration::from_millis(50), kept.sender.ready()).await.is_ok_and(|r| r.is_ok()) {
        *line = Some(kept);
    }
    Some(list)
}

/// Watches as long as the module follows the list. Where lists are pushed the watch is the push: it runs at
/// all times, and a failure is no news to the module, which has asked for nothing.
pub async fn watch(driver: Driver, commands: Rc<Commands>, address: SocketAddr, pushed: bool) {
    let mut following = commands.following.subscribe();
    let mut line = None;
    if pushed {
        commands.follow(true);
    }
    loop {
        if following.wait_for(|active| *active).await.is_err() {
            return;
        }
        let path = format!("/registry/instances?from={}&hold_ms={}", driver.list_version(), HOLD.as_millis());
        let asked = Instant::now();
        let answer = tokio::select! {
            answer = timeout(HOLD + ANSWER_WAIT, call(address, &mut line, &path)) => answer.ok().flatten(),
            _ = following.wait_for(|active| !active) => continue,
        };
        match answer {
            Some(list) => {
                let empty = list.rev == driver.list_version() && asked.elapsed() < EMPTY_PAUSE;
                driver.listed(list);
                if empty {
                    sleep(EMPTY_PAUSE).await;
                }
            }
            None if pushed => sleep(PUSHED_PAUSE).await,
            None => {
                line = None;
                commands.follow(false);
                driver.list_failed();
            }
        }
    }
}

/// Fetches the whole list whenever the module asks for it.
pub async fn fetch(driver: Driver, commands: Rc<Commands>, address: SocketAddr) {
    loop {
        commands.fetch.notified().await;
        match timeout(ANSWER_WAIT, call(address, &mut None, "/registry/instances")).await.ok().flatten() {
            Some(list) if list.rev >= driver.list_version() => driver.listed(list),
            // The watch has brought something newer meanwhile.
            Some(_) => {}
            None => driver.list_failed(),
        }
    }
}
