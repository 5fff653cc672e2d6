//! Timers of one member. A pause of its process (SIGSTOP, starvation) does not make them elapse.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

struct TimerEntry<T> {
    at: Duration,
    /// Breaks ties between timers that are due at the same time: the one that was set first fires first.
    order: u64,
    value: T,
}

impl<T> PartialEq for TimerEntry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for TimerEntry<T> {}

impl<T> PartialOrd for TimerEntry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for TimerEntry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A queue of timers, the earliest first.
pub struct Timers<T> {
    entries: BinaryHeap<Reverse<TimerEntry<T>>>,
    next_order: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { entries: BinaryHeap::new(), next_order: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Duration, value: T) {
        let order = self.next_order;
        self.next_order += 1;
        self.entries.push(Reverse(TimerEntry { at, order, value }));
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<Duration> {
        self.entries.peek().map(|Reverse(entry)| entry.at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| entry.value)
    }

    /// If the earliest timer is overdue by more than `tolerance`, this process was stopped or starved:
    /// postpones all timers by that delay and returns it. Packets that arrived meanwhile are then read before
    /// any member counts as silent.
    pub fn postpone_if_stalled(&mut self, now: Duration, tolerance: Duration) -> Option<Duration> {
        let late = now.checked_sub(self.next()?).filter(|late| *late > tolerance)?;
        let entries = std::mem::take(&mut self.entries).into_iter();
        self.entries =
            entries.map(|Reverse(entry)| Reverse(TimerEntry { at: entry.at + late, ..entry })).collect();
        Some(late)
    }

    /// Returns how many timers are set.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no timer is set.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn timers_fire_in_order_and_not_early() {
        let mut timers = Timers::default();
        for (at, value) in [(30, 'c'), (10, 'a'), (10, 'b')] {
            timers.set(ms(at), value);
        }
        assert_eq!((timers.next(), timers.pop_due(ms(9))), (Some(ms(10)), None));
        assert_eq!(
            (timers.pop_due(ms(10)), timers.pop_due(ms(10)), timers.pop_due(ms(29))),
            (Some('a'), Some('b'), None)
        );
        assert_eq!((timers.len(), timers.is_empty()), (1, false));
    }

    #[test]
    fn a_pause_postpones_all_timers_by_its_length_and_a_small_delay_none() {
        let mut timers = Timers::default();
        timers.set(ms(100), 'a');
        timers.set(ms(700), 'b');
        assert_eq!(timers.postpone_if_stalled(ms(150), ms(50)), None);
        assert_eq!(timers.postpone_if_stalled(ms(20_100), ms(50)), Some(ms(20_000)));
        assert_eq!((timers.pop_due(ms(20_100)), timers.next()), (Some('a'), Some(ms(20_700))));
    }
}
