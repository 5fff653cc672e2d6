//! The memory that bodies may hold at once, whoever sent them.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// How many bytes may be held and are, and a bell for those who wait for some.
pub struct Budget {
    most: Cell<usize>,
    held: Cell<usize>,
    freed: Notify,
}

impl Budget {
    /// So many bytes in all.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget { most: Cell::new(bytes), held: Cell::new(0), freed: Notify::new() })
    }

    /// So many bytes in all from now on. What is held beyond that stays until it is dropped, and nothing is given meanwhile.
    pub fn allow(&self, bytes: usize) {
        self.most.set(bytes);
        self.freed.notify_one();
    }

    /// Sets `bytes` aside until the portion is dropped; `None` if there are not so many.
    pub fn take(self: &Rc<Self>, bytes: usize) -> Option<Portion> {
        let held = self.held.get().checked_add(bytes).filter(|held| *held <= self.most.get())?;
        self.held.set(held);
        Some(Portion { budget: Rc::clone(self), bytes })
    }

    /// The same, once there are so many.
    pub async fn take_when_free(self: &Rc<Self>, bytes: usize) -> Portion {
        loop {
            let freed = self.freed.notified();
            if let Some(portion) = self.take(bytes) {
                // There may be more, and one word of it only.
                self.freed.notify_one();
                return portion;
            }
            freed.await;
        }
    }
}

/// Bytes of a [`Budget`] that are spoken for.
pub struct Portion {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Drop for Portion {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held.get() - self.bytes);
        self.budget.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
