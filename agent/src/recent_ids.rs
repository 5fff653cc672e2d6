//! The call ids of requests that must not run twice, may have run, and ended without a server's answer to their
//! client. A client that sends such a request again under its id would have it executed again.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::Duration;
use tokio::time::Instant;

/// How long an id is remembered; a server may execute a request late.
const REMEMBERED_TIME: Duration = Duration::from_secs(60);
/// Maximum number of ids that are remembered. Beyond it the oldest are forgotten.
const IDS_MAX: usize = 16_384;

/// A bounded set of call ids, kept as hashes.
#[derive(Default)]
pub struct RecentIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    by_age: VecDeque<(Instant, u64)>,
}

impl RecentIds {
    /// Remembers an id from `now` on.
    pub fn remember(&mut self, id: &[u8], now: Instant) {
        self.forget_old(now);
        if self.by_age.len() >= IDS_MAX {
            self.forget_oldest();
        }
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.by_age.push_back((now, hash));
        }
    }

    /// Whether an id is remembered at `now`.
    pub fn contains(&mut self, id: &[u8], now: Instant) -> bool {
        self.forget_old(now);
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn forget_old(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REMEMBERED_TIME;
        while self.by_age.front().is_some_and(|(at, _)| is_old(*at)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.by_age.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
