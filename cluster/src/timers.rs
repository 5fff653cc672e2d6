//! Timers of one member, which a stop of its process does not make elapse.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

struct Waiting<T> {
    at: Duration,
    /// Of two that are due together the one that was set first comes first.
    order: u64,
    what: T,
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Waiting<T> {}

impl<T> PartialOrd for Waiting<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Waiting<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What waits, soonest first.
pub struct Timers<T> {
    waiting: BinaryHeap<Reverse<Waiting<T>>>,
    next_order: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { waiting: BinaryHeap::new(), next_order: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Duration, what: T) {
        let order = self.next_order;
        self.next_order += 1;
        self.waiting.push(Reverse(Waiting { at, order, what }));
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Duration> {
        self.waiting.peek().map(|Reverse(waiting)| waiting.at)
    }

    /// Takes out one that is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.waiting.pop().map(|Reverse(waiting)| waiting.what)
    }

    /// If the soonest is overdue by more than `tolerance`, this process was stopped or starved: puts all off by that much,
    /// and says by how much. What the others sent meanwhile is then read before anybody is found silent.
    pub fn forgive(&mut self, now: Duration, tolerance: Duration) -> Option<Duration> {
        let late = now.checked_sub(self.next()?).filter(|late| *late > tolerance)?;
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        self.waiting = waiting.map(|Reverse(one)| Reverse(Waiting { at: one.at + late, ..one })).collect();
        Some(late)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn what_is_due_comes_in_order_and_no_sooner() {
        let mut timers = Timers::default();
        for (at, what) in [(30, 'c'), (10, 'a'), (10, 'b')] {
            timers.set(ms(at), what);
        }
        assert_eq!((timers.next(), timers.pop_due(ms(9))), (Some(ms(10)), None));
        assert_eq!(
            (timers.pop_due(ms(10)), timers.pop_due(ms(10)), timers.pop_due(ms(29))),
            (Some('a'), Some('b'), None)
        );
        assert_eq!((timers.len(), timers.is_empty()), (1, false));
    }

    #[test]
    fn a_stop_puts_everything_off_by_its_length_and_a_small_delay_nothing() {
        let mut timers = Timers::default();
        timers.set(ms(100), 'a');
        timers.set(ms(700), 'b');
        assert_eq!(timers.forgive(ms(150), ms(50)), None);
        assert_eq!(timers.forgive(ms(20_100), ms(50)), Some(ms(20_000)));
        assert_eq!((timers.pop_due(ms(20_100)), timers.next()), (Some('a'), Some(ms(20_700))));
    }
}
