//! Limits the memory that the bodies of all requests and answers hold at once.

use crate::shortage::ShortageHandler;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The most bytes that may be held, the number held, and the notification for tasks that wait for some.
pub struct MemoryBudget {
    limit: Cell<usize>,
    held: Cell<usize>,
    freed: Notify,
    spare_allowed: Cell<bool>,
    shortage: ShortageHandler,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit: Cell::new(bytes),
            held: Cell::new(0),
            freed: Notify::new(),
            spare_allowed: Cell::new(true),
            shortage: ShortageHandler::default(),
        })
    }

    /// Number of bytes that are reserved.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// What frees memory when a reservation fails.
    pub fn shortage(&self) -> &ShortageHandler {
        &self.shortage
    }

    /// Changes the limit to `bytes`. Reservations beyond it stay until they are dropped, and none are made
    /// meanwhile.
    pub fn set_limit(&self, bytes: usize) {
        self.limit.set(bytes);
        self.freed.notify_one();
    }

    /// Allows [`MemoryBudget::take_spare`] or not.
    pub fn allow_spare(&self, allowed: bool) {
        self.spare_allowed.set(allowed);
    }

    /// Reserves `bytes` until the reservation is dropped; `None` if so many are not free.
    pub fn take(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let Some(held) = self.held.get().checked_add(bytes).filter(|held| *held <= self.limit.get()) else {
            self.shortage.call();
            return None;
        };
        self.held.set(held);
        Some(MemoryReservation { budget: Rc::clone(self), bytes })
    }

    /// Reserves `bytes` unless more than half of the budget would then be held: for what is of use, but can wait.
    pub fn take_spare(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        let held = self.held.get().checked_add(bytes)?;
        if self.spare_allowed.get() && held <= self.limit.get() / 2 {
            self.take(bytes)
        } else {
            None
        }
    }

    /// Reserves `bytes` as soon as so many are free.
    pub async fn take_when_free(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        loop {
            let freed = self.freed.notified();
            if let Some(reservation) = self.take(bytes) {
                // More bytes may be free, and there was only one notification: pass it on to the next waiting
                // task.
                self.freed.notify_one();
                return reservation;
            }
            freed.await;
        }
    }
}

/// Bytes of a [`MemoryBudget`] that are reserved.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
        self.budget.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
