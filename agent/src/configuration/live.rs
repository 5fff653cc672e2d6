//! The limits of a running agent, and their change while it serves.

use super::{Document, Target};
use crate::clients::Clients;
use crate::config_error::ConfigError;
use crate::driver::Driver;
use crate::frontend::http::server::Server;
use crate::limits::{Limits, LimitsBase};
use crate::memory_budget::MemoryBudget;
use crate::permits::lifecycle::Phase;
use crate::sharing::file::{ConnectionShare, LimitedConnections};
use std::cell::RefCell;
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
}

impl LimitedConnections for Connections {
    fn held(&self) -> (usize, usize) {
        (self.server.connections().open, self.driver.pool().count())
    }

    fn allow(&self, clients: usize, servers: usize) {
        self.server.set_open_max(clients);
        self.driver.pool().set_open_max(servers);
    }

    fn is_leaving(&self) -> bool {
        matches!(self.clients.phase(), Phase::Stopping(_) | Phase::HandingOver(_))
    }
}

/// The limits in force, and the objects that they apply to.
pub struct LiveLimits {
    base: LimitsBase,
    connections: Connections,
    bodies: Rc<MemoryBudget>,
    /// The split with a second process of this agent, where the platform upgrades it that way.
    share: Option<RefCell<ConnectionShare>>,
}

impl LiveLimits {
    /// Starts with the limits of `base`, which are in force already.
    pub fn new(
        base: LimitsBase,
        connections: Connections,
        bodies: Rc<MemoryBudget>,
        share: Option<ConnectionShare>,
    ) -> LiveLimits {
        LiveLimits { base, connections, bodies, share: share.map(RefCell::new) }
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
        self.bodies.set_limit(body_bytes);
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
