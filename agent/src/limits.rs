//! The limits in force: how many connections and how much memory for bodies this agent may use. By default
//! each is a share of what the deployment allows; a `[limits]` table overrides single values, within the
//! deployment's descriptors.

use crate::config_error::ConfigError;
use crate::features::LimitsTable;

/// Descriptors reserved for the listeners, the admin listener (16), discovery, the runtime and accepted
/// connections that are being closed.
pub(crate) const RESERVED_DESCRIPTORS: usize = 48;
/// Number of descriptors assumed if the deployment states none.
const SOCKETS_DEFAULT: usize = 1024;
/// The fewest descriptors with which an agent starts.
pub const SOCKETS_MIN: usize = 64;
/// Memory assumed if the deployment states none, and the least that is assumed in any case, in MB.
const MEMORY_DEFAULT: f64 = 64.0;
const MEMORY_MIN: f64 = 16.0;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// Memory of the idle program, including room for server lists and records.
const OWN_BYTES: f64 = 6.0 * MEGABYTE;
/// The shares of the remaining memory that bodies, client connections and connections to servers may use. They
/// add up to all of it.
const BODIES_SHARE: f64 = 0.4;
const CLIENTS_SHARE: f64 = 0.25;
const SERVERS_SHARE: f64 = 0.35;
/// The most memory that one client connection holds: two buffers of hyper, and the tasks and records around them.
pub(crate) const CLIENT_CONNECTION_BYTES: f64 = 28.0 * 1024.0;
/// The most memory that one connection to a server holds: the same, the fields of an answer's head, and that head.
pub(crate) const SERVER_CONNECTION_BYTES: f64 = 58.0 * 1024.0;

/// The resources that a deployment gives its agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Descriptors that the configuration allows.
    sockets_stated: usize,
    /// Descriptors that this process may hold.
    sockets_held: usize,
    memory_bytes: f64,
}

/// The limits of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most client connections at once.
    pub client_connections: usize,
    /// Two numbers of client connections: beyond the first, idle ones are closed; beyond the second, every
    /// connection is closed after its answer.
    pub client_eviction_limits: (usize, usize),
    /// Most connections to servers at once.
    pub server_connections: usize,
    /// Most bytes that bodies of requests and answers hold at once.
    pub body_bytes: usize,
}

impl Deployment {
    /// Creates the deployment from the descriptors and the memory (MB) in the configuration.
    /// `held_by_process` computes how many of the descriptors this process may hold.
    pub fn new(
        sockets: Option<usize>,
        memory_mb: Option<f64>,
        held_by_process: impl FnOnce(usize) -> usize,
    ) -> Result<Deployment, ConfigError> {
        let sockets_stated = sockets.unwrap_or(SOCKETS_DEFAULT);
        if sockets_stated < SOCKETS_MIN {
            let reason = format!("is {sockets_stated}; at least {SOCKETS_MIN} are needed");
            return Err(ConfigError::of_key("limits.sockets", reason));
        }
        let memory_bytes = memory_mb.unwrap_or(MEMORY_DEFAULT).max(MEMORY_MIN) * MEGABYTE;
        Ok(Deployment { sockets_stated, sockets_held: held_by_process(sockets_stated), memory_bytes })
    }

    /// The memory that the processes of the agent may hold, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes as u64
    }

    /// Computes the limits from a `[limits]` table; a value that it leaves out is a share of the deployment's
    /// resources.
    pub fn limits(&self, own: &LimitsTable) -> Result<Limits, ConfigError> {
        let usable = self.sockets_stated - RESERVED_DESCRIPTORS;
        let shared = self.sockets_held - RESERVED_DESCRIPTORS;
        let memory = self.memory_bytes - OWN_BYTES;
        let clients_by_memory = (memory * CLIENTS_SHARE / CLIENT_CONNECTION_BYTES) as usize;
        let client_connections = own.client_connections.unwrap_or(clients_by_memory.min(shared / 2));
        let servers_by_memory = (memory * SERVERS_SHARE / SERVER_CONNECTION_BYTES) as usize;
        let server_connections = own.server_connections.unwrap_or(servers_by_memory.min(shared - shared / 2));
        if client_connections + server_connections > usable {
            let reason = format!(
                "client and server connections add up to {}, but of the {} descriptors in the configuration's \
                 limits.sockets at most {usable} are available for them",
                client_connections + server_connections,
                self.sockets_stated
            );
            return Err(ConfigError::of_key("limits", reason));
        }
        let client_eviction_limits = match own.client_connections {
            Some(most) => (most - most / 3, most - most / 6),
            // Requests in progress may use a third of the descriptors; idle connections must make room for
            // them long before that.
            None => (self.sockets_held / 6, self.sockets_held / 4),
        };
        let body_bytes = match own.body_memory_mb {
            Some(mb) => mb as usize * 1024 * 1024,
            None => (memory * BODIES_SHARE) as usize,
        };
        Ok(Limits { client_connections, client_eviction_limits, server_connections, body_bytes })
    }
}

/// The limits in force while no configuration change is: the deployment's shares, and the agent's own
/// `[limits]` file.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitsBase {
    /// The deployment's resources.
    pub deployment: Deployment,
    /// The table in the file.
    pub table: LimitsTable,
}

impl LimitsBase {
    /// Computes the limits with a changed table in force; a key that it leaves out keeps the base value.
    pub fn limits(&self, changed: &LimitsTable) -> Result<Limits, ConfigError> {
        self.deployment.limits(&LimitsTable {
            client_connections: changed.client_connections.or(self.table.client_connections),
            server_connections: changed.server_connections.or(self.table.server_connections),
            body_memory_mb: changed.body_memory_mb.or(self.table.body_memory_mb),
        })
    }
}

#[cfg(test)]
mod tests;
