//! A rate limiter (token bucket): it keeps a flood in one place from causing one elsewhere.

use std::time::Instant;

/// A token bucket.
pub struct RateLimiter {
    burst: f64,
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
    refused: u64,
}

impl RateLimiter {
    /// Creates a full bucket of `burst` tokens, refilled at `per_second` tokens a second.
    pub fn new(burst: f64, per_second: f64, now: Instant) -> Self {
        RateLimiter { burst, per_second, tokens: burst, refilled_at: now, refused: 0 }
    }

    /// Takes one token. Returns `None` if there is none left, otherwise the number of refusals since the last
    /// token was taken.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        let earned = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.refilled_at = now;
        self.tokens = (self.tokens + earned).min(self.burst);
        if self.tokens < 1.0 {
            self.refused += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.refused))
    }
}

#[cfg(test)]
mod tests;
