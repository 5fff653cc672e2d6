//! The server list as received from discovery, and the commands to the task that fetches it. Both the driver
//! and the sources depend on this module.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{watch, Notify};

/// A server list or a change of it, in the format of discovery.
#[derive(Debug, Clone, Deserialize)]
pub struct ListReply {
    /// Version of the list.
    pub rev: i64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub all: bool,
    /// Entries of the list.
    pub targets: Entries,
}

/// The entries that can be parsed, and what is known of the others. An entry that can't be parsed must
/// neither make the agent ignore all others nor remove the server that it names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Entries {
    /// Entries that can be parsed.
    pub read: Vec<Target>,
    /// Names of the servers whose entries can't be parsed; their previous state is kept.
    pub unreadable: Vec<String>,
    /// Number of entries that can't be parsed and name no server.
    pub unnamed: usize,
}

impl<'de> Deserialize<'de> for Entries {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Entries, D::Error> {
        #[derive(Deserialize)]
        struct Named {
            uid: String,
        }
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum ListItem {
            Read(Target),
            Named(Named),
            Other(IgnoredAny),
        }
        let mut entries = Entries::default();
        for entry in Vec::<ListItem>::deserialize(input)? {
            match entry {
                ListItem::Read(target) => entries.read.push(target),
                ListItem::Named(named) => entries.unreadable.push(named.uid),
                ListItem::Other(_) => entries.unnamed += 1,
            }
        }
        Ok(entries)
    }
}

impl Entries {
    /// The number of entries that can't be parsed.
    pub fn unreadable_count(&self) -> usize {
        self.unreadable.len() + self.unnamed
    }

    /// Whether there are entries and none can be parsed. Taken as a complete list, that would remove all
    /// servers.
    pub fn none_readable(&self) -> bool {
        self.read.is_empty() && self.unreadable_count() > 0
    }
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Target {
    /// Name of the server, the same for all agents.
    pub uid: String,
    /// Address at which this agent reaches the server.
    pub endpoint: SocketAddr,
    /// Zone of the server.
    #[serde(default)]
    pub az: String,
    /// Kind of the server.
    #[serde(default)]
    pub model: String,
    /// Cell of the server.
    #[serde(default)]
    pub pod_group: u32,
    /// State of the server.
    pub state: State,
    /// Capacity relative to the other servers.
    #[serde(default)]
    pub capacity_hint: Option<f64>,
    /// When the server last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

/// The states of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    /// Takes requests.
    Serving,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Removed.
    Deleted,
}

/// How the driver and the operators control the task that fetches the server list.
pub struct DiscoveryCommands {
    watching: watch::Sender<bool>,
    fetch: Notify,
    source: watch::Sender<SocketAddr>,
}

impl DiscoveryCommands {
    /// Creates the commands with the address of discovery; the list is neither watched nor fetched yet.
    pub fn new(source: SocketAddr) -> Rc<Self> {
        let (watching, source) = (watch::Sender::new(false), watch::Sender::new(source));
        Rc::new(DiscoveryCommands { watching, fetch: Notify::new(), source })
    }

    /// Whether the decision module wants the list to be watched.
    pub fn watching(&self) -> watch::Receiver<bool> {
        self.watching.subscribe()
    }

    /// The address of discovery.
    pub fn source(&self) -> watch::Receiver<SocketAddr> {
        self.source.subscribe()
    }

    /// Completes when the complete list is requested.
    pub async fn fetch_requested(&self) {
        self.fetch.notified().await;
    }

    /// Starts or ends the watch of the list.
    pub fn set_watching(&self, active: bool) {
        self.watching.send_replace(active);
    }

    /// Requests the complete list once.
    pub fn fetch(&self) {
        self.fetch.notify_one();
    }

    /// Changes the address of discovery; returns whether it differs from the previous one.
    pub fn set_source(&self, source: SocketAddr) -> bool {
        self.source.send_if_modified(|old| std::mem::replace(old, source) != source)
    }
}
