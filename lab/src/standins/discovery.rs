//! The platform's discovery, as its protocol words it: the whole list, or a watch on what has changed. One registry holds
//! the truth; every agent asks a [`View`] of its own, which has the addresses by which that agent reaches the servers,
//! can fail by itself, and writes down what it has told.

mod spoil;

pub use self::spoil::Spoil;

use self::spoil::End;
use crate::clock::{At, Clock};
use crate::judge::evidence::{AgentIndex, Book, ServerIndex, Told, Word};
use crate::standins::http::{answer, Reader};
use std::collections::{HashMap, VecDeque};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// The longest that a watch may wait, as the protocol has it.
const HOLD_MOST: Duration = Duration::from_secs(60);
/// Changes that are kept for watches; whoever asks from before them gets the whole list.
const HISTORY_MOST: usize = 4096;

/// A server as the list has it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its place in the world.
    pub server: ServerIndex,
    /// Its name.
    pub uid: String,
    /// Its building.
    pub building: String,
    /// What the list says of it.
    pub word: Word,
    /// When its present life began, in Unix milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

#[derive(Debug, Clone, Default)]
struct List {
    rev: u64,
    entries: Vec<Entry>,
    /// Which entry changed at which version.
    changes: Vec<(u64, usize)>,
    /// What tests put there in place of entries, in the protocol's own words.
    raw: Option<String>,
}

/// The one truth of who is there.
#[derive(Clone)]
pub struct Registry {
    list: Arc<watch::Sender<List>>,
}

impl Default for Registry {
    fn default() -> Self {
        Registry { list: Arc::new(watch::Sender::new(List { rev: 1, ..List::default() })) }
    }
}

impl Registry {
    /// Adds a server or changes what is said of it.
    pub fn set(&self, entry: Entry) {
        self.list.send_modify(|list| {
            list.rev += 1;
            let place = match list.entries.iter().position(|e| e.server == entry.server) {
                Some(place) => {
                    list.entries[place] = entry;
                    place
                }
                None => {
                    list.entries.push(entry);
                    list.entries.len() - 1
                }
            };
            list.changes.push((list.rev, place));
            if list.changes.len() > HISTORY_MOST {
                list.changes.drain(..HISTORY_MOST / 2);
            }
        });
    }

    /// Puts lines in the protocol's own words in place of all entries; every answer is the whole list then.
    pub fn set_raw(&self, targets: String) {
        self.list.send_modify(|list| {
            list.rev += 1;
            list.raw = Some(targets);
        });
    }

    /// What the list says of a server now.
    pub fn word(&self, server: ServerIndex) -> Word {
        let list = self.list.borrow();
        list.entries.iter().find(|e| e.server == server).map_or(Word::Gone, |e| e.word)
    }

    /// The list as an agent would be told it now, for the configuration that it starts with.
    pub fn known(&self, endpoints: &HashMap<ServerIndex, SocketAddr>) -> String {
        let list = self.list.borrow();
        body(&list, &list.entries, true, endpoints)
    }
}

fn line(entry: &Entry, endpoints: &HashMap<ServerIndex, SocketAddr>) -> Option<String> {
    let endpoint = endpoints.get(&entry.server)?;
    let state = match entry.word {
        Word::Serving(_) => "SERVING",
        Word::Draining => "DRAINING",
        Word::Gone => "DELETED",
    };
    Some(format!(
        r#"{{"uid":"{}","endpoint":"{endpoint}","az":"{}","model":"standard-3core","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{}}}"#,
        entry.uid, entry.building, entry.boot_ms
    ))
}

fn body(list: &List, entries: &[Entry], all: bool, endpoints: &HashMap<ServerIndex, SocketAddr>) -> String {
    let targets = match &list.raw {
        Some(raw) => raw.clone(),
        None => {
            let told = entries.iter().filter(|e| !all || e.word != Word::Gone);
            told.filter_map(|e| line(e, endpoints)).collect::<Vec<_>>().join(",")
        }
    };
    format!(r#"{{"rev":{},"all":{},"targets":[{targets}]}}"#, list.rev, all || list.raw.is_some())
}

/// How a view fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ailment {
    /// Not at all.
    #[default]
    None,
    /// Takes calls and says nothing.
    Silent,
    /// Calls fail, and watches end.
    Down,
    /// Answers whole lists and watches from the list as it stood when this began.
    Stale,
}

/// How slowly answers are written, whole and sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Pace {
    /// Before the first byte.
    pub before_head: Duration,
    /// The body is written in pieces of so many bytes; all at once if 0.
    pub piece_bytes: usize,
    /// Before each piece.
    pub before_piece: Duration,
}

struct Health {
    ailment: Ailment,
    stale: Option<List>,
    remembered: Option<List>,
    /// What is wrong with the next answers, one each.
    spoils: VecDeque<Spoil>,
    delay: Duration,
    pace: Pace,
}

struct Inner {
    agent: AgentIndex,
    registry: Registry,
    endpoints: HashMap<ServerIndex, SocketAddr>,
    clock: Clock,
    book: Book,
    health: Mutex<Health>,
    changed: watch::Sender<u64>,
    /// How often all calls that were out fell silent.
    silences: watch::Sender<u64>,
    asked: watch::Sender<Vec<String>>,
    /// Bytes of all whole answers.
    sent: AtomicU64,
    place: Mutex<(SocketAddr, AbortHandle)>,
}

/// Discovery as one agent sees it.
#[derive(Clone)]
pub struct View(Arc<Inner>);

impl View {
    /// Starts to listen on the present runtime; port 0 for any.
    pub async fn start(
        agent: AgentIndex,
        registry: Registry,
        endpoints: HashMap<ServerIndex, SocketAddr>,
        listen: SocketAddr,
        clock: Clock,
        book: Book,
    ) -> std::io::Result<View> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (remembered, spoils) = Default::default();
        let (delay, pace) = Default::default();
        let health = Health { ailment: Ailment::None, stale: None, remembered, spoils, delay, pace };
        let nothing = tokio::spawn(async {}).abort_handle();
        let view = View(Arc::new(Inner {
            agent,
            registry,
            endpoints,
            clock,
            book,
            health: Mutex::new(health),
            changed: watch::Sender::new(0),
            silences: watch::Sender::new(0),
            asked: watch::Sender::default(),
            sent: AtomicU64::new(0),
            place: Mutex::new((address, nothing)),
        }));
        view.listen(listener, address);
        Ok(view)
    }

    /// Where it listens now.
    pub fn address(&self) -> SocketAddr {
        locked(&self.0.place).0
    }

    /// By what addresses the agent reaches the servers.
    pub fn endpoints(&self) -> &HashMap<ServerIndex, SocketAddr> {
        &self.0.endpoints
    }

    /// The paths that have been asked for; can be waited on.
    pub fn asked(&self) -> watch::Receiver<Vec<String>> {
        self.0.asked.subscribe()
    }

    /// How many bytes of answers have been written, heads and bodies.
    pub fn bytes_sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }

    /// Fails from now on, or no more.
    pub fn ail(&self, ailment: Ailment) {
        let mut health = locked(&self.0.health);
        health.ailment = ailment;
        health.stale = (ailment == Ailment::Stale).then(|| self.0.registry.list.borrow().clone());
        drop(health);
        self.0.changed.send_modify(|n| *n += 1);
    }

    /// All calls that are out fall silent for good, and their connections stay open; later calls are answered.
    pub fn silence(&self) {
        self.0.silences.send_modify(|n| *n += 1);
    }

    /// Keeps the list as it stands for answers that are [`Spoil::Older`].
    pub fn remember(&self) {
        locked(&self.0.health).remembered = Some(self.0.registry.list.borrow().clone());
    }

    /// The next answers are spoilt, one in each of these ways.
    pub fn spoil(&self, ways: &[Spoil]) {
        locked(&self.0.health).spoils.extend(ways);
    }

    /// Answers so much later from now on.
    pub fn delay(&self, delay: Duration) {
        locked(&self.0.health).delay = delay;
    }

    /// Writes answers at this pace from now on.
    pub fn pace(&self, pace: Pace) {
        locked(&self.0.health).pace = pace;
    }

    /// Listens elsewhere; the old address is closed with all its calls. The agent learns of it by its configuration.
    pub async fn move_away(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        locked(&self.0.place).1.abort();
        self.listen(listener, address);
        Ok(address)
    }

    fn listen(&self, listener: TcpListener, address: SocketAddr) {
        let view = self.clone();
        let task = tokio::spawn(async move {
            let mut calls = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => { calls.spawn(view.clone().converse(stream)); }
                        Err(_) => sleep(Duration::from_millis(10)).await,
                    },
                    Some(_) = calls.join_next() => {}
                }
            }
        });
        *locked(&self.0.place) = (address, task.abort_handle());
    }

    async fn converse(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (input, mut output) = stream.into_split();
        let mut reader = Reader::new(input, self.0.clock);
        while let Ok(incoming) = reader.next(|_, _| true).await {
            let path = incoming.message.path().to_string();
            // Before anybody can see the call: whoever does may silence it.
            let mut silences = self.0.silences.subscribe();
            self.0.asked.send_modify(|asked| asked.push(path.clone()));
            // News that come with the silence are not told: the silence is looked at first.
            let answer = tokio::select! {
                biased;
                Ok(()) = silences.changed() => pending().await,
                answer = self.answer(&path) => answer,
            };
            let Some((text, told)) = answer else { return };
            let Health { delay, pace, .. } = *locked(&self.0.health);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let (text, told, end) = self.spoilt(text, told);
            // From the write on the agent can act on it, and no earlier.
            if write_at_pace(&mut output, &text, pace).await.is_err() {
                return;
            }
            self.0.sent.fetch_add(text.len() as u64, Ordering::Relaxed);
            let (at, agent) = (self.0.clock.now(), self.0.agent);
            let told = told.into_iter().map(|(server, word)| Told { agent, server, word, at });
            self.0.book.open().told.extend(told);
            match end {
                End::None => {}
                End::Cut => return,
                End::Open => pending().await,
            }
        }
    }

    /// The answer as it goes out: what is wrong with it, and how it ends. What a spoilt one tells counts as told.
    fn spoilt(
        &self,
        text: String,
        told: Vec<(ServerIndex, Word)>,
    ) -> (String, Vec<(ServerIndex, Word)>, End) {
        let (way, older) = {
            let mut health = locked(&self.0.health);
            (health.spoils.pop_front(), health.remembered.clone())
        };
        match (way, older) {
            (Some(Spoil::Older), Some(list)) => {
                let (text, told) = self.tell(&list, &list.entries, true);
                (text, told, End::None)
            }
            (way, _) => {
                let (text, end) = way.map_or((text.clone(), End::None), |way| way.apply(&text));
                (text, told, end)
            }
        }
    }

    /// The answer to a call, and what it tells; `None` if the connection just ends.
    async fn answer(&self, path: &str) -> Option<(String, Vec<(ServerIndex, Word)>)> {
        if !path.starts_with("/registry/instances") {
            return Some((answer(404, "", ""), Vec::new()));
        }
        let number = |name: &str| {
            let text = path.split(['?', '&']).find_map(|part| part.strip_prefix(name))?;
            text.parse::<u64>().ok()
        };
        let from = number("from=");
        let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0)).min(HOLD_MOST);
        let until = self.0.clock.now().plus(hold);
        let (mut list, mut changed) = (self.0.registry.list.subscribe(), self.0.changed.subscribe());
        loop {
            changed.borrow_and_update();
            let (ailment, stale) = {
                let health = locked(&self.0.health);
                (health.ailment, health.stale.clone())
            };
            match ailment {
                Ailment::Silent => {
                    let _ = changed.changed().await;
                    continue;
                }
                Ailment::Down => return Some((answer(503, "", ""), Vec::new())),
                Ailment::None | Ailment::Stale => {}
            }
            let present = stale.unwrap_or_else(|| list.borrow_and_update().clone());
            let now = self.0.clock.now();
            let Some(from) = from else { return Some(self.tell(&present, &present.entries, true)) };
            if present.rev > from {
                let oldest = present.changes.first().map_or(1, |c| c.0);
                if from + 1 < oldest {
                    return Some(self.tell(&present, &present.entries, true));
                }
                let changes = present.changes.iter().filter(|c| c.0 > from);
                let mut places: Vec<usize> = changes.map(|c| c.1).collect();
                places.sort_unstable();
                places.dedup();
                let entries: Vec<Entry> = places.iter().map(|p| present.entries[*p].clone()).collect();
                return Some(self.tell(&present, &entries, false));
            }
            if now >= until {
                return Some(self.tell(&present, &[], false));
            }
            let news = async {
                tokio::select! {
                    _ = list.changed() => {}
                    _ = changed.changed() => {}
                }
            };
            let _ = timeout(until.since(now), news).await;
        }
    }

    fn tell(&self, list: &List, entries: &[Entry], all: bool) -> (String, Vec<(ServerIndex, Word)>) {
        let text =
            answer(200, "Content-Type: application/json\r\n", &body(list, entries, all, &self.0.endpoints));
        (text, entries.iter().map(|e| (e.server, e.word)).collect())
    }
}

/// Writes an answer piece by piece. It can be acted on once all of it is written.
async fn write_at_pace(output: &mut OwnedWriteHalf, text: &str, pace: Pace) -> std::io::Result<()> {
    let head_bytes = text.find("\r\n\r\n").map_or(0, |end| end + 4);
    let (head, body) = text.as_bytes().split_at(head_bytes);
    if pace == Pace::default() {
        return output.write_all(text.as_bytes()).await;
    }
    sleep(pace.before_head).await;
    output.write_all(head).await?;
    let piece_bytes = if pace.piece_bytes == 0 { body.len().max(1) } else { pace.piece_bytes };
    for piece in body.chunks(piece_bytes) {
        sleep(pace.before_piece).await;
        output.write_all(piece).await?;
    }
    Ok(())
}

fn locked<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What an agent was told by the list that its configuration held.
pub fn told_at_start(agent: AgentIndex, entries: &[(ServerIndex, Word)], at: At) -> Vec<Told> {
    entries.iter().map(|&(server, word)| Told { agent, server, word, at }).collect()
}

#[cfg(test)]
mod tests;
