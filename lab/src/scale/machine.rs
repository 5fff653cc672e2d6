//! What the machine says of itself and of processes, read from `/proc`.

use std::collections::HashSet;
use std::time::Duration;

/// Memory of the machine, in MB.
pub fn memory_mb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    field_kib(&text, "MemTotal:").map(|kib| kib / 1024)
}

/// Descriptors that this process may hold, once its limit is raised as far as it may raise it.
pub fn descriptors() -> u64 {
    let Ok((soft, hard)) = rlimit::Resource::NOFILE.get() else { return u64::MAX };
    if soft < hard && rlimit::Resource::NOFILE.set(hard, hard).is_err() {
        return soft;
    }
    hard
}

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Time on a processor since its start, of the threads that it has now.
    pub cpu: Duration,
    /// Resident memory, in MB.
    pub resident_mb: f64,
}

/// What the process with this number has used.
pub fn usage(process: u32) -> Option<Usage> {
    let mut cpu = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let Ok(text) = std::fs::read_to_string(thread.ok()?.path().join("schedstat")) else { continue };
        let nanoseconds = text.split_whitespace().next()?.parse().ok()?;
        cpu += Duration::from_nanos(nanoseconds);
    }
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    Some(Usage { cpu, resident_mb: field_kib(&status, "VmRSS:")? as f64 / 1024.0 })
}

fn field_kib(text: &str, name: &str) -> Option<u64> {
    text.lines().find_map(|line| line.strip_prefix(name))?.split_whitespace().next()?.parse().ok()
}

/// Processor time of the whole machine: what was idle, and all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Processors {
    idle: u64,
    all: u64,
}

/// What the processors have done so far.
pub fn processors() -> Option<Processors> {
    let text = std::fs::read_to_string("/proc/stat").ok()?;
    let ticks: Vec<u64> =
        text.lines().next()?.split_whitespace().skip(1).filter_map(|t| t.parse().ok()).collect();
    let idle = ticks.get(3)? + ticks.get(4)?;
    // Guests' time is counted in that of users already.
    Some(Processors { idle, all: ticks.iter().take(8).sum() })
}

impl Processors {
    /// The share of the processors that has been idle since an earlier reading, 0 to 1.
    pub fn idle_since(self, earlier: Processors) -> f64 {
        let all = self.all.saturating_sub(earlier.all).max(1);
        self.idle.saturating_sub(earlier.idle) as f64 / all as f64
    }
}

/// Datagrams that the kernel has thrown away because nobody read them in time, at sockets with these ports.
pub fn dropped_datagrams(ports: &HashSet<u16>) -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/net/udp") else { return 0 };
    let dropped = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let port = u16::from_str_radix(words.get(1)?.rsplit(':').next()?, 16).ok()?;
        ports.contains(&port).then(|| words.last()?.parse::<u64>().ok()).flatten()
    };
    text.lines().skip(1).filter_map(dropped).sum()
}
