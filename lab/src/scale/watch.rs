//! Those who read what agents say: hollow agents in short from their host and whole only where that has changed, real ones whole.

use crate::fleet::process::view;
use crate::fleet::switch::Switch;
use crate::scale::book::{Book, Wanted};
use crate::scale::host::{Host, HostFault};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// How often an agent is read at most.
const READ_EVERY: Duration = Duration::from_millis(100);
/// Whole views of all agents together that may be read in a second: a view of 1,600 members is 140 KB of text.
const VIEWS_A_SECOND: usize = 400;
/// Whole views that are read at once.
const VIEWS_AT_ONCE: usize = 16;

/// What those who read share with the one who plays.
pub struct Eyes {
    book: Mutex<Book>,
    fault: Mutex<Option<HostFault>>,
    rest: AtomicBool,
    reading: Semaphore,
    host_late_ms: Mutex<f64>,
    every: Duration,
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Eyes {
    /// For a fleet of so many members.
    pub fn new(book: Book, members: usize) -> Eyes {
        let every = Duration::from_secs_f64(members as f64 / VIEWS_A_SECOND as f64).max(READ_EVERY);
        Eyes {
            book: Mutex::new(book),
            fault: Mutex::new(None),
            rest: AtomicBool::new(false),
            reading: Semaphore::new(VIEWS_AT_ONCE),
            host_late_ms: Mutex::new(0.0),
            every,
        }
    }

    /// What was written down.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        lock(&self.book)
    }

    /// What has gone wrong with a host, once.
    pub fn take_fault(&self) -> Option<HostFault> {
        lock(&self.fault).take()
    }

    /// Nobody reads from now on, or all do again; comes back when nothing that was begun is out any more.
    pub async fn rest(&self, rest: bool) {
        self.rest.store(rest, Ordering::SeqCst);
        if rest {
            let _ = self.reading.acquire_many(VIEWS_AT_ONCE as u32).await;
        }
    }

    /// How late a host's timer was at worst since this was last asked, in milliseconds.
    pub fn take_host_late_ms(&self) -> f64 {
        std::mem::take(&mut *lock(&self.host_late_ms))
    }

    /// Reads one host's summaries.
    pub async fn summarise(&self, host: &Host) -> Result<(), HostFault> {
        let generations = self.book().generations();
        let (agents, late_ms) = host.report().await?;
        let worst = &mut *lock(&self.host_late_ms);
        *worst = worst.max(late_ms);
        let mut book = self.book();
        for summary in &agents {
            if let Some(generation) = generations.get(summary.number) {
                book.summed(summary, *generation);
            }
        }
        Ok(())
    }

    fn rests(&self) -> bool {
        self.rest.load(Ordering::SeqCst)
    }
}

/// Reads the hollow agents of one host until there is no use in it any more.
pub async fn watch_host(eyes: Arc<Eyes>, host: Arc<Host>, members: Vec<usize>) {
    loop {
        sleep(READ_EVERY).await;
        if eyes.rests() {
            continue;
        }
        if let Err(fault) = eyes.summarise(&host).await {
            lock(&eyes.fault).get_or_insert(fault);
            return;
        }
        let Some(before) = Instant::now().checked_sub(eyes.every) else { continue };
        let wanted = eyes.book().outdated(&members, before);
        let reads = wanted.into_iter().map(|wanted| {
            let eyes = Arc::clone(&eyes);
            tokio::spawn(async move { read(&eyes, None, wanted).await })
        });
        for read in reads.collect::<Vec<_>>() {
            let _ = read.await;
        }
    }
}

/// Reads a real agent over and over.
pub async fn watch_real(eyes: Arc<Eyes>, switch: Arc<Switch>, member: usize) {
    loop {
        sleep(eyes.every).await;
        let wanted = eyes.book().wanted(member);
        if let Some(wanted) = wanted.filter(|_| !eyes.rests()) {
            read(&eyes, Some(&switch), wanted).await;
        }
    }
}

/// Reads a whole view; what one says that is broken on purpose is changed on its way.
async fn read(eyes: &Eyes, switch: Option<&Switch>, wanted: Wanted) {
    let Ok(_place) = eyes.reading.acquire().await else { return };
    if eyes.rests() {
        return;
    }
    let Some(seen) = view(wanted.admin).await else { return };
    let changed = switch.and_then(|switch| switch.broken(wanted.member, |broken| broken.says(seen.clone())));
    eyes.book().read(&wanted, changed.unwrap_or(seen));
}
