//! The agent's configuration at its start, from the environment and the file that it names.

use crate::config_error::ConfigError;
use crate::features::{read_bounded, EventsTable, Features, LimitsTable};
use crate::inherit;
use crate::limits::{Deployment, Limits, LimitsBase, SOCKETS_MIN};
use crate::list::ListReply;
use crate::log::log;
use crate::peers::config::{PeerSettings, PeersConfig};
use crate::peers::configuration::ConfigurationConfig;
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
    limits: PlatformLimits,
    #[serde(default)]
    known: Option<ListReply>,
    settings: SettingsFile,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct PlatformLimits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// Values from the environment, which override the file.
#[derive(Default)]
struct Overrides {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    name: Option<String>,
}

/// The complete configuration.
pub struct Config {
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The clients' listening socket, if the platform holds it.
    pub listener: Option<TcpListener>,
    /// The address of the admin listener, if there is one.
    pub admin: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed for random numbers; new with each start.
    pub seed: u64,
    /// The agent's limits at its start.
    pub limits: Limits,
    /// The base that a configuration change is checked against, and that supplies the keys it leaves out.
    pub base: LimitsBase,
    /// Interval of the log line with the metrics, if it is enabled.
    pub metrics_interval: Option<Duration>,
    /// Events of each request, if they are enabled.
    pub events: Option<EventsTable>,
    /// Communication with the other agents, where `[fleet]` enables it.
    pub peers: Option<PeersConfig>,
    /// The server list that this agent last had.
    pub known: Option<ListReply>,
    /// The settings object of the decision module.
    pub settings: SettingsFile,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; `LB_LISTEN`, `LB_DISCOVERY`, `LB_ADMIN` and `LB_NAME` override
    /// its values. Takes over the socket of `LB_LISTEN_FD`, if that is set.
    pub fn from_env(features: Features) -> Result<Config, ConfigError> {
        let path = var("LB_CONFIG").ok_or_else(|| {
            ConfigError::of_all("LB_CONFIG is not set; it must name the configuration file")
        })?;
        let in_file = |fault: ConfigError| fault.in_file(&path);
        let file = read(Path::new(&path)).map_err(in_file)?;
        let overrides = Overrides {
            listen: var("LB_LISTEN"),
            discovery: var("LB_DISCOVERY"),
            admin: var("LB_ADMIN"),
            name: var("LB_NAME"),
        };
        let config = Config::new(file, features, overrides).map_err(in_file)?;
        let listener = inherit::listener(config.listen)?;
        Ok(Config { listener, ..config })
    }

    /// Reads a configuration file as if `LB_CONFIG` named it.
    pub fn read(path: &Path, features: Features) -> Result<Config, ConfigError> {
        read(path)
            .and_then(|file| Config::new(file, features, Overrides::default()))
            .map_err(|fault| fault.in_file(path))
    }

    /// Parses the text of a configuration file.
    pub fn parse(text: &[u8], features: Features) -> Result<Config, ConfigError> {
        Config::new(parse(text)?, features, Overrides::default())
    }

    /// Reads the file again on SIGHUP, for the current address of the discovery service. The environment does
    /// not apply here, since it is as old as the process. All other keys need a restart.
    pub fn reread_discovery() -> Result<SocketAddr, ConfigError> {
        #[derive(Deserialize)]
        struct DiscoveryKey {
            discovery: String,
        }
        let path = var("LB_CONFIG").ok_or_else(|| ConfigError::of_all("LB_CONFIG is not set"))?;
        let moved = read_bounded(Path::new(&path)).and_then(|text| parse_as::<DiscoveryKey>(&text));
        moved
            .and_then(|moved| address("discovery", Some(moved.discovery)))
            .map_err(|fault| fault.in_file(&path))
    }

    fn new(file: File, features: Features, overrides: Overrides) -> Result<Config, ConfigError> {
        file.settings.settings().validate().map_err(|e| ConfigError::of_key("settings", e.to_string()))?;
        if file.settings.class_names().iter().any(String::is_empty) {
            return Err(ConfigError::of_key("settings.classes", "a request class has no name"));
        }
        let deployment = Deployment::new(file.limits.sockets, file.limits.memory_mb, usable_descriptors)?;
        let metrics_interval = features.tally.map(|tally| Duration::from_millis(tally.every_ms));
        let seed = file.seed.map_or(0, |seed| seed_number(&seed));
        let peer_settings = PeerSettings {
            allowed: file.settings.settings().peers,
            number: file.settings.number(),
            name: overrides.name.unwrap_or(file.name),
            listen: file.peer_listen,
            peers: file.peers,
            seed,
        };
        let configuration = features.configuration.as_ref().map(ConfigurationConfig::new).transpose()?;
        if configuration.is_some() && features.fleet.is_none() {
            return Err(ConfigError::of_key(
                "configuration",
                "needs [fleet]: changes go from agent to agent",
            ));
        }
        let peers = features
            .fleet
            .map(|fleet| PeersConfig::new(peer_settings, &fleet, features.trial, configuration))
            .transpose()?;
        let base = LimitsBase { deployment, table: features.limits.unwrap_or_default() };
        let limits = base.limits(&LimitsTable::default())?;
        let listen = address("listen", overrides.listen.or(file.listen))?;
        let admin = overrides.admin.or(file.admin).map(|text| address("admin", Some(text))).transpose()?;
        if admin.is_some_and(|admin| admin == listen && admin.port() != 0) {
            return Err(ConfigError::of_key(
                "admin",
                format!("{listen} is the address for clients; the admin listener needs its own"),
            ));
        }
        Ok(Config {
            listen,
            listener: None,
            admin,
            discovery: address("discovery", overrides.discovery.or(file.discovery))?,
            seed,
            limits,
            base,
            metrics_interval,
            events: features.events,
            peers,
            known: file.known,
            settings: file.settings,
        })
    }
}

/// The descriptors that this process may use: the smaller of the configured number and its soft limit. With
/// more than the soft limit, idle clients would leave none for discovery and for servers.
fn usable_descriptors(configured: usize) -> usize {
    let soft_limit = rlimit::Resource::NOFILE.get().map_or(usize::MAX, |(soft, _)| soft as usize);
    if soft_limit < configured {
        log(&format!("limits.sockets is {configured}, RLIMIT_NOFILE {soft_limit}: the smaller one applies"));
    }
    configured.min(soft_limit).max(SOCKETS_MIN)
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn parse_as<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, ConfigError> {
    let mut document = serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(&mut document).map_err(|e| {
        let reason = format!("not a configuration: {}", e.inner());
        ConfigError::at_path(e.path(), &reason)
    })
}

fn parse(text: &[u8]) -> Result<File, ConfigError> {
    parse_as(text)
}

fn read(path: &Path) -> Result<File, ConfigError> {
    parse(&read_bounded(path)?)
}

fn address(key: &str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| ConfigError::of_key(key, "no address is given"))?;
    text.parse().map_err(|e| ConfigError::of_key(key, format!("address {text:?}: {e}")))
}

/// The seed is hexadecimal text; any other value is hashed to a number.
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
