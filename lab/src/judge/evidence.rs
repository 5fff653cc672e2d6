//! What is written down while a world runs, by those outside the agents: servers, lists and offices. The checker reads
//! nothing else; no agent is asked about itself.

use crate::clock::At;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A server by its place in the world.
pub type ServerIndex = usize;
/// An agent by its place in the world.
pub type AgentIndex = usize;

/// Who drops repeats of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All servers.
    All,
    /// Those of one building.
    Zone,
}

/// What a class allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated at will.
    Safe,
    /// Servers of the group drop a repeat of its key for the window.
    Keyed(Group, Duration),
    /// It must not be repeated once it may have run.
    Unsafe,
}

/// A class, as far as rules and service go.
#[derive(Debug, Clone)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// What it allows.
    pub effect: Effect,
    /// An answer after this is worth nothing.
    pub wanted: Duration,
    /// The longest that a client waits.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub worth: f64,
}

/// One request that reached a server whole.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its number in the truth log, which its answer names.
    pub serial: u64,
    /// Where.
    pub server: ServerIndex,
    /// Which life of that server: 0 from the start, one more with every restart.
    pub life: u32,
    /// The client's name for the request.
    pub call: String,
    /// Its class.
    pub class: usize,
    /// Its key.
    pub key: Option<String>,
    /// The work that it brings, in microseconds of a warm core.
    pub work: u64,
    /// When its first byte came.
    pub first: At,
    /// When its last byte came.
    pub came: At,
    /// When it was put to work.
    pub began: Option<At>,
    /// When it took effect.
    pub effect: Option<At>,
    /// It was a repeat that was dropped.
    pub dropped: bool,
    /// When it was turned away as never run.
    pub rejected: Option<At>,
    /// When its answer was written, whole.
    pub answered: Option<At>,
    /// When nothing more could come of it for the agent: answered, broken, or the agent closed.
    pub over: Option<At>,
    /// Of the body of its answer.
    pub body: u64,
}

/// A request that began to come to a server and never came whole.
#[derive(Debug, Clone)]
pub struct Fragment {
    /// Where.
    pub server: ServerIndex,
    /// Which request, if its head came whole.
    pub call: Option<String>,
    /// When its first byte came.
    pub first: At,
}

/// One life of a server.
#[derive(Debug, Clone)]
pub struct Life {
    /// Which server.
    pub server: ServerIndex,
    /// Its number.
    pub life: u32,
    /// When it began.
    pub from: At,
    /// Whether it began cold.
    pub cold: bool,
    /// When it fell over.
    pub fell: Option<At>,
    /// What it can do warm, in microseconds of work a second.
    pub capacity: f64,
}

/// What a list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// It serves, in the life of this number.
    Serving(u32),
    /// It drains.
    Draining,
    /// It is gone.
    Gone,
}

/// Something that an agent was told by its list.
#[derive(Debug, Clone, Copy)]
pub struct Told {
    /// Who.
    pub agent: AgentIndex,
    /// Of whom.
    pub server: ServerIndex,
    /// What.
    pub word: Word,
    /// When it had been written to the agent.
    pub at: At,
}

/// How a client's try ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// 200, with this of its body.
    Served(u64),
    /// 429 or 503, with the time to come back after in seconds.
    Refused(Option<f64>),
    /// Any other whole answer.
    Failed(u16),
    /// An answer began and did not come whole, and the client could tell.
    Broken,
    /// The connection ended with no answer.
    Closed,
    /// Nothing came, and the client gave up.
    Silent,
    /// The client went away before its time.
    Left,
    /// The agent could not be reached, so that it took nothing.
    Unsent,
}

/// One try of a client.
#[derive(Debug, Clone)]
pub struct Try {
    /// Its name.
    pub call: String,
    /// Which of the first tries it belongs to.
    pub first: usize,
    /// 0 for a first try.
    pub number: u32,
    /// Its class.
    pub class: usize,
    /// Whose it is.
    pub office: usize,
    /// Which agent it was sent to.
    pub agent: AgentIndex,
    /// Its key.
    pub key: Option<String>,
    /// When it was due: latency counts from here.
    pub due: At,
    /// When its last byte was written.
    pub sent: Option<At>,
    /// When it was sent once more, since the agent had closed its connection between requests.
    pub resent: Option<At>,
    /// When the client stops waiting.
    pub give_up: At,
    /// When its answer began.
    pub began: Option<At>,
    /// The length of the answer's body.
    pub bytes: usize,
    /// How it ended.
    pub end: End,
    /// When.
    pub ended: At,
}

/// Bytes that came where none were owed: a second answer.
#[derive(Debug, Clone)]
pub struct Stray {
    /// Who sent them.
    pub agent: AgentIndex,
    /// The last request on that connection.
    pub call: String,
    /// When they were found.
    pub at: At,
}

/// A time in which an agent was not there: killed or restarted by the world.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// Who.
    pub agent: AgentIndex,
    /// From when.
    pub from: At,
    /// Until when it listened again.
    pub to: At,
}

/// A time in which links said nothing: what is stuck in one looks over at its server, and is still out for its agent.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    /// From when.
    pub from: At,
    /// Until when.
    pub to: At,
}

/// What was seen of an agent that operators have sent the clients of away, or wanted them back for.
#[derive(Debug, Clone, Copy)]
pub struct Emptied {
    /// Who.
    pub agent: AgentIndex,
    /// When it was looked at.
    pub at: At,
    /// Whether the clients are to be away.
    pub away: bool,
    /// Whether it says that it is ready for clients.
    pub ready: bool,
    /// Clients' connections to it that rest open.
    pub resting: usize,
}

/// A client that stopped in the middle of a request and stayed.
#[derive(Debug, Clone, Copy)]
pub struct HalfRequest {
    /// At which agent.
    pub agent: AgentIndex,
    /// When its last byte was written.
    pub from: At,
    /// When it was answered or its connection ended.
    pub to: At,
}

/// A whole answer that a pausing server was still writing when its connection ended.
#[derive(Debug, Clone)]
pub struct CutOff {
    /// Where.
    pub server: ServerIndex,
    /// The client's name for the request.
    pub call: String,
    /// When the request came.
    pub came: At,
    /// When its first part was written.
    pub began: At,
    /// When the connection had ended.
    pub at: At,
    /// The length of the answer.
    pub bytes: usize,
}

/// Everything that was written down.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// What reached the servers.
    pub attempts: Vec<Attempt>,
    /// What reached them in part.
    pub fragments: Vec<Fragment>,
    /// The servers' lives.
    pub lives: Vec<Life>,
    /// What the lists told.
    pub told: Vec<Told>,
    /// The clients' tries.
    pub tries: Vec<Try>,
    /// Second answers.
    pub strays: Vec<Stray>,
    /// Agents that were killed.
    pub outages: Vec<Outage>,
    /// What was seen of agents that were emptied.
    pub emptied: Vec<Emptied>,
    /// Clients that stopped in the middle of a request.
    pub half_requests: Vec<HalfRequest>,
    /// Links that said nothing.
    pub silences: Vec<Silence>,
    /// Answers that were cut off while their servers paused.
    pub cut_off: Vec<CutOff>,
    /// When links were reset.
    pub resets: Vec<At>,
    /// How late the lab itself was at worst: what it should have done at a moment, it did this much later.
    pub lag_most: Duration,
    /// And how late 99 of 100 times.
    pub lag_p99: Duration,
}

/// The log that all stand-ins of a world write to.
#[derive(Debug, Clone, Default)]
pub struct Book(Arc<Mutex<Evidence>>);

impl Book {
    /// The evidence, to write to or to look at; not to be held across a wait.
    pub fn open(&self) -> MutexGuard<'_, Evidence> {
        // What a panicking writer has left is still evidence.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an attempt down; its number.
    pub fn came(&self, attempt: Attempt) -> u64 {
        let mut book = self.open();
        let serial = book.attempts.len() as u64;
        book.attempts.push(Attempt { serial, ..attempt });
        serial
    }

    /// Adds to what is known of an attempt.
    pub fn note(&self, serial: u64, note: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.open().attempts.get_mut(serial as usize) {
            note(attempt);
        }
    }
}

impl Evidence {
    /// Counts all times from a later moment on; what was before it was at it.
    pub fn since(mut self, zero: At) -> Evidence {
        let shift = |at: &mut At| at.0 = at.0.saturating_sub(zero.0);
        let maybe = |at: &mut Option<At>| at.iter_mut().for_each(shift);
        for a in &mut self.attempts {
            [&mut a.first, &mut a.came].into_iter().for_each(shift);
            [&mut a.began, &mut a.effect, &mut a.rejected, &mut a.answered, &mut a.over]
                .into_iter()
                .for_each(maybe);
        }
        self.fragments.iter_mut().for_each(|f| shift(&mut f.first));
        for life in &mut self.lives {
            shift(&mut life.from);
            maybe(&mut life.fell);
        }
        self.told.iter_mut().for_each(|t| shift(&mut t.at));
        for t in &mut self.tries {
            [&mut t.due, &mut t.give_up, &mut t.ended].into_iter().for_each(shift);
            maybe(&mut t.began);
            [&mut t.sent, &mut t.resent].into_iter().for_each(maybe);
        }
        self.strays.iter_mut().for_each(|s| shift(&mut s.at));
        self.emptied.iter_mut().for_each(|e| shift(&mut e.at));
        self.silences.iter_mut().for_each(|s| {
            [&mut s.from, &mut s.to].into_iter().for_each(shift);
        });
        self.cut_off.iter_mut().for_each(|c| {
            [&mut c.came, &mut c.began, &mut c.at].into_iter().for_each(shift);
        });
        self.resets.iter_mut().for_each(shift);
        self.half_requests.iter_mut().for_each(|h| {
            [&mut h.from, &mut h.to].into_iter().for_each(shift);
        });
        self.outages.iter_mut().for_each(|o| {
            [&mut o.from, &mut o.to].into_iter().for_each(shift);
        });
        self
    }

    /// The tries by their names.
    pub fn by_call(&self) -> HashMap<&str, &Try> {
        self.tries.iter().map(|t| (t.call.as_str(), t)).collect()
    }

    /// The attempts by their requests, each in the order of coming.
    pub fn attempts_by_call(&self) -> HashMap<&str, Vec<&Attempt>> {
        let mut by_call: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &self.attempts {
            by_call.entry(&attempt.call).or_default().push(attempt);
        }
        by_call.values_mut().for_each(|list| list.sort_by_key(|a| (a.first, a.serial)));
        by_call
    }
}

/// A number for a body, the same on both sides.
pub fn fingerprint(body: &[u8]) -> u64 {
    // FNV-1a.
    body.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
