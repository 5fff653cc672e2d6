//! The memory that bodies may hold at once, whoever sent them.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes that are still free, and a bell for those who wait for some.
pub struct Budget(Cell<usize>, Notify);

impl Budget {
    /// So many bytes in all.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Budget(Cell::new(bytes), Notify::new()))
    }

    /// Sets `bytes` aside until the portion is dropped; `None` if there are not so many.
    pub fn take(self: &Rc<Self>, bytes: usize) -> Option<Portion> {
        self.0.set(self.0.get().checked_sub(bytes)?);
        Some(Portion { budget: Rc::clone(self), bytes })
    }

    /// The same, once there are so many.
    pub async fn take_when_free(self: &Rc<Self>, bytes: usize) -> Portion {
        loop {
            let freed = self.1.notified();
            if let Some(portion) = self.take(bytes) {
                // There may be more, and one word of it only.
                self.1.notify_one();
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
        self.budget.0.set(self.budget.0.get() + self.bytes);
        self.budget.1.notify_one();
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
