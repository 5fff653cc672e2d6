//! What stands at the head of a committed measurement: which build ran, on what machine, on which day.

use std::path::Path;
use std::process::Command;

/// The commit of this repository, marked if its files have changed since, and the profile of this program.
pub fn build() -> String {
    let commit = output(Command::new("git").args(["describe", "--always", "--dirty"]));
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    format!("{} {profile}", commit.unwrap_or_else(|| "unknown commit".into()))
}

/// Cores, memory and system.
pub fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory_kib = std::fs::read_to_string("/proc/meminfo").ok().and_then(|text| memory_kib(&text));
    let gib = memory_kib.unwrap_or(0).div_ceil(1024 * 1024);
    let kernel = std::fs::read_to_string("/proc/sys/kernel/osrelease").unwrap_or_default();
    format!("{cores} cores, {gib} GiB, {} {}", std::env::consts::OS, kernel.trim())
}

/// Today in UTC, as `YYYY-MM-DD`.
pub fn today() -> String {
    output(Command::new("date").args(["-u", "+%F"])).unwrap_or_else(|| "unknown day".into())
}

fn memory_kib(meminfo: &str) -> Option<u64> {
    let line = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn output(command: &mut Command) -> Option<String> {
    let output = command.current_dir(Path::new(env!("CARGO_MANIFEST_DIR"))).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
}

#[cfg(test)]
mod tests;
