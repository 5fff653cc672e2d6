//! Owns the balancer: turns what happens on sockets into events, and actions into work on sockets.

use crate::clock::Clock;
use crate::events;
use crate::list::{Commands, ListReply};
use crate::log::log;
use crate::permits::admission::Admission;
use crate::permits::attempt::{
    attempt, AttemptDenied, AttemptFacts, AttemptPermit, AttemptState, EarlierAttempt, FirstByte, ServerFacts,
};
use crate::permits::violations::{BegunAttempt, Violations};
use crate::requests::{Answer, Arrival, Departure, Requests};
use crate::servers::Servers;
use crate::tally::{Count, Tally};
use crate::timers::Timers;
use crate::upstream::attempt::{Call, Ended, Owner, Progress, Served, Stage};
use crate::upstream::backend::Backends;
use crate::upstream::pool::{Place, Pool};
use hyper::header::HeaderValue;
use ryelead::*;
use std::cell::RefCell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};

/// No attempt is waited for longer than until this before the client's deadline, so that the module can still
/// word the final answer, and that can still arrive.
const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
/// How often connections that have rested long enough, and servers that have left, are looked for.
const RETIRE_EVERY: Duration = Duration::from_millis(500);

struct Core {
    balancer: Balancer,
    requests: Requests,
    servers: Servers,
}

struct Inner {
    clock: Clock,
    core: RefCell<Core>,
    timers: Timers,
    backends: Rc<Backends>,
    commands: Rc<Commands>,
    max_attempts: u32,
    /// What each class allows.
    effects: Vec<Effect>,
    second_copies: bool,
    violations: Violations,
    /// The settings' number of agents.
    balancers: u32,
    /// By when all that is open must have its answer, once the process was told to end.
    answers_by: watch::Sender<Option<Instant>>,
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
        let (max_attempts, balancers) = (settings.max_attempts, settings.balancers);
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        let second_copies = settings.second_copies;
        let servers = Servers::new(names.0, names.1, Duration::from_micros(settings.drain_grace.0));
        let balancer = Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        let core = RefCell::new(Core { balancer, requests: Requests::default(), servers });
        let (clock, timers) = (Clock::new(), Timers::default());
        let answers_by = watch::Sender::default();
        let inner = Inner {
            clock,
            core,
            timers,
            backends,
            commands,
            max_attempts,
            effects,
            second_copies,
            violations: Violations::default(),
            balancers,
            answers_by,
        };
        let driver = Driver(Rc::new(inner));
        let mut actions = Vec::new();
        driver.0.core.borrow_mut().balancer.start(driver.0.clock.now(), &mut actions);
        driver.perform(actions);
        if let Some(known) = known {
            let now = driver.0.clock.now();
            let lines =
                driver.0.core.borrow_mut().servers.take_list(now, true, &known.targets, driver.pool());
            driver.tell(Event::List(ListUpdate::Saved(lines)));
        }
        Ok(driver)
    }

    /// Runs timers and looks after idle connections for as long as the agent lives.
    pub async fn run(self) {
        let retire = async {
            loop {
                sleep(RETIRE_EVERY).await;
                let core = &mut *self.0.core.borrow_mut();
                // A connection that was at work when its server was told to drain, moved or left comes back after.
                self.pool().retire(|server, life| core.servers.is_current(server, life));
                core.servers.forget_left();
            }
        };
        tokio::join!(self.run_timers(), retire);
    }

    async fn run_timers(&self) {
        loop {
            match self.0.timers.next() {
                None => self.0.timers.changed().await,
                Some(at) => tokio::select! {
                    () = sleep_until(self.0.clock.instant(at)) => {}
                    () = self.0.timers.changed() => continue,
                },
            }
            while let Some(timer) = self.0.timers.pop_due(self.0.clock.now()) {
                self.tell(Event::Timer(timer));
            }
        }
    }

    /// True if there is a server to send to.
    pub fn can_decide(&self) -> bool {
        self.0.core.borrow().servers.is_serving()
    }

    /// Where what the agent does is counted.
    pub fn tally(&self) -> &Tally {
        self.pool().tally()
    }

    /// Logs a line of counts every `period` for as long as the agent lives.
    pub async fn tell_tally(self, period: Duration) {
        let levels = || {
            let (open, idle) = self.pool().levels();
            let core = self.0.core.borrow();
            vec![("open", open), ("idle", idle), ("serving", core.servers.serving())]
        };
        self.tally().clone().tell(period, levels).await;
    }

    /// What was done against the rules, which is nothing as long as all is well.
    pub fn violations(&self) -> &Violations {
        &self.0.violations
    }

    /// The connections to servers.
    pub fn pool(&self) -> &Pool {
        self.0.backends.pool()
    }

    // ---- the end of the process -----------------------------------------------------------------------

    /// The process ends: whatever is open, and whatever still comes, has its answer by then.
    pub fn shut_down(&self, answers_by: Instant) {
        self.0.answers_by.send_replace(Some(answers_by));
        self.0.core.borrow_mut().requests.bound(answers_by);
        let left = answers_by.saturating_duration_since(Instant::now());
        let answers_by = self.0.clock.now() + Span(left.as_micros() as u64);
        self.tell(Event::Shutdown { answers_by });
    }

    /// Comes back so long before the end of the process, once that is known, and never before.
    pub async fn process_ends(&self, reserve: Duration) {
        let mut answers_by = self.0.answers_by.subscribe();
        let known = answers_by.wait_for(Option::is_some).await.ok().and_then(|by| *by);
        match known {
            Some(by) => sleep_until(by - reserve).await,
            None => std::future::pending().await,
        }
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

    /// Takes a request in; the answer comes on the receiver. `None` if one with this name is still open, or an
    /// attempt of it: backends could not tell the two apart.
    pub fn submit(
        &self,
        call: Call,
        call_id: HeaderValue,
        arrival: Arrival,
        admission: Admission,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let deadline = admission.deadline();
        let (id, answer) = {
            let requests = &mut self.0.core.borrow_mut().requests;
            requests.admit(call, call_id.clone(), arrival.class, arrival.coming, admission)?
        };
        events::request_taken(id, &call_id, arrival.class.0, deadline);
        // The module bounds it by the end of the process itself: what a client has left of its time is another fact.
        let left = arrival.client_deadline.saturating_duration_since(Instant::now());
        self.tally().count(Count::Request);
        self.tell(Event::Request(Request {
            id,
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            cost_hint: arrival.cost_hint,
            repeat: arrival.repeat,
            time_left: Span(left.as_micros() as u64),
            coming: arrival.coming,
        }));
        Some((id, answer))
    }

    /// All of a request has come; its client waits until `deadline`.
    pub fn whole(&self, id: RequestId, deadline: Instant) {
        self.0.core.borrow_mut().requests.whole(id, deadline);
        self.tell(Event::Whole { request: id });
    }

    /// Nothing is owed to a request any more: its client has gone, or its time is up.
    pub fn abandon(&self, id: RequestId) {
        let owed = self.0.core.borrow_mut().requests.abandon(id);
        if owed {
            events::request_abandoned(id);
            self.tell(Event::ClientGone { request: id });
            self.forget_ended(id);
        }
    }

    /// An attempt is over: a served request has its answer at once, whatever the module thinks of it.
    fn attempt_over(&self, id: RequestId, attempt: u32, sent: Instant, ended: Ended) {
        let arrived = self.0.core.borrow_mut().requests.arrive(id, attempt, ended.outcome, ended.served);
        self.tally().count(Count::Outcome(ended.outcome));
        events::attempt_ended(id, attempt, ended.outcome, sent.elapsed());
        let Some(closed) = arrived else { return };
        self.tell(Event::Outcome {
            request: id,
            attempt: AttemptNo(attempt),
            outcome: ended.outcome,
            elapsed: Span(
                ended.began.unwrap_or_else(Instant::now).saturating_duration_since(sent).as_micros() as u64,
            ),
            report: ended.report,
            closed,
        });
        self.forget_ended(id);
    }

    fn forget_ended(&self, id: RequestId) {
        self.0.core.borrow_mut().requests.forget_ended(id);
    }

    // ---- actions ------------------------------------------------------------------------------------

    fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, begin_by, timeout_at } => {
                    self.tally().count(Count::Send);
                    self.send(request, server, begin_by, timeout_at);
                }
                Action::Cancel { request, attempt } => {
                    events::attempt_cancelled(request, attempt.0);
                    self.0.core.borrow_mut().requests.call_off(request, attempt.0);
                }
                Action::Refuse { request, retry_after, reason } => {
                    self.tally().count(Count::GivenUp(reason));
                    events::request_given_up(request, true, reason);
                    self.answer(request, Answer::Refused(retry_after))
                }
                Action::Fail { request, reason } => {
                    self.tally().count(Count::GivenUp(reason));
                    events::request_given_up(request, false, reason);
                    self.answer(request, Answer::Failed);
                }
                Action::SetTimer { at, timer } => self.0.timers.set(at, timer),
                Action::Probe { server } => self.probe(server),
                Action::CloseIdle { server } => self.pool().close_idle(server),
                Action::Follow { active } => self.0.commands.follow(active),
                Action::FetchList => self.0.commands.fetch(),
                Action::Log { text } => log(&text),
                // The module sends no messages to other agents.
                Action::Tell { .. } => {}
            }
        }
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        self.0.core.borrow_mut().requests.answer(id, answer);
    }

    fn send(&self, id: RequestId, server: ServerId, begin_by: Time, timeout_at: Time) {
        let now = Instant::now();
        let core = &mut *self.0.core.borrow_mut();
        let Some(departure) = core.requests.depart(id, self.0.max_attempts) else { return };
        let Departure { attempt, call, deadline, lawful, cancelled } = departure;
        // Nothing is sent beyond the time that the request has, either.
        let until = self.0.clock.instant(timeout_at).min(deadline - ATTEMPT_RESERVE);
        // A long request is sent once only, and its time begins with its last byte.
        let begin_by = call.upload.is_none().then(|| self.0.clock.instant(begin_by));
        events::attempt_ordered(id, attempt, server, until);
        let in_time = call.upload.is_some() || until > now;
        let place = if lawful && in_time { core.servers.enter(server) } else { None };
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let ended = match place {
                Some(place) => {
                    let begun = RefCell::default();
                    let owner = Sending { driver: &driver, id, attempt, place, begin_by, begun };
                    let ended = driver.attempt(place, &call, until, &owner, cancelled).await;
                    driver.check_begun(&owner);
                    driver.leave(server);
                    ended
                }
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
        owner: &Sending<'_>,
        cancelled: oneshot::Receiver<()>,
    ) -> Ended {
        let progress = Progress::default();
        let mut exchange = pin!(self.0.backends.attempt(place, call, until, &progress, owner));
        let given_up = tokio::select! {
            ended = exchange.as_mut() => return ended,
            () = time_up(call, until) => Outcome::TimedOut,
            () = self.process_ends(ATTEMPT_RESERVE) => Outcome::TimedOut,
            Ok(()) = cancelled => Outcome::Cancelled,
        };
        match (progress.stage(), given_up) {
            (Stage::Passing, _) => exchange.await,
            // The time was used up by waiting for a connection.
            (Stage::Ahead, Outcome::TimedOut) => Outcome::NotSent.into(),
            (Stage::Ahead | Stage::Sent, outcome) => outcome.into(),
        }
    }

    /// A send counts from its first byte, which a wait for a connection may put off: its server may have been told to drain
    /// since, its client may have gone or have its answer, and the time of its key may be over.
    fn permit(&self, sending: &Sending<'_>) -> Result<AttemptPermit, AttemptDenied> {
        let now = Instant::now();
        let Place { server, life, .. } = sending.place;
        let core = &mut *self.0.core.borrow_mut();
        let request = core.requests.facts(sending.id, sending.attempt).ok_or(AttemptDenied::NotOwed)?;
        let server = core.servers.facts(server, life).ok_or(AttemptDenied::ServerLeft)?;
        let permit = attempt(&AttemptFacts {
            now,
            answer_is_owed: request.answer_is_owed,
            deadline: request.deadline,
            begin_by: sending.begin_by,
            server,
            effect: self.effect(request.class),
            second_copies: self.0.second_copies,
            earlier: &request.earlier,
        })?;
        let ServerFacts { zone, cell, .. } = server;
        let itself = EarlierAttempt { zone, cell, begun: now, state: AttemptState::Out };
        core.requests.begin_attempt(sending.id, sending.attempt, itself);
        let first_byte = permit.first_byte();
        *sending.begun.borrow_mut() = Some(Begun { first_byte, itself, before: request.earlier });
        Ok(permit)
    }

    fn effect(&self, class: ClassId) -> Effect {
        self.0.effects.get(class.0).copied().unwrap_or(Effect::AtMostOnce)
    }

    /// Compares an attempt that has begun with the rules once more. Its request is known as long as it is out.
    fn check_begun(&self, sending: &Sending<'_>) {
        let Some(Begun { first_byte, itself, before }) = sending.begun.take() else { return };
        let Some(first_byte) = first_byte.written_at() else { return };
        let core = self.0.core.borrow();
        let Some(request) = core.requests.facts(sending.id, sending.attempt) else { return };
        let Sending { id, attempt, place, .. } = sending;
        let begun = BegunAttempt {
            first_byte,
            answered_at: request.answered_at,
            deadline: request.deadline,
            server_off_since: core.servers.off_since(place.server),
            drain_grace: core.servers.drain_grace(),
            effect: self.effect(request.class),
            itself,
            before,
        };
        let since = first_byte.elapsed().as_millis();
        let detail =
            format!("request {}, attempt {attempt}, server {}, {since} ms ago", id.0, place.server.0);
        self.0.violations.check_attempt(&begun, &detail);
    }

    /// An attempt or a probe is no longer out.
    fn leave(&self, server: ServerId) {
        self.0.core.borrow_mut().servers.leave(server);
    }

    fn probe(&self, server: ServerId) {
        self.tally().count(Count::Probe);
        let place = self.0.core.borrow_mut().servers.enter(server);
        let (driver, sent) = (self.clone(), Instant::now());
        tokio::task::spawn_local(async move {
            let ended = match place {
                Some(place) => {
                    let ended = driver.0.backends.probe(place).await;
                    driver.leave(server);
                    ended
                }
                // The module waits for an answer to each probe.
                None => Outcome::NotSent.into(),
            };
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            if ended.outcome != Outcome::Success {
                driver.tally().count(Count::ProbeFailed);
            }
            driver.tell(Event::Probed { server, outcome: ended.outcome, elapsed, report: ended.report });
        });
    }

    // ---- the list -----------------------------------------------------------------------------------

    /// A source has told something.
    pub fn listed(&self, reply: ListReply) {
        self.tally().add(Count::ListLine, reply.targets.read.len());
        self.tally().add(Count::ListUnread, reply.targets.odd());
        let now = self.0.clock.now();
        let lines = {
            let servers = &mut self.0.core.borrow_mut().servers;
            let lines = servers.take_list(now, reply.all, &reply.targets, self.pool());
            servers.heard(now);
            lines
        };
        let update = if reply.all { ListUpdate::Complete(lines) } else { ListUpdate::Changes(lines) };
        self.tell(Event::List(update));
    }

    // ---- the fleet ----------------------------------------------------------------------------------

    /// So many agents share the servers; `None` if nobody can say, and the settings' number holds.
    pub fn balancers(&self, number: Option<u32>) {
        self.tell(Event::Balancers(number.unwrap_or(self.0.balancers)));
    }

    /// A call to a source has failed.
    pub fn list_failed(&self) {
        self.tell(Event::List(ListUpdate::Failed));
    }
}

/// Comes back when the time of an attempt is over: that of a long request begins when all of it has come.
async fn time_up(call: &Call, until: Instant) {
    match &call.upload {
        Some(upload) => sleep_until(upload.whole().await - ATTEMPT_RESERVE).await,
        None => sleep_until(until).await,
    }
}

/// An attempt that was allowed to begin, and how its request stood then.
struct Begun {
    first_byte: FirstByte,
    itself: EarlierAttempt,
    before: Vec<EarlierAttempt>,
}

/// An attempt that is out, as the backends' side asks about it.
struct Sending<'a> {
    driver: &'a Driver,
    id: RequestId,
    attempt: u32,
    place: Place,
    begin_by: Option<Instant>,
    /// The last permit that it got.
    begun: RefCell<Option<Begun>>,
}

impl Owner for Sending<'_> {
    fn permit(&self) -> Option<AttemptPermit> {
        match self.driver.permit(self) {
            Ok(permit) => {
                events::attempt_begun(self.id, self.attempt);
                Some(permit)
            }
            Err(denied) => {
                events::attempt_denied(self.id, self.attempt, denied.name());
                None
            }
        }
    }

    fn bind(&self) {
        let attempt = AttemptNo(self.attempt);
        self.driver.tell(Event::Bound { request: self.id, attempt });
    }

    fn begin(&self, served: Served) -> bool {
        let first = self.driver.0.core.borrow_mut().requests.begin(self.id, served);
        if first {
            let attempt = AttemptNo(self.attempt);
            self.driver.tell(Event::FirstByte { request: self.id, attempt });
        }
        first
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::budget::Budget;
    use crate::permits::admission::admit;
    use hyper::{HeaderMap, Method, Uri};
    use std::collections::HashSet;
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
        let pool = Pool::new(4, second, second);
        let backends = Backends::new(pool, Budget::new(1 << 20), Vec::new(), false);
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
        let call = Call {
            method: Method::GET,
            uri,
            headers,
            body: bytes::Bytes::new(),
            upload: None,
            _portion: None,
        };
        let deadline = Instant::now() + Duration::from_secs(60);
        let (class, tenant, key, cost_hint, repeat, coming) = (ClassId(0), None, None, None, false, false);
        let arrival = Arrival { class, tenant, key, cost_hint, repeat, client_deadline: deadline, coming };
        let admission = admit(Instant::now(), deadline, None).expect("no end of the process");
        driver
            .submit(call, HeaderValue::from_static("id"), arrival, admission)
            .expect("the only one of its name")
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
            driver.perform(vec![cancel, Action::Fail { request: id, reason: Reason::FailedLate }]);
            assert!(matches!(answer.await, Ok(Answer::Failed)));
            assert!(driver.0.core.borrow().requests.is_open(id), "its outcome has not been told");
            while driver.0.core.borrow().requests.is_open(id) {
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
                Action::Fail { request: id, reason: Reason::FailedLate },
                Action::Refuse { request: id, retry_after: None, reason: Reason::WaitedOut },
            ]);
            assert!(matches!(answer.await, Ok(Answer::Failed)));
            driver.perform(vec![Action::Cancel { request: id, attempt: AttemptNo(0) }]);
            while driver.0.core.borrow().requests.is_open(id) {
                yield_now().await;
            }
        };
        local.run_until(test).await;
    }

    /// Backends that are replaced under ever new names must not be kept, and the one that takes the address of one
    /// that has gone is another: nothing of the old one is its own.
    #[tokio::test(start_paused = true)]
    async fn servers_that_have_left_are_forgotten() {
        let local = LocalSet::new();
        let test = async {
            let (driver, listener) = driver().await;
            let address = listener.local_addr().unwrap();
            let mut numbers = HashSet::new();
            for n in 0..50 {
                let list = format!(
                    r#"{{"rev":{n},"all":true,"targets":[{{"uid":"s{n}","endpoint":"{address}","state":"SERVING"}}]}}"#
                );
                driver.listed(serde_json::from_str(&list).unwrap());
                tokio::time::advance(Duration::from_secs(1)).await;
                let servers = &mut driver.0.core.borrow_mut().servers;
                servers.forget_left();
                let (ids, records) = servers.known();
                assert!(records <= 4, "{records} are kept");
                assert_eq!(ids.len(), records);
                assert!(numbers.insert(ids[&format!("s{n}")]), "a number is given twice");
            }
        };
        local.run_until(test).await;
    }
}
