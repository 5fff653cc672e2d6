//! Every period and rate of the configuration's exchange, and the limit on what one member sends.

use std::time::Duration;

/// How often a member tells others of what has just come.
pub const ADVERTISE_EVERY: Duration = Duration::from_millis(80);
/// How many it tells each time.
pub const ADVERTISE_TO: usize = 2;
/// How often one entry is told of.
pub const ADVERTISE_TIMES: u32 = 4;
/// So many copies handed out are enough: the others have more to give by then.
pub const COPIES_ENOUGH: u32 = 3;
/// The same for a member that is busy: less than half of what it may send at once is left. So a writer with many changes, whom
/// everybody asks first, hands out each of them.
pub const COPIES_ENOUGH_WHEN_BUSY: u32 = 1;
/// How many a busy member tells each time.
pub const ADVERTISE_TO_WHEN_BUSY: usize = 1;
/// Entries that are told of at a time; they fit into [`ADVERTISE_PACKETS_MOST`].
pub const ADVERTISE_AT_ONCE: usize = 12;
/// Packets of labels for one member at a time.
pub const ADVERTISE_PACKETS_MOST: usize = 3;

/// How often a member compares its configuration with another one.
pub const COMPARE_EVERY: Duration = Duration::from_millis(1_000);
/// The same, while the last comparison found something that is missing here.
pub const COMPARE_EVERY_UNLIKE: Duration = Duration::from_millis(250);
/// A member whose configuration differs from another's in so many parts at most lacks no more than what is on its way.
pub const PARTS_NEAR: usize = 60;
/// Packets of labels in answer to one comparison.
pub const LIST_PACKETS_MOST: usize = 8;

/// How often a writer that has started asks what the others hold, and how many of them each time.
pub const LEARN_EVERY: Duration = Duration::from_millis(100);
/// See [`LEARN_EVERY`].
pub const LEARN_FROM: usize = 16;
/// For how long it listens at least: its own view of who is there has to settle first.
pub const LEARN_FOR: Duration = Duration::from_millis(2_000);
/// How often a writer goes above a version of one key that others hold.
pub const RAISE_EVERY: Duration = Duration::from_millis(1_000);

/// How often a member of a small fleet tells the writer what it has in force.
pub const REPORT_EVERY: Duration = Duration::from_millis(1_000);
/// The writer hears so many reports a second at most.
pub const REPORTS_A_SECOND: u32 = 100;

/// The bytes a second that a member sends on average while it hands out entries. Three quarters of the 18 KB a second that the
/// agents have for all control traffic.
pub const BYTES_A_SECOND: u64 = 13_500;
/// The bytes that it may send at once: two of the largest entries.
pub const BYTES_AT_ONCE: u64 = 12_000;

/// How often a member of a fleet of this size reports to the writer.
pub fn report_every(members: usize) -> Duration {
    let spread = Duration::from_secs(1) * members as u32 / REPORTS_A_SECOND;
    spread.max(REPORT_EVERY)
}

/// A token bucket over the bytes that a member sends. Questions and comparisons always go out, and are charged to it;
/// answers wait for another time when it is empty.
#[derive(Debug)]
pub struct Budget {
    bytes: i64,
    counted_at: Duration,
}

impl Budget {
    /// A full one.
    pub fn new(now: Duration) -> Budget {
        Budget { bytes: BYTES_AT_ONCE as i64, counted_at: now }
    }

    /// Whether there is anything left.
    pub fn is_left(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.counted_at);
        let earned = passed.as_micros().saturating_mul(u128::from(BYTES_A_SECOND)) / 1_000_000;
        if earned > 0 {
            self.counted_at = now;
            let most = BYTES_AT_ONCE as i64;
            self.bytes = self.bytes.saturating_add(i64::try_from(earned).unwrap_or(most)).min(most);
        }
        self.bytes > 0
    }

    /// Whether less than half is left.
    pub fn is_busy(&self) -> bool {
        self.bytes < BYTES_AT_ONCE as i64 / 2
    }

    /// So many bytes were sent. What always goes out can't run up a debt of more than a second.
    pub fn spend(&mut self, bytes: usize) {
        self.bytes = (self.bytes - bytes as i64).max(-(BYTES_A_SECOND as i64));
    }
}
