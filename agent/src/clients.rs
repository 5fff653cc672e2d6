//! The life cycle of this process, shared by its listeners and the agent: state changes, and a notification
//! for those who wait for them.

use crate::driver::Driver;
use crate::events;
use crate::log::log;
use crate::permits::lifecycle::{ExitPermit, IdlePolicy, Lifecycle, OpenConnections, Phase, ShuttingDown};
use crate::permits::violations::Violations;
use std::cell::RefCell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The life cycle, and the driver that it depends on.
pub struct Clients {
    life_cycle: RefCell<Lifecycle>,
    driver: Driver,
    changed: Notify,
}

impl Clients {
    /// Creates the state of a process that has just started. `driver` knows whether there is a server to send
    /// to.
    pub fn new(life_cycle: Lifecycle, driver: Driver) -> Self {
        Clients { life_cycle: RefCell::new(life_cycle), driver, changed: Notify::new() }
    }

    /// Applies a transition; a change of phase is logged and notified.
    fn transition<T>(&self, transition: impl FnOnce(&mut Lifecycle, Instant) -> T) -> T {
        let life_cycle = &mut *self.life_cycle.borrow_mut();
        let before = life_cycle.phase();
        let result = transition(life_cycle, Instant::now());
        if life_cycle.phase() != before {
            events::phase_entered(life_cycle.phase().name(), before.name(), life_cycle.answers_by());
            log(&format!("{}, was {}", life_cycle.phase().name(), before.name()));
            self.changed.notify_one();
        }
        result
    }

    /// Ends the start phase once there is a server to send to.
    pub fn check_startup(&self) {
        if self.phase() == Phase::Starting && self.driver.has_serving_server() {
            self.transition(|life_cycle, _| life_cycle.list_usable());
        }
    }

    /// Starts a drain, as an operator requested.
    pub fn fail(&self) {
        self.transition(Lifecycle::fail);
    }

    /// Ends a drain, as an operator requested.
    pub fn ok(&self) -> Result<(), ShuttingDown> {
        let usable = self.driver.has_serving_server();
        self.transition(|life_cycle, _| life_cycle.ok(usable))
    }

    /// Starts the shutdown.
    pub fn stop(&self) {
        self.transition(Lifecycle::stop);
        let answers_by = self.answers_by();
        if let Some(by) = answers_by {
            self.driver.shut_down(by);
        }
    }

    /// The permit violations of this process.
    pub fn violations(&self) -> &Violations {
        self.driver.violations()
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.life_cycle.borrow().phase()
    }

    /// Whether the process accepts requests of clients.
    pub fn is_in_service(&self) -> bool {
        self.check_startup();
        self.life_cycle.borrow().is_in_service()
    }

    /// The result of the readiness check.
    pub fn is_ready(&self) -> bool {
        self.check_startup();
        self.life_cycle.borrow().is_ready(self.driver.has_serving_server())
    }

    /// Whether each answer closes its connection.
    pub fn closes_connections(&self) -> bool {
        self.life_cycle.borrow().closes_connections()
    }

    /// Whether connections are to be accepted now.
    pub fn accepts(&self) -> bool {
        self.life_cycle.borrow().accepts(Instant::now())
    }

    /// What is to be done with connections that owe no answer.
    pub fn idle_policy(&self) -> IdlePolicy {
        self.life_cycle.borrow().idle_policy(Instant::now())
    }

    /// The time by which all accepted requests must be answered, if the process is to end.
    pub fn answers_by(&self) -> Option<Instant> {
        self.life_cycle.borrow().answers_by()
    }

    /// The permit to end the process, if it may end now.
    pub fn exit_permit(&self, connections: OpenConnections) -> Option<ExitPermit> {
        self.life_cycle.borrow().exit_permit(Instant::now(), connections)
    }

    /// Waits until one of the results above may have changed.
    pub async fn changed(&self) {
        let next = self.life_cycle.borrow().next(Instant::now());
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
