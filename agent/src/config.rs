//! What the agent is told at its start, by the environment and the file that it names.

use crate::discovery::ListReply;
use ryelead_settings::SettingsFile;
use serde::Deserialize;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Descriptors kept back for the listener, discovery, the runtime and accepted connections on their way out.
const RESERVE: usize = 48;
/// What a deployment that states no limit is taken to allow.
const SOCKETS_DEFAULT: usize = 1024;
const SOCKETS_LEAST: usize = 64;
/// What a deployment that states no memory is taken to allow, and the least that is reckoned with, in MB.
const MEMORY_DEFAULT: f64 = 64.0;
const MEMORY_LEAST: f64 = 16.0;
/// The shares of the memory that bodies and clients' connections may hold, and what one of those holds at most:
/// hyper's two buffers, and the tasks and records round them.
const BODIES_SHARE: f64 = 0.25;
const CLIENTS_SHARE: f64 = 0.25;
const CLIENT_BYTES: f64 = 28.0 * 1024.0;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    seed: Option<serde_json::Value>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<ListReply>,
    settings: SettingsFile,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// All that the agent is told.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Most connections of clients that are held at once.
    pub client_connections: usize,
    /// Beyond so many, clients' connections that rest are closed; and beyond so many, all after their answer.
    pub client_crowd: (usize, usize),
    /// Most connections to backends that are held at once.
    pub backend_connections: usize,
    /// Most bytes that bodies of requests and answers hold at once.
    pub body_bytes: usize,
    /// The list as this agent last had it.
    pub known: Option<ListReply>,
    /// The settings object.
    pub settings: SettingsFile,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; `LB_LISTEN` and `LB_DISCOVERY` overrule what it says.
    pub fn from_env() -> Result<Config, String> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let path = var("LB_CONFIG").ok_or("LB_CONFIG is not set; it must name the configuration file")?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        Config::parse(&text, var("LB_LISTEN"), var("LB_DISCOVERY")).map_err(|e| format!("{path}: {e}"))
    }

    /// Reads the file once more, at the operators' signal: where discovery listens now, as the file has it. The
    /// environment is as old as the process and has no say here. Nothing else changes without a restart.
    pub fn reread_discovery() -> Result<SocketAddr, String> {
        #[derive(Deserialize)]
        struct Moved {
            discovery: String,
        }
        let path = std::env::var("LB_CONFIG").map_err(|e| format!("LB_CONFIG: {e}"))?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let moved: Moved = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        moved.discovery.parse().map_err(|e| format!("{path}: discovery address {:?}: {e}", moved.discovery))
    }

    fn parse(text: &[u8], listen: Option<String>, discovery: Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| format!("not a configuration: {e}"))?;
        let address = |what: &str, text: Option<String>| {
            let text = text.ok_or_else(|| format!("no {what} address is given"))?;
            text.parse::<SocketAddr>().map_err(|e| format!("{what} address {text:?}: {e}"))
        };
        file.settings.settings().validate().map_err(|e| e.to_string())?;
        if file.settings.class_names().iter().any(String::is_empty) {
            return Err("a request class has no name".into());
        }
        let sockets = file.limits.sockets.unwrap_or(SOCKETS_DEFAULT);
        if sockets < SOCKETS_LEAST {
            return Err(format!("limits.sockets is {sockets}; at least {SOCKETS_LEAST} are needed"));
        }
        let usable = sockets - RESERVE;
        let memory = file.limits.memory_mb.unwrap_or(MEMORY_DEFAULT).max(MEMORY_LEAST) * 1024.0 * 1024.0;
        let clients = (memory * CLIENTS_SHARE / CLIENT_BYTES) as usize;
        Ok(Config {
            listen: address("listen", listen.or(file.listen))?,
            discovery: address("discovery", discovery.or(file.discovery))?,
            seed: file.seed.map_or(0, |seed| seed_number(&seed)),
            client_connections: clients.min(usable / 2),
            // Clients may hold a third of the descriptors for requests; those that keep what they don't use must leave
            // room for the others long before that.
            client_crowd: (sockets / 6, sockets / 4),
            backend_connections: usable - usable / 2,
            body_bytes: (memory * BODIES_SHARE) as usize,
            known: file.known,
            settings: file.settings,
        })
    }
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
mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"classes":[{"name":"read","aimMs":200.0,"deadlineMs":400.0,"points":1.0}]}"#;

    fn parse(text: &str) -> Result<Config, String> {
        Config::parse(text.as_bytes(), None, None)
    }

    #[test]
    fn addresses_seed_and_caps_are_read() {
        let text = format!(
            r#"{{"listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","settings":{SETTINGS},
            "limits":{{"sockets":1024,"cores":1.0}},"peers":[]}}"#
        );
        let config = parse(&text).expect("usable");
        assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
        assert!(config.client_connections + config.backend_connections + RESERVE <= 1024);
        let small = text.replace("\"cores\"", "\"memory_mb\":32,\"cores\"");
        let small = Config::parse(small.as_bytes(), None, None).expect("usable");
        let held = small.client_connections as f64 * CLIENT_BYTES + small.body_bytes as f64;
        assert!(held <= 16.0 * 1024.0 * 1024.0 && small.client_connections > 250);
        let over = Config::parse(text.as_bytes(), Some("127.0.0.2:90".into()), None).expect("usable");
        assert_eq!(over.listen.to_string(), "127.0.0.2:90");
    }

    #[test]
    fn what_cannot_be_used_is_refused_with_a_reason() {
        let with = |rest: &str| parse(&format!(r#"{{"settings":{SETTINGS}{rest}}}"#)).err().expect("refused");
        assert!(parse("{").err().expect("refused").contains("not a configuration"));
        assert!(with("").contains("no listen address"));
        assert!(with(r#","listen":"here:80""#).contains("here:80"));
        let few = with(r#","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","limits":{"sockets":9}"#);
        assert!(few.contains("at least"), "{few}");
        assert!(parse(r#"{"settings":{"classes":[]}}"#).err().expect("refused").contains("class"));
    }
}
