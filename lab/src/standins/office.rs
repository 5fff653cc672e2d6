//! Offices: clients that send when they are due, whether or not earlier requests have come back, and write down how each
//! try ended. Latency counts from the moment a request was due, so that an agent that stalls for a second shows a second.

use crate::clock::{At, Clock};
use crate::judge::evidence::{fingerprint, AgentIndex, Book, ClassFacts, Effect, End, Group, Stray, Try};
use crate::standins::http::{Broken, Reader};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at};

/// How long a client that has given up goes on listening for an answer that has begun.
const LONG_ANSWER_MOST: Duration = Duration::from_secs(30);
/// How long a client that has given up goes on listening, so that the checker can tell how late an answer came: what the
/// protocol allows beyond the give-up, and more for a machine that is busy.
const LISTEN_ON: Duration = Duration::from_millis(400);
/// Requests that may be under way at once; past it the lab itself would be the bottleneck, and says so.
const UNDER_WAY_MOST: usize = 20_000;
/// How many times are kept of how late the lab was.
const LAGS_MOST: usize = 4_000_000;
/// The shortest time after which a client comes back.
const RETRY_LEAST: Duration = Duration::from_millis(20);

/// What clients are like.
#[derive(Debug, Clone, Copy, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Habits {
    /// Retries after a first try.
    pub retries: u32,
    /// The wait before one, in milliseconds, where the refusal names none.
    pub retry_wait_ms: f64,
    /// The shares of its class's deadline that clients wait at least and at most, from their first try on.
    pub patience: (f64, f64),
    /// Every client has a patience of its own; otherwise one is drawn for the whole run, as one program has one setting.
    pub mixed: bool,
    /// The share of tries whose client goes away before its time.
    pub leaving: f64,
}

impl Default for Habits {
    fn default() -> Self {
        Habits { retries: 1, retry_wait_ms: 150.0, patience: (0.7, 1.0), mixed: false, leaving: 0.0 }
    }
}

/// An office and its part of the traffic.
#[derive(Debug, Clone)]
pub struct Office {
    /// Its name.
    pub name: String,
    /// Its share of all requests.
    pub share: f64,
}

/// What all offices do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The offices.
    pub offices: Vec<Office>,
    /// The classes, and the share of requests of each.
    pub classes: Vec<(ClassFacts, f64)>,
    /// First tries a second.
    pub rate: f64,
    /// Which part of the traffic each agent's clients make.
    pub agent_shares: Vec<f64>,
    /// What clients are like.
    pub habits: Habits,
    /// When first tries end.
    pub until: At,
    /// For random numbers.
    pub seed: u64,
}

/// A first try, before it is sent.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When it is due.
    pub due: At,
    /// Its class.
    pub class: usize,
    /// Its office.
    pub office: usize,
    /// The agent that its client uses.
    pub agent: AgentIndex,
    /// For the client's own random numbers.
    pub seed: u64,
}

/// The first tries of all offices, one after the other, as a plan draws them.
pub struct Arrivals {
    random: fastrand::Rng,
    shares: Vec<f64>,
    due: At,
}

impl Arrivals {
    /// From a moment on.
    pub fn from(plan: &Plan, start: At) -> Arrivals {
        let shares = plan.classes.iter().map(|c| c.1).collect();
        Arrivals { random: fastrand::Rng::with_seed(plan.seed), shares, due: start }
    }

    /// The next one, if each office sends so many times its usual traffic; `None` once the plan ends.
    pub fn next(&mut self, plan: &Plan, floods: &[f64]) -> Option<Arrival> {
        let weights: Vec<f64> = plan.offices.iter().zip(floods).map(|(o, f)| o.share * f).collect();
        let rate = plan.rate * weights.iter().sum::<f64>();
        if rate <= 0.0 {
            return None;
        }
        let random = &mut self.random;
        self.due = self.due.plus(Duration::from_secs_f64(-(1.0 - random.f64()).ln() / rate));
        let (class, office) = (draw(random, &self.shares), draw(random, &weights));
        let agent = draw(random, &plan.agent_shares);
        let seed = random.u64(..);
        (self.due <= plan.until).then_some(Arrival { due: self.due, class, office, agent, seed })
    }
}

/// One client from its first try to its last. It holds no socket: whoever sends for it asks what comes next.
pub struct Client {
    random: fastrand::Rng,
    habits: Habits,
    effect: Effect,
    deadline: Duration,
    start: At,
    /// When it stops waiting, over all its tries.
    pub give_up: At,
    /// 0 for its first try.
    pub number: u32,
    /// When its present try is due.
    pub due: At,
}

impl Client {
    /// A client whose first try is due. `shared` is the patience of the whole run, where it is not mixed.
    pub fn new(habits: Habits, facts: &ClassFacts, due: At, shared: f64, seed: u64) -> Client {
        let mut random = fastrand::Rng::with_seed(seed);
        let (least, most) = habits.patience;
        let drawn = if habits.mixed { random.f64() } else { shared };
        let give_up = due.plus(facts.deadline.mul_f64(least + (most - least) * drawn));
        let (effect, deadline) = (facts.effect, facts.deadline);
        Client { random, habits, effect, deadline, start: due, give_up, number: 0, due }
    }

    /// When it goes away before its time, if it does; to be asked once for each try.
    pub fn leaves(&mut self) -> Option<At> {
        let leaves = self.random.f64() < self.habits.leaving;
        leaves.then(|| self.due.plus(self.give_up.since(self.due).mul_f64(self.random.f64())))
    }

    /// Turns to its next try, if it makes one after this end of the present one.
    pub fn comes_again(&mut self, end: &End, ended: At) -> bool {
        let in_window = |window: Duration| ended.since(self.start) + self.deadline < window;
        let again = match (end, self.effect) {
            (End::Served(_) | End::Left, _) => false,
            // A refusal says that it is harmless; nothing was taken by an agent that wasn't reached.
            (_, Effect::Keyed(Group::All, window)) => in_window(window),
            (End::Refused(_) | End::Unsent, _) | (_, Effect::Safe) => true,
            (_, Effect::Keyed(Group::Zone, _) | Effect::Unsafe) => false,
        };
        if !again || self.number >= self.habits.retries {
            return false;
        }
        let usual = self.habits.retry_wait_ms / 1e3;
        let wait =
            if let End::Refused(Some(after)) = end { *after } else { usual * (0.5 + self.random.f64()) };
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(RETRY_LEAST).max(RETRY_LEAST);
        self.number += 1;
        self.due = ended.plus(wait);
        self.due.plus(RETRY_LEAST) < self.give_up
    }
}

struct Idle {
    reader: Reader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    last: String,
}

/// The clients' connections to one agent.
#[derive(Default)]
struct Lines(Mutex<Vec<Idle>>);

struct Inner {
    plan: Plan,
    clock: Clock,
    book: Book,
    agents: Mutex<Vec<SocketAddr>>,
    /// Agents to which the front sends no new connection.
    away: Mutex<HashSet<AgentIndex>>,
    lines: Vec<Lines>,
    /// By what factor each office sends more than usual.
    floods: watch::Sender<Vec<f64>>,
    under_way: AtomicUsize,
    names: AtomicUsize,
    lags: Mutex<Vec<u32>>,
    counts: Mutex<HashMap<&'static str, u64>>,
    /// Where between the least and the most patience all clients are, if it is not mixed.
    patience: f64,
}

/// A handle to all clients.
#[derive(Clone)]
pub struct Offices(Arc<Inner>);

fn locked<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request before it is sent.
#[derive(Clone)]
struct Order {
    first: usize,
    number: u32,
    class: usize,
    office: usize,
    agent: AgentIndex,
    key: Option<String>,
    due: At,
}

/// When a try was sent.
#[derive(Clone, Copy, Default)]
struct Sent {
    sent: Option<At>,
    resent: Option<At>,
    /// When its answer began, and how long the body was.
    began: Option<At>,
    bytes: usize,
}

impl Offices {
    /// Clients of agents that listen at these addresses.
    pub fn new(plan: Plan, agents: Vec<SocketAddr>, clock: Clock, book: Book) -> Offices {
        let lines = agents.iter().map(|_| Lines::default()).collect();
        let floods = watch::Sender::new(vec![1.0; plan.offices.len()]);
        let patience = fastrand::Rng::with_seed(plan.seed).f64();
        Offices(Arc::new(Inner {
            plan,
            clock,
            book,
            agents: Mutex::new(agents),
            away: Mutex::default(),
            lines,
            floods,
            under_way: AtomicUsize::new(0),
            names: AtomicUsize::new(0),
            lags: Mutex::default(),
            counts: Mutex::default(),
            patience,
        }))
    }

    /// An office sends so many times its usual traffic from now on.
    pub fn flood(&self, office: usize, factor: f64) {
        self.0.floods.send_modify(|floods| floods[office] = factor);
    }

    /// The front sends no new connection to an agent, or does so again. Clients go on using those that are open.
    pub fn send_away(&self, agent: AgentIndex, away: bool) {
        let mut agents = locked(&self.0.away);
        if away {
            agents.insert(agent);
        } else {
            agents.remove(&agent);
        }
    }

    /// Clients' connections to an agent that rest open.
    pub fn resting(&self, agent: AgentIndex) -> usize {
        locked(&self.0.lines[agent].0).iter().filter(|idle| !seen_on(idle).1).count()
    }

    /// The agent that a client of this one comes to now: another where the front sends nothing there and no connection is left.
    fn front(&self, agent: AgentIndex) -> AgentIndex {
        let away = locked(&self.0.away);
        if !away.contains(&agent) || locked(&self.0.lines[agent].0).iter().any(|idle| !seen_on(idle).1) {
            return agent;
        }
        let agents = self.0.lines.len();
        (1..agents).map(|n| (agent + n) % agents).find(|other| !away.contains(other)).unwrap_or(agent)
    }

    /// Tries under way.
    pub fn under_way(&self) -> usize {
        self.0.under_way.load(Ordering::Relaxed)
    }

    /// How many tries have ended in which way.
    pub fn counts(&self) -> HashMap<&'static str, u64> {
        locked(&self.0.counts).clone()
    }

    /// Sends until the plan ends, and waits for the last try to end.
    pub async fn run(self) {
        let inner = &self.0;
        let floods = inner.floods.subscribe();
        let mut tries = JoinSet::new();
        let mut arrivals = Arrivals::from(&inner.plan, inner.clock.now());
        let mut first = 0;
        loop {
            let factors = floods.borrow().clone();
            let Some(arrival) = arrivals.next(&inner.plan, &factors) else { break };
            let Arrival { due, class, office, agent, seed } = arrival;
            inner.clock.until(due).await;
            let late = inner.clock.now().since(due);
            {
                let mut lags = locked(&inner.lags);
                if lags.len() < LAGS_MOST {
                    lags.push(late.as_micros().min(u128::from(u32::MAX)) as u32);
                }
            }
            let keyed = matches!(inner.plan.classes[class].0.effect, Effect::Keyed(..));
            let key = keyed.then(|| format!("key-{first}"));
            if self.under_way() < UNDER_WAY_MOST {
                let order = Order { first, number: 0, class, office, agent, key, due };
                inner.under_way.fetch_add(1, Ordering::Relaxed);
                tries.spawn(self.clone().request(order, seed));
            }
            first += 1;
            while tries.try_join_next().is_some() {}
        }
        while tries.join_next().await.is_some() {}
        // What comes on connections that rest is owed to nobody.
        for (agent, lines) in inner.lines.iter().enumerate() {
            for idle in std::mem::take(&mut *locked(&lines.0)) {
                self.look_for_strays(agent, &idle);
            }
        }
        let mut lags = std::mem::take(&mut *locked(&inner.lags));
        lags.sort_unstable();
        let mut book = inner.book.open();
        let at = |q: f64| lags.get(((lags.len() as f64 * q) as usize).min(lags.len().saturating_sub(1)));
        let micros = |lag: Option<&u32>| Duration::from_micros(lag.copied().unwrap_or(0).into());
        book.lag_p99 = book.lag_p99.max(micros(at(0.99)));
        book.lag_most = book.lag_most.max(micros(at(1.0)));
    }

    /// A client's request with its retries.
    async fn request(self, mut order: Order, seed: u64) {
        let facts = self.0.plan.classes[order.class].0.clone();
        let mut client = Client::new(self.0.plan.habits, &facts, order.due, self.0.patience, seed);
        let give_up = client.give_up;
        loop {
            let leaves = client.leaves();
            order.agent = self.front(order.agent);
            let call = format!("c{}", self.0.names.fetch_add(1, Ordering::Relaxed));
            let (Sent { sent, resent, began, bytes }, end) = self.ask(&order, &call, give_up, leaves).await;
            let ended = self.0.clock.now();
            *locked(&self.0.counts).entry(name_of(&end)).or_default() += 1;
            self.0.book.open().tries.push(Try {
                call,
                first: order.first,
                number: order.number,
                class: order.class,
                office: order.office,
                agent: order.agent,
                key: order.key.clone(),
                due: order.due,
                sent,
                resent,
                give_up,
                began,
                bytes,
                end: end.clone(),
                ended,
            });
            if !client.comes_again(&end, ended) {
                break;
            }
            (order.number, order.due) = (client.number, client.due);
            self.0.clock.until(order.due).await;
        }
        self.0.under_way.fetch_sub(1, Ordering::Relaxed);
    }

    /// One try: when its last byte was written, and how it ended.
    async fn ask(&self, order: &Order, call: &str, give_up: At, leaves: Option<At>) -> (Sent, End) {
        let clock = self.0.clock;
        let last = clock.instant(give_up.plus(LISTEN_ON));
        let until = leaves.map_or(last, |at| clock.instant(at).min(last));
        let timed_out = || if leaves.is_some() { End::Left } else { End::Silent };
        let mut sent = Sent::default();
        for attempt in 0..2 {
            let (line, used) = match self.line(order.agent, until).await {
                Some(line) => line,
                None => return (sent, End::Unsent),
            };
            let Idle { mut reader, mut output, .. } = line;
            let left = give_up.since(clock.now()).as_millis();
            let text = self.text(order, call, left as u64);
            let began = OnceLock::new();
            let exchange = async {
                if output.write_all(text.as_bytes()).await.is_err() {
                    return Err(Broken::Closed);
                }
                sent.sent = Some(clock.now());
                reader
                    .next(|_, _| {
                        began.get_or_init(|| clock.now());
                        true
                    })
                    .await
            };
            let answer = {
                let mut exchange = pin!(exchange);
                match timeout_at(until, exchange.as_mut()).await {
                    // A long answer is timed by its first byte.
                    Err(_) if leaves.is_none() && began.get().is_some() => {
                        timeout(LONG_ANSWER_MOST, exchange).await
                    }
                    answer => answer,
                }
            };
            sent.began = began.get().copied();
            match answer {
                Err(_) => return (sent, timed_out()),
                Ok(Ok(incoming)) => {
                    let message = incoming.message;
                    sent.bytes = message.body.len();
                    let closes =
                        message.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    let idle = Idle { reader, output, last: call.to_string() };
                    if closes {
                        self.look_for_strays(order.agent, &idle);
                    } else {
                        locked(&self.0.lines[order.agent].0).push(idle);
                    }
                    let after = || message.header("retry-after").and_then(|v| v.parse().ok());
                    return (
                        sent,
                        match message.status() {
                            200 => End::Served(fingerprint(&message.body)),
                            429 | 503 => End::Refused(after()),
                            status => End::Failed(status),
                        },
                    );
                }
                // A connection that the agent closed between requests may cross this one: it is sent once more.
                Ok(Err(_)) if used && attempt == 0 && began.get().is_none() => {
                    sent.resent = Some(clock.now())
                }
                Ok(Err(Broken::Midway(..))) => return (sent, End::Broken),
                Ok(Err(_)) => return (sent, End::Closed),
            }
        }
        (sent, End::Closed)
    }

    fn text(&self, order: &Order, call: &str, left_ms: u64) -> String {
        let facts = &self.0.plan.classes[order.class].0;
        let head = format!(
            "Host: origin.svc\r\nX-Call-Id: {call}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Budget-Ms: {left_ms}\r\n",
            facts.name, self.0.plan.offices[order.office].name
        );
        let body = "session notes";
        let length = body.len();
        match (facts.effect, &order.key) {
            (Effect::Safe, _) => format!("GET /{} HTTP/1.1\r\n{head}\r\n", facts.name),
            (_, Some(key)) => format!(
                "POST /{} HTTP/1.1\r\n{head}Idempotency-Key: {key}\r\nContent-Length: {length}\r\n\r\n{body}",
                facts.name
            ),
            (_, None) => {
                format!("POST /{} HTTP/1.1\r\n{head}Content-Length: {length}\r\n\r\n{body}", facts.name)
            }
        }
    }

    /// A connection that rests, or a new one; and whether it has been used.
    async fn line(&self, agent: AgentIndex, until: tokio::time::Instant) -> Option<(Idle, bool)> {
        loop {
            let Some(idle) = locked(&self.0.lines[agent].0).pop() else { break };
            if !self.look_for_strays(agent, &idle) {
                return Some((idle, true));
            }
        }
        let address = locked(&self.0.agents)[agent];
        let stream = timeout_at(until, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (input, output) = stream.into_split();
        Some((Idle { reader: Reader::new(input, self.0.clock), output, last: String::new() }, false))
    }

    /// True if a connection can't be used: closed, or with an answer on it that nobody asked for.
    fn look_for_strays(&self, agent: AgentIndex, idle: &Idle) -> bool {
        let (waiting, closed) = seen_on(idle);
        let stray = waiting || idle.reader.unread() > 0;
        if stray {
            let (call, at) = (idle.last.clone(), self.0.clock.now());
            self.0.book.open().strays.push(Stray { agent, call, at });
        }
        stray || closed
    }
}

/// Whether bytes wait on a connection that rests, and whether it was closed.
fn seen_on(idle: &Idle) -> (bool, bool) {
    let stream: &TcpStream = idle.reader.input().as_ref();
    match socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit(); 1]) {
        Ok(n) => (n > 0, n == 0),
        Err(e) => (false, e.kind() != std::io::ErrorKind::WouldBlock),
    }
}

fn name_of(end: &End) -> &'static str {
    match end {
        End::Served(_) => "served",
        End::Refused(_) => "refused",
        End::Failed(_) | End::Broken => "failed",
        End::Closed | End::Silent => "lost",
        End::Left => "left",
        End::Unsent => "unsent",
    }
}

/// Draws a place by weights.
pub fn draw(random: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut left = random.f64() * weights.iter().sum::<f64>();
    for (place, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return place;
        }
    }
    weights.len().saturating_sub(1)
}

/// A task that wakes often and writes down how late: what a busy machine does to the lab, it does to the agents too.
pub async fn watch_lag(clock: Clock, book: Book) {
    let step = Duration::from_millis(5);
    loop {
        let due = clock.now().plus(step);
        clock.until(due).await;
        let late = clock.now().since(due);
        let mut book = book.open();
        book.lag_most = book.lag_most.max(late);
    }
}
