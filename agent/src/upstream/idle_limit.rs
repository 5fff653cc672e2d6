//! The idle limit of connections to servers, estimated from connections that were used again. Servers close
//! idle connections at the configured time at the latest, but some do so far sooner, and a request that is
//! written to such a connection ends with a reset that may have been executed.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

/// Idle times are grouped by powers of two, in milliseconds.
const AGE_GROUPS: usize = 16;
/// Groups below this power (32 ms) give the baseline of breaks that have nothing to do with the idle time.
const BASELINE_GROUPS: usize = 5;
/// A group is bad if its share of broken connections exceeds the baseline by `EXCESS_BREAK_SHARE`, with a
/// total count of `SAMPLES_MIN` at least.
const EXCESS_BREAK_SHARE: f64 = 0.1;
const SAMPLES_MIN: f64 = 4.0;
/// The counts are halved in this time, in seconds, so that longer idle times are tried again.
const HALF_LIFE_S: f64 = 15.0;

#[derive(Clone, Copy, Default)]
struct Counts {
    good: f64,
    broken: f64,
}

impl Counts {
    fn break_share(self) -> f64 {
        self.broken / (self.good + self.broken).max(1.0)
    }
}

/// Counts good and broken connections by their idle time.
pub struct IdleLimit {
    limit_max: Duration,
    limit: Cell<Duration>,
    counts: RefCell<[Counts; AGE_GROUPS]>,
    decayed_at: Cell<Instant>,
}

impl IdleLimit {
    /// Creates an estimate without observations; the limit never exceeds `limit_max`.
    pub fn new(limit_max: Duration) -> Self {
        let (limit, decayed_at) = (Cell::new(limit_max), Cell::new(Instant::now()));
        IdleLimit { limit_max, limit, counts: RefCell::default(), decayed_at }
    }

    /// The current limit of the idle time.
    pub fn limit(&self) -> Duration {
        self.limit.get()
    }

    /// Records the use of a connection that had been idle for `age`, and whether it broke without an answer.
    pub fn record_use(&self, age: Duration, broken: bool) {
        let counts = &mut *self.counts.borrow_mut();
        let since_decay = self.decayed_at.get().elapsed();
        if since_decay > Duration::from_secs(1) {
            let decay = 0.5_f64.powf(since_decay.as_secs_f64() / HALF_LIFE_S);
            counts.iter_mut().for_each(|s| *s = Counts { good: s.good * decay, broken: s.broken * decay });
            self.decayed_at.set(Instant::now());
        }
        let group = (age.as_millis().max(1).ilog2() as usize).min(AGE_GROUPS - 1);
        if broken {
            counts[group].broken += 1.0;
        } else {
            counts[group].good += 1.0;
        }
        let baseline = counts[..BASELINE_GROUPS]
            .iter()
            .fold(Counts::default(), |a, s| Counts { good: a.good + s.good, broken: a.broken + s.broken });
        let bad = |s: &Counts| {
            s.good + s.broken >= SAMPLES_MIN && s.break_share() > baseline.break_share() + EXCESS_BREAK_SHARE
        };
        let first = (BASELINE_GROUPS..AGE_GROUPS).find(|&group| bad(&counts[group]));
        self.limit
            .set(first.map_or(self.limit_max, |group| self.limit_max.min(Duration::from_millis(1 << group))));
    }
}

#[cfg(test)]
mod tests;
