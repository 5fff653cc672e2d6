//! A schedule with real processes: each agent is the program, and the switch lies between them.

use crate::fleet::checker::{judge, Verdict};
use crate::fleet::evidence::{Belief, Entry, Evidence, Reader, Seen};
use crate::fleet::flaw::{Broken, Flaw};
use crate::fleet::live::{Look, Runs};
use crate::fleet::plan::{Act, Clocks, Fault, Kind, Plan};
use crate::fleet::process::{takes_clients, view, Ground, Process};
use crate::fleet::switch::Switch;
use serde::Serialize;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How often each view is read.
const READ_EVERY: Duration = Duration::from_millis(100);
/// How long the first settling may take.
const FIRST_WAIT: Duration = Duration::from_secs(60);
/// How long all must be one and true before a run ends early.
const HOLD: Duration = Duration::from_secs(3);
/// How often it is looked whether it is.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How often it is shown to people.
const SHOW_EVERY: f64 = 0.5;
/// How long a new process may take until it takes clients.
const READY_WAIT: Duration = Duration::from_secs(20);

/// Beyond this the lab ran late: views may be older than they look, and times mean nothing.
pub const LATE_MOST: f64 = 1.0;

/// What a run with real processes has shown.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// What was played.
    pub plan: Plan,
    /// The judgement.
    pub verdict: Verdict,
    /// How long the first settling took, in seconds.
    pub first_settled: f64,
    /// How long it ran, in seconds.
    pub seconds: f64,
    /// Packets and bytes that one agent sent a second, on average.
    pub packets_a_second: f64,
    /// See [`Outcome::packets_a_second`].
    pub bytes_a_second: f64,
    /// Processor time of those agents that ran at the end, in milliseconds a second, on average.
    pub cpu_ms_a_second: f64,
    /// Their resident memory, in KiB, the largest.
    pub rss_kib: u64,
    /// How late the lab itself was at worst, in seconds: a machine that stood still says nothing of the agents.
    pub late: f64,
    /// What was written down.
    #[serde(skip)]
    pub evidence: Evidence,
}

/// What those who read views share with the one who plays.
struct Shared {
    start: Instant,
    book: Mutex<Book>,
}

struct Book {
    evidence: Evidence,
    /// What each last said, in the present run of its process.
    latest: Vec<Option<Seen>>,
}

impl Shared {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, entry: Entry) {
        let mut book = self.book();
        let at = self.start.elapsed().as_secs_f64();
        book.evidence.entries.push((at, entry));
    }
}

struct Slot {
    process: Option<Process>,
    reader: Option<JoinHandle<()>>,
    listener: Option<TcpListener>,
    stopped: bool,
    starts: usize,
    started_at: Instant,
}

/// A fleet of real processes on its feet.
pub struct Rig {
    plan: Plan,
    ground: Ground,
    switch: Arc<Switch>,
    slots: Vec<Slot>,
    shared: Arc<Shared>,
    lag: Lag,
}

/// Looks how late this process is, from a task of its own.
struct Lag(Arc<AtomicU64>, JoinHandle<()>);

impl Lag {
    fn watch() -> Lag {
        let most = Arc::new(AtomicU64::new(0));
        let seen = Arc::clone(&most);
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + LOOK_EVERY;
                sleep(LOOK_EVERY).await;
                seen.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
        Lag(most, task)
    }
}

impl Drop for Lag {
    fn drop(&mut self) {
        self.1.abort();
    }
}

impl Rig {
    /// Starts the switch; no agent yet. Files and logs go into `folder`. With a flaw one of the members is broken.
    pub async fn new(
        plan: Plan,
        program: PathBuf,
        folder: PathBuf,
        flaw: Option<Flaw>,
    ) -> Result<Rig, String> {
        plan.check().map_err(|(key, reason)| format!("{}: {key}: {reason}", plan.name))?;
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let fleet_file = folder.join("fleet.toml");
        std::fs::write(&fleet_file, "[fleet]\njson = true\n")
            .map_err(|e| format!("{}: {e}", fleet_file.display()))?;
        let switch = Arc::new(Switch::start(plan.agents, plan.seed, flaw).await?);
        let peers = switch.addresses()?;
        // Nobody listens there: these agents are asked for nothing, and need no list but their first.
        let discovery = SocketAddr::from(([127, 0, 0, 1], 9));
        let (knows, seed) = (plan.knows, plan.seed);
        let ground = Ground { program, fleet_file, folder, peers, knows, discovery, seed };
        let mut slots = Vec::new();
        for m in 0..plan.agents {
            // Where a new process comes beside the old one the platform holds the clients' socket.
            let upgraded = plan.fault.iter().any(|f| f.kind == Kind::Upgrade && f.members.contains(&m));
            let listener = if upgraded {
                Some(TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no socket to hold: {e}"))?)
            } else {
                None
            };
            let started_at = Instant::now();
            slots.push(Slot { process: None, reader: None, listener, stopped: false, starts: 0, started_at });
        }
        let book = Book { evidence: Evidence::default(), latest: vec![None; plan.agents] };
        let shared = Arc::new(Shared { start: Instant::now(), book: Mutex::new(book) });
        Ok(Rig { plan, ground, switch, slots, shared, lag: Lag::watch() })
    }

    /// The seconds since the rig was set up.
    pub fn now(&self) -> f64 {
        self.shared.start.elapsed().as_secs_f64()
    }

    /// Starts an agent that does not run.
    pub async fn start(&mut self, m: usize, clocks: Clocks) -> Result<(), String> {
        if self.slots[m].process.is_some() {
            return Ok(());
        }
        self.switch.broken(m, Broken::starts);
        let listener = self.slots[m].listener.as_ref();
        let process = Process::start(&self.ground, m, self.slots[m].starts, clocks, listener, None).await?;
        self.shared.write(Entry::Started(m));
        if let Some(at) = process.peers_at {
            self.switch.place(m, at);
        }
        self.watch(m, process);
        Ok(())
    }

    fn watch(&mut self, m: usize, process: Process) {
        self.shared.book().latest[m] = None;
        let slot = &mut self.slots[m];
        slot.reader.take().inspect(JoinHandle::abort);
        let (shared, switch) = (Arc::clone(&self.shared), Arc::clone(&self.switch));
        slot.reader = Some(tokio::spawn(read(shared, switch, m, process.admin)));
        (slot.process, slot.stopped, slot.started_at) = (Some(process), false, Instant::now());
        slot.starts += 1;
    }

    async fn end(&mut self, m: usize, gently: bool) {
        let Some(mut process) = self.slots[m].process.take() else { return };
        self.slots[m].reader.take().inspect(JoinHandle::abort);
        self.shared.book().latest[m] = None;
        if gently && !self.slots[m].stopped {
            self.shared.write(Entry::Ending(m));
            process.signal("-TERM").await;
            process.ended().await;
        } else {
            process.kill().await;
        }
        self.slots[m].stopped = false;
        self.shared.write(Entry::Ended(m));
    }

    async fn upgrade(&mut self, m: usize) -> Result<(), String> {
        let Slot { process: Some(old), listener: Some(listener), stopped: false, starts, .. } =
            &self.slots[m]
        else {
            return Ok(());
        };
        let at = old.peers_at;
        let mut new = Process::start(&self.ground, m, *starts, Clocks::default(), Some(listener), at).await?;
        let until = Instant::now() + READY_WAIT;
        while !takes_clients(new.admin).await && Instant::now() < until {
            sleep(LOOK_EVERY).await;
        }
        if let Some(old) = self.slots[m].process.take() {
            old.signal("-TERM").await;
            if new.takes_over().await.is_none() {
                return Err(format!("the new process of agent {m} has not taken over its address"));
            }
            self.shared.write(Entry::Upgraded(m));
            let mut old = old;
            tokio::spawn(async move { old.ended().await });
        }
        self.watch(m, new);
        Ok(())
    }

    /// Carries out a step.
    pub async fn act(&mut self, act: Act) -> Result<(), String> {
        match act {
            Act::Begin(i) => {
                let fault = self.plan.fault[i].clone();
                self.shared.write(Entry::Began(i, fault.kind));
                let now = self.switch.now();
                let again = self.switch.net().begin(i, &fault, now);
                self.switch.send(again);
            }
            Act::End(i) => {
                self.switch.net().end(i);
                self.shared.write(Entry::Over(i, self.plan.fault[i].kind));
            }
            Act::Kill(m) => self.end(m, false).await,
            Act::Terminate(m) => self.end(m, true).await,
            Act::Stop(m) => {
                if let Some(process) = self.slots[m].process.as_ref().filter(|_| !self.slots[m].stopped) {
                    process.signal("-STOP").await;
                    self.slots[m].stopped = true;
                    self.shared.write(Entry::Stopped(m));
                }
            }
            Act::Continue(m) => {
                if let Some(process) = self.slots[m].process.as_ref().filter(|_| self.slots[m].stopped) {
                    self.shared.write(Entry::Continued(m));
                    self.switch.broken(m, Broken::wakes);
                    process.signal("-CONT").await;
                    self.slots[m].stopped = false;
                }
            }
            Act::Start(m, clocks) => self.start(m, clocks).await?,
            Act::Upgrade(m) => self.upgrade(m).await?,
        }
        Ok(())
    }

    /// True if all that run are awake and say one and the same, which is true.
    pub fn is_settled(&self) -> bool {
        let running: Vec<usize> =
            (0..self.plan.agents).filter(|m| self.slots[*m].process.is_some()).collect();
        let book = self.shared.book();
        let mut digest = None;
        running.iter().all(|m| {
            let Some(seen) = &book.latest[*m] else { return false };
            let there = seen.lines.iter().filter(|(_, _, belief)| *belief == Belief::Alive).count();
            let suspects = seen.lines.iter().any(|(_, _, belief)| *belief == Belief::Suspect);
            let same = *digest.get_or_insert(seen.digest) == seen.digest;
            let sure = seen.sure == (running.len() * 2 > self.plan.agents);
            same && sure && !suspects && there == running.len() && !self.slots[*m].stopped
        })
    }

    /// Waits until all are settled; how long that took, or nothing if it did not come in time.
    pub async fn settle(&mut self, within: Duration) -> Option<Duration> {
        let begin = Instant::now();
        while begin.elapsed() < within {
            if self.is_settled() {
                return Some(begin.elapsed());
            }
            self.look_for_crashes();
            sleep(LOOK_EVERY).await;
        }
        None
    }

    fn look_for_crashes(&mut self) {
        let flooding = std::mem::take(&mut self.switch.net().flooding);
        flooding.into_iter().for_each(|m| self.shared.write(Entry::Flooded(m)));
        for m in 0..self.slots.len() {
            let slot = &mut self.slots[m];
            if slot.process.as_mut().is_some_and(Process::has_ended) {
                slot.process = None;
                slot.reader.take().inspect(JoinHandle::abort);
                self.shared.book().latest[m] = None;
                self.shared.write(Entry::Crashed(m));
            }
        }
    }

    /// How it all looks from outside, so many seconds after the fleet had settled first.
    fn look(&self, at: f64) -> Look {
        let runs = self.slots.iter().map(|slot| match (&slot.process, slot.stopped) {
            (None, _) => Runs::Not,
            (Some(_), true) => Runs::Stopped,
            (Some(_), false) => Runs::Yes,
        });
        let holds =
            self.plan.fault.iter().filter(|f| f.at <= at && at < (f.at + f.lasts).max(f.at + SHOW_EVERY));
        let views = self.shared.book().latest.clone();
        Look { at, runs: runs.collect(), views, faults: holds.map(Fault::label).collect() }
    }

    /// What was written down so far.
    pub fn evidence(&self) -> Evidence {
        self.shared.book().evidence.clone()
    }

    /// Plays the whole schedule: all start, settle, the faults come, and it ends when all has settled again or the stated
    /// time is over. `show` is shown the fleet every half second.
    pub async fn play(mut self, mut show: impl FnMut(&Look)) -> Result<Outcome, String> {
        for m in 0..self.plan.agents {
            self.start(m, Clocks::default()).await?;
        }
        let first = self.settle(FIRST_WAIT).await;
        let (begin, carried_before) = (Instant::now(), self.switch.net().carried);
        let mut shown = f64::NEG_INFINITY;
        let mut shows = |rig: &Rig| {
            let at = begin.elapsed().as_secs_f64();
            if at - shown >= SHOW_EVERY {
                shown = at;
                show(&rig.look(at));
            }
        };
        for (at, act) in self.plan.steps() {
            while begin.elapsed().as_secs_f64() < at {
                let left = Duration::from_secs_f64(at).saturating_sub(begin.elapsed());
                sleep(left.min(LOOK_EVERY)).await;
                self.look_for_crashes();
                shows(&self);
            }
            self.act(act).await?;
        }
        let end = Instant::now() + Duration::from_secs_f64(self.plan.settles_within()) + HOLD;
        let mut since = None;
        while Instant::now() < end && since.is_none_or(|since: Instant| since.elapsed() < HOLD) {
            sleep(LOOK_EVERY).await;
            self.look_for_crashes();
            shows(&self);
            since = if self.is_settled() { since.or(Some(Instant::now())) } else { None };
        }
        let seconds = begin.elapsed().as_secs_f64();
        let carried = self.switch.net().carried;
        let rate = |now: u64, before: u64| (now - before) as f64 / seconds / self.plan.agents as f64;
        let usages =
            self.slots.iter().filter_map(|s| Some((s.process.as_ref()?.usage()?, s.started_at.elapsed())));
        let usages: Vec<_> = usages.collect();
        let cpu = usages.iter().map(|(usage, ran)| usage.cpu_ms as f64 / ran.as_secs_f64().max(0.1));
        let evidence = self.evidence();
        Ok(Outcome {
            verdict: judge(&self.plan, &evidence),
            first_settled: first.map_or(f64::INFINITY, |first| first.as_secs_f64()),
            seconds,
            packets_a_second: rate(carried.0, carried_before.0),
            bytes_a_second: rate(carried.1, carried_before.1),
            cpu_ms_a_second: cpu.sum::<f64>() / usages.len().max(1) as f64,
            late: self.lag.0.load(Ordering::Relaxed) as f64 / 1e6,
            rss_kib: usages.iter().map(|(usage, _)| usage.rss_kib).max().unwrap_or(0),
            plan: self.plan.clone(),
            evidence,
        })
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.slots.iter_mut().for_each(|slot| drop(slot.reader.take().inspect(JoinHandle::abort)));
    }
}

/// Reads one agent's view over and over, and writes down what it says.
async fn read(shared: Arc<Shared>, switch: Arc<Switch>, m: usize, admin: SocketAddr) {
    let mut reader = Reader::default();
    let mut ticks = tokio::time::interval(READ_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(seen) = view(admin).await else { continue };
        let seen = switch.broken(m, |broken| broken.says(seen.clone())).unwrap_or(seen);
        let mut book = shared.book();
        let agents = book.latest.len();
        let at = shared.start.elapsed().as_secs_f64();
        let entries = reader.read(m, seen.clone(), agents);
        book.evidence.entries.extend(entries.into_iter().map(|entry| (at, entry)));
        book.latest[m] = Some(seen);
    }
}
