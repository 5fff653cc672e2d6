//! Owns the balancer: turns what happens on sockets into events, and actions into work on sockets.

use crate::backend::{Backends, Call, Ended, Place, Progress, Served};
use crate::discovery::{Commands, ListReply, State, Target};
use ryelead::*;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// No attempt is waited for longer than until this before the client's deadline, so that the module can still
/// word the final answer, and that can still arrive.
const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
/// A server that drains or is gone is sent nothing from this on before the grace is over.
const DRAIN_RESERVE: Duration = Duration::from_millis(100);
/// How often connections that have rested long enough are looked for.
const RETIRE_EVERY: Duration = Duration::from_millis(500);

/// Unix time in microseconds, fixed once and then advanced by the monotonic clock: it can be compared with the
/// times in the list and never steps back.
struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_us: unix.as_micros() as u64, start: Instant::now() }
    }

    fn now(&self) -> Time {
        Time(self.unix_us + self.start.elapsed().as_micros() as u64)
    }

    fn instant(&self, time: Time) -> Instant {
        // A day is as good as never, and can't overflow.
        let ahead =
            time.since(Time(self.unix_us)).0.min(self.now().since(Time(self.unix_us)).0 + 86_400_000_000);
        self.start + Duration::from_micros(ahead)
    }
}

/// The final answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer.
    Served(Served),
    /// Not run, or harmless to repeat; with the time to come back after, if the module gives one.
    Refused(Option<Span>),
    /// No promise about the effect.
    Failed,
}

/// A client's request, as far as the module is concerned.
pub struct Arrival {
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it repeats an earlier one.
    pub repeat: bool,
    /// When the client stops waiting.
    pub deadline: Instant,
}

/// A request that has attempts out or still owes its answer.
struct Open {
    call: Rc<Call>,
    deadline: Instant,
    /// Gone once the request has its final answer or its client has left.
    reply: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    /// What calls off the attempts that are out.
    out: HashMap<u32, Option<oneshot::Sender<()>>>,
}

struct Server {
    place: Place,
    serving: bool,
    /// When it was first told to drain or to be gone.
    off_since: Option<Instant>,
    started: Option<Time>,
}

/// Numbers for names, in the order in which they are met; the settings' names come first.
struct Numbers(HashMap<String, u32>);

impl Numbers {
    fn new(names: &[String]) -> Self {
        Numbers(names.iter().zip(0..).map(|(n, i)| (n.clone(), i)).collect())
    }

    fn of(&mut self, name: &str) -> u32 {
        let next = self.0.len() as u32;
        // Names that the settings don't hold are few; past this they share one number.
        if next > 1000 && !self.0.contains_key(name) {
            return next;
        }
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

struct Core {
    balancer: Balancer,
    open: HashMap<RequestId, Open>,
    next_request: u64,
    timers: BinaryHeap<Reverse<(Time, u64)>>,
    servers: Vec<Server>,
    ids: HashMap<String, ServerId>,
    zones: Numbers,
    kinds: Numbers,
}

struct Inner {
    clock: Clock,
    core: RefCell<Core>,
    timers_changed: Notify,
    backends: Rc<Backends>,
    commands: Rc<Commands>,
    max_attempts: u32,
    drain_grace: Duration,
}

/// A handle to the balancer and all that belongs to it.
#[derive(Clone)]
pub struct Driver(Rc<Inner>);

impl Driver {
    /// Starts a balancer with the list as it was last known.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: (&[String], &[String]),
        known: Option<ListReply>,
        backends: Rc<Backends>,
        commands: Rc<Commands>,
    ) -> Result<Driver, String> {
        let (max_attempts, drain_grace) =
            (settings.max_attempts, Duration::from_micros(settings.drain_grace.0));
        let core = Core {
            balancer: Balancer::new(settings, seed).map_err(|e| e.to_string())?,
            open: HashMap::new(),
            next_request: 0,
            timers: BinaryHeap::new(),
            servers: Vec::new(),
            ids: HashMap::new(),
            zones: Numbers::new(names.0),
            kinds: Numbers::new(names.1),
        };
        let driver = Driver(Rc::new(Inner {
            clock: Clock::new(),
            core: RefCell::new(core),
            timers_changed: Notify::new(),
            backends,
            commands,
            max_attempts,
            drain_grace,
        }));
        let mut actions = Vec::new();
        driver.0.core.borrow_mut().balancer.start(driver.0.clock.now(), &mut actions);
        driver.perform(actions);
        if let Some(known) = known {
            let lines = driver.take_list(true, known.targets);
            driver.tell(Event::List(ListUpdate::Saved(lines)));
        }
        Ok(driver)
    }

    /// Runs timers and looks after idle connections for as long as the agent lives.
    pub async fn run(self) {
        let retire = async {
            loop {
                sleep(RETIRE_EVERY).await;
                let core = self.0.core.borrow();
                // A connection that was at work when its server was told to drain, moved or left comes back after.
                let is_current = |server: ServerId, life| {
                    core.servers.get(server.0 as usize).is_some_and(|s| s.serving && s.place.life == life)
                };
                self.0.backends.retire(is_current);
            }
        };
        tokio::join!(self.run_timers(), retire);
    }

    async fn run_timers(&self) {
        loop {
            let next = self.0.core.borrow().timers.peek().map(|Reverse((at, _))| *at);
            match next {
                None => self.0.timers_changed.notified().await,
                Some(at) => tokio::select! {
                    () = sleep_until(self.0.clock.instant(at)) => {}
                    () = self.0.timers_changed.notified() => continue,
                },
            }
            while let Some(timer) = self.pop_due() {
                self.tell(Event::Timer(timer));
            }
        }
    }

    fn pop_due(&self) -> Option<TimerId> {
        let mut core = self.0.core.borrow_mut();
        let Reverse((at, _)) = *core.timers.peek()?;
        (at <= self.0.clock.now()).then(|| core.timers.pop().map(|Reverse((_, id))| TimerId(id)))?
    }

    /// True if there is a server to send to.
    pub fn can_decide(&self) -> bool {
        self.0.core.borrow().servers.iter().any(|s| s.serving)
    }

    /// How many requests are owed an answer.
    pub fn owed(&self) -> usize {
        self.0.core.borrow().open.values().filter(|o| o.reply.is_some()).count()
    }

    // ---- events -------------------------------------------------------------------------------------

    /// Hands an event to the balancer and carries out what it decides. A panic of the module costs that event
    /// and no more: the requests that it forgets are answered at their deadline.
    fn tell(&self, event: Event) {
        let mut actions = Vec::new();
        let now = self.0.clock.now();
        let run = catch_unwind(AssertUnwindSafe(|| {
            self.0.core.borrow_mut().balancer.handle(now, event, &mut actions);
        }));
        if run.is_err() {
            log("the decision module has panicked; going on");
        }
        self.perform(actions);
    }

    /// Takes a request in; the answer comes on the receiver.
    pub fn submit(&self, call: Call, arrival: Arrival) -> (RequestId, oneshot::Receiver<Answer>) {
        let (reply, answer) = oneshot::channel();
        let id = {
            let mut core = self.0.core.borrow_mut();
            let id = RequestId(core.next_request);
            core.next_request += 1;
            let (call, deadline) = (Rc::new(call), arrival.deadline);
            let open = Open { call, deadline, reply: Some(reply), attempts: 0, out: HashMap::new() };
            core.open.insert(id, open);
            id
        };
        let left = arrival.deadline.saturating_duration_since(Instant::now());
        self.tell(Event::Request(Request {
            id,
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            cost_hint: arrival.cost_hint,
            repeat: arrival.repeat,
            time_left: Span(left.as_micros() as u64),
        }));
        (id, answer)
    }

    /// Nothing is owed to a request any more: its client has gone, or its time is up.
    pub fn abandon(&self, id: RequestId) {
        let owed = self.0.core.borrow_mut().open.get_mut(&id).is_some_and(|o| o.reply.take().is_some());
        if owed {
            self.tell(Event::ClientGone { request: id });
            self.forget_ended(id);
        }
    }

    /// An attempt is over: a served request has its answer at once, whatever the module thinks of it.
    fn attempt_over(&self, id: RequestId, attempt: u32, sent: Instant, ended: Ended) {
        let closed = {
            let mut core = self.0.core.borrow_mut();
            let Some(open) = core.open.get_mut(&id) else { return };
            open.out.remove(&attempt);
            if let Some((served, reply)) = ended.served.and_then(|s| Some((s, open.reply.take()?))) {
                let _ = reply.send(Answer::Served(served));
            }
            open.reply.is_none()
        };
        self.tell(Event::Outcome {
            request: id,
            attempt: AttemptNo(attempt),
            outcome: ended.outcome,
            elapsed: Span(sent.elapsed().as_micros() as u64),
            report: ended.report,
            closed,
        });
        self.forget_ended(id);
    }

    fn forget_ended(&self, id: RequestId) {
        let mut core = self.0.core.borrow_mut();
        if core.open.get(&id).is_some_and(|o| o.reply.is_none() && o.out.is_empty()) {
            core.open.remove(&id);
        }
    }

    // ---- actions ------------------------------------------------------------------------------------

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, timeout_at } => self.send(request, server, timeout_at),
                Action::Cancel { request, attempt } => {
                    // It stays listed as out: its request must not be forgotten before its outcome is told.
                    let mut core = self.0.core.borrow_mut();
                    let out = core.open.get_mut(&request).and_then(|o| o.out.get_mut(&attempt.0));
                    if let Some(cancel) = out.and_then(Option::take) {
                        let _ = cancel.send(());
                    }
                }
                Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused(retry_after)),
                Action::Fail { request } => self.answer(request, Answer::Failed),
                Action::SetTimer { at, timer } => {
                    self.0.core.borrow_mut().timers.push(Reverse((at, timer.0)));
                    self.0.timers_changed.notify_one();
                }
                Action::Probe { server } => self.probe(server),
                Action::CloseIdle { server } => self.0.backends.close_idle(server),
                Action::Follow { active } => self.0.commands.follow(active),
                Action::FetchList => self.0.commands.fetch(),
                Action::Log { text } => log(&text),
                // The module sends no messages to other agents.
                Action::Tell { .. } => {}
            }
        }
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.0.core.borrow_mut().open.get_mut(&id).and_then(|o| o.reply.take()) {
            let _ = reply.send(answer);
        }
        self.forget_ended(id);
    }

    fn send(&self, id: RequestId, server: ServerId, timeout_at: Time) {
        let now = Instant::now();
        let mut core = self.0.core.borrow_mut();
        let core = &mut *core;
        let Some(open) = core.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let (cancel, cancelled) = oneshot::channel();
        open.out.insert(attempt, Some(cancel));
        // Nothing is sent for a request that has its answer, nor beyond the attempts or the time it has.
        let until = self.0.clock.instant(timeout_at).min(open.deadline - ATTEMPT_RESERVE);
        let lawful = open.reply.is_some() && attempt < self.0.max_attempts && until > now;
        let place = core.servers.get(server.0 as usize).map(|s| s.place).filter(|_| lawful);
        let (driver, call) = (self.clone(), Rc::clone(&open.call));
        tokio::task::spawn_local(async move {
            let ended = match place {
                Some(place) => driver.attempt(place, &call, until, cancelled).await,
                None => Outcome::NotSent.into(),
            };
            driver.attempt_over(id, attempt, now, ended);
        });
    }

    async fn attempt(
        &self,
        place: Place,
        call: &Call,
        until: Instant,
        cancelled: oneshot::Receiver<()>,
    ) -> Ended {
        let progress = Progress::default();
        let exchange = self.0.backends.attempt(place, call, until, &progress, || self.may_send(place.server));
        tokio::select! {
            ended = timeout_at(until, exchange) => match ended {
                Ok(ended) => ended,
                Err(_) if progress.is_sent() => Outcome::TimedOut.into(),
                // The time was used up by waiting for a connection.
                Err(_) => Outcome::NotSent.into(),
            },
            Ok(()) = cancelled => Outcome::Cancelled.into(),
        }
    }

    /// For a drain a send counts from its first byte, which a wait for a connection may put off.
    fn may_send(&self, server: ServerId) -> bool {
        let core = self.0.core.borrow();
        let off = core.servers.get(server.0 as usize).and_then(|s| s.off_since);
        off.is_none_or(|since| since.elapsed() + DRAIN_RESERVE < self.0.drain_grace)
    }

    fn probe(&self, server: ServerId) {
        let place = self.0.core.borrow().servers.get(server.0 as usize).map(|s| s.place);
        let Some(place) = place else { return };
        let (driver, sent) = (self.clone(), Instant::now());
        tokio::task::spawn_local(async move {
            let ended = driver.0.backends.probe(place).await;
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            driver.tell(Event::Probed { server, outcome: ended.outcome, elapsed, report: ended.report });
        });
    }

    // ---- the list -----------------------------------------------------------------------------------

    /// Discovery has answered.
    pub fn listed(&self, reply: ListReply) {
        let lines = self.take_list(reply.all, reply.targets);
        let update = if reply.all { ListUpdate::Complete(lines) } else { ListUpdate::Changes(lines) };
        self.tell(Event::List(update));
    }

    /// A call to discovery has failed.
    pub fn list_failed(&self) {
        self.tell(Event::List(ListUpdate::Failed));
    }

    /// Takes over addresses and states; returns the lines in the module's terms.
    fn take_list(&self, all: bool, targets: Vec<Target>) -> Vec<Listed> {
        let core = &mut *self.0.core.borrow_mut();
        let mut named = Vec::new();
        let lines = targets.into_iter().map(|target| {
            let line = core.take_target(&target, &self.0.backends);
            named.push(line.server);
            line
        });
        let lines: Vec<Listed> = lines.collect();
        if all {
            for server in &mut core.servers {
                if server.serving && !named.contains(&server.place.server) {
                    server.turn_off(&self.0.backends);
                }
            }
        }
        lines
    }
}

impl Server {
    fn turn_off(&mut self, backends: &Backends) {
        self.serving = false;
        self.off_since.get_or_insert_with(Instant::now);
        backends.close_idle(self.place.server);
    }
}

impl Core {
    fn take_target(&mut self, target: &Target, backends: &Backends) -> Listed {
        let started = (target.boot_ms > 0.0).then(|| Time::from_ms(target.boot_ms));
        let next = ServerId(self.servers.len() as u32);
        let id = *self.ids.entry(target.uid.clone()).or_insert(next);
        if id == next {
            let place = Place { server: id, address: target.endpoint, life: 0 };
            self.servers.push(Server { place, serving: false, off_since: None, started });
        }
        let server = &mut self.servers[id.0 as usize];
        if server.place.address != target.endpoint || server.started != started {
            // Another process: connections to the one before lead nowhere.
            server.place = Place { address: target.endpoint, life: server.place.life + 1, ..server.place };
            server.started = started;
            backends.close_idle(id);
        }
        match target.state {
            State::Serving => (server.serving, server.off_since) = (true, None),
            State::Draining | State::Deleted => server.turn_off(backends),
        }
        Listed {
            server: id,
            zone: ZoneId(self.zones.of(&target.az)),
            kind: KindId(self.kinds.of(&target.model)),
            cell: CellId(target.pod_group),
            status: match target.state {
                State::Serving => Status::Serving,
                State::Draining => Status::Draining,
                State::Deleted => Status::Gone,
            },
            weight: target.capacity_hint.filter(|w| w.is_finite()).unwrap_or(1.0),
            started,
        }
    }
}

/// A line for people on call; an agent whose log has been closed goes on without one.
pub fn log(text: &str) {
    let _ = writeln!(std::io::stderr(), "dilljunction: {text}");
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::{HeaderMap, Method, Uri};
    use std::net::SocketAddr;
    use tokio::net::TcpListener;
    use tokio::task::{yield_now, LocalSet};

    async fn driver() -> (Driver, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let list = format!(
            r#"{{"rev":1,"all":true,"targets":[{{"uid":"s","endpoint":"{}","state":"SERVING"}}]}}"#,
            listener.local_addr().unwrap()
        );
        let second = Duration::from_secs(1);
        let backends = Backends::new(4, second, second, Vec::new(), false);
        let known = serde_json::from_str(&list).unwrap();
        let driver = Driver::new(
            Settings::default(),
            7,
            (&[], &[]),
            Some(known),
            backends,
            Commands::new(SocketAddr::from(([127, 0, 0, 1], 1))),
        );
        (driver.unwrap(), listener)
    }

    fn submit(driver: &Driver) -> (RequestId, oneshot::Receiver<Answer>) {
        let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
        let call = Call { method: Method::GET, uri, headers, body: bytes::Bytes::new() };
        let deadline = Instant::now() + Duration::from_secs(60);
        let (class, tenant, key, cost_hint, repeat) = (ClassId(0), None, None, None, false);
        driver.submit(call, Arrival { class, tenant, key, cost_hint, repeat, deadline })
    }

    /// Guards the module's counts of what is in flight: a request that ends right after one of its attempts was
    /// called off must not be forgotten before that attempt's outcome is told.
    #[tokio::test]
    async fn an_attempt_called_off_is_reported_though_its_request_has_ended() {
        let local = LocalSet::new();
        let test = async {
            let (driver, _listener) = driver().await;
            let (id, answer) = submit(&driver);
            let cancel = Action::Cancel { request: id, attempt: AttemptNo(0) };
            driver.perform(vec![cancel, Action::Fail { request: id }]);
            assert!(matches!(answer.await, Ok(Answer::Failed)));
            assert!(driver.0.core.borrow().open.contains_key(&id), "its outcome has not been told");
            while driver.0.core.borrow().open.contains_key(&id) {
                yield_now().await;
            }
        };
        local.run_until(test).await;
    }

    /// Nothing is answered twice, and nothing is kept of a request that is over.
    #[tokio::test]
    async fn the_first_answer_is_the_only_one() {
        let local = LocalSet::new();
        let test = async {
            let (driver, _listener) = driver().await;
            let (id, answer) = submit(&driver);
            driver.perform(vec![
                Action::Fail { request: id },
                Action::Refuse { request: id, retry_after: None },
            ]);
            assert!(matches!(answer.await, Ok(Answer::Failed)));
            assert_eq!(driver.owed(), 0);
            driver.perform(vec![Action::Cancel { request: id, attempt: AttemptNo(0) }]);
            while driver.0.core.borrow().open.contains_key(&id) {
                yield_now().await;
            }
        };
        local.run_until(test).await;
    }
}
