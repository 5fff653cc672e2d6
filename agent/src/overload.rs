//! Feedback from the resident memory of the process: reads it at short intervals and acts on the level that
//! [`crate::permits::overload`] derives from it. Where it can't be read, the budgets alone hold.

use crate::driver::Driver;
use crate::frontend::http::server::Server;
use crate::log::log;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Count;
use crate::permits::overload::{work_max, OverloadLevel};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the readings while connections are open.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Connections without a complete request that are evicted at each reading while new requests are refused.
const EVICTED_PER_READING: usize = 8;
/// At the highest level so many connections are ended that this share of the limit would be left in use, if each
/// held this much.
const ENDING_TARGET: f64 = 0.90;
const ENDED_BYTES: u64 = 64 * 1024;
/// The fewest that are ended at a reading.
const ENDED_MIN: usize = 8;
/// The file of the kernel that tells the pages of a process; the second number counts the resident ones.
const PAGES_FILE: &str = "/proc/self/statm";

/// What the levels act on.
pub struct MemoryMonitor {
    /// Connections to clients.
    pub server: Rc<Server>,
    /// Connections to servers.
    pub driver: Driver,
    /// The budget of bodies.
    pub bodies: Rc<MemoryBudget>,
    /// The most memory that all processes of this agent may hold, in bytes.
    pub limit_bytes: u64,
    /// What the other processes of this agent hold, in bytes.
    pub others_bytes: Rc<Cell<u64>>,
    /// The level in force.
    pub level: Cell<OverloadLevel>,
}

/// The resident memory of this process in bytes; `None` if the kernel doesn't tell.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string(PAGES_FILE).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// Asks the kernel for no huge pages in this process: with them each part of the heap that is touched holds 2 MB.
pub fn avoid_huge_pages() {
    if let Err(error) = rustix::thread::disable_transparent_huge_pages(true) {
        log(&format!("huge pages stay allowed: {error}"));
    }
}

impl MemoryMonitor {
    /// Reads and acts for as long as the agent lives. The server asks for further readings while a crowd arrives.
    pub async fn run(self: Rc<Self>) {
        if let Some(idle) = resident_bytes() {
            self.server.limit_work(work_max(idle, self.limit_bytes));
        }
        let monitor = Rc::downgrade(&self);
        self.server.on_work_taken(Box::new(move || {
            if let Some(monitor) = monitor.upgrade() {
                monitor.read();
            }
        }));
        loop {
            if self.level.get() == OverloadLevel::Normal {
                self.server.has_connections().await;
            }
            sleep(READ_INTERVAL).await;
            self.read();
        }
    }

    /// Reads the resident memory once and acts on it.
    fn read(&self) {
        let Some(own) = resident_bytes() else { return };
        let resident = own + self.others_bytes.get();
        let level = self.level.get().next(resident, self.server.work_bytes(), self.limit_bytes);
        if self.level.replace(level) != level {
            self.enter(level, resident);
        }
        self.act(level, resident);
    }

    fn enter(&self, level: OverloadLevel, resident: u64) {
        log(&format!("memory {}: {} of {} KiB", level.name(), resident / 1024, self.limit_bytes / 1024));
        self.driver.metrics().count(Count::Overload(level));
        self.bodies.allow_spare(level == OverloadLevel::Normal);
        self.server.refuse_new(level >= OverloadLevel::Refusing);
    }

    fn act(&self, level: OverloadLevel, resident: u64) {
        if level >= OverloadLevel::Saving {
            self.driver.pool().close_all_idle();
            self.server.close_idle_clients();
        }
        if level >= OverloadLevel::Refusing {
            self.server.evict(EVICTED_PER_READING);
        }
        if level >= OverloadLevel::Ending {
            let excess = resident.saturating_sub((self.limit_bytes as f64 * ENDING_TARGET) as u64);
            self.server.end_largest((excess / ENDED_BYTES) as usize + ENDED_MIN);
        }
    }
}
