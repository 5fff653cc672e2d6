//! Configuration of the communication with the other agents.

use super::configuration::ConfigurationConfig;
use crate::config_error::ConfigError;
use crate::features::{FleetTable, TrialTable};
use dilljunction_cluster::member::{Generation, Name, Number, NAME_MAX};
use dilljunction_cluster::view::Setup;
use std::net::SocketAddr;

/// The checked configuration of the communication with the other agents.
#[derive(Debug, Clone)]
pub struct PeersConfig {
    /// The UDP address on which it receives.
    pub(super) listen: SocketAddr,
    /// Its index among the peers.
    pub(super) number: Number,
    name: Name,
    peers: Vec<SocketAddr>,
    seed: u64,
    /// Deliberately wrong clocks, for tests.
    pub(super) trial: TrialTable,
    json: bool,
    /// Configuration changes, where they are enabled.
    pub(super) configuration: Option<ConfigurationConfig>,
}

/// The values of the configuration file that concern peers, not parsed yet: where `[fleet]` is off they are
/// ignored.
pub struct PeerSettings {
    /// `settings.limits.peers`.
    pub allowed: bool,
    /// `settings.slotNo`.
    pub number: Option<u16>,
    /// `name`.
    pub name: String,
    /// `peer_listen`.
    pub listen: Option<serde_json::Value>,
    /// `peers`.
    pub peers: Option<serde_json::Value>,
    /// Seed for random choices.
    pub seed: u64,
}

fn read<T: serde::de::DeserializeOwned>(
    key: &str,
    value: Option<serde_json::Value>,
) -> Result<T, ConfigError> {
    let value = value.ok_or_else(|| ConfigError::of_key(key, "is missing, and [fleet] needs it"))?;
    serde_json::from_value(value).map_err(|e| ConfigError::of_key(key, e.to_string()))
}

impl PeersConfig {
    /// Parses and checks what the platform's configuration says of peers.
    pub fn new(
        settings: PeerSettings,
        fleet: &FleetTable,
        trial: Option<TrialTable>,
        configuration: Option<ConfigurationConfig>,
    ) -> Result<PeersConfig, ConfigError> {
        if !settings.allowed {
            let reason = "is false: the platform carries no datagrams between agents, and [fleet] needs them";
            return Err(ConfigError::of_key("settings.limits.peers", reason));
        }
        let listen = read("peer_listen", settings.listen)?;
        let peers: Vec<SocketAddr> = read("peers", settings.peers)?;
        let number = settings.number.ok_or_else(|| {
            ConfigError::of_key(
                "settings.slotNo",
                "is missing: [fleet] needs this agent's place among \"peers\"",
            )
        })?;
        let number =
            Number::try_from(number).map_err(|e| ConfigError::of_key("settings.slotNo", e.to_string()))?;
        if usize::from(number.0) >= peers.len() {
            let reason = format!(
                "this agent's own address is not among them: its number is {number}, and there are {}",
                peers.len()
            );
            return Err(ConfigError::of_key("peers", reason));
        }
        let name = Name::new(&settings.name).map_err(|_| {
            ConfigError::of_key("name", format!("is longer than {NAME_MAX} bytes, which [fleet] can't carry"))
        })?;
        let trial = trial.unwrap_or_default();
        let (seed, json) = (settings.seed, fleet.json);
        let config = PeersConfig { listen, number, name, peers, seed, trial, json, configuration };
        config.setup(0).check().map_err(|e| ConfigError::of_key("peers", e.to_string()))?;
        Ok(config)
    }

    /// Whether event lines are JSON.
    pub fn json(&self) -> bool {
        self.json
    }

    /// The setup of a member that starts at this time.
    pub(super) fn setup(&self, unix_ms: u64) -> Setup {
        let generation = Generation::from_unix_ms(unix_ms);
        Setup {
            number: self.number,
            name: self.name,
            generation,
            peers: self.peers.clone(),
            // Agents may share one seed, or have none: they must not all query the same member at the same
            // moment.
            seed: self.seed ^ (u64::from(self.number.0) << 48) ^ unix_ms,
        }
    }
}

#[cfg(test)]
mod tests;
