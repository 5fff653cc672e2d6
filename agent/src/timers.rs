//! The module's timers, soonest first.

use ryelead::{Time, TimerId};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// Timers that the module has set and that have not elapsed. It takes none back.
#[derive(Default)]
pub struct Timers {
    waiting: RefCell<BinaryHeap<Reverse<(Time, u64)>>>,
    changed: Notify,
}

impl Timers {
    /// Sets one; whoever waits in [`Timers::changed`] looks again.
    pub fn set(&self, at: Time, timer: TimerId) {
        self.waiting.borrow_mut().push(Reverse((at, timer.0)));
        self.changed.notify_one();
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Time> {
        self.waiting.borrow().peek().map(|Reverse((at, _))| *at)
    }

    /// Takes out one that is due.
    pub fn pop_due(&self, now: Time) -> Option<TimerId> {
        let mut waiting = self.waiting.borrow_mut();
        let Reverse((at, timer)) = *waiting.peek()?;
        if at > now {
            return None;
        }
        waiting.pop();
        Some(TimerId(timer))
    }

    /// Comes back when one has been set.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

#[cfg(test)]
mod tests;
