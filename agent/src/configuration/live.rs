//! The limits of a running agent, and their change while it serves.

use super::{Document, Target};
use crate::clients::Clients;
use crate::config_error::ConfigError;
use crate::driver::Driver;
use crate::frontend::http::server::Server;
use crate::limits::{Limits, LimitsBase};
use crate::memory_budget::MemoryBudget;
use crate::overload::resident_bytes;
use crate::permits::lifecycle::Phase;
use crate::sharing::file::{ConnectionShare, LimitedConnections};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::sleep;

/// The connections that this process holds.
pub struct Connections {
    /// Holds the connections to clients.
    pub server: Rc<Server>,
    /// The life cycle of this process.
    pub clients: Rc<Clients>,
    /// Holds the connections to servers.
    pub driver: Driver,
    /// The budget of bodies, and its size while this process is alone.
    pub bodies: Rc<MemoryBudget>,
    /// The most bytes that bodies hold while this process is alone.
    pub body_bytes: Cell<usize>,
    /// What the other processes of its agent hold, in bytes.
    pub others_bytes: Rc<Cell<u64>>,
}

impl LimitedConnections for Connections {
    fn held(&self) -> (usize, usize) {
        (self.server.connections().open, self.driver.pool().count())
    }

    fn allow(&self, clients: usize, servers: usize) {
        self.server.set_open_max(clients);
        self.driver.pool().set_open_max(servers);
    }

    fn resident_kib(&self) -> usize {
        (resident_bytes().unwrap_or_default() / 1024) as usize
    }

    fn set_others(&self, resident_kib: usize, processes: usize) {
        self.others_bytes.set(resident_kib as u64 * 1024);
        self.bodies.set_limit(self.body_bytes.get() / (processes + 1));
    }

    fn is_leaving(&self) -> bool {
        matches!(self.clients.phase(), Phase::Stopping(_) | Phase::HandingOver(_))
    }
}

/// The limits in force, and the objects that they apply to.
pub struct LiveLimits {
    base: LimitsBase,
    connections: Connections,
    /// The split with a second process of this agent, where the platform upgrades it that way.
    share: Option<RefCell<ConnectionShare>>,
}

impl LiveLimits {
    /// Starts with the limits of `base`, which are in force already.
    pub fn new(base: LimitsBase, connections: Connections, share: Option<ConnectionShare>) -> LiveLimits {
        LiveLimits { base, connections, share: share.map(RefCell::new) }
    }

    /// Updates this process's share of the connections once; false if there can be no other process.
    pub fn update_share(&self) -> bool {
        let Some(share) = &self.share else { return false };
        share.borrow_mut().step(&self.connections);
        true
    }

    /// Keeps the shares of the processes up to date for as long as this one lives.
    pub async fn run(self: Rc<Self>) {
        while let Some(share) = &self.share {
            let alone = share.borrow_mut().step(&self.connections);
            sleep(ConnectionShare::pause(alone)).await;
        }
    }

    fn apply_limits(&self, limits: Limits) {
        let Limits { client_connections, client_eviction_limits, server_connections, body_bytes } = limits;
        self.connections.body_bytes.set(body_bytes);
        self.connections.bodies.set_limit(body_bytes);
        if let Some(share) = &self.share {
            let mut share = share.borrow_mut();
            share.set_total((client_connections, server_connections));
            share.step(&self.connections);
        } else {
            self.connections.allow(client_connections, server_connections);
        }
        self.connections.server.set_idle_eviction_limits(client_eviction_limits);
        self.connections.server.close_excess();
        self.connections.driver.pool().close_excess();
    }
}

impl Target for LiveLimits {
    /// There is no await here, so no request begins or ends between the first limit and the last.
    fn apply(&self, document: &Document) -> Result<(), ConfigError> {
        let changed = document.limits.clone().unwrap_or_default();
        let limits = self.base.limits(&changed)?;
        self.apply_limits(limits);
        Ok(())
    }
}
