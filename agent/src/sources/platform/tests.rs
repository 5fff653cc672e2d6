//! The poller against a simulated source in virtual time that fails in every way, over random histories: each
//! change must be known within 6 s from the moment when it existed and the source could be reached.

use super::connection::{CallProgress, ListAnswer};
use super::*;
use crate::list::Entries;
use crate::memory_budget::MemoryBudget;
use crate::upstream::backend::Backends;
use crate::upstream::pool::Pool;
use ryelead::{Settings, Span};
use std::fmt;
use std::future::pending;
use std::net::SocketAddr;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// How the source behaves for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Answers.
    Up,
    /// Refuses calls at once, and ends long polls.
    Refusing,
    /// Refuses calls after they were queued for 2 s.
    Overbooked,
    /// Never answers, neither new calls nor those in progress.
    Silent,
}

/// How slowly the source writes each answer once it knows what to tell.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    before_head: Duration,
    pieces: u32,
    before_piece: Duration,
}

impl Pace {
    fn answer_time(self) -> Duration {
        self.before_head + self.before_piece * self.pieces
    }

    /// Writes an answer.
    async fn write(self, progress: &CallProgress) {
        sleep(self.before_head).await;
        progress.on_head();
        for _ in 0..self.pieces {
            sleep(self.before_piece).await;
            progress.on_data();
        }
    }
}

/// The history of the source.
struct History {
    start: Instant,
    /// The start of each mode, the first at zero; the last mode is `Up`.
    modes: Vec<(Duration, Mode)>,
    /// The times at which the list changed, to version 2, 3 and so on.
    changes: Vec<Duration>,
    random: RefCell<fastrand::Rng>,
    /// The versions in the order in which they were sent, and when.
    answers: RefCell<Vec<(Duration, i64)>>,
    /// When a long poll fell silent, and when its hold was to end.
    silenced: RefCell<Vec<(Duration, Duration)>>,
    calls: Cell<usize>,
    pace: Pace,
}

impl History {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn mode(&self, at: Duration) -> Mode {
        self.modes.iter().rev().find(|(from, _)| *from <= at).map_or(Mode::Up, |(_, mode)| *mode)
    }

    fn version(&self, at: Duration) -> i64 {
        1 + self.changes.iter().filter(|change| **change <= at).count() as i64
    }

    /// Waits for the next change of mode or list.
    async fn next_event(&self) {
        let now = self.now();
        let all = self.modes.iter().map(|(from, _)| *from).chain(self.changes.iter().copied());
        match all.filter(|at| *at > now).min() {
            Some(at) => tokio::time::sleep_until(self.start + at).await,
            None => pending().await,
        }
    }

    async fn answer(&self, path: &str, progress: &CallProgress) -> Result<ListReply, PollError> {
        let parameter = |name: &str| -> Option<u64> {
            path.split(['?', '&']).find_map(|part| part.strip_prefix(name))?.parse().ok()
        };
        let from = parameter("from=").map_or(0, |from| from as i64);
        let until = self.now() + Duration::from_millis(parameter("hold_ms=").unwrap_or(0));
        let latency = self.random.borrow_mut().u64(0..600);
        sleep(Duration::from_millis(latency)).await;
        loop {
            match self.mode(self.now()) {
                Mode::Up if self.version(self.now()) > from || self.now() >= until => {
                    let rev = self.version(self.now());
                    self.pace.write(progress).await;
                    self.answers.borrow_mut().push((self.now(), rev));
                    return Ok(ListReply { rev, all: false, targets: Entries::default() });
                }
                Mode::Up => tokio::select! {
                    () = self.next_event() => {}
                    () = tokio::time::sleep_until(self.start + until) => {}
                },
                Mode::Refusing => return Err(PollError::Failed),
                Mode::Overbooked => {
                    sleep(Duration::from_secs(2)).await;
                    return Err(PollError::Failed);
                }
                Mode::Silent => {
                    self.silenced.borrow_mut().push((self.now(), until));
                    pending::<()>().await;
                }
            }
        }
    }

    /// The latest time at which a version must be known, by the strictest reading of the rule. A change at a
    /// time when the source cannot be reached counts from the next time when it can.
    fn due(&self, version: i64) -> Duration {
        let change = self.changes[version as usize - 2];
        let mut due = change;
        for (i, (from, mode)) in self.modes.iter().enumerate() {
            let end = self.modes.get(i + 1).map_or(Duration::MAX, |(end, _)| *end);
            if *mode == Mode::Up && end > due {
                let reached = due.max(*from);
                due = reached + Duration::from_secs(6);
                if due <= end {
                    break;
                }
                // The time to reach it was cut short: counted again from the next.
                due = end;
            }
        }
        // A long poll that has fallen silent has its own allowance: 6 s after the silence began, or 2 s after
        // its hold.
        let silenced = self.silenced.borrow();
        let silences = silenced.iter().filter(|(from, _)| *from <= due);
        let silent = silences
            .map(|(from, until)| (*from + Duration::from_secs(6)).max(*until + Duration::from_secs(2)));
        silent.fold(due, Duration::max)
    }

    /// Like [`History::due`], but 6 s count from the moment from which the source could be reached throughout.
    fn due_while_reachable(&self, version: i64) -> Duration {
        let allowance = Duration::from_secs(6);
        let mut due = self.due(version);
        for (i, (from, mode)) in self.modes.iter().enumerate() {
            let end = self.modes.get(i + 1).map_or(Duration::MAX, |(end, _)| *end);
            if *mode != Mode::Up && *from < due && end + allowance > due {
                due = end + allowance;
            }
        }
        due
    }
}

#[derive(Clone)]
struct SimulatedSource(Rc<History>);

impl fmt::Display for SimulatedSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a history")
    }
}

impl Source for SimulatedSource {
    type Connection = ();

    async fn call(
        self,
        _: Option<()>,
        path: String,
        progress: Rc<CallProgress>,
    ) -> Result<ListAnswer<()>, PollError> {
        self.0.calls.set(self.0.calls.get() + 1);
        self.0.answer(&path, &progress).await.map(|list| (list, None))
    }
}

fn settings(random: &mut fastrand::Rng, discovery: ryelead::Discovery) -> Settings {
    Settings {
        discovery,
        balancers: [1, 3, 30, 350][random.usize(0..4)],
        list_refresh_interval: Span::from_ms(random.u64(500..100_000) as f64),
        drain_grace: Span::from_ms(random.u64(0..4000) as f64),
        ..Settings::default()
    }
}

/// What came of a history.
struct Simulated {
    /// When each version was first known, and when it was due by [`History::due`] and
    /// [`History::due_while_reachable`].
    versions: Vec<(Duration, Duration, Duration)>,
    calls: usize,
    lasted: Duration,
}

/// Simulates a history to its end.
async fn simulate(seed: u64, discovery: ryelead::Discovery, modes: &[Mode], pace: Pace) -> Simulated {
    let mut random = fastrand::Rng::with_seed(seed);
    let settings = settings(&mut random, discovery);
    let policy = PollPolicy::from_settings(&settings);
    // Up at first, then changing modes, and up to the end.
    let (mut timeline, mut at) = (vec![(Duration::ZERO, Mode::Up)], random.u64(1000..20_000));
    for _ in 0..random.u64(1..8) {
        let mode = modes[random.usize(0..modes.len())];
        timeline.push((Duration::from_millis(at), mode));
        at += random.u64(100..20_000);
        if random.bool() {
            timeline.push((Duration::from_millis(at), Mode::Up));
            at += random.u64(100..20_000);
        }
    }
    timeline.push((Duration::from_millis(at), Mode::Up));
    let mut changes: Vec<_> = (0..6).map(|_| Duration::from_millis(random.u64(3000..at + 4000))).collect();
    changes.sort();
    let end = Duration::from_millis(at) + Duration::from_secs(60);
    let (random, answers, silenced) = (RefCell::new(random), RefCell::default(), RefCell::default());
    let (start, calls) = (Instant::now(), Cell::new(0));
    let history =
        Rc::new(History { start, modes: timeline, changes, random, answers, silenced, calls, pace });
    let second = Duration::from_secs(1);
    let backends = Backends::new(Pool::new(4, second, second), MemoryBudget::new(1 << 20), Vec::new(), false);
    let commands = DiscoveryCommands::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    let driver = Driver::new(settings, seed, (&[], &[]), None, backends, Rc::clone(&commands)).unwrap();
    if policy.pushed {
        commands.set_watching(true);
    }
    let timers = tokio::task::spawn_local(driver.clone().run());
    let freshness = RefCell::new(Freshness::new(policy, Some(1), seed));
    let (address, failure_logged, unreadable_logged) =
        (SimulatedSource(Rc::clone(&history)), Cell::new(false), Cell::new(false));
    let poller = Poller {
        driver: &driver,
        commands: &commands,
        address,
        freshness,
        failure_logged,
        unreadable_logged,
    };
    assert!(timeout(end, poller.follow()).await.is_err(), "it asks on for ever");
    timers.abort();
    let known = |version| {
        let answers = history.answers.borrow();
        answers.iter().find(|(_, rev)| *rev >= version).map_or(Duration::MAX, |(at, _)| *at)
    };
    let versions = 2..2 + history.changes.len() as i64;
    let versions = versions
        .map(|version| (known(version), history.due(version), history.due_while_reachable(version)))
        .collect();
    Simulated { versions, calls: history.calls.get(), lasted: end }
}

fn run<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, work)
}

#[test]
fn changes_are_known_within_six_seconds_whatever_failed_before() {
    use ryelead::Discovery::{OnRequest, Pushed};
    for discovery in [OnRequest, Pushed] {
        for seed in 0..150 {
            let modes = [Mode::Refusing, Mode::Overbooked, Mode::Silent, Mode::Up];
            let simulated = run(simulate(seed, discovery, &modes, Pace::default()));
            for (known, due, _) in simulated.versions {
                assert!(known <= due, "{discovery:?}, seed {seed}: known at {known:?}, due at {due:?}");
            }
        }
    }
}

/// A pace of the source whose answers take up to `longest_ms`, in one of the shapes of a slow peer.
fn draw_pace(random: &mut fastrand::Rng, longest_ms: u64) -> Pace {
    let ms = random.u64(1..=longest_ms);
    let (head_ms, pieces) = match random.u8(0..4) {
        0 => (0, 1),
        1 => (ms, 1),
        2 => (0, random.u32(2..400)),
        _ => (random.u64(0..=ms), random.u32(1..20)),
    };
    let before_piece = Duration::from_millis(ms - head_ms) / pieces;
    Pace { before_head: Duration::from_millis(head_ms), pieces, before_piece }
}

/// Review case 6: a discovery that was slow within each answer was never heard, since each call began anew.
#[test]
fn a_slow_discovery_is_heard_at_any_pace() {
    use ryelead::Discovery::{OnRequest, Pushed};
    for discovery in [OnRequest, Pushed] {
        for seed in 0..150 {
            // Within the first bound two answers and their latency take less than 6 s.
            let longest_ms = if seed % 2 == 0 { 2300 } else { 25_000 };
            let pace = draw_pace(&mut fastrand::Rng::with_seed(seed), longest_ms);
            let simulated = run(simulate(seed, discovery, &[Mode::Up], pace));
            let allowed = if seed % 2 == 0 { Duration::ZERO } else { pace.answer_time() * 2 };
            for (known, due, _) in simulated.versions {
                let due = due + allowed;
                assert!(
                    known <= due,
                    "{discovery:?}, seed {seed}, {pace:?}: known at {known:?}, due at {due:?}"
                );
            }
            // A service that all agents share takes a call from each of them once in 2 s.
            let quick = run(simulate(seed, discovery, &[Mode::Up], Pace::default())).calls;
            let (calls, calls_max) = (simulated.calls, quick + simulated.lasted.as_secs() as usize / 2);
            assert!(discovery == Pushed || calls <= calls_max, "seed {seed}, {pace:?}: {calls}, {quick}");
        }
    }
}

/// A dead connection hides no slow one, and calls to a slow discovery hide no silence.
#[test]
fn a_slow_discovery_is_heard_beside_dead_calls() {
    use ryelead::Discovery::{OnRequest, Pushed};
    for discovery in [OnRequest, Pushed] {
        for seed in 0..150 {
            let pace = draw_pace(&mut fastrand::Rng::with_seed(seed), 4000);
            let modes = [Mode::Refusing, Mode::Silent, Mode::Up];
            let simulated = run(simulate(seed, discovery, &modes, pace));
            for (known, _, due) in simulated.versions {
                let due = due + pace.answer_time() * 2;
                assert!(
                    known <= due,
                    "{discovery:?}, seed {seed}, {pace:?}: known at {known:?}, due at {due:?}"
                );
            }
        }
    }
}

/// A service that works through the calls of all agents in turn, also through those that have been closed.
#[derive(Clone)]
struct SharedSource {
    changes: Rc<Vec<Duration>>,
    start: Instant,
    answer_time: Duration,
    free_at: Rc<Cell<Instant>>,
    calls: Rc<Cell<usize>>,
    /// When this agent was told each version, from 2 on.
    told: Rc<RefCell<Vec<Duration>>>,
}

impl SharedSource {
    fn version(&self) -> i64 {
        1 + self.changes.iter().filter(|change| **change <= self.start.elapsed()).count() as i64
    }
}

impl fmt::Display for SharedSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a shared service")
    }
}

impl Source for SharedSource {
    type Connection = ();

    async fn call(
        self,
        _: Option<()>,
        path: String,
        progress: Rc<CallProgress>,
    ) -> Result<ListAnswer<()>, PollError> {
        self.calls.set(self.calls.get() + 1);
        let parameter = |name: &str| -> Option<u64> {
            path.split(['?', '&']).find_map(|part| part.strip_prefix(name))?.parse().ok()
        };
        let from = parameter("from=").map_or(0, |from| from as i64);
        let until = Instant::now() + Duration::from_millis(parameter("hold_ms=").unwrap_or(0));
        while self.version() <= from && Instant::now() < until {
            let next = self.changes.iter().map(|change| self.start + *change);
            let next = next.filter(|at| *at > Instant::now()).fold(until, Instant::min);
            tokio::time::sleep_until(next).await;
        }
        let done_at = self.free_at.get().max(Instant::now()) + self.answer_time;
        self.free_at.set(done_at);
        let rev = self.version();
        tokio::time::sleep_until(done_at).await;
        progress.on_head();
        progress.on_data();
        let mut told = self.told.borrow_mut();
        while (told.len() as i64) < rev - 1 {
            told.push(self.start.elapsed());
        }
        Ok((ListReply { rev, all: false, targets: Entries::default() }, None))
    }
}

/// Plays 300 agents before a service that takes this long for an answer. Returns the calls of 80 s, and how late the
/// last agent knew a change.
fn many_agents(answer_time: Duration) -> (usize, Duration) {
    run(async move {
        let start = Instant::now();
        let shared = SharedSource {
            changes: Rc::new([20, 35, 36, 50].map(Duration::from_secs).to_vec()),
            start,
            answer_time,
            free_at: Rc::new(Cell::new(start)),
            calls: Rc::default(),
            told: Rc::default(),
        };
        let mut agents = tokio::task::JoinSet::new();
        let mut told = Vec::new();
        for seed in 0..AGENTS {
            let source = SharedSource { told: Rc::default(), ..shared.clone() };
            told.push(Rc::clone(&source.told));
            agents.spawn_local(poll(source, seed, AGENTS as u32));
        }
        sleep(MANY_AGENTS_TIME).await;
        let lateness = |(i, change): (usize, &Duration), told: &[Duration]| {
            told.get(i).map_or(Duration::MAX, |at| *at - *change)
        };
        let latest = told.iter().flat_map(|told| {
            let (told, changes) = (told.borrow(), shared.changes.iter().enumerate());
            changes.map(|change| lateness(change, &told)).collect::<Vec<_>>()
        });
        (shared.calls.get(), latest.max().unwrap())
    })
}

const AGENTS: u64 = 300;
const MANY_AGENTS_TIME: Duration = Duration::from_secs(80);

/// Calls that are made beside late ones must not make a service slower that is slow because of its many callers.
#[test]
fn many_agents_are_no_crowd_before_a_slow_discovery() {
    let (quick_calls, _) = many_agents(Duration::from_millis(3));
    for answer_ms in [9, 15] {
        let answer_time = Duration::from_millis(answer_ms);
        let (calls, latest) = many_agents(answer_time);
        // Two changes come one after the other: the answers to both take this long.
        let due = answer_time * 2 * AGENTS as u32 + Duration::from_secs(2);
        assert!(
            calls <= quick_calls && latest <= due,
            "{answer_ms} ms: {calls} of {quick_calls}, {latest:?}"
        );
    }
    // One that can't answer all: each agent calls once in 3 s at the most.
    let (calls, _) = many_agents(Duration::from_millis(30));
    assert!(calls as u64 <= AGENTS * MANY_AGENTS_TIME.as_secs() / 3, "{calls}");
}

async fn poll(source: SharedSource, seed: u64, balancers: u32) {
    let settings = Settings {
        discovery: ryelead::Discovery::OnRequest,
        balancers,
        list_refresh_interval: Span::from_ms(10_000.0),
        ..Settings::default()
    };
    let policy = PollPolicy::from_settings(&settings);
    let second = Duration::from_secs(1);
    let backends = Backends::new(Pool::new(4, second, second), MemoryBudget::new(1 << 20), Vec::new(), false);
    let commands = DiscoveryCommands::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    let driver = Driver::new(settings, seed, (&[], &[]), None, backends, Rc::clone(&commands)).unwrap();
    tokio::task::spawn_local(driver.clone().run());
    let freshness = RefCell::new(Freshness::new(policy, Some(1), seed));
    let (failure_logged, unreadable_logged) = (Cell::new(true), Cell::new(false));
    let poller = Poller {
        driver: &driver,
        commands: &commands,
        address: source,
        freshness,
        failure_logged,
        unreadable_logged,
    };
    poller.follow().await;
}
