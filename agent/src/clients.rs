//! The life cycle of this process as its fronts and its owner share it: orders in, and a bell for whoever waits for change.

use crate::driver::Driver;
use crate::events;
use crate::log::log;
use crate::permits::lifecycle::{ExitPermit, LifeCycle, OnItsWayOut, Phase, Resting};
use crate::permits::violations::Violations;
use std::cell::RefCell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What the process is to its clients, now.
pub struct Clients {
    life: RefCell<LifeCycle>,
    driver: Driver,
    changed: Notify,
}

impl Clients {
    /// A process that has just started; `driver` knows whether there is a server to send to.
    pub fn new(life: LifeCycle, driver: Driver) -> Self {
        Clients { life: RefCell::new(life), driver, changed: Notify::new() }
    }

    /// Hands an order on; whatever comes of it is logged and told to who waits.
    fn order<T>(&self, order: impl FnOnce(&mut LifeCycle, Instant) -> T) -> T {
        let life = &mut *self.life.borrow_mut();
        let before = life.phase();
        let told = order(life, Instant::now());
        if life.phase() != before {
            events::phase_entered(life.phase().name(), before.name(), life.answers_by());
            log(&format!("{}, was {}", life.phase().name(), before.name()));
            self.changed.notify_one();
        }
        told
    }

    /// Looks whether there is a server to send to, which ends the start.
    pub fn look(&self) {
        if self.phase() == Phase::Starting && self.driver.can_decide() {
            self.order(|life, _| life.list_usable());
        }
    }

    /// Operators send the clients away.
    pub fn fail(&self) {
        self.order(LifeCycle::fail);
    }

    /// Operators want the clients back.
    pub fn ok(&self) -> Result<(), OnItsWayOut> {
        let usable = self.driver.can_decide();
        self.order(|life, _| life.ok(usable))
    }

    /// The process is told to end.
    pub fn stop(&self) {
        self.order(LifeCycle::stop);
        let answers_by = self.answers_by();
        if let Some(by) = answers_by {
            self.driver.shut_down(by);
        }
    }

    /// What this process did against the rules.
    pub fn violations(&self) -> &Violations {
        self.driver.violations()
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.life.borrow().phase()
    }

    /// The process takes clients.
    pub fn takes_clients(&self) -> bool {
        self.look();
        self.life.borrow().takes_clients()
    }

    /// What readiness says.
    pub fn is_ready(&self) -> bool {
        self.look();
        self.life.borrow().is_ready(self.driver.can_decide())
    }

    /// Whether every answer ends its connection.
    pub fn ends_connections(&self) -> bool {
        self.life.borrow().ends_connections()
    }

    /// Whether to accept connections now.
    pub fn accepts(&self) -> bool {
        self.life.borrow().accepts(Instant::now())
    }

    /// What is to be done about connections that owe nothing.
    pub fn rest(&self) -> Resting {
        self.life.borrow().rest(Instant::now())
    }

    /// By when all that is taken must have its answer, if the process is to end.
    pub fn answers_by(&self) -> Option<Instant> {
        self.life.borrow().answers_by()
    }

    /// Whether the process may end now.
    pub fn exits(&self, open: usize, owed: usize) -> Option<ExitPermit> {
        self.life.borrow().exits(Instant::now(), open, owed)
    }

    /// Comes back when an answer above may have changed.
    pub async fn changed(&self) {
        let next = self.life.borrow().next(Instant::now());
        let in_time = async {
            match next {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = self.changed.notified() => {}
            () = in_time => {}
        }
    }
}
