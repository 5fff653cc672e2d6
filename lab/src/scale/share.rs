//! What the rig itself took of the machine while a run was on, and whether that spoilt it.

use serde::Serialize;

/// What the rig took and how late it was, over a stretch of time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Share {
    /// Cores that the lab itself, with its switch, kept busy on average.
    pub lab_cores: f64,
    /// Cores that it can use at most: the threads that it works on.
    pub lab_threads: usize,
    /// How late a timer of the lab was at worst, in milliseconds.
    pub late_ms: f64,
    /// How late a timer of a host of hollow agents was at worst, in milliseconds.
    pub host_late_ms: f64,
    /// Datagrams that the switch took in.
    pub carried: u64,
    /// Datagrams that the kernel threw away because the switch did not read them in time.
    pub dropped: u64,
    /// The share of the machine's processors that was idle, 0 to 1.
    pub idle: f64,
}

/// How far the rig may go; beyond that it is the bottleneck.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The share of its threads that the lab may keep busy.
    pub lab_busy: f64,
    /// How late a timer of the lab may be, in milliseconds.
    pub late_ms: f64,
    /// How late a timer of a host may be, in milliseconds.
    pub host_late_ms: f64,
    /// The share of datagrams that may be thrown away before the switch.
    pub dropped: f64,
    /// The share of the processors that must have been idle.
    pub idle: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            lab_busy: 0.8,
            late_ms: 250.0,
            // Beyond this a member takes itself for stopped or starved (`pace::STALL_TOLERANCE`), which a real one of its own would not.
            host_late_ms: 200.0,
            dropped: 0.001,
            idle: 0.05,
        }
    }
}

impl Share {
    /// Why a run with this share does not count; nothing if it does.
    pub fn bottleneck(&self, bounds: &Bounds) -> Option<String> {
        let busy = self.lab_cores / self.lab_threads.max(1) as f64;
        let dropped = self.dropped as f64 / self.carried.max(1) as f64;
        if busy > bounds.lab_busy {
            let threads = self.lab_threads;
            return Some(format!("the lab kept {:.2} of its {threads} threads busy", self.lab_cores));
        }
        if self.late_ms > bounds.late_ms {
            return Some(format!("a timer of the lab was {:.0} ms late", self.late_ms));
        }
        if self.host_late_ms > bounds.host_late_ms {
            return Some(format!("a timer of a host of hollow agents was {:.0} ms late", self.host_late_ms));
        }
        if dropped > bounds.dropped {
            return Some(format!(
                "{} of {} datagrams were lost before the switch",
                self.dropped, self.carried
            ));
        }
        if self.idle < bounds.idle {
            return Some(format!("the machine was {:.1}% idle only", self.idle * 100.0));
        }
        None
    }

    /// This stretch and another one: the worst of both, and what was carried in both.
    pub fn with(&self, other: &Share) -> Share {
        Share {
            lab_cores: self.lab_cores.max(other.lab_cores),
            lab_threads: self.lab_threads.max(other.lab_threads),
            late_ms: self.late_ms.max(other.late_ms),
            host_late_ms: self.host_late_ms.max(other.host_late_ms),
            carried: self.carried + other.carried,
            dropped: self.dropped + other.dropped,
            idle: self.idle.min(other.idle),
        }
    }
}

#[cfg(test)]
mod tests;
