//! The one clock that the module hears of.

use ryelead::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in microseconds, fixed once and then advanced by the monotonic clock: it can be compared with the
/// times in the list and never steps back.
pub struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_us: unix.as_micros() as u64, start: Instant::now() }
    }

    /// The present time, for the module.
    pub fn now(&self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's moment for a time of the module's; a day ahead at most.
    pub fn instant(&self, time: Time) -> Instant {
        // A day is as good as never, and can't overflow.
        let ahead =
            time.since(Time(self.unix_us)).0.min(self.now().since(Time(self.unix_us)).0 + 86_400_000_000);
        self.start + Duration::from_micros(ahead)
    }
}
