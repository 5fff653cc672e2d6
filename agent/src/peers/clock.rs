//! The clock of the cluster's state machines.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic time since the start of this process; in a trial, at a wrong rate.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    rate: f64,
    wall_step_ms: i64,
}

impl Clock {
    /// Starts a clock; `rate` is 1 and the step 0 except in a trial.
    pub fn start(rate: f64, wall_step_ms: i64) -> Clock {
        Clock { start: Instant::now(), rate, wall_step_ms }
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed().mul_f64(self.rate)
    }

    /// The instant at which the clock shows this time.
    pub fn instant(&self, at: Duration) -> Instant {
        // Rounded up: otherwise a timer would fire just before it is due, again and again.
        self.start + at.div_f64(self.rate) + Duration::from_micros(1)
    }

    /// The wall clock in Unix milliseconds, from which the member's generation is derived.
    pub fn unix_ms(&self) -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (unix.as_millis() as u64).saturating_add_signed(self.wall_step_ms)
    }
}
