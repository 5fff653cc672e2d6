//! Agents that break a rule on purpose, to prove that the checker finds it: a plain random forwarder that keeps the rules,
//! and flaws that are switched on one at a time. Not an example of how to balance.

use crate::clock::Clock;
use crate::standins::http::{answer, Message, Reader};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// What is wrong with an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing: the control.
    None,
    /// Answers every tenth request twice.
    AnswersTwice,
    /// Closes every tenth connection in place of an answer.
    DropsAnswers,
    /// Sends an unsafe request again after a reset.
    RepeatsUnsafe,
    /// Sends a keyed request again in another building.
    RepeatsOutside,
    /// Sends a keyed request again after its window.
    RepeatsLate,
    /// Refuses what may have run.
    RefusesWhatRan,
    /// Goes on sending to servers that drain.
    IgnoresDrains,
    /// Sends everything to the server that has started last.
    PushesCold,
    /// Keeps refusals back until the client's time is nearly over.
    HoldsRefusals,
}

#[derive(Deserialize, Clone, Debug)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    state: String,
    boot_ms: u64,
}

#[derive(Deserialize)]
struct List {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
}

struct Class {
    name: String,
    effect: String,
    group: String,
    window: Duration,
    deadline: Duration,
}

struct Inner {
    flaw: Flaw,
    clock: Clock,
    servers: Mutex<Vec<Target>>,
    classes: Vec<Class>,
    requests: AtomicU64,
    random: Mutex<fastrand::Rng>,
}

/// A broken agent; it ends when it is dropped.
pub struct Broken {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

enum Outcome {
    Served(Vec<u8>),
    NeverRan,
    MayHaveRun,
}

fn locked<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Broken {
    /// Starts one from an agent's configuration.
    pub async fn start(flaw: Flaw, config: &Value) -> Result<Broken, String> {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let ms = |value: &Value| Duration::from_secs_f64(value.as_f64().unwrap_or(0.0) / 1e3);
        let classes = config["settings"]["classes"].as_array().map_or(&[][..], Vec::as_slice);
        let classes = classes.iter().map(|c| Class {
            name: text(&c["name"]),
            effect: text(&c["effect"]),
            group: text(&c["group"]),
            window: ms(&c["dedupWindowMs"]),
            deadline: ms(&c["deadlineMs"]),
        });
        let known: Option<List> = serde_json::from_value(config["known"].clone()).ok();
        let inner = Arc::new(Inner {
            flaw,
            clock: Clock::start(),
            servers: Mutex::new(known.map_or(Vec::new(), |list| list.targets)),
            classes: classes.collect(),
            requests: AtomicU64::new(0),
            random: Mutex::new(fastrand::Rng::with_seed(7)),
        });
        let discovery: SocketAddr = text(&config["discovery"]).parse().map_err(|e| format!("{e}"))?;
        let listener = TcpListener::bind(text(&config["listen"])).await.map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let mut tasks = JoinSet::new();
        tasks.spawn(follow(Arc::clone(&inner), discovery));
        tasks.spawn(async move {
            let mut clients = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                clients.spawn(Arc::clone(&inner).converse(stream));
                while clients.try_join_next().is_some() {}
            }
        });
        Ok(Broken { address, _tasks: tasks })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn exchange(address: SocketAddr, text: &str, clock: Clock) -> Option<Message> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    Reader::new(stream, clock).next(|_, _| true).await.ok().map(|incoming| incoming.message)
}

async fn follow(inner: Arc<Inner>, discovery: SocketAddr) {
    let mut rev = None::<u64>;
    loop {
        let path = rev.map_or(String::new(), |rev| format!("?from={rev}&hold_ms=1000"));
        let text = format!("GET /registry/instances{path} HTTP/1.1\r\nHost: x\r\n\r\n");
        let message = timeout(Duration::from_secs(3), exchange(discovery, &text, inner.clock)).await;
        let list = message.ok().flatten().and_then(|m| serde_json::from_slice::<List>(&m.body).ok());
        let Some(list) = list else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        rev = Some(list.rev);
        let mut servers = locked(&inner.servers);
        if list.all {
            servers.clear();
        }
        for target in list.targets {
            servers.retain(|s| s.uid != target.uid);
            if target.state != "DELETED" {
                servers.push(target);
            }
        }
    }
}

impl Inner {
    async fn converse(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (input, mut output) = stream.into_split();
        let mut reader = Reader::new(input, self.clock);
        while let Ok(incoming) = reader.next(|_, _| true).await {
            let number = self.requests.fetch_add(1, Ordering::Relaxed);
            let text = if incoming.message.path() == "/health/ready" {
                answer(200, "", "")
            } else {
                self.request(&incoming.message).await
            };
            if self.flaw == Flaw::DropsAnswers && number % 10 == 9 {
                return;
            }
            let times = if self.flaw == Flaw::AnswersTwice && number % 10 == 9 { 2 } else { 1 };
            if output.write_all(text.repeat(times).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn pick(&self, avoid: &[String], building: Option<&str>) -> Option<Target> {
        let servers = locked(&self.servers);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let serves = |t: &&Target| t.state == "SERVING" || self.flaw == Flaw::IgnoresDrains;
        let open = servers.iter().filter(serves).filter(|t| !avoid.contains(&t.uid));
        let open: Vec<&Target> = open.filter(|t| building.is_none_or(|b| t.az == b)).collect();
        if self.flaw == Flaw::PushesCold {
            return open.iter().max_by_key(|t| t.boot_ms).map(|t| (*t).clone());
        }
        let mut random = locked(&self.random);
        // A server that has just started gets a tenth of a warm one's part.
        let weights: Vec<f64> =
            open.iter().map(|t| if now.saturating_sub(t.boot_ms) < 8000 { 0.1 } else { 1.0 }).collect();
        (!open.is_empty()).then(|| open[crate::standins::office::draw(&mut random, &weights)].clone())
    }

    /// The answer to a request.
    async fn request(&self, message: &Message) -> String {
        let name = message.header("x-call-class").unwrap_or_default();
        let Some(class) = self.classes.iter().find(|c| c.name == name) else { return answer(400, "", "") };
        let budget = message.header("x-budget-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
        let start = Instant::now();
        let end = start + Duration::from_millis(budget).min(class.deadline);
        let last = end.checked_sub(Duration::from_millis(40)).unwrap_or(end);
        let mut avoid = Vec::new();
        // Where it may have run first, and since when.
        let mut ran: Option<(String, Instant)> = None;
        for _ in 0..3 {
            if Instant::now() >= last {
                break;
            }
            let building = match &ran {
                None => None,
                Some((building, sent)) => {
                    let in_window = sent.elapsed() < class.window.mul_f64(0.8);
                    match (class.effect.as_str(), class.group.as_str()) {
                        ("idempotent", _) => None,
                        ("at_most_once", _) if self.flaw == Flaw::RepeatsUnsafe => None,
                        ("deduplicated", _) if self.flaw == Flaw::RepeatsOutside => None,
                        ("deduplicated", _) if self.flaw == Flaw::RepeatsLate => {
                            sleep(class.window + Duration::from_millis(400)).await;
                            Some(building.clone())
                        }
                        ("deduplicated", "all") if in_window => None,
                        ("deduplicated", "zone") if in_window => Some(building.clone()),
                        _ => break,
                    }
                }
            };
            let Some(target) = self.pick(&avoid, building.as_deref()) else { break };
            avoid.push(target.uid.clone());
            let sent = Instant::now();
            match self.attempt(message, &target, last).await {
                Outcome::Served(body) => {
                    return answer(200, "", &String::from_utf8_lossy(&body));
                }
                Outcome::NeverRan => {}
                Outcome::MayHaveRun => {
                    ran.get_or_insert((target.az.clone(), sent));
                }
            }
        }
        let harmless = ran.is_none() || class.effect == "idempotent" || self.flaw == Flaw::RefusesWhatRan;
        if !harmless {
            return answer(502, "", "failed");
        }
        if self.flaw == Flaw::HoldsRefusals {
            tokio::time::sleep_until(last).await;
        }
        answer(503, "Retry-After: 0.2\r\n", "refused")
    }

    async fn attempt(&self, message: &Message, target: &Target, last: Instant) -> Outcome {
        let connect = timeout(Duration::from_millis(200), TcpStream::connect(target.endpoint));
        let Ok(Ok(stream)) = connect.await else { return Outcome::NeverRan };
        let _ = stream.set_nodelay(true);
        // One request a connection: what has not arrived when it is given up never shall.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        let (input, mut output) = stream.into_split();
        let mut text = format!("{}\r\n", message.line);
        for (name, value) in &message.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let bytes = [text.as_bytes(), &message.body].concat();
        let mut reader = Reader::new(input, self.clock);
        let whole = async {
            output.write_all(&bytes).await.ok()?;
            reader.next(|_, _| true).await.ok()
        };
        match timeout_at(last, whole).await.ok().flatten() {
            Some(incoming) if incoming.message.status() == 200 => Outcome::Served(incoming.message.body),
            Some(incoming) if incoming.message.header("x-rejected") == Some("1") => Outcome::NeverRan,
            _ => Outcome::MayHaveRun,
        }
    }
}
