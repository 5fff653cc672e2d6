//! The limits in force: how many connections and how much memory for bodies this agent allows itself. The deployment's
//! room gives a share for each; a `[limits]` table overrules single shares, within the deployment's descriptors.

use crate::fault::Fault;
use crate::switches::LimitsTable;

/// Descriptors kept back for the listeners, operators (16), discovery, the runtime and accepted connections on their way
/// out.
pub(crate) const RESERVE: usize = 48;
/// What a deployment that states no limit is taken to allow.
const SOCKETS_DEFAULT: usize = 1024;
/// The fewest descriptors with which an agent starts.
pub const SOCKETS_LEAST: usize = 64;
/// What a deployment that states no memory is taken to allow, and the least that is reckoned with, in MB.
const MEMORY_DEFAULT: f64 = 64.0;
const MEMORY_LEAST: f64 = 16.0;
const MEGABYTE: f64 = 1024.0 * 1024.0;
/// What the program holds when it does nothing, with room for lists and the records of servers.
const OWN_BYTES: f64 = 6.0 * MEGABYTE;
/// The shares of the rest that bodies and clients' connections may hold, and what one of those holds at most:
/// hyper's two buffers, and the tasks and records round them.
const BODIES_SHARE: f64 = 0.4;
const CLIENTS_SHARE: f64 = 0.25;
pub(crate) const CLIENT_BYTES: f64 = 28.0 * 1024.0;

/// The room that a deployment gives its agent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Descriptors that the configuration allows.
    sockets_stated: usize,
    /// Descriptors that this process may hold.
    sockets_held: usize,
    memory_bytes: f64,
}

/// What an agent allows itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most connections of clients that are held at once.
    pub client_connections: usize,
    /// Beyond so many, clients' connections that rest are closed; and beyond so many, all after their answer.
    pub client_crowd: (usize, usize),
    /// Most connections to servers that are held at once.
    pub server_connections: usize,
    /// Most bytes that bodies of requests and answers hold at once.
    pub body_bytes: usize,
}

impl Deployment {
    /// What the configuration states of descriptors and memory (MB); `held_by_process` says how many of the descriptors
    /// this process may hold.
    pub fn new(
        sockets: Option<usize>,
        memory_mb: Option<f64>,
        held_by_process: impl FnOnce(usize) -> usize,
    ) -> Result<Deployment, Fault> {
        let sockets_stated = sockets.unwrap_or(SOCKETS_DEFAULT);
        if sockets_stated < SOCKETS_LEAST {
            let reason = format!("is {sockets_stated}; at least {SOCKETS_LEAST} are needed");
            return Err(Fault::of_key("limits.sockets", reason));
        }
        let memory_bytes = memory_mb.unwrap_or(MEMORY_DEFAULT).max(MEMORY_LEAST) * MEGABYTE;
        Ok(Deployment { sockets_stated, sockets_held: held_by_process(sockets_stated), memory_bytes })
    }

    /// The limits that come of a table; what it leaves out is a share of the deployment's room.
    pub fn limits(&self, own: &LimitsTable) -> Result<Limits, Fault> {
        let usable = self.sockets_stated - RESERVE;
        let shared = self.sockets_held - RESERVE;
        let memory = self.memory_bytes - OWN_BYTES;
        let clients_by_memory = (memory * CLIENTS_SHARE / CLIENT_BYTES) as usize;
        let client_connections = own.client_connections.unwrap_or(clients_by_memory.min(shared / 2));
        let server_connections = own.server_connections.unwrap_or(shared - shared / 2);
        if client_connections + server_connections > usable {
            let reason = format!(
                "client and server connections come to {}, and of the {} descriptors of the configuration's \
                 limits.sockets no more than {usable} are for them",
                client_connections + server_connections,
                self.sockets_stated
            );
            return Err(Fault::of_key("limits", reason));
        }
        let client_crowd = match own.client_connections {
            Some(most) => (most - most / 3, most - most / 6),
            // Clients may hold a third of the descriptors for requests; those that keep what they don't use must leave
            // room for the others long before that.
            None => (self.sockets_held / 6, self.sockets_held / 4),
        };
        let body_bytes = match own.body_memory_mb {
            Some(mb) => mb as usize * 1024 * 1024,
            None => (memory * BODIES_SHARE) as usize,
        };
        Ok(Limits { client_connections, client_crowd, server_connections, body_bytes })
    }
}

/// What is in force while no change of configuration is: the deployment's shares, and the agent's own `[limits]` file.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitsBase {
    /// The deployment's room.
    pub deployment: Deployment,
    /// The file's table.
    pub table: LimitsTable,
}

impl LimitsBase {
    /// The limits with a changed table in force; a key that it leaves out is the base's.
    pub fn limits(&self, changed: &LimitsTable) -> Result<Limits, Fault> {
        self.deployment.limits(&LimitsTable {
            client_connections: changed.client_connections.or(self.table.client_connections),
            server_connections: changed.server_connections.or(self.table.server_connections),
            body_memory_mb: changed.body_memory_mb.or(self.table.body_memory_mb),
        })
    }
}

#[cfg(test)]
mod tests;
