//! What stands at the head of a committed measurement: which build ran, on what machine, on which day.

use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_A_DAY: u64 = 86_400;

/// Commit and profile of this build, as the programs beside it were built.
pub fn build() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let git = |arguments: &[&str]| {
        let output = Command::new("git").args(arguments).current_dir(root).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
    };
    let commit = git(&["rev-parse", "--short=12", "HEAD"]).unwrap_or_else(|| "unknown commit".into());
    // What runs in an agent; the lab round it may be ahead of its commit.
    let parts =
        ["status", "--porcelain", "--", "../src", "../agent/src", "../cluster/src", "../settings/src"];
    let changed = git(&parts).is_some_and(|changes| !changes.is_empty());
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    format!("{commit}{} {profile}", if changed { " with changes" } else { "" })
}

/// Cores, memory, system.
pub fn description() -> String {
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let memory = std::fs::read_to_string("/proc/meminfo").ok();
    let memory = memory.and_then(|text| super::process::field(&text, "MemTotal:")).unwrap_or(0);
    let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
    let gib = memory as f64 / (1024.0 * 1024.0);
    format!("{cores} cores, {gib:.0} GiB, {} {}", std::env::consts::OS, kernel.trim())
}

/// The day in UTC, as `YYYY-MM-DD`.
pub fn today() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    day(since.as_secs() / SECONDS_A_DAY)
}

/// The day that is so many days after 1970-01-01, in the Gregorian calendar.
fn day(days: u64) -> String {
    let (mut year, mut left) = (1970, days);
    let leap = |year: u64| year.is_multiple_of(4) && !year.is_multiple_of(100) || year.is_multiple_of(400);
    while left >= 365 + u64::from(leap(year)) {
        left -= 365 + u64::from(leap(year));
        year += 1;
    }
    let february = 28 + u64::from(leap(year));
    let mut month = 1;
    for length in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31] {
        if left < length {
            break;
        }
        left -= length;
        month += 1;
    }
    format!("{year}-{month:02}-{:02}", left + 1)
}

#[cfg(test)]
mod tests;
