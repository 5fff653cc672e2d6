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
mod tests {
    use super::*;

    #[test]
    fn what_is_dropped_is_free_again_and_no_more_than_all_is_given() {
        let budget = Budget::new(10);
        let first = budget.take(7);
        assert!(first.is_some() && budget.take(4).is_none());
        let second = budget.take(3);
        drop(first);
        assert!(budget.take(8).is_none() && budget.take(7).is_some());
        drop(second);
    }

    #[tokio::test]
    async fn another_size_counts_from_the_next_portion_on_and_wakes_who_waits() {
        let budget = Budget::new(10);
        let first = budget.take(7);
        budget.allow(5);
        assert!(budget.take(1).is_none(), "seven of five are held");
        drop(first);
        let five = budget.take(5);
        assert!(five.is_some() && budget.take(1).is_none());
        let grow = async {
            tokio::task::yield_now().await;
            budget.allow(8);
        };
        let (portion, ()) = tokio::join!(budget.take_when_free(3), grow);
        assert!(budget.take(1).is_none());
        drop((portion, five));
        assert!(budget.take(8).is_some());
    }

    #[tokio::test]
    async fn those_who_wait_get_theirs_as_others_end() {
        let budget = Budget::new(10);
        let (first, second) = (budget.take(5), budget.take(5));
        let wait = || async {
            let portion = budget.take_when_free(3).await;
            tokio::task::yield_now().await;
            drop(portion);
        };
        let free = async {
            tokio::task::yield_now().await;
            drop(first);
        };
        tokio::join!(wait(), wait(), wait(), free);
        assert!(budget.take(5).is_some() && budget.take(6).is_none());
        drop(second);
    }
}
