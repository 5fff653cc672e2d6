//! So many at once and so many a second after that: what keeps a flood in one place from becoming one in another.

use std::time::Instant;

/// What is left of an allowance.
pub struct Allowance {
    burst: f64,
    per_second: f64,
    left: f64,
    counted_at: Instant,
    refused: u64,
}

impl Allowance {
    /// A full one: `burst` at once, `per_second` after that.
    pub fn new(burst: f64, per_second: f64, now: Instant) -> Self {
        Allowance { burst, per_second, left: burst, counted_at: now, refused: 0 }
    }

    /// Takes one. `None` if there is none left; else how many were refused since the last one.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let earned = now.saturating_duration_since(self.counted_at).as_secs_f64() * self.per_second;
        self.counted_at = now;
        self.left = (self.left + earned).min(self.burst);
        if self.left < 1.0 {
            self.refused += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.refused))
    }
}

#[cfg(test)]
mod tests;
