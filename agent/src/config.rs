//! What the agent is told at its start, by the environment and the file that it names.

use crate::fault::Fault;
use crate::inherit;
use crate::limits::{Deployment, Limits, LimitsBase, SOCKETS_LEAST};
use crate::list::ListReply;
use crate::log::log;
use crate::peers::config::{PeerWords, PeersConfig};
use crate::peers::configuration::ConfigurationConfig;
use crate::switches::{read_bounded, EventsTable, LimitsTable, Switches};
use ryelead_settings::SettingsFile;
use serde::Deserialize;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    admin: Option<String>,
    #[serde(default)]
    seed: Option<serde_json::Value>,
    #[serde(default)]
    name: String,
    #[serde(default)]
    peer_listen: Option<serde_json::Value>,
    #[serde(default)]
    peers: Option<serde_json::Value>,
    #[serde(default)]
    limits: LimitsStated,
    #[serde(default)]
    known: Option<ListReply>,
    settings: SettingsFile,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LimitsStated {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// What overrules the file.
#[derive(Default)]
struct Words {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    name: Option<String>,
}

/// All that the agent is told.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The socket for them, if the platform holds it.
    pub listener: Option<TcpListener>,
    /// Where operators call, if they do.
    pub admin: Option<SocketAddr>,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// What the agent allows itself at its start.
    pub limits: Limits,
    /// What a change of configuration is checked against, and what returns when one leaves a key out.
    pub base: LimitsBase,
    /// How often a line counts what the agent does, if it does.
    pub tally_every: Option<Duration>,
    /// Events of each request, if they are asked for.
    pub events: Option<EventsTable>,
    /// The other agents, where a file switches them on.
    pub peers: Option<PeersConfig>,
    /// The list as this agent last had it.
    pub known: Option<ListReply>,
    /// The settings object.
    pub settings: SettingsFile,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; `LB_LISTEN`, `LB_DISCOVERY`, `LB_ADMIN` and `LB_NAME` overrule what it says. Takes over
    /// the socket that `LB_LISTEN_FD` names, if it does.
    pub fn from_env(switches: Switches) -> Result<Config, Fault> {
        let path = var("LB_CONFIG")
            .ok_or_else(|| Fault::of_all("LB_CONFIG is not set; it must name the configuration file"))?;
        let of_file = |fault: Fault| fault.in_file(&path);
        let file = read(Path::new(&path)).map_err(of_file)?;
        let over = Words {
            listen: var("LB_LISTEN"),
            discovery: var("LB_DISCOVERY"),
            admin: var("LB_ADMIN"),
            name: var("LB_NAME"),
        };
        let config = Config::new(file, switches, over).map_err(of_file)?;
        let listener = inherit::listener(config.listen)?;
        Ok(Config { listener, ..config })
    }

    /// Reads a configuration file as if `LB_CONFIG` named it.
    pub fn read(path: &Path, switches: Switches) -> Result<Config, Fault> {
        read(path)
            .and_then(|file| Config::new(file, switches, Words::default()))
            .map_err(|fault| fault.in_file(path))
    }

    /// Reads the text of a configuration file.
    pub fn parse(text: &[u8], switches: Switches) -> Result<Config, Fault> {
        Config::new(parse(text)?, switches, Words::default())
    }

    /// Reads the file once more, at the operators' signal: where discovery listens now, as the file has it. The
    /// environment is as old as the process and has no say here. Nothing else changes without a restart.
    pub fn reread_discovery() -> Result<SocketAddr, Fault> {
        #[derive(Deserialize)]
        struct Moved {
            discovery: String,
        }
        let path = var("LB_CONFIG").ok_or_else(|| Fault::of_all("LB_CONFIG is not set"))?;
        let moved = read_bounded(Path::new(&path)).and_then(|text| parse_as::<Moved>(&text));
        moved
            .and_then(|moved| address("discovery", Some(moved.discovery)))
            .map_err(|fault| fault.in_file(&path))
    }

    fn new(file: File, switches: Switches, over: Words) -> Result<Config, Fault> {
        file.settings.settings().validate().map_err(|e| Fault::of_key("settings", e.to_string()))?;
        if file.settings.class_names().iter().any(String::is_empty) {
            return Err(Fault::of_key("settings.classes", "a request class has no name"));
        }
        let deployment = Deployment::new(file.limits.sockets, file.limits.memory_mb, held_by_process)?;
        let tally_every = switches.tally.map(|tally| Duration::from_millis(tally.every_ms));
        let seed = file.seed.map_or(0, |seed| seed_number(&seed));
        let words = PeerWords {
            allowed: file.settings.settings().peers,
            number: file.settings.number(),
            name: over.name.unwrap_or(file.name),
            listen: file.peer_listen,
            peers: file.peers,
            seed,
        };
        let configuration = switches.configuration.as_ref().map(ConfigurationConfig::new).transpose()?;
        if configuration.is_some() && switches.fleet.is_none() {
            return Err(Fault::of_key("configuration", "needs [fleet]: changes go from agent to agent"));
        }
        let peers = switches
            .fleet
            .map(|fleet| PeersConfig::new(words, &fleet, switches.trial, configuration))
            .transpose()?;
        let base = LimitsBase { deployment, table: switches.limits.unwrap_or_default() };
        let limits = base.limits(&LimitsTable::default())?;
        let listen = address("listen", over.listen.or(file.listen))?;
        let admin = over.admin.or(file.admin).map(|text| address("admin", Some(text))).transpose()?;
        if admin.is_some_and(|admin| admin == listen && admin.port() != 0) {
            return Err(Fault::of_key(
                "admin",
                format!("{listen} is the address for clients; operators need their own"),
            ));
        }
        Ok(Config {
            listen,
            listener: None,
            admin,
            discovery: address("discovery", over.discovery.or(file.discovery))?,
            seed,
            limits,
            base,
            tally_every,
            events: switches.events,
            peers,
            known: file.known,
            settings: file.settings,
        })
    }
}

/// Of the descriptors that the configuration allows, those that this process may hold: where they are fewer, clients that
/// rest would leave none for the list and for servers.
fn held_by_process(told: usize) -> usize {
    let may = rlimit::Resource::NOFILE.get().map_or(usize::MAX, |(soft, _)| soft as usize);
    if may < told {
        log(&format!("the process may hold {may} descriptors, limits.sockets says {told}: the fewer count"));
    }
    told.min(may).max(SOCKETS_LEAST)
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn parse_as<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Fault> {
    let mut document = serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(&mut document).map_err(|e| {
        let reason = format!("not a configuration: {}", e.inner());
        Fault::at_path(e.path(), &reason)
    })
}

fn parse(text: &[u8]) -> Result<File, Fault> {
    parse_as(text)
}

fn read(path: &Path) -> Result<File, Fault> {
    parse(&read_bounded(path)?)
}

fn address(key: &str, text: Option<String>) -> Result<SocketAddr, Fault> {
    let text = text.ok_or_else(|| Fault::of_key(key, "no address is given"))?;
    text.parse().map_err(|e| Fault::of_key(key, format!("address {text:?}: {e}")))
}

/// The seed is hexadecimal text; whatever else stands there still gives some number.
fn seed_number(seed: &serde_json::Value) -> u64 {
    let hex = seed.as_str().and_then(|text| u64::from_str_radix(text, 16).ok());
    hex.unwrap_or_else(|| {
        let mut hasher = DefaultHasher::new();
        seed.to_string().hash(&mut hasher);
        hasher.finish()
    })
}

#[cfg(test)]
mod tests;
