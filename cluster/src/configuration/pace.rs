//! Intervals and limits of the configuration's protocol, and the rate limiter for what one member sends.

use std::time::Duration;

/// How often a member advertises new entries.
pub const ADVERTISE_INTERVAL: Duration = Duration::from_millis(80);
/// How many members it advertises them to each time.
pub const ADVERTISE_FANOUT: usize = 2;
/// How often one entry is advertised.
pub const ADVERTISE_ROUNDS: u32 = 4;
/// A member that has sent this many copies of an entry stops advertising it: by then the receivers spread it
/// further.
pub const COPIES_SUFFICIENT: u32 = 3;
/// The same limit on a busy member, which has less than half of its burst allowance left. It lets a writer
/// with many changes, which all members ask first, send each of them out.
pub const COPIES_SUFFICIENT_WHEN_BUSY: u32 = 1;
/// How many members a busy member advertises to each time.
pub const ADVERTISE_FANOUT_WHEN_BUSY: usize = 1;
/// The maximum number of entries advertised at a time; they fit into [`ADVERTISE_PACKETS_MAX`] packets.
pub const ADVERTISE_BATCH: usize = 12;
/// The maximum number of packets with labels for one member at a time.
pub const ADVERTISE_PACKETS_MAX: usize = 3;

/// How often a member compares its configuration with another one.
pub const COMPARE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same interval while the last comparison has shown that many entries are missing here.
pub const COMPARE_INTERVAL_BEHIND: Duration = Duration::from_millis(250);
/// If two configurations differ in at most this many parts, a member lacks no more entries than are already
/// on their way.
pub const NEARLY_EQUAL_PARTS: usize = 60;
/// The maximum number of packets with labels in answer to one comparison.
pub const LIST_PACKETS_MAX: usize = 8;

/// How often a writer that has started asks members what they hold.
pub const LEARN_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of members that it asks each time, see [`LEARN_INTERVAL`].
pub const LEARN_FANOUT_MAX: usize = 16;
/// The minimum time for which it asks: its own view of the membership has to converge first.
pub const LEARN_MIN_DURATION: Duration = Duration::from_millis(2_000);
/// How often a writer publishes one key again above a version that others hold.
pub const REPUBLISH_INTERVAL: Duration = Duration::from_millis(1_000);

/// How often a member of a small fleet reports to the writer what it has in force.
pub const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(1_000);
/// The maximum number of reports a second that the writer receives.
pub const REPORTS_PER_SECOND_MAX: u32 = 100;

/// The average rate at which a member sends entries, in bytes a second. It is three quarters of the 18 KB a
/// second that an agent has for all control traffic.
pub const BYTES_PER_SECOND: u64 = 13_500;
/// The burst that it may send at once, in bytes: two of the largest entries.
pub const BURST_BYTES: u64 = 12_000;

/// How often a member of a fleet of this size reports to the writer.
pub fn report_interval(members: usize) -> Duration {
    let interval = Duration::from_secs(1) * members as u32 / REPORTS_PER_SECOND_MAX;
    interval.max(REPORT_INTERVAL_MIN)
}

/// A token bucket over the bytes that a member sends. Requests and comparisons are always sent and charged to
/// it; answers and advertisements are held back while it is empty.
#[derive(Debug)]
pub struct RateLimiter {
    bytes: i64,
    refilled_at: Duration,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(now: Duration) -> RateLimiter {
        RateLimiter { bytes: BURST_BYTES as i64, refilled_at: now }
    }

    /// Refills the bucket and returns whether any tokens are left.
    pub fn has_tokens(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let earned = elapsed.as_micros().saturating_mul(u128::from(BYTES_PER_SECOND)) / 1_000_000;
        if earned > 0 {
            self.refilled_at = now;
            let burst = BURST_BYTES as i64;
            self.bytes = self.bytes.saturating_add(i64::try_from(earned).unwrap_or(burst)).min(burst);
        }
        self.bytes > 0
    }

    /// Whether less than half of the burst is left.
    pub fn is_busy(&self) -> bool {
        self.bytes < BURST_BYTES as i64 / 2
    }

    /// Charges the bytes of a packet that was sent. Packets that are always sent can't run up a debt of more
    /// than a second.
    pub fn charge(&mut self, bytes: usize) {
        self.bytes = (self.bytes - bytes as i64).max(-(BYTES_PER_SECOND as i64));
    }
}
