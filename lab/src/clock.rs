//! One clock for all logs of a world.

use std::time::Duration;
use tokio::time::Instant;

/// A moment, in microseconds since the world began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct At(pub u64);

impl At {
    /// So many seconds after the beginning.
    pub fn from_secs(seconds: f64) -> At {
        At((seconds.max(0.0) * 1e6) as u64)
    }

    /// Seconds since the beginning.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This moment and so much later.
    pub fn plus(self, time: Duration) -> At {
        At(self.0.saturating_add(time.as_micros() as u64))
    }

    /// The time since an earlier moment; none if it lies ahead.
    pub fn since(self, earlier: At) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::fmt::Display for At {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} s", self.secs())
    }
}

/// Tells how long ago the world began.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    /// The world begins now.
    pub fn start() -> Clock {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// The present moment.
    pub fn now(&self) -> At {
        At(self.start.elapsed().as_micros() as u64)
    }

    /// The same moment in Unix milliseconds, as lists of servers name it.
    pub fn unix_ms(&self, at: At) -> u64 {
        (self.unix + Duration::from_micros(at.0)).as_millis() as u64
    }

    /// Waits until a moment.
    pub async fn until(&self, at: At) {
        tokio::time::sleep_until(self.start + Duration::from_micros(at.0)).await;
    }

    /// Wakes whoever waits at a moment at the latest.
    pub fn instant(&self, at: At) -> Instant {
        self.start + Duration::from_micros(at.0)
    }
}
