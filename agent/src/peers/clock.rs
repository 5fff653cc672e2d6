//! The one clock of what the agents know of one another.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// All of the cluster's time: monotonic, from the start of this process, and for a trial at a wrong rate.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    rate: f64,
    wall_step_ms: i64,
}

impl Clock {
    /// One that starts now; `rate` is 1 and the step 0 but in a trial.
    pub fn start(rate: f64, wall_step_ms: i64) -> Clock {
        Clock { start: Instant::now(), rate, wall_step_ms }
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed().mul_f64(self.rate)
    }

    /// When that time comes.
    pub fn instant(&self, at: Duration) -> Instant {
        // Rounded up, or a timer would be looked at a moment before it is due, over and over.
        self.start + at.div_f64(self.rate) + Duration::from_micros(1)
    }

    /// The wall clock, for the life of this member.
    pub fn unix_ms(&self) -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (unix.as_millis() as u64).saturating_add_signed(self.wall_step_ms)
    }
}
