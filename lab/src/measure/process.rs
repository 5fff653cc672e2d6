//! What the kernel says of a process, from `/proc`: CPU time of all its threads, how often they were switched to, and its
//! resident memory.

use std::path::Path;

/// What a process has used since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reading {
    /// CPU time of all threads, in nanoseconds.
    pub cpu_ns: u64,
    /// Voluntary context switches of all threads: each is a wait that ended in a wakeup.
    pub waits: u64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

/// What a process used between two readings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// CPU time, in milliseconds a second.
    pub cpu_ms_per_s: f64,
    /// Wakeups a second.
    pub wakeups_per_s: f64,
    /// Resident memory at the end, in MB of 10^6 bytes.
    pub resident_mb: f64,
}

impl Reading {
    /// Reads a process; `None` if it has ended.
    pub fn of(process: u32) -> Option<Reading> {
        let folder = format!("/proc/{process}");
        let mut reading = Reading::default();
        for task in std::fs::read_dir(format!("{folder}/task")).ok()? {
            let task = task.ok()?.path();
            // A thread that has ended since counts no more; the agent's only one does not end.
            let Some((cpu, waits)) = thread(&task) else { continue };
            reading.cpu_ns += cpu;
            reading.waits += waits;
        }
        let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
        reading.resident_kib = field(&status, "VmRSS:")?;
        Some(reading)
    }

    /// What was used since an earlier reading, `seconds` ago.
    pub fn since(&self, earlier: &Reading, seconds: f64) -> Rate {
        Rate {
            cpu_ms_per_s: self.cpu_ns.saturating_sub(earlier.cpu_ns) as f64 / 1e6 / seconds,
            wakeups_per_s: self.waits.saturating_sub(earlier.waits) as f64 / seconds,
            resident_mb: self.resident_kib as f64 * 1024.0 / 1e6,
        }
    }
}

fn thread(task: &Path) -> Option<(u64, u64)> {
    let schedstat = std::fs::read_to_string(task.join("schedstat")).ok()?;
    let status = std::fs::read_to_string(task.join("status")).ok()?;
    Some((cpu_of_schedstat(&schedstat)?, field(&status, "voluntary_ctxt_switches:")?))
}

/// The first of the three numbers of a `schedstat` file: nanoseconds on a CPU.
pub fn cpu_of_schedstat(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}

/// The number behind a key at the start of a line of a `status` file.
pub fn field(status: &str, key: &str) -> Option<u64> {
    let rest = status.lines().find_map(|line| line.strip_prefix(key))?;
    rest.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
