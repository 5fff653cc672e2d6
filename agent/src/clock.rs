//! The clock of the decision module.

use ryelead::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in microseconds, read once and then advanced by the monotonic clock: it can be compared with the
/// times in the server list and never steps back.
pub struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_us: unix.as_micros() as u64, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's instant for a time of the decision module, at most a day ahead.
    pub fn instant(&self, time: Time) -> Instant {
        // The limit of a day prevents an overflow; nothing waits that long.
        let ahead =
            time.since(Time(self.unix_us)).0.min(self.now().since(Time(self.unix_us)).0 + 86_400_000_000);
        self.start + Duration::from_micros(ahead)
    }
}
