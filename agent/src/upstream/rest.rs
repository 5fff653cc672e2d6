//! How long idle connections to backends stay good, learned from those that were used again. Backends close them at
//! the time in the settings at the latest, but some do so far sooner, and a request that is written to such a
//! connection ends as a reset that may have run.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Ages are told apart by powers of two, in milliseconds.
const AGES: usize = 16;
/// Younger ones than this power are what a break by mere chance is measured by.
const YOUNG: usize = 5;
/// An age is bad if this much more of its connections have broken, out of so many at least.
const WORSE: f64 = 0.1;
const ENOUGH: f64 = 4.0;
/// What has been seen counts half after this time, so that an age is tried again.
const HALF_LIFE_S: f64 = 15.0;

#[derive(Clone, Copy, Default)]
struct Seen {
    good: f64,
    broken: f64,
}

impl Seen {
    fn share(self) -> f64 {
        self.broken / (self.good + self.broken).max(1.0)
    }
}

/// What has become of connections by the time that they had been idle.
pub struct Rest {
    most: Duration,
    limit: Cell<Duration>,
    seen: RefCell<[Seen; AGES]>,
    faded_at: Cell<Instant>,
}

impl Rest {
    /// Nothing seen yet; connections never rest longer than `most`.
    pub fn new(most: Duration) -> Self {
        let (limit, faded_at) = (Cell::new(most), Cell::new(Instant::now()));
        Rest { most, limit, seen: RefCell::default(), faded_at }
    }

    /// How long a connection may rest at present.
    pub fn limit(&self) -> Duration {
        self.limit.get()
    }

    /// A connection that had been idle for `age` has been used, and has broken unanswered or not.
    pub fn note(&self, age: Duration, broken: bool) {
        let seen = &mut *self.seen.borrow_mut();
        let faded = self.faded_at.get().elapsed();
        if faded > Duration::from_secs(1) {
            let keep = 0.5_f64.powf(faded.as_secs_f64() / HALF_LIFE_S);
            seen.iter_mut().for_each(|s| *s = Seen { good: s.good * keep, broken: s.broken * keep });
            self.faded_at.set(Instant::now());
        }
        let class = (age.as_millis().max(1).ilog2() as usize).min(AGES - 1);
        if broken {
            seen[class].broken += 1.0;
        } else {
            seen[class].good += 1.0;
        }
        let young = seen[..YOUNG]
            .iter()
            .fold(Seen::default(), |a, s| Seen { good: a.good + s.good, broken: a.broken + s.broken });
        let bad = |s: &Seen| s.good + s.broken >= ENOUGH && s.share() > young.share() + WORSE;
        let first = (YOUNG..AGES).find(|&class| bad(&seen[class]));
        self.limit.set(first.map_or(self.most, |class| self.most.min(Duration::from_millis(1 << class))));
    }
}

#[cfg(test)]
mod tests;
