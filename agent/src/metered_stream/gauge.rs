//! Counts open connections.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the open connections of one side.
#[derive(Clone, Default)]
pub struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection until the ticket is dropped.
    pub fn enter(&self) -> Ticket {
        self.0.set(self.0.get() + 1);
        Ticket(self.clone())
    }
}

/// One open connection in a [`Gauge`].
pub struct Ticket(Gauge);

impl Drop for Ticket {
    fn drop(&mut self) {
        self.0 .0.set(self.0.count().saturating_sub(1));
    }
}
