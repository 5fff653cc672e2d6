//! The sockets of a booking server.

use super::model::{self, Figures, Model, Step};
use super::{Act, Point, Reports, Script};
use crate::clock::{At, Clock};
use crate::judge::evidence::{
    fingerprint, Attempt, Book, CutOff, Effect, Fragment, Group, Life, ServerIndex,
};
use crate::standins::http::{answer, Broken, Message, Reader, Stage};
use ryelead::SHORT_ANSWER_MAX;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, timeout};

/// Between the parts of a scripted answer; longer than an agent lets an answer stall.
const PART_PAUSE: Duration = Duration::from_millis(300);
/// The most keys that are remembered before those whose window is over are looked for.
const KEYS_SWEEP: usize = 4096;

fn locked<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keys that have taken effect, shared by the servers that drop each other's repeats. Whoever restarts still drops
/// them: the group remembers, not the process.
#[derive(Clone, Default)]
pub struct Repeats(Arc<Mutex<HashMap<(usize, String), At>>>);

impl Repeats {
    /// True if the key has not taken effect within its window; it has from now on.
    /// What counts is when the repeat came: how long it waited here is no doing of its sender's.
    fn is_new(&self, class: usize, key: &str, (came, now): (At, At), window: Duration) -> bool {
        let mut seen = locked(&self.0);
        if seen.len() > KEYS_SWEEP {
            seen.retain(|_, at| now.since(*at) <= 2 * window);
        }
        let last = seen.get(&(class, key.to_string())).copied();
        if last.is_some_and(|last| came.since(last) <= window) {
            return false;
        }
        seen.insert((class, key.to_string()), now);
        true
    }
}

/// A class as a server knows it.
#[derive(Debug, Clone)]
pub struct Work {
    /// Its name, the first part of the path.
    pub name: String,
    /// What it allows.
    pub effect: Effect,
    /// The least and the most work of a request, in milliseconds of a warm core.
    pub work_ms: (f64, f64),
}

/// What a server is from the start.
#[derive(Clone)]
pub struct Setup {
    /// Its place in the world.
    pub index: ServerIndex,
    /// Its name.
    pub name: String,
    /// Its figures.
    pub figures: Figures,
    /// What it serves.
    pub classes: Vec<Work>,
    /// Repeats that its building drops, and those that all drop.
    pub repeats: (Repeats, Repeats),
    /// For random numbers.
    pub seed: u64,
    /// Whether it starts cold.
    pub cold: bool,
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
}

struct Faults {
    draining: bool,
    reports: Reports,
    /// Requests break here, so many of them.
    breaks: Option<(Point, f64)>,
    /// The whole server crashes when a request comes here.
    crash_at: Option<Point>,
    /// Idle connections are closed after this, whatever was announced.
    idle: Duration,
    /// ... and nothing is sent to say so: what is written to one later is reset.
    idle_silently: bool,
    /// Answers are written in three parts with this pause between them.
    pause: Option<Duration>,
    /// Bytes that are added to each answer.
    long: usize,
}

struct State {
    model: Model,
    faults: Faults,
    waiting: HashMap<u64, oneshot::Sender<bool>>,
    random: fastrand::Rng,
    life: u32,
    born: At,
    cold: bool,
    up: bool,
    connections: usize,
    slow: f64,
    acceptor: Option<AbortHandle>,
}

struct Inner {
    setup: Setup,
    clock: Clock,
    book: Book,
    script: Option<Box<Script>>,
    state: Mutex<State>,
    turned: Notify,
    /// Changes with each life; connections of earlier ones end.
    alive: watch::Sender<u32>,
    address: SocketAddr,
    /// Connections that have come and ended, and messages that were read.
    seen: watch::Sender<Seen>,
}

/// What a test can wait for.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// Connections that have come.
    pub opened: usize,
    /// Connections that have ended.
    pub ended: usize,
    /// Requests that were read whole, where a script is at work.
    pub heard: Vec<Message>,
}

/// A handle to a booking server; it runs until [`Booking::crash`] or the end of the runtime.
#[derive(Clone)]
pub struct Booking(Arc<Inner>);

impl Booking {
    /// Starts a server on the present runtime.
    pub async fn start(
        setup: Setup,
        clock: Clock,
        book: Book,
        script: Option<Box<Script>>,
    ) -> std::io::Result<Booking> {
        let listener = TcpListener::bind(setup.listen).await?;
        let address = listener.local_addr()?;
        let now = clock.now();
        let faults = Faults {
            draining: false,
            reports: Reports::Sound,
            breaks: None,
            crash_at: None,
            idle: Duration::from_secs_f64(setup.figures.idle_ms / 1e3),
            idle_silently: false,
            pause: None,
            long: 0,
        };
        let state = State {
            model: Model::new(setup.figures, now, setup.cold),
            faults,
            waiting: HashMap::new(),
            random: fastrand::Rng::with_seed(setup.seed),
            life: 0,
            born: now,
            cold: setup.cold,
            up: true,
            connections: 0,
            slow: 1.0,
            acceptor: None,
        };
        let inner = Inner {
            clock,
            book,
            script,
            state: Mutex::new(state),
            turned: Notify::new(),
            alive: watch::Sender::new(0),
            address,
            seen: watch::Sender::new(Seen::default()),
            setup,
        };
        let booking = Booking(Arc::new(inner));
        booking.write_life(now);
        booking.listen(listener);
        tokio::spawn(booking.clone().turn());
        Ok(booking)
    }

    /// Where it listens, in all its lives.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.0.setup.name
    }

    /// What has come to it so far; can be waited on.
    pub fn seen(&self) -> watch::Receiver<Seen> {
        self.0.seen.subscribe()
    }

    /// Requests that run and wait, connections, its warmth, and whether it is up.
    pub fn look(&self) -> Look {
        let state = locked(&self.0.state);
        let (running, waiting) = state.model.load();
        let warmth = state.model.warmth(self.0.clock.now());
        Look { running, waiting, connections: state.connections, warmth, up: state.up, slow: state.slow }
    }

    /// Which life this is, and when it began.
    pub fn life(&self) -> (u32, At) {
        let state = locked(&self.0.state);
        (state.life, state.born)
    }

    /// Works so many times slower from now on; 1 as before.
    pub fn slow(&self, factor: f64) {
        let (mut state, mut steps) = (locked(&self.0.state), Vec::new());
        state.slow = factor;
        state.model.set_slow(self.0.clock.now(), factor, &mut steps);
        self.carry_out(&mut state, steps);
    }

    /// Takes requests and does nothing about them, or goes on.
    pub fn hang(&self, hang: bool) {
        let (mut state, mut steps) = (locked(&self.0.state), Vec::new());
        state.model.set_hung(self.0.clock.now(), hang, &mut steps);
        self.carry_out(&mut state, steps);
    }

    /// Turns new requests away and finishes what it has, or goes on.
    pub fn drain(&self, draining: bool) {
        locked(&self.0.state).faults.draining = draining;
    }

    /// Spoils load reports.
    pub fn spoil_reports(&self, reports: Reports) {
        locked(&self.0.state).faults.reports = reports;
    }

    /// Breaks requests at a point, so many of all; `None` ends it.
    pub fn break_requests(&self, breaks: Option<(Point, f64)>) {
        locked(&self.0.state).faults.breaks = breaks;
    }

    /// Crashes whole when the next request comes to a point.
    pub fn crash_at(&self, point: Point) {
        locked(&self.0.state).faults.crash_at = Some(point);
    }

    /// Closes idle connections after this, whatever was announced; silently: without a word to the peer, who learns of
    /// it by a reset when it writes.
    pub fn close_idle_after(&self, idle: Duration, silently: bool) {
        let mut state = locked(&self.0.state);
        (state.faults.idle, state.faults.idle_silently) = (idle, silently);
    }

    /// Pauses this long between the pieces of each answer, which is `long` bytes longer; `None` ends it.
    pub fn pause_answers(&self, pause: Option<Duration>, long: usize) {
        let faults = &mut locked(&self.0.state).faults;
        (faults.pause, faults.long) = (pause, long);
    }

    /// Dies: its connections are reset and new ones are refused.
    pub fn crash(&self) {
        self.die(&mut locked(&self.0.state));
    }

    fn die(&self, state: &mut State) {
        if !std::mem::replace(&mut state.up, false) {
            return;
        }
        state.waiting.clear();
        if let Some(acceptor) = state.acceptor.take() {
            acceptor.abort();
        }
        self.0.alive.send_modify(|life| *life += 1);
    }

    /// Starts again at its address, cold or warm, after a crash; the faults of its last life are gone.
    pub async fn restart(&self, cold: bool) -> std::io::Result<()> {
        self.crash();
        // The old listener closes when its task is dropped, which may take a turn of the runtime.
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.0.address).await {
                Ok(listener) => break listener,
                Err(e) if tries >= 200 => return Err(e),
                Err(_) => tries += 1,
            }
            sleep(Duration::from_millis(5)).await;
        };
        let now = self.0.clock.now();
        {
            let mut state = locked(&self.0.state);
            state.model = Model::new(self.0.setup.figures, now, cold);
            state.slow = 1.0;
            state.life += 1;
            (state.born, state.cold, state.up, state.connections) = (now, cold, true, 0);
            state.faults.draining = false;
            state.faults.breaks = None;
            state.faults.crash_at = None;
        }
        self.write_life(now);
        self.listen(listener);
        self.0.turned.notify_one();
        Ok(())
    }

    fn write_life(&self, from: At) {
        let (life, cold) = {
            let state = locked(&self.0.state);
            (state.life, state.cold)
        };
        let figures = &self.0.setup.figures;
        let capacity = figures.cores * 1e6;
        let life = Life { server: self.0.setup.index, life, from, cold, fell: None, capacity };
        self.0.book.open().lives.push(life);
    }

    fn listen(&self, listener: TcpListener) {
        let booking = self.clone();
        let acceptor = tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let mut alive = booking.0.alive.subscribe();
                        let life = *alive.borrow_and_update();
                        tokio::spawn(booking.clone().connection(stream, alive, life));
                    }
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            }
        });
        locked(&self.0.state).acceptor = Some(acceptor.abort_handle());
    }

    /// Turns the model on as its work gets done.
    async fn turn(self) {
        loop {
            let next = {
                let mut state = locked(&self.0.state);
                if state.up {
                    let mut steps = Vec::new();
                    state.model.advance(self.0.clock.now(), &mut steps);
                    self.write_down(&mut state, steps);
                    state.model.next()
                } else {
                    None
                }
            };
            match next {
                None => self.0.turned.notified().await,
                Some(at) => tokio::select! {
                    () = sleep_until(self.0.clock.instant(at)) => {}
                    () = self.0.turned.notified() => {}
                },
            }
        }
    }

    /// Whoever has brought work wakes the task that turns the model.
    fn carry_out(&self, state: &mut State, steps: Vec<Step>) {
        self.write_down(state, steps);
        self.0.turned.notify_one();
    }

    fn write_down(&self, state: &mut State, steps: Vec<Step>) {
        let now = self.0.clock.now();
        for step in steps {
            match step {
                Step::Began(serial) => self.0.book.note(serial, |a| a.began = Some(now)),
                Step::Done(serial) => {
                    if let Some(done) = state.waiting.remove(&serial) {
                        let _ = done.send(true);
                    }
                }
                Step::Fell => {
                    let (server, life) = (self.0.setup.index, state.life);
                    for record in &mut self.0.book.open().lives {
                        if (record.server, record.life) == (server, life) {
                            record.fell = Some(now);
                        }
                    }
                    self.die(state);
                }
            }
        }
    }

    async fn connection(self, stream: TcpStream, mut alive: watch::Receiver<u32>, life: u32) {
        let _ = stream.set_nodelay(true);
        self.0.seen.send_modify(|seen| seen.opened += 1);
        let welcome = {
            let (mut state, mut steps) = (locked(&self.0.state), Vec::new());
            let work = self.0.setup.figures.handshake_ms;
            state.model.burden(self.0.clock.now(), work, &mut steps);
            state.connections += 1;
            self.carry_out(&mut state, steps);
            state.connections <= self.0.setup.figures.connections
        };
        let (input, output) = stream.into_split();
        let mut reader = Reader::new(input, self.0.clock);
        let end = tokio::select! {
            end = self.converse(&mut reader, output, welcome) => end,
            _ = alive.changed() => Some(Close::Reset),
        };
        if end == Some(Close::Reset) {
            reset(reader.input());
        }
        drop(reader);
        if *alive.borrow() == life {
            let mut state = locked(&self.0.state);
            state.connections = state.connections.saturating_sub(1);
        }
        self.0.seen.send_modify(|seen| seen.ended += 1);
    }

    /// Serves a connection to its end, which is a reset or a close.
    async fn converse(
        &self,
        reader: &mut Reader<OwnedReadHalf>,
        mut output: OwnedWriteHalf,
        welcome: bool,
    ) -> Option<Close> {
        loop {
            let (idle, silently, breaks) = {
                let mut state = locked(&self.0.state);
                let breaks = state.faults.breaks;
                let hit = breaks.filter(|(_, odds)| state.random.f64() < *odds).map(|(point, _)| point);
                (state.faults.idle, state.faults.idle_silently, hit)
            };
            let crash_at = || locked(&self.0.state).faults.crash_at;
            let mut call = None;
            let mut stopped_by_crash = false;
            let read = reader.next(|stage, head| {
                let point = match stage {
                    Stage::Begun => Point::BeforeHead,
                    Stage::Head => {
                        call = head.header("x-call-id").map(String::from);
                        Point::AfterHead
                    }
                };
                stopped_by_crash = crash_at() == Some(point);
                breaks != Some(point) && !stopped_by_crash
            });
            let read = match timeout(idle, read).await {
                Ok(read) => read,
                Err(_) if silently => {
                    // Not a word: whoever writes on it meets a reset.
                    let _ = reader.input().as_ref().readable().await;
                    return Some(Close::Reset);
                }
                Err(_) => return Some(Close::Gently),
            };
            let incoming = match read {
                Ok(incoming) => incoming,
                Err(Broken::Closed | Broken::Reset(_)) => return None,
                Err(Broken::Midway(first, _) | Broken::Stopped(first)) => {
                    let server = self.0.setup.index;
                    self.0.book.open().fragments.push(Fragment { server, call, first });
                    if stopped_by_crash {
                        self.crash();
                    }
                    return Some(Close::Reset);
                }
            };
            let message = incoming.message;
            if let Some(act) = self.0.script.as_ref().and_then(|script| {
                self.0.seen.send_modify(|seen| seen.heard.push(message.clone()));
                script(&message)
            }) {
                if let Some(close) = perform(act, reader, &mut output).await {
                    return Some(close);
                }
                continue;
            }
            let path = message.path().split('?').next().unwrap_or_default();
            if path == "/health/live" || path == "/stats" {
                let text = self.probed();
                if output.write_all(text.as_bytes()).await.is_err() {
                    return None;
                }
                continue;
            }
            let Some(text) =
                self.take(&message, (incoming.first, incoming.last), welcome, breaks, reader).await
            else {
                return Some(Close::Reset);
            };
            let (serial, text, half) = text;
            let part = if half { text.len() / 2 } else { text.len() };
            let part = &text.as_bytes()[..part];
            let pause = locked(&self.0.state).faults.pause.filter(|_| !half && is_whole_answer(&text));
            let written = match pause {
                Some(pause) => {
                    let came = incoming.last;
                    let call = message.header("x-call-id").unwrap_or_default();
                    self.write_with_pauses(part, pause, (call, came), reader, &mut output).await
                }
                None => output.write_all(part).await,
            };
            let now = self.0.clock.now();
            if let Some(serial) = serial {
                self.0.book.note(serial, |a| {
                    a.over = Some(now);
                    if !half && written.is_ok() && a.rejected.is_none() {
                        a.answered = Some(now);
                    }
                });
            }
            if half {
                // What was written must arrive before the reset takes it back.
                sleep(Duration::from_millis(20)).await;
                return Some(Close::Reset);
            }
            if written.is_err() {
                return None;
            }
        }
    }

    /// Writes an answer in three parts, a long one in eight. Writes down if the connection ends meanwhile.
    async fn write_with_pauses(
        &self,
        answer: &[u8],
        pause: Duration,
        (call, came): (&str, At),
        reader: &mut Reader<OwnedReadHalf>,
        output: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let parts = if answer.len() as u64 > SHORT_ANSWER_MAX { 8 } else { 3 };
        let began = self.0.clock.now();
        for (number, part) in answer.chunks(answer.len().div_ceil(parts).max(1)).enumerate() {
            let is_cut_off = number > 0
                && tokio::select! {
                    () = sleep(pause) => false,
                    ended = gone(reader) => ended,
                };
            if is_cut_off {
                let (server, at) = (self.0.setup.index, self.0.clock.now());
                self.0.book.open().cut_off.push(CutOff {
                    server,
                    call: call.into(),
                    came,
                    began,
                    at,
                    bytes: answer.len(),
                });
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            output.write_all(part).await?;
        }
        Ok(())
    }

    fn probed(&self) -> String {
        let (mut state, mut steps) = (locked(&self.0.state), Vec::new());
        let work = self.0.setup.figures.probe_ms;
        state.model.burden(self.0.clock.now(), work, &mut steps);
        let report = self.report(&mut state);
        let serves = !state.faults.draining;
        self.carry_out(&mut state, steps);
        answer(if serves { 200 } else { 503 }, "", report.as_deref().unwrap_or_default())
    }

    fn report(&self, state: &mut State) -> Option<String> {
        let mut report = state.model.report(self.0.clock.now());
        match state.faults.reports {
            Reports::Sound => {}
            Reports::Noisy => {
                let mut off = |figure: &mut f64| *figure *= 0.5 + state.random.f64();
                off(&mut report.qps);
                off(&mut report.latency_ms);
                off(&mut report.queue);
            }
            Reports::Absurd => return Some("qps=-1,latency_ms=1e300,eps=NaN,queue=99999999999".into()),
            Reports::Missing => return None,
        }
        let model::Report { qps, latency_ms, eps, queue } = report;
        Some(format!("qps={qps:.2},latency_ms={latency_ms:.2},eps={eps:.2},queue={queue}"))
    }

    /// One request: its answer, with its number and whether only half of it may be written; `None` if it breaks.
    async fn take(
        &self,
        message: &Message,
        (first, came): (At, At),
        welcome: bool,
        breaks: Option<Point>,
        reader: &mut Reader<OwnedReadHalf>,
    ) -> Option<(Option<u64>, String, bool)> {
        let Some(call) = message.header("x-call-id").map(String::from) else {
            return Some((None, answer(404, "", ""), false));
        };
        let name = message.path().trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
        let Some(class) = self.0.setup.classes.iter().position(|c| c.name == name) else {
            return Some((None, answer(404, "", ""), false));
        };
        let key = message.header("idempotency-key").map(String::from);
        let (serial, mut done, rejected) = {
            let (mut state, mut steps) = (locked(&self.0.state), Vec::new());
            let (least, most) = self.0.setup.classes[class].work_ms;
            let work = ((least + (most - least) * state.random.f64()) * 1e3) as u64;
            let serial = self.0.book.came(Attempt {
                serial: 0,
                server: self.0.setup.index,
                life: state.life,
                call: call.clone(),
                class,
                key: key.clone(),
                work,
                first,
                came,
                began: None,
                effect: None,
                dropped: false,
                rejected: None,
                answered: None,
                over: None,
                body: 0,
            });
            let (sender, done) = oneshot::channel();
            state.waiting.insert(serial, sender);
            let open = welcome && !state.faults.draining;
            let taken = open && state.model.offer(self.0.clock.now(), serial, work as f64, &mut steps);
            if !taken {
                state.waiting.remove(&serial);
            }
            self.carry_out(&mut state, steps);
            if !state.up {
                return None;
            }
            (serial, done, !taken)
        };
        if rejected {
            let report = self.report(&mut locked(&self.0.state));
            // Before it is written: the agent may act on it before this task runs again.
            let now = self.0.clock.now();
            self.0.book.note(serial, |a| a.rejected = Some(now));
            let headers = format!("X-Rejected: 1\r\n{}", report_header(report));
            return Some((Some(serial), answer(503, &headers, ""), false));
        }
        // Work goes on when the agent has gone; only that nobody hears of it any more.
        let mut watched = true;
        let finished = loop {
            tokio::select! {
                finished = &mut done => break finished.unwrap_or(false),
                gone = gone(reader), if watched => {
                    watched = false;
                    if gone {
                        let now = self.0.clock.now();
                        self.0.book.note(serial, |a| a.over = Some(now));
                    }
                }
            }
        };
        if !finished || self.breaks_at(Point::BeforeEffect, breaks) {
            return None;
        }
        self.take_effect(serial, class, key.as_deref(), came);
        if self.breaks_at(Point::AfterEffect, breaks) {
            return None;
        }
        let long = locked(&self.0.state).faults.long;
        let padding = "x".repeat(long);
        let body = format!("call {call} attempt {serial} server {}\n{padding}", self.0.setup.name);
        let body_mark = fingerprint(body.as_bytes());
        self.0.book.note(serial, |a| a.body = body_mark);
        let report = self.report(&mut locked(&self.0.state));
        let half = self.breaks_at(Point::HalfAnswer, breaks);
        let headers = report_header(report);
        let framing = if long > 0 { Framing::of(serial) } else { Framing::Stated };
        Some((Some(serial), framing.answer(&headers, &body), half))
    }

    fn breaks_at(&self, point: Point, breaks: Option<Point>) -> bool {
        let mut state = locked(&self.0.state);
        if state.faults.crash_at == Some(point) {
            self.die(&mut state);
            return true;
        }
        let hit = breaks == Some(point);
        if hit {
            state.model.failed();
        }
        hit
    }

    fn take_effect(&self, serial: u64, class: usize, key: Option<&str>, came: At) {
        let now = self.0.clock.now();
        let is_new = match (self.0.setup.classes[class].effect, key) {
            (Effect::Keyed(group, window), Some(key)) => {
                let (building, all) = &self.0.setup.repeats;
                let repeats = if group == Group::All { all } else { building };
                repeats.is_new(class, key, (came, now), window)
            }
            _ => true,
        };
        self.0.book.note(serial, |a| {
            if is_new {
                a.effect = Some(now);
            } else {
                a.dropped = true;
            }
        });
    }
}

/// What can be seen of a server at a moment.
#[derive(Debug, Clone, Copy)]
pub struct Look {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Connections that are open.
    pub connections: usize,
    /// The share of its speed that it has for being cold.
    pub warmth: f64,
    /// Whether it is there.
    pub up: bool,
    /// How many times slower than usual it works.
    pub slow: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Close {
    Gently,
    Reset,
}

fn is_whole_answer(text: &str) -> bool {
    text.starts_with("HTTP/1.1 200 ")
}

/// How the end of an answer is told.
#[derive(Clone, Copy)]
enum Framing {
    Stated,
    Chunked,
}

impl Framing {
    fn of(serial: u64) -> Framing {
        [Framing::Stated, Framing::Chunked][(serial % 2) as usize]
    }

    fn answer(self, headers: &str, body: &str) -> String {
        match self {
            Framing::Stated => answer(200, headers, body),
            Framing::Chunked => format!(
                "HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len()
            ),
        }
    }
}

fn report_header(report: Option<String>) -> String {
    report.map_or(String::new(), |report| format!("X-Load-Report: {report}\r\n"))
}

fn reset(input: &OwnedReadHalf) {
    let _ = socket2::SockRef::from(input.as_ref()).set_linger(Some(Duration::ZERO));
}

/// Comes back when the peer has closed (true) or sent something that nobody waits for.
async fn gone(reader: &Reader<OwnedReadHalf>) -> bool {
    if reader.unread() > 0 {
        return false;
    }
    let stream: &TcpStream = reader.input().as_ref();
    matches!(stream.peek(&mut [0; 1]).await, Ok(0) | Err(_))
}

async fn perform(act: Act, reader: &mut Reader<OwnedReadHalf>, output: &mut OwnedWriteHalf) -> Option<Close> {
    match act {
        Act::Answer(text) => output.write_all(text.as_bytes()).await.err().map(|_| Close::Gently),
        Act::Last(text) => {
            let _ = output.write_all(text.as_bytes()).await;
            let _ = output.shutdown().await;
            Some(Close::Gently)
        }
        Act::Parts(texts) => {
            write_paced(output, texts, PART_PAUSE).await;
            sleep(PART_PAUSE).await;
            None
        }
        Act::Paced { parts, pause, ends } => {
            write_paced(output, parts, pause).await;
            if ends {
                let _ = output.shutdown().await;
            }
            ends.then_some(Close::Gently)
        }
        Act::Silence => {
            let _ = reader.next(|_, _| false).await;
            Some(Close::Gently)
        }
        Act::Gated(gate, text) => {
            if let Ok(permit) = gate.acquire().await {
                permit.forget();
            }
            output.write_all(text.as_bytes()).await.err().map(|_| Close::Gently)
        }
    }
}

async fn write_paced(output: &mut OwnedWriteHalf, parts: Vec<String>, pause: Duration) {
    for (index, part) in parts.into_iter().enumerate() {
        if index > 0 {
            sleep(pause).await;
        }
        if output.write_all(part.as_bytes()).await.is_err() {
            return;
        }
    }
}
