//! Counts open connections.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Counts the open connections of one side.
#[derive(Clone, Default)]
pub struct Gauge(Rc<State>);

#[derive(Default)]
struct State {
    count: Cell<usize>,
    available: Notify,
}

impl Gauge {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Counts one more connection until the ticket is dropped.
    pub fn enter(&self) -> Ticket {
        self.0.count.set(self.count() + 1);
        Ticket(self.clone())
    }

    /// Wakes one task that waits in [`Self::available`], as the end of a connection does.
    pub fn notify_available(&self) {
        self.0.available.notify_one();
    }

    /// Waits until a connection has ended or can be used again.
    pub async fn available(&self) {
        self.0.available.notified().await;
    }
}

/// One open connection in a [`Gauge`].
pub struct Ticket(Gauge);

impl Drop for Ticket {
    fn drop(&mut self) {
        self.0 .0.count.set(self.0.count().saturating_sub(1));
        self.0.notify_available();
    }
}
