//! What a list of servers says, and what is wanted of those who bring it. Below both the driver and the sources.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// A list or a change of it, in discovery's form.
#[derive(Debug, Clone, Deserialize)]
pub struct ListReply {
    /// Its version.
    pub rev: i64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub all: bool,
    /// Its lines.
    pub targets: Lines,
}

/// The lines that can be read, and what is known of the others: one that can't be read must not make the agent deaf to all
/// others, nor send away the server that it names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Lines {
    /// Those that can be read.
    pub read: Vec<Target>,
    /// The servers that others name; what is known of them stands.
    pub unread: Vec<String>,
    /// How many others name nobody.
    pub nameless: usize,
}

impl<'de> Deserialize<'de> for Lines {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Lines, D::Error> {
        #[derive(Deserialize)]
        struct Named {
            uid: String,
        }
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Line {
            Read(Target),
            Named(Named),
            Other(IgnoredAny),
        }
        let mut lines = Lines::default();
        for line in Vec::<Line>::deserialize(input)? {
            match line {
                Line::Read(target) => lines.read.push(target),
                Line::Named(named) => lines.unread.push(named.uid),
                Line::Other(_) => lines.nameless += 1,
            }
        }
        Ok(lines)
    }
}

impl Lines {
    /// How many can't be read.
    pub fn odd(&self) -> usize {
        self.unread.len() + self.nameless
    }

    /// There are lines, and none can be read: taken as a whole list, it would send everybody away.
    pub fn are_garbled(&self) -> bool {
        self.read.is_empty() && self.odd() > 0
    }
}

/// A line of the list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
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

/// How the driver and the operators tell a source of the list what they want.
pub struct Commands {
    following: watch::Sender<bool>,
    fetch: Notify,
    source: watch::Sender<SocketAddr>,
}

impl Commands {
    /// Neither watching nor asking.
    pub fn new(source: SocketAddr) -> Rc<Self> {
        let (following, source) = (watch::Sender::new(false), watch::Sender::new(source));
        Rc::new(Commands { following, fetch: Notify::new(), source })
    }

    /// Whether the module wants the list watched.
    pub fn following(&self) -> watch::Receiver<bool> {
        self.following.subscribe()
    }

    /// Where the platform's discovery listens.
    pub fn source(&self) -> watch::Receiver<SocketAddr> {
        self.source.subscribe()
    }

    /// Comes back when the whole list is wanted.
    pub async fn fetch_wanted(&self) {
        self.fetch.notified().await;
    }

    /// Starts or ends the watch.
    pub fn follow(&self, active: bool) {
        self.following.send_replace(active);
    }

    /// Asks for the whole list once.
    pub fn fetch(&self) {
        self.fetch.notify_one();
    }

    /// Discovery listens elsewhere from now on; true if that is news.
    pub fn move_to(&self, source: SocketAddr) -> bool {
        self.source.send_if_modified(|old| std::mem::replace(old, source) != source)
    }
}
