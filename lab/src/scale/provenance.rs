//! Where a measurement comes from: build, machine and day.

use crate::scale::machine;
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// The commit of a repository and the profile of this program.
pub fn build(repository: &Path) -> String {
    let git = Command::new("git").args(["describe", "--always", "--dirty"]).current_dir(repository).output();
    let commit = git.ok().filter(|output| output.status.success());
    let commit = commit.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string());
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    format!("{} {profile}", commit.unwrap_or_else(|| "unknown".into()))
}

/// Cores, memory and system.
pub fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let gib = machine::memory_mb().unwrap_or(0).div_ceil(1024);
    let system = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
    format!("{cores} cores, {gib} GB, Linux {}", system.trim())
}

/// Today in UTC, as `YYYY-MM-DD`.
pub fn today() -> String {
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let (year, month, day) = civil(seconds / 86_400);
    format!("{year:04}-{month:02}-{day:02}")
}

/// Year, month and day of a day since 1970-01-01, by the Gregorian calendar; years are reckoned from March, so that a
/// leap day comes last.
fn civil(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    (era * 400 + year_of_era + u64::from(month <= 2), month, day)
}

#[cfg(test)]
mod tests;
