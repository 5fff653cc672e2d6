//! The limits of a running agent, and their change while it serves.

use super::{Document, Target};
use crate::budget::Budget;
use crate::clients::Clients;
use crate::driver::Driver;
use crate::fault::Fault;
use crate::fronts::plain::server::Server;
use crate::limits::{Limits, LimitsBase};
use crate::permits::lifecycle::Phase;
use crate::share::file::{Holds, Share};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::sleep;

/// The connections that this process holds.
pub struct Connections {
    /// Those of clients.
    pub server: Rc<Server>,
    /// The life of this process towards them.
    pub clients: Rc<Clients>,
    /// Has those to servers.
    pub driver: Driver,
}

impl Holds for Connections {
    fn held(&self) -> (usize, usize) {
        (self.server.connections(), self.driver.pool().count())
    }

    fn allow(&self, clients: usize, servers: usize) {
        self.server.allow(clients);
        self.driver.pool().allow(servers);
    }

    fn is_leaving(&self) -> bool {
        matches!(self.clients.phase(), Phase::Stopping(_) | Phase::HandingOver(_))
    }
}

/// The limits in force, and what they are the limits of.
pub struct LiveLimits {
    base: LimitsBase,
    connections: Connections,
    bodies: Rc<Budget>,
    /// What two processes of one agent share, where the platform upgrades it that way.
    share: Option<RefCell<Share>>,
}

impl LiveLimits {
    /// Those of a process that has just started with the base in force.
    pub fn new(
        base: LimitsBase,
        connections: Connections,
        bodies: Rc<Budget>,
        share: Option<Share>,
    ) -> LiveLimits {
        LiveLimits { base, connections, bodies, share: share.map(RefCell::new) }
    }

    /// Looks once at what another process of this agent leaves to this one; false if there can be none.
    pub fn share(&self) -> bool {
        let Some(share) = &self.share else { return false };
        share.borrow_mut().step(&self.connections);
        true
    }

    /// Shares with another process for as long as this one lives.
    pub async fn run(self: Rc<Self>) {
        while let Some(share) = &self.share {
            let alone = share.borrow_mut().step(&self.connections);
            sleep(Share::pause(alone)).await;
        }
    }

    fn put_in_force(&self, limits: Limits) {
        let Limits { client_connections, client_crowd, server_connections, body_bytes } = limits;
        if let Some(share) = &self.share {
            let mut share = share.borrow_mut();
            share.set_whole((client_connections, server_connections));
            share.step(&self.connections);
        } else {
            self.connections.allow(client_connections, server_connections);
        }
        self.connections.server.crowd(client_crowd);
        self.connections.server.close_excess();
        self.connections.driver.pool().close_excess();
        self.bodies.allow(body_bytes);
    }
}

impl Target for LiveLimits {
    /// Nothing here waits, so no request begins or ends between the first limit and the last.
    fn apply(&self, document: &Document) -> Result<(), Fault> {
        let changed = document.limits.clone().unwrap_or_default();
        let limits = self.base.limits(&changed)?;
        self.put_in_force(limits);
        Ok(())
    }
}
