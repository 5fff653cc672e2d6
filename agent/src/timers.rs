//! The timers of the decision module, ordered by due time.

use ryelead::{Time, TimerId};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;

/// Timers that the decision module has set and that are not due yet. The module never cancels one.
#[derive(Default)]
pub struct Timers {
    waiting: RefCell<BinaryHeap<Reverse<(Time, u64)>>>,
    changed: Notify,
}

impl Timers {
    /// Sets a timer and wakes the task that waits in [`Timers::changed`].
    pub fn set(&self, at: Time, timer: TimerId) {
        self.waiting.borrow_mut().push(Reverse((at, timer.0)));
        self.changed.notify_one();
    }

    /// The due time of the next timer; `None` if there is none.
    pub fn next(&self) -> Option<Time> {
        self.waiting.borrow().peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns a timer that is due.
    pub fn pop_due(&self, now: Time) -> Option<TimerId> {
        let mut waiting = self.waiting.borrow_mut();
        let Reverse((at, timer)) = *waiting.peek()?;
        if at > now {
            return None;
        }
        waiting.pop();
        Some(TimerId(timer))
    }

    /// Completes when a timer has been set.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

#[cfg(test)]
mod tests;
