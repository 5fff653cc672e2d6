//! Drives the decision module: turns what happens on sockets into its events, and carries out its actions on
//! sockets.

mod attempts;

use crate::clock::Clock;
use crate::events;
use crate::list::{DiscoveryCommands, ListReply};
use crate::log::log;
use crate::metrics::{Count, Metrics};
use crate::permits::admission::Admission;
use crate::permits::violations::Violations;
use crate::requests::{Answer, RequestAttributes, Requests};
use crate::servers::Servers;
use crate::timers::Timers;
use crate::upstream::attempt::{AttemptResult, Call};
use crate::upstream::backend::Backends;
use crate::upstream::pool::Pool;
use hyper::header::HeaderValue;
use ryelead::*;
use std::cell::RefCell;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};

/// How often connections that have been idle too long, and removed servers, are looked for.
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
    commands: Rc<DiscoveryCommands>,
    max_attempts: u32,
    /// Per class, whether its attempts may be repeated.
    effects: Vec<Effect>,
    hedging: bool,
    violations: Violations,
    /// The number of agents in the settings.
    balancers: u32,
    /// The instant by which all open requests must be answered, once the process is shutting down.
    answers_by: watch::Sender<Option<Instant>>,
}

/// A handle to the decision module and the state around it; clones share it.
#[derive(Clone)]
pub struct Driver(Rc<Inner>);

impl Driver {
    /// Starts the decision module, with the server list that was last known. `names` are the names of zones
    /// and of kinds in the settings.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: (&[String], &[String]),
        known: Option<ListReply>,
        backends: Rc<Backends>,
        commands: Rc<DiscoveryCommands>,
    ) -> Result<Driver, String> {
        let (max_attempts, balancers) = (settings.max_attempts, settings.balancers);
        let effects = settings.classes.iter().map(|class| class.effect).collect();
        let hedging = settings.hedging;
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
            hedging,
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
            let entries =
                driver.0.core.borrow_mut().servers.apply_list(now, true, &known.targets, driver.pool());
            driver.dispatch(Event::List(ListUpdate::Saved(entries)));
        }
        Ok(driver)
    }

    /// Runs the timers, and removes idle connections and old servers, for as long as the agent lives.
    pub async fn run(self) {
        let retire = async {
            loop {
                sleep(RETIRE_EVERY).await;
                let core = &mut *self.0.core.borrow_mut();
                // A connection that was in use when its server began to drain, moved or was removed returns
                // to the pool later.
                self.pool().close_unusable(|server, generation| core.servers.is_current(server, generation));
                core.servers.forget_removed();
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
                self.dispatch(Event::Timer(timer));
            }
        }
    }

    /// Whether there is a server to send requests to.
    pub fn has_serving_server(&self) -> bool {
        self.0.core.borrow().servers.any_serving()
    }

    /// The counters of this agent.
    pub fn metrics(&self) -> &Metrics {
        self.pool().metrics()
    }

    /// Logs the counters every `period` for as long as the agent lives, with the levels of the driver and
    /// `own_levels`.
    pub async fn log_metrics(self, period: Duration, own_levels: impl Fn() -> Vec<(&'static str, usize)>) {
        let levels = || {
            let (open, idle) = self.pool().levels();
            let core = self.0.core.borrow();
            let mut levels = vec![("open", open), ("idle", idle), ("serving", core.servers.serving_count())];
            levels.extend(own_levels());
            levels
        };
        self.metrics().clone().log_periodically(period, levels).await;
    }

    /// The violations of the protocol's rules; none are expected.
    pub fn violations(&self) -> &Violations {
        &self.0.violations
    }

    /// The pool of connections to servers.
    pub fn pool(&self) -> &Pool {
        self.0.backends.pool()
    }

    // ---- shutdown -------------------------------------------------------------------------------------

    /// Begins the shutdown: every request, open or yet to come, must be answered by `answers_by`.
    pub fn shut_down(&self, answers_by: Instant) {
        self.0.answers_by.send_replace(Some(answers_by));
        self.0.core.borrow_mut().requests.cap_deadlines(answers_by);
        let left = answers_by.saturating_duration_since(Instant::now());
        let answers_by = self.0.clock.now() + Span(left.as_micros() as u64);
        self.dispatch(Event::Shutdown { answers_by });
    }

    /// Completes `reserve` before all answers are due in a shutdown; never completes without a shutdown.
    pub async fn process_ends(&self, reserve: Duration) {
        let mut answers_by = self.0.answers_by.subscribe();
        let known = answers_by.wait_for(Option::is_some).await.ok().and_then(|by| *by);
        match known {
            Some(by) => sleep_until(by - reserve).await,
            None => std::future::pending().await,
        }
    }

    // ---- events -------------------------------------------------------------------------------------

    /// Passes an event to the decision module and carries out the resulting actions. A panic of the module
    /// loses that event only: requests that it no longer tracks are answered at their deadlines.
    fn dispatch(&self, event: Event) {
        let mut actions = Vec::new();
        let now = self.0.clock.now();
        let run = catch_unwind(AssertUnwindSafe(|| {
            self.0.core.borrow_mut().balancer.handle(now, event, &mut actions);
        }));
        if run.is_err() {
            log("the decision module panicked; the event that caused it is dropped");
        }
        self.perform(actions);
    }

    /// Admits a request; the answer arrives on the receiver. Returns `None` if a request with the same
    /// `X-Call-Id`, or an attempt of one, is still open: servers could not tell the two apart.
    pub fn submit(
        &self,
        call: Call,
        call_id: HeaderValue,
        attributes: RequestAttributes,
        admission: Admission,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let deadline = admission.deadline();
        let (id, answer) = {
            let requests = &mut self.0.core.borrow_mut().requests;
            let runs_once = self.effect(attributes.class) == Effect::AtMostOnce;
            let is_incomplete = attributes.body_incomplete;
            requests.admit(call, call_id.clone(), attributes.class, runs_once, is_incomplete, admission)?
        };
        events::request_taken(id, &call_id, attributes.class.0, deadline);
        // The module itself limits the time by the shutdown deadline; the time that the client has left is
        // passed separately.
        let left = attributes.client_deadline.saturating_duration_since(Instant::now());
        self.metrics().count(Count::Request);
        self.dispatch(Event::Request(Request {
            id,
            class: attributes.class,
            tenant: attributes.tenant,
            key: attributes.key,
            cost_hint: attributes.cost_hint,
            client_retry: attributes.client_retry,
            time_left: Span(left.as_micros() as u64),
            body_incomplete: attributes.body_incomplete,
        }));
        Some((id, answer))
    }

    /// Records that the body of a request is complete; its client waits until `deadline`.
    pub fn body_complete(&self, id: RequestId, deadline: Instant) {
        self.0.core.borrow_mut().requests.body_complete(id, deadline);
        self.dispatch(Event::BodyComplete { request: id });
    }

    /// Records that the time of a request may be over before its body could be read. The decision module gives
    /// its final answer at once.
    pub fn body_overdue(&self, id: RequestId) {
        self.dispatch(Event::BodyOverdue { request: id });
    }

    /// Reports that the time of a request is over. Returns whether an answer that is still arriving is forwarded
    /// now.
    pub fn answer_due(&self, id: RequestId) -> bool {
        if !self.0.core.borrow().requests.is_answer_forwarded(id) {
            self.dispatch(Event::AnswerDue { request: id });
        }
        let forwarded = self.0.core.borrow().requests.is_answer_forwarded(id);
        events::answer_due(id, forwarded);
        forwarded
    }

    /// Marks a request as needing no answer any more: its client has disconnected, or its deadline has
    /// passed.
    pub fn abandon(&self, id: RequestId) {
        let owed = self.0.core.borrow_mut().requests.abandon(id);
        if owed {
            events::request_abandoned(id);
            self.dispatch(Event::ClientGone { request: id });
            self.forget_ended(id);
        }
    }

    /// Records the end of an attempt. An answer from a server is sent to the client at once, whatever the
    /// module decides later.
    fn attempt_over(&self, id: RequestId, attempt: u32, sent: Instant, ended: AttemptResult) {
        let finished =
            self.0.core.borrow_mut().requests.finish_attempt(id, attempt, ended.outcome, ended.served);
        self.metrics().count(Count::Outcome(ended.outcome));
        if let Some(error) = ended.error {
            self.metrics().count(Count::AnswerError(error));
        }
        events::attempt_ended(id, attempt, ended.outcome, ended.error, sent.elapsed());
        let Some(closed) = finished else { return };
        self.dispatch(Event::Outcome {
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
                    self.metrics().count(Count::Send);
                    self.send(request, server, begin_by, timeout_at);
                }
                Action::Cancel { request, attempt } => {
                    events::attempt_cancelled(request, attempt.0);
                    self.0.core.borrow_mut().requests.cancel_attempt(request, attempt.0);
                }
                Action::Forward { request, attempt } => {
                    self.0.core.borrow().requests.forward_answer(request, attempt.0);
                }
                Action::Refuse { request, retry_after, reason } => {
                    self.metrics().count(Count::GivenUp(reason));
                    events::request_given_up(request, true, reason);
                    self.answer(request, Answer::Refused(retry_after))
                }
                Action::Fail { request, reason } => {
                    self.metrics().count(Count::GivenUp(reason));
                    events::request_given_up(request, false, reason);
                    self.answer(request, Answer::Failed);
                }
                Action::SetTimer { at, timer } => self.0.timers.set(at, timer),
                Action::Probe { server } => self.probe(server),
                Action::CloseIdle { server } => self.pool().close_idle(server),
                Action::SubscribeList { active } => self.0.commands.set_watching(active),
                Action::FetchList => self.0.commands.fetch(),
                Action::Log { text } => log(&text),
                // The module has no messages for other agents.
                Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        self.0.core.borrow_mut().requests.answer(id, answer);
    }

    // ---- the server list ------------------------------------------------------------------------------

    /// Applies a list, or a change of it, that was received from discovery.
    pub fn apply_list(&self, reply: ListReply) {
        self.metrics().add(Count::ListEntry, reply.targets.read.len());
        self.metrics().add(Count::ListUnreadable, reply.targets.unreadable_count());
        let now = self.0.clock.now();
        let entries = {
            let servers = &mut self.0.core.borrow_mut().servers;
            let entries = servers.apply_list(now, reply.all, &reply.targets, self.pool());
            servers.record_answer(now);
            entries
        };
        let update = if reply.all { ListUpdate::Complete(entries) } else { ListUpdate::Changes(entries) };
        self.dispatch(Event::List(update));
    }

    // ---- other agents ---------------------------------------------------------------------------------

    /// Sets the number of agents that share the servers; `None` if it is not known, in which case the number
    /// in the settings applies.
    pub fn set_agent_count(&self, number: Option<u32>) {
        self.dispatch(Event::Balancers(number.unwrap_or(self.0.balancers)));
    }

    /// Reports a failed discovery call.
    pub fn list_failed(&self) {
        self.dispatch(Event::List(ListUpdate::Failed));
    }
}

#[cfg(test)]
mod tests;
