//! Every decision of the balancer. Its interface (settings, events, actions) is in `src/api.rs`.
//!
//! A request passes through these methods: `accept` takes it in, `dispatch` decides whether and where it is
//! sent, `attempt_rules` says which attempts are still allowed, `handle_outcome` learns from an outcome and
//! decides what follows, and `give_up` ends the request without an answer from a server. `tick` does the
//! periodic work: it polls the server list, detects silent servers and dispatches pending requests.
//!
//! The same rule serves few balancers and many. The load of a server is the number of this balancer's own
//! requests there plus the load from the other balancers according to the server's reports
//! (`src/load_reports.rs`). A server may be sent a request if it can still answer in time under that load;
//! the more a request is worth, the more load is accepted. Where there are few balancers, their own counts
//! decide; where there are many, the reports do.
//!
//! A server that fails or does not answer is ejected (outlier detection; the log calls it "suspect"). After a
//! pause it gets a half-open attempt: a real request that returns it to service if it is answered well.

use crate::api::*;
use crate::load_reports::{update_baseline, LoadModel, LoadReport, ServerLoad};
use in_flight::{ArrivingAnswer, AttemptStage, InFlightAttempt};
use std::collections::BTreeMap;

mod forwarding;
mod in_flight;
mod long_requests;
mod outlier_detection;
mod shutdown;
mod silent_servers;
mod slow_answers;

/// Number of fresh draws per selection, in addition to the one remembered server. The published analysis of
/// power-of-d-choices with memory requires at least as many fresh draws as remembered servers.
const FRESH_DRAWS: usize = 3;
/// Fresh draws come from a subset of the serving servers. It has as many servers as this balancer sends
/// requests in this many seconds, but at least `SUBSET_SIZE_MIN`. With a larger subset, one of many balancers
/// would know too little about each server, and all balancers together would hold too many connections.
const SUBSET_REQUEST_SECONDS: f64 = 1.0;
/// Minimum number of servers in the subset.
const SUBSET_SIZE_MIN: usize = 16;
/// One in this many fresh draws comes from all serving servers, so that the members of the subset change over
/// time.
const FULL_LIST_DRAW_INTERVAL: u32 = 48;
/// Tries per fresh draw to hit an eligible server. After that, the candidates are drawn from a full scan of
/// the serving servers.
const TRIES_PER_DRAW: usize = 8;
/// A server whose load has become known within this time (400 ms), by a report or a probe, is not probed. A
/// request has its candidates probed only if the load of none of them is known.
const REPORT_FRESH_FOR: Span = Span(400_000);
/// If a probe costs more than this price, `REPORT_FRESH_FOR` grows in the same proportion.
const PROBE_PRICE_REFERENCE: f64 = 0.01;
/// Share of the class's aim for which a request may wait for the probes of its candidates.
const PROBE_WAIT_AIM_SHARE: f64 = 0.08;
/// Least load assumed at a server, in requests, as long as its probe has not returned.
const OUTSTANDING_PROBE_LOAD: f64 = 2.0;
/// Load from other balancers assumed at a server, in requests, after its probe failed or was rejected.
const FAILED_PROBE_LOAD: f64 = 8.0;
/// Weight of a new answer in a server's mean latency ratio: about the last eight answers count.
const LATENCY_GAIN: f64 = 0.12;
/// Consecutive failures after which a server may be ejected. A failed connect counts as this many at once: a
/// server that takes no connection is down, while a broken connection may be the network's fault.
const EJECTION_FAILURES: u32 = 2;
/// Weight of a new answer in a server's failure rate and in `Balancer::congestion`.
const FAILURE_RATE_GAIN: f64 = 0.05;
/// Answers are taken to get lost if `Balancer::lost_answer_share` is at or above this. The share rises with
/// each attempt that times out, or is cancelled as stalled, although its server has answered later attempts.
const LOST_ANSWER_THRESHOLD: f64 = 0.15;
/// Weight of an attempt whose answer was lost in `Balancer::lost_answer_share`.
const LOST_ANSWER_GAIN: f64 = 0.04;
/// Weight of any other outcome in `Balancer::lost_answer_share`. It is smaller than the weight of a lost
/// answer because time-outs are noticed late.
const LOST_ANSWER_DECAY: f64 = 0.01;
/// Pause before the first half-open attempt to an ejected server (250 ms). It doubles with each one that
/// fails.
const HALF_OPEN_PAUSE_FIRST: Span = Span(250_000);
/// Longest pause between two half-open attempts (4 s).
const HALF_OPEN_PAUSE_MAX: Span = Span(4_000_000);
/// Half-open tokens earned per request. A half-open attempt costs one token, and at most one token is saved:
/// with many ejected servers, only a small part of the requests may be risked on them.
const HALF_OPEN_TOKENS_PER_REQUEST: f64 = 0.03;
/// Target for the answer time as a share of the class's aim. Above it a server's concurrency limit shrinks,
/// at or below it the limit grows.
const TARGET_LATENCY_RATIO: f64 = 0.25;
/// Added to the load factor of a server in another zone for each 1% that crossing zones costs.
const CROSS_ZONE_WEIGHT_PER_PERCENT: f64 = 0.25;
/// Upper bound for the load factor of a server in another zone. It is less than 2, the factor of one more
/// request at an idle server, so that the price alone does not fill a zone.
const CROSS_ZONE_FACTOR_MAX: f64 = 1.8;
/// Factor on the slowdown of the server that last handled a request's key. That server is chosen unless it
/// holds clearly more load than the others.
const KEY_AFFINITY_FACTOR: f64 = 0.7;
/// Number of keys whose last server is remembered. Beyond it all are forgotten, which costs each key one cold
/// run.
const AFFINITY_KEYS_MAX: usize = 10_000;
/// Loads whose logarithms round to the same multiple of this count as equal: a difference of a quarter is
/// well within chance.
const LOAD_TIE_WIDTH: f64 = 0.25;
/// By its reports, a server is full for the requests with the highest worth if their answers would take this
/// multiple of their aim.
const SHED_AIM_FACTOR: f64 = 0.9;
/// That multiple shrinks by this share for each e-fold of lower worth, so that requests with the lowest worth
/// are shed first. Between classes, worth counts only with the power 0.4 (see `server_filter`), because the
/// class that is served worst also counts in the service's result.
const SHED_WORTH_SLOPE: f64 = 0.25;
/// Lower bound for the load, in requests, at which a warm server is full, so that an idle server never is.
const SHED_LOAD_MIN: f64 = 1.5;
/// Factor on a server's concurrency limit after an answer past its aim, a time-out, a cancellation or a
/// rejection. Late answers and full queues are certain evidence of overload and take effect at once.
const LIMIT_LATE_FACTOR: f64 = 0.85;
/// A fully used limit grows by this much, in requests, over as many answers as the limit allows in flight.
const LIMIT_GROWTH: f64 = 0.1;
/// Share of the overshoot over `TARGET_LATENCY_RATIO` by which an answer shrinks the limit. The limit must
/// shrink more slowly than `LATENCY_GAIN` forgets, or the lag of the mean would drive it down too far. 0.04
/// and 0.08 cost more than they save.
const LIMIT_SHRINK: f64 = 0.02;
/// Initial concurrency limit of a server: this balancer's own requests in flight there.
const LIMIT_INITIAL: f64 = 2.0;
/// Without load reports, answers that on average take this multiple of their usual time mean that all
/// balancers together overload the servers. While congestion is above this, each answer cuts the total limit;
/// otherwise the limit grows where it is fully used.
const CONGESTION_THRESHOLD: f64 = 2.0;
/// Factor on the total limit for each answer under congestion.
const TOTAL_LIMIT_CUT: f64 = 0.95;
/// Factor on the total limit for each answer without congestion while the limit is fully used.
const TOTAL_LIMIT_GROWTH: f64 = 1.02;
/// Retry tokens earned per request. A retry costs one token, unless one of the costs below applies.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
/// Most retry tokens that are saved, which bounds a burst of retries.
const RETRY_TOKENS_MAX: f64 = 10.0;
/// Cost of a retry after a broken connection or a server error, in tokens. It is less than after a rejection
/// or a time-out: those come from load, which more attempts make worse.
const RETRY_COST_BROKEN: f64 = 0.4;
/// Cost of a retry after a failed connect, in tokens: the attempt was never sent and gave no server any work.
const RETRY_COST_UNSENT: f64 = 0.05;
/// Tick period while requests are pending (10 ms).
const TICK_PERIOD_BUSY: Span = Span(10_000);
/// Tick period while no requests are pending (50 ms).
const TICK_PERIOD_IDLE: Span = Span(50_000);
/// Most votes that a class's first-try wait can gather. If clients change their wait, the new one is adopted
/// after as many requests.
const FIRST_TRY_VOTES_MAX: u32 = 50;
/// A pending request is given up when less than this multiple of its class's usual answer time is left until
/// `full_worth_until`.
const PENDING_LATENCY_MARGIN: f64 = 2.0;
/// Upper bound for that margin, as a share of the class's aim.
const PENDING_MARGIN_AIM_SHARE_MAX: f64 = 0.7;
/// Time constant of the requests counted per tenant, in milliseconds.
const TENANT_WINDOW_MS: f64 = 3000.0;
/// A tenant is over its share at this multiple of its fraction: usage varies by chance without anyone
/// flooding.
const TENANT_SHARE_SLACK: f64 = 1.4;
/// Maximum length of the pending queue, in requests.
const PENDING_MAX: usize = 500;
/// Pause before the server list is polled again (200 ms). It doubles with each failure, up to a quarter of
/// `Settings::list_refresh_interval`.
const LIST_POLL_PAUSE_FIRST: Span = Span(200_000);
/// Minimum pause per other balancer (40 ms), because failed calls cost the discovery service too.
const LIST_POLL_PAUSE_PER_BALANCER: Span = Span(40_000);
/// Longest pause (1.4 s). A change of the server list must be known within 6 s: 1.5 times the pause (2.1 s),
/// 2.5 s for a call that hangs and 1.4 s for the answer to the next call.
const LIST_POLL_PAUSE_MAX: Span = Span(1_400_000);

/// Timer of the periodic work.
const TICK_TIMER: TimerId = TimerId(0);
/// Timer that ends the wait for probes.
const PROBE_WAIT_TIMER: TimerId = TimerId(1);
/// Timer at which answers that are kept back are looked at.
const FORWARD_TIMER: TimerId = TimerId(2);

/// The servers to which a request may still be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AllowedServers {
    NoServer,
    AnyServer,
    Zone(ZoneId),
    Cell(CellId),
}

/// An attempt of an active request.
struct Attempt {
    server: usize,
    zone: ZoneId,
    cell: CellId,
    sent_at: Time,
    /// How it ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

/// An accepted request. It is removed when it has its final answer.
struct ActiveRequest {
    request: Request,
    deadline: Time,
    /// An answer after this keeps only the class's late worth, which may be zero.
    full_worth_until: Time,
    attempts: Vec<Attempt>,
    /// The request is bound to one attempt, so that no other attempt is allowed.
    bound: bool,
    /// Its tenant had already used its share, so that the request may be worth less.
    over_share: bool,
    /// How many times candidates have been drawn for it.
    draw_rounds: u32,
}

/// The conditions that a request sets for a server. They are computed once and checked for each server.
#[derive(Clone, Copy)]
struct ServerFilter {
    allowed: AllowedServers,
    class: usize,
    /// A server where requests take longer than this multiple of their usual time is full for this request.
    max_slowdown: f64,
}

/// A request that waits for the probes of its candidates, and until when.
struct ProbeWait {
    request: RequestId,
    candidates: Vec<usize>,
    until: Time,
}

/// The state of an ejected server, as a whole or for one class.
struct Ejection {
    /// When the next half-open attempt may be sent: never while one is in flight. An attempt whose body is
    /// still arriving may take long, so the next one is allowed after `pause`.
    half_open_at: Time,
    /// Pause before the next half-open attempt; doubles with each failure.
    pause: Span,
}

/// What the answers of a server say about its health, as a whole or for one class.
#[derive(Default)]
struct HealthRecord {
    consecutive_failures: u32,
    /// Smoothed share of failures among its answers.
    failure_rate: f64,
    ejection: Option<Ejection>,
}

/// Index of the health record for the server as a whole; the record for class c is at c + 1.
const WHOLE_SERVER: usize = 0;

/// A server of the list and what this balancer knows about it.
#[derive(Default)]
struct Server {
    listed: ServerEntry,
    /// Incremented with each start of the server that the list tells of.
    incarnation: u32,
    /// Own attempts that the server works on.
    in_flight: u32,
    /// How many of these are stalled, see `InFlightAttempt::stalled`.
    stalled: u32,
    /// Answer time as a multiple of the class's usual one, weighted towards fast answers. It says how slow
    /// the machine itself is, rather than how loaded.
    slowdown: f64,
    /// Smoothed answer time as a share of the class's aim.
    mean_latency_ratio: f64,
    last_answer_at: Time,
    /// When the most recently sent of its answered attempts was sent. Attempts sent before that have been
    /// overtaken.
    newest_answered_sent_at: Time,
    /// Concurrency limit for own requests, learned from answers.
    limit: f64,
    /// Health records: `WHOLE_SERVER`, then one per class. A broken connection or silence is attributed to
    /// the machine, an error only to its class there.
    health: Vec<HealthRecord>,
    /// The load that the server has reported.
    reported: ServerLoad,
    /// When the outstanding probe was sent, if there is one.
    probe_sent_at: Option<Time>,
    /// When the list first said that it has left.
    left_at: Option<Time>,
}

impl Server {
    fn new(listed: ServerEntry, now: Time, classes: usize) -> Self {
        Server {
            listed,
            slowdown: 1.0,
            last_answer_at: now,
            limit: LIMIT_INITIAL,
            health: (0..=classes).map(|_| HealthRecord::default()).collect(),
            ..Server::default()
        }
    }

    /// The ejection that keeps requests of a class away from this server, if there is one.
    fn ejection_for(&self, class: usize) -> Option<&Ejection> {
        self.health[WHOLE_SERVER].ejection.as_ref().or(self.health[class + 1].ejection.as_ref())
    }
}

/// Decides for one client process where, when and how often its requests are sent.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// The servers in `server_index`, and unused entries (`free_indices`) of removed ones.
    servers: Vec<Server>,
    server_index: BTreeMap<ServerId, usize>,
    free_indices: Vec<usize>,
    /// Indices of the servers that the list says are serving.
    serving: Vec<usize>,
    active_requests: BTreeMap<RequestId, ActiveRequest>,
    in_flight_attempts: BTreeMap<(RequestId, u32), InFlightAttempt>,
    /// The pending queue, newest first within each priority.
    pending: Vec<RequestId>,
    probe_waits: Vec<ProbeWait>,
    /// The server that was last sent a request, which is a candidate for the next one.
    remembered: Option<usize>,
    /// The servers that fresh draws come from.
    subset: Vec<usize>,
    /// The server that each key was last sent to; used where servers handle a recent key for less work.
    key_affinity: BTreeMap<KeyId, usize>,
    /// Usual answer time of each class as a share of its aim, over all servers. It is weighted towards fast
    /// answers, so that congestion does not pass for the usual state.
    class_latency_ratio: Vec<f64>,
    /// For each class, the time that clients wait for a first try, which most requests come with, and the
    /// votes for it.
    first_try_wait: Vec<(Span, u32)>,
    /// Requests of the last seconds by tenant, decayed up to `tenant_requests_at`.
    tenant_requests: Vec<f64>,
    tenant_requests_at: Time,
    /// Retry budget, see `RETRY_TOKENS_PER_REQUEST`.
    retry_tokens: f64,
    /// Budget for half-open attempts, see `HALF_OPEN_TOKENS_PER_REQUEST`.
    half_open_tokens: f64,
    /// The reports of all servers, taken together.
    fleet_load: LoadModel,
    /// Smoothed share of attempts whose answers got lost; see [`LOST_ANSWER_THRESHOLD`].
    lost_answer_share: f64,
    /// Smoothed answer time as a multiple of the usual one; see [`CONGESTION_THRESHOLD`].
    congestion: f64,
    /// Limit on own requests in flight at all servers; used where there are no load reports.
    total_limit: f64,
    /// Pause after the next failed poll of the server list.
    list_poll_pause: Span,
    /// When the server list is polled; `None` while no poll is planned.
    next_list_poll: Option<Time>,
    next_tick: Time,
    /// No request gets a later deadline than this. Set at shutdown.
    answers_by: Time,
}

impl Balancer {
    /// Creates a balancer with these settings. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            server_index: BTreeMap::new(),
            free_indices: Vec::new(),
            serving: Vec::new(),
            active_requests: BTreeMap::new(),
            in_flight_attempts: BTreeMap::new(),
            pending: Vec::new(),
            probe_waits: Vec::new(),
            remembered: None,
            subset: Vec::new(),
            key_affinity: BTreeMap::new(),
            class_latency_ratio: vec![0.2; settings.classes.len()],
            first_try_wait: vec![(Span::ZERO, 0); settings.classes.len()],
            tenant_requests: vec![0.0; settings.tenants.len()],
            tenant_requests_at: Time(0),
            retry_tokens: RETRY_TOKENS_MAX,
            half_open_tokens: 1.0,
            fleet_load: LoadModel::default(),
            lost_answer_share: 0.0,
            congestion: 1.0,
            total_limit: LIMIT_INITIAL * SUBSET_SIZE_MIN as f64,
            list_poll_pause: LIST_POLL_PAUSE_FIRST,
            next_list_poll: None,
            next_tick: Time(0),
            answers_by: Time(u64::MAX),
            settings,
        })
    }

    /// Plans the first poll of the server list and starts the tick. Must be called once, before the first
    /// event.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            self.next_list_poll = Some(now + self.list_poll_delay(Span::ZERO) * (2.8 * self.rng.f64()));
        }
        self.set_tick(now, TICK_PERIOD_IDLE, actions);
    }

    /// Handles an event that has happened by `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.accept(now, request, actions),
            Event::Committed { request, attempt } => self.bind(request, attempt),
            Event::BodyComplete { request } => self.body_received(now, request),
            Event::BodyOverdue { request } => self.body_overdue(now, request, actions),
            Event::AnswerBegun { request, attempt } => self.answer_begun(now, request, attempt),
            Event::AnswerStalled { request, attempt } => self.answer_stalled(now, request, attempt, actions),
            Event::AnswerProgressed { request, attempt } => self.answer_progressed(now, request, attempt),
            Event::AnswerLength { request, attempt, length } => {
                self.answer_length_known(now, request, attempt, length, actions);
            }
            Event::AnswerDue { request } => self.forward_due_answer(request, actions),
            Event::FirstByte { request, attempt } => self.answer_started(now, request, attempt, actions),
            Event::Outcome { .. } => self.handle_outcome(now, event, actions),
            Event::ClientGone { request } => drop(self.active_requests.remove(&request)),
            Event::Shutdown { answers_by } => self.shut_down(now, answers_by, actions),
            Event::Balancers(number) => self.settings.balancers = number.max(1),
            Event::Timer(TICK_TIMER) => self.tick(now, actions),
            Event::Timer(PROBE_WAIT_TIMER) => self.finish_probe_waits(now, |wait| wait.until <= now, actions),
            Event::Timer(FORWARD_TIMER) => self.forward_held_answers(now, actions),
            Event::Timer(_) | Event::PeerMessage { .. } => {}
            Event::ProbeResult { .. } => self.handle_probe_result(now, event, actions),
            Event::List(update) => self.update_list(now, update, actions),
        }
    }

    // ---- incoming requests -------------------------------------------------------------------------

    /// Takes in a request: sends it, queues it, or refuses it if it can't be answered in time.
    fn accept(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class.0) else {
            actions.push(Action::Refuse { request: id, retry_after: None, reason: Reason::NoSuchClass });
            return;
        };
        if self.active_requests.contains_key(&id) {
            return;
        }
        // First tries of a class come with the same wait. Any other wait is a repeat, and is what the earlier
        // tries have left of the class's deadline; its aim is shortened by the time that they took.
        let period = self.settings.event_interval;
        let (first_try, votes) = &mut self.first_try_wait[request.class.0];
        let is_near = request.time_left.saturating_sub(*first_try) <= period
            && first_try.saturating_sub(request.time_left) <= period;
        let is_first_try = is_near || *votes == 0;
        match *votes {
            0 => (*first_try, *votes) = (request.time_left, 1),
            _ if is_first_try => *votes = (*votes + 1).min(FIRST_TRY_VOTES_MAX),
            _ => *votes -= 1,
        }
        let spent = if is_first_try { Span::ZERO } else { class.deadline.saturating_sub(request.time_left) };
        let deadline = (now + request.time_left).min(self.answers_by);
        let full_worth_until = (now + class.aim.saturating_sub(spent)).min(deadline);
        let over_share = self.count_and_check_share(now, &request);
        let (attempts, bound, draw_rounds) = (Vec::new(), false, 0);
        let active =
            ActiveRequest { request, deadline, full_worth_until, attempts, bound, over_share, draw_rounds };
        let is_too_late = self.is_too_late(now, &active);
        self.active_requests.insert(id, active);
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_TOKENS_MAX);
        self.half_open_tokens = (self.half_open_tokens + HALF_OPEN_TOKENS_PER_REQUEST).min(1.0);
        if is_too_late {
            self.give_up(now, id, Reason::TooLate, actions);
        } else if !self.dispatch(now, id, actions) {
            self.enqueue(now, id, actions);
        }
    }

    /// Counts a request for its tenant and returns whether it is over the tenant's share. No balancer sees
    /// all traffic, so its own traffic is the sample. If a tenant takes more than its fraction, a random part
    /// of its requests as large as the excess is over its share.
    fn count_and_check_share(&mut self, now: Time, request: &Request) -> bool {
        let decay = (-now.since(self.tenant_requests_at).ms() / TENANT_WINDOW_MS).exp();
        self.tenant_requests_at = now;
        self.tenant_requests.iter_mut().for_each(|n| *n *= decay);
        let Some(tenant) = request.tenant.filter(|t| t.0 < self.tenant_requests.len()) else { return false };
        self.tenant_requests[tenant.0] += 1.0;
        let all: f64 = self.tenant_requests.iter().sum();
        let fair_share = TENANT_SHARE_SLACK * self.settings.tenants[tenant.0].fraction * all;
        self.settings.over_share_worth < 1.0
            && self.rng.f64() * self.tenant_requests[tenant.0] > fair_share.max(1.0)
    }

    /// Whether an answer would come too late to be worth anything if the request were sent now.
    fn is_too_late(&self, now: Time, active: &ActiveRequest) -> bool {
        let class = &self.settings.classes[active.request.class.0];
        let expected = class.aim * (0.7 * self.class_latency_ratio[active.request.class.0]);
        now + expected >= if class.late_worth > 0.0 { active.deadline } else { active.full_worth_until }
    }

    /// Puts a request into the pending queue, or gives it up if the queue is full.
    fn enqueue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if self.pending.len() >= PENDING_MAX {
            self.give_up(now, id, Reason::QueueFull, actions);
            return;
        }
        self.pending.insert(0, id);
        // A tick that is already due sooner is never postponed; otherwise requests that are queued at each
        // tick would prevent it forever.
        if self.next_tick > now + TICK_PERIOD_BUSY {
            self.set_tick(now, TICK_PERIOD_BUSY, actions);
        }
    }

    /// Returns which servers may be sent another attempt, the latest time at which it may begin, and whether
    /// a refusal would be true (the request has not run, or is harmless to repeat). The rule that no effect
    /// happens twice is implemented here and nowhere else. While an attempt is in flight, a second copy (a
    /// hedged request) needs `Settings::hedging`.
    fn attempt_rules(&self, active: &ActiveRequest, now: Time) -> (AllowedServers, Time, bool) {
        let class = &self.settings.classes[active.request.class.0];
        let in_flight = active.attempts.iter().any(|a| a.outcome.is_none());
        let first_run = active.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        let attempts_used_up = active.attempts.len() >= self.settings.max_attempts as usize;
        let begin_by = match (first_run, class.effect) {
            (Some(first_run), Effect::Deduplicated { window, .. }) => {
                active.deadline.min(first_run.sent_at + window)
            }
            _ => active.deadline,
        };
        let is_closed =
            attempts_used_up || active.bound || now >= begin_by || (in_flight && !self.settings.hedging);
        let allowed = match (first_run, class.effect) {
            _ if is_closed => AllowedServers::NoServer,
            (None, _) | (_, Effect::Idempotent) => AllowedServers::AnyServer,
            (Some(_), Effect::AtMostOnce) => AllowedServers::NoServer,
            (Some(first_run), Effect::Deduplicated { group, .. }) => match group {
                Group::All => AllowedServers::AnyServer,
                Group::Zone => AllowedServers::Zone(first_run.zone),
                Group::Cell => AllowedServers::Cell(first_run.cell),
            },
        };
        let repeats_anywhere =
            matches!(class.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. });
        (allowed, begin_by, (first_run.is_none() || repeats_anywhere) && !active.bound)
    }

    // ---- server selection --------------------------------------------------------------------------

    /// Sends a request to the least loaded of its drawn candidates, or has them probed first. Returns false
    /// if no server is eligible, so that the request has to wait.
    fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if !self.active_requests.contains_key(&id) {
            return true;
        }
        let candidates = self.draw_candidates(now, id);
        self.probe_candidates(now, id, &candidates, actions)
            || self.send_to_least_loaded(now, id, &candidates, actions)
    }

    /// Has the candidates of a request probed if it can wait for that and none of them has reported lately;
    /// returns whether it has. One of many balancers hears little from each server, and without probes all of
    /// them together would place their requests blindly. Where there are few balancers, or they send much,
    /// answers tell enough.
    fn probe_candidates(
        &mut self,
        now: Time,
        id: RequestId,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> bool {
        let active = &self.active_requests[&id];
        let until = now + self.settings.classes[active.request.class.0].aim * PROBE_WAIT_AIM_SHARE;
        let fresh_for = REPORT_FRESH_FOR * (self.settings.prices.probe / PROBE_PRICE_REFERENCE).max(1.0);
        let all_unknown = candidates.iter().all(|&c| !self.servers[c].reported.is_fresh(now, fresh_for));
        let may_probe = self.settings.probes && active.draw_rounds == 1 && until < active.deadline;
        if !may_probe || !all_unknown || candidates.is_empty() {
            return false;
        }
        for &c in candidates {
            if self.servers[c].probe_sent_at.is_none() {
                self.servers[c].probe_sent_at = Some(now);
                actions.push(Action::Probe { server: self.servers[c].listed.server });
            }
        }
        self.probe_waits.push(ProbeWait { request: id, candidates: candidates.to_vec(), until });
        actions.push(Action::SetTimer { at: until, timer: PROBE_WAIT_TIMER });
        true
    }

    /// Sends the requests whose wait for probes has ended to the least loaded of their candidates by present
    /// knowledge.
    fn finish_probe_waits(
        &mut self,
        now: Time,
        finished: impl Fn(&ProbeWait) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let (finished, still_waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.probe_waits).into_iter().partition(finished);
        self.probe_waits = still_waiting;
        for ProbeWait { request, mut candidates, .. } in finished {
            if !self.active_requests.contains_key(&request) {
                continue;
            }
            // A server whose probe has not returned is busy or down: it is left out if another candidate has
            // answered.
            let any_answered = candidates.iter().any(|&c| self.servers[c].probe_sent_at.is_none());
            let is_answered = |c: usize| !any_answered || self.servers[c].probe_sent_at.is_none();
            let filter = self.server_filter(now, &self.active_requests[&request]);
            candidates.retain(|&c| is_answered(c) && self.is_eligible(now, &filter, c));
            if !self.send_to_least_loaded(now, request, &candidates, actions) {
                self.enqueue(now, request, actions);
            }
        }
    }

    /// Sends a request to the least loaded of these candidates. Returns false if there are none.
    fn send_to_least_loaded(
        &mut self,
        now: Time,
        id: RequestId,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(server) = self.least_loaded(now, id, candidates) else { return false };
        let request = &self.active_requests[&id].request;
        let (class, key) = (request.class.0, request.key.filter(|_| self.settings.warm_keys));
        self.remember_server(server, key);
        self.send_attempt(now, id, class, server, actions);
        true
    }

    /// The load from other balancers at a server. The mean of the fleet is not applied to a cold server: it
    /// is less loaded than the rest, and would stay idle if it were taken to be as full.
    fn load_from_others(&self, now: Time, s: &Server) -> f64 {
        self.fleet_load.remote_load(now, &s.reported, self.slow_start_share(s, now) >= 1.0)
    }

    /// The whole load of a server, in requests: own requests in flight and the load from other balancers.
    fn server_load(&self, now: Time, server: usize) -> f64 {
        let s = &self.servers[server];
        f64::from(s.in_flight) + self.load_from_others(now, s)
    }

    /// Own requests in flight at all serving servers.
    fn total_in_flight(&self) -> f64 {
        self.serving.iter().map(|&i| f64::from(self.servers[i].in_flight)).sum()
    }

    /// Whether, by its reports, a server would answer one more request in time and keep capacity for requests
    /// of more worth.
    fn has_reported_capacity(&self, now: Time, server: usize, max_slowdown: f64) -> bool {
        let s = &self.servers[server];
        let Some(breadth) = self.fleet_load.parallelism(&s.reported) else { return true };
        self.server_load(now, server) + 1.0
            < (max_slowdown * breadth).max(SHED_LOAD_MIN) * self.slow_start_share(s, now)
    }

    /// The conditions that a request sets for a server. The more it is worth for its work, the more load it
    /// accepts. A balancer that sends much of the traffic itself relies less on reports (`report_weight`) and
    /// accepts more reported load, since its own counts and limits say more.
    fn server_filter(&self, now: Time, active: &ActiveRequest) -> ServerFilter {
        let (classes, class) = (&self.settings.classes, active.request.class.0);
        let max_worth = (0..classes.len()).map(|c| self.worth_per_work(c)).fold(f64::MIN_POSITIVE, f64::max);
        let share_factor = if active.over_share { self.settings.over_share_worth } else { 1.0 };
        let relative_worth =
            ((self.worth_per_work(class) / max_worth).powf(0.4) * share_factor).clamp(1e-3, 1.0);
        let report_weight = self.fleet_load.report_weight(now, self.serving.len(), self.settings.balancers);
        let aim_factor = SHED_AIM_FACTOR / report_weight * (1.0 + SHED_WORTH_SLOPE * relative_worth.ln());
        let max_slowdown = aim_factor.max(0.0) * classes[class].aim.ms() / self.usual_answer_ms(class);
        ServerFilter { allowed: self.attempt_rules(active, now).0, class, max_slowdown }
    }

    /// Takes in the result of a probe: the server's load report or, if it has sent none, an estimate of its
    /// load: the probe's answer time divided by the usual answer time of the fastest class.
    fn handle_probe_result(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let Event::ProbeResult { server, outcome, elapsed, report } = event else { return };
        let Some(&server) = self.server_index.get(&server) else { return };
        self.read_report(now, server, report);
        let usual_ms =
            (0..self.settings.classes.len()).map(|c| self.usual_answer_ms(c)).fold(f64::INFINITY, f64::min);
        let s = &mut self.servers[server];
        s.probe_sent_at = None;
        if outcome != Outcome::Success {
            s.reported.assume_remote_load(now, FAILED_PROBE_LOAD);
        } else if !s.reported.is_fresh(now, Span(1)) {
            s.reported.assume_remote_load(now, elapsed.ms() / usual_ms);
        }
        let still_waiting = |&c: &usize| self.servers[c].probe_sent_at.is_some();
        let is_finished = |wait: &&ProbeWait| {
            wait.candidates.contains(&server) && !wait.candidates.iter().any(still_waiting)
        };
        let finished: Vec<RequestId> =
            self.probe_waits.iter().filter(is_finished).map(|wait| wait.request).collect();
        self.finish_probe_waits(now, |wait| finished.contains(&wait.request), actions);
    }

    /// Draws candidates for a request: the remembered server, the server that last handled its key, and fresh
    /// draws. All of them are eligible. A server that the request has already tried is a candidate only if
    /// there is no other. Without load reports there are no candidates while the total limit is used up.
    fn draw_candidates(&mut self, now: Time, id: RequestId) -> Vec<usize> {
        let has_room =
            self.settings.report_source != ReportSource::None || self.total_in_flight() < self.total_limit;
        let Some(active) = self.active_requests.get_mut(&id).filter(|_| has_room) else { return Vec::new() };
        active.draw_rounds += 1;
        let is_first_round = active.draw_rounds == 1;
        let tried: Vec<usize> = active.attempts.iter().map(|a| a.server).collect();
        let affine_server = active.request.key.and_then(|k| self.key_affinity.get(&k));
        let filter = self.server_filter(now, &self.active_requests[&id]);
        let mut candidates: Vec<usize> = self.remembered.iter().chain(affine_server).copied().collect();
        candidates
            .retain(|&i| !tried.contains(&i) && !self.is_cold(now, i) && self.is_eligible(now, &filter, i));
        let wanted = candidates.len() + FRESH_DRAWS;
        let all_cold = self.serving.iter().all(|&i| self.is_cold(now, i));
        for _ in 0..FRESH_DRAWS {
            let source =
                if self.rng.u32(0..FULL_LIST_DRAW_INTERVAL) == 0 { &self.serving } else { &self.subset };
            for try_no in 0..TRIES_PER_DRAW.min(source.len()) {
                let i = source[self.rng.usize(0..source.len())];
                // All balancers together must not overload a cold server. Even if it is chosen in every
                // selection that draws it, this chance gives it half of the load that
                // `Settings::overload_factor` allows. Cold servers are skipped if a draw is tried again or a
                // pending request is drawn for again: another chance would raise that share.
                let share = self.slow_start_share(&self.servers[i], now);
                let chance = 0.5 * self.settings.overload_factor * share / FRESH_DRAWS as f64;
                let skipped = share < 1.0 && (!is_first_round || try_no > 0 || self.rng.f64() >= chance);
                if !skipped && !tried.contains(&i) && self.is_eligible(now, &filter, i) {
                    candidates.push(i);
                    break;
                }
            }
        }
        // Few servers are eligible: the missing candidates are drawn from a list of all that are.
        if candidates.len() < wanted {
            let eligible = self.serving.iter().copied().filter(|&i| self.is_eligible(now, &filter, i));
            let (retried, fresh): (Vec<_>, Vec<_>) = eligible.partition(|i| tried.contains(i));
            let mut pool = if fresh.is_empty() && candidates.is_empty() { retried } else { fresh };
            pool.retain(|&i| all_cold || !self.is_cold(now, i));
            for _ in 0..(wanted - candidates.len()).min(pool.len()) {
                candidates.push(pool[self.rng.usize(0..pool.len())]);
            }
        }
        // Cold servers do not stand in for full warm ones: they would get all the load that those can't take.
        if !all_cold && candidates.iter().all(|&i| self.is_cold(now, i)) {
            candidates.clear();
        }
        candidates
    }

    /// Whether a server may be sent a request now, by the attempt rules, the server list, its limit, its
    /// health and its reported load.
    fn is_eligible(&self, now: Time, filter: &ServerFilter, server: usize) -> bool {
        let s = &self.servers[server];
        let is_allowed = match filter.allowed {
            AllowedServers::NoServer => false,
            AllowedServers::AnyServer => true,
            AllowedServers::Zone(zone) => s.listed.zone == zone,
            AllowedServers::Cell(cell) => s.listed.cell == cell,
        };
        is_allowed
            && s.listed.status == Status::Serving
            && f64::from(s.in_flight - s.stalled) < (s.limit * self.slow_start_share(s, now)).max(1.0)
            && s.ejection_for(filter.class)
                .is_none_or(|ejection| now >= ejection.half_open_at && self.half_open_tokens >= 1.0)
            && self.has_reported_capacity(now, server, filter.max_slowdown)
    }

    /// The candidate with the lowest load, scaled by its slowdown, the price of crossing zones and key
    /// affinity. Slowdown and affinity count more for a request with more expected work. Ties are broken at
    /// random.
    fn least_loaded(&mut self, now: Time, id: RequestId, candidates: &[usize]) -> Option<usize> {
        let active = &self.active_requests[&id];
        let class = active.request.class.0;
        let affine_server = active.request.key.and_then(|k| self.key_affinity.get(&k)).copied();
        let work_exponent =
            (self.expected_work_ms(active) / self.usual_answer_ms(class)).clamp(1.0, 9.0).sqrt();
        let report_weight = self.fleet_load.report_weight(now, self.serving.len(), self.settings.balancers);
        let tie_breakers: Vec<u32> = candidates.iter().map(|_| self.rng.u32(..)).collect();
        let cross_zone_factor = (1.0
            + 100.0 * CROSS_ZONE_WEIGHT_PER_PERCENT * self.settings.prices.cross_zone)
            .clamp(1.0, CROSS_ZONE_FACTOR_MAX);
        let cost = |c: usize, tie_breaker: u32| {
            let s = &self.servers[c];
            let zone_factor = if s.listed.zone == self.settings.zone { 1.0 } else { cross_zone_factor };
            let affinity_factor = if affine_server == Some(c) { KEY_AFFINITY_FACTOR } else { 1.0 };
            let probe_load = if s.probe_sent_at.is_some() { OUTSTANDING_PROBE_LOAD } else { 0.0 };
            let load =
                (f64::from(s.in_flight) + report_weight * self.load_from_others(now, s)).max(probe_load);
            // An ejected server that is due for a half-open attempt counts as idle: by its own record it
            // would never be tried.
            let weighted_load = if s.ejection_for(class).is_some() { 0.0 } else { load + 1.0 };
            let load =
                (weighted_load * zone_factor * (s.slowdown * affinity_factor).powf(0.5 * work_exponent)).ln();
            ((load / LOAD_TIE_WIDTH).round() as i32, tie_breaker)
        };
        candidates
            .iter()
            .zip(tie_breakers)
            .min_by_key(|&(&c, tie_breaker)| cost(c, tie_breaker))
            .map(|(&c, _)| c)
    }

    /// Remembers the server for the next selection and for the key, and puts it into the subset in place of a
    /// random member.
    fn remember_server(&mut self, server: usize, key: Option<KeyId>) {
        if let Some(key) = key {
            if self.key_affinity.len() >= AFFINITY_KEYS_MAX {
                self.key_affinity.clear();
            }
            self.key_affinity.insert(key, server);
        }
        self.remembered = Some(server);
        let is_healthy = self.servers[server].health[WHOLE_SERVER].ejection.is_none();
        if is_healthy && !self.subset.is_empty() && !self.subset.contains(&server) {
            let position = self.rng.usize(0..self.subset.len());
            self.subset[position] = server;
        }
    }

    /// Keeps the subset at its size and removes servers that no longer serve or are ejected. New members are
    /// drawn uniformly; ejected servers come in only if there are no others.
    fn refill_subset(&mut self, now: Time) {
        let servers = &self.servers;
        let is_healthy = |i: usize| servers[i].health[WHOLE_SERVER].ejection.is_none();
        let size = ((self.fleet_load.own_rate(now) * SUBSET_REQUEST_SECONDS) as usize).max(SUBSET_SIZE_MIN);
        self.subset.retain(|&i| servers[i].listed.status == Status::Serving && is_healthy(i));
        // Own traffic varies. A subset that followed it closely would open and close connections for nothing.
        self.subset.truncate(size + size / 2);
        if self.subset.len() < size.min(self.serving.len()) {
            let mut is_in_subset = vec![false; servers.len()];
            self.subset.iter().for_each(|&i| is_in_subset[i] = true);
            let mut outside: Vec<usize> =
                self.serving.iter().copied().filter(|&i| !is_in_subset[i]).collect();
            self.rng.shuffle(&mut outside);
            outside.sort_by_key(|&i| !is_healthy(i));
            self.subset.extend(outside.iter().take(size - self.subset.len()));
        }
    }

    /// Sends an attempt and records it as in flight.
    fn send_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        class: usize,
        server: usize,
        actions: &mut Vec<Action>,
    ) {
        let begin_by = self.attempt_rules(&self.active_requests[&id], now).1;
        let Some(active) = self.active_requests.get_mut(&id) else { return };
        // Not earlier than the deadline: a cancelled attempt goes on at its server, and no count would show
        // it.
        let timeout_at = active.deadline;
        let s = &mut self.servers[server];
        let attempt_no = active.attempts.len() as u32;
        let ServerEntry { zone, cell, .. } = s.listed;
        active.attempts.push(Attempt { server, zone, cell, sent_at: now, outcome: None });
        let stage = if active.request.body_incomplete {
            AttemptStage::ReceivingBody
        } else {
            AttemptStage::Processing
        };
        s.in_flight += u32::from(stage == AttemptStage::Processing);
        self.fleet_load.record_send(now);
        let half_open_record =
            [WHOLE_SERVER, class + 1].into_iter().find(|&r| s.health[r].ejection.is_some());
        if let Some(ejection) = half_open_record.and_then(|r| s.health[r].ejection.as_mut()) {
            ejection.half_open_at =
                if stage == AttemptStage::Processing { Time(u64::MAX) } else { now + ejection.pause };
            self.half_open_tokens -= 1.0;
        }
        self.in_flight_attempts.insert(
            (id, attempt_no),
            InFlightAttempt {
                server,
                incarnation: s.incarnation,
                class,
                sent_at: now,
                half_open_record,
                stalled: false,
                stage,
                answer: ArrivingAnswer::default(),
            },
        );
        actions.push(Action::Send { request: id, server: s.listed.server, begin_by, timeout_at });
    }

    /// The share of its capacity that a server has for certain, by the slow start settings.
    fn slow_start_share(&self, s: &Server, now: Time) -> f64 {
        let Some(started) = s.listed.started else { return 1.0 };
        let (age_ms, warm_after_ms) = (now.since(started).ms(), self.settings.slow_start_window.ms());
        if age_ms >= warm_after_ms {
            return 1.0;
        }
        let initial_share = self.settings.slow_start_initial_share.min(1.0);
        initial_share + (1.0 - initial_share) * age_ms / warm_after_ms
    }

    /// Whether a server is still in slow start.
    fn is_cold(&self, now: Time, server: usize) -> bool {
        self.slow_start_share(&self.servers[server], now) < 1.0
    }

    /// The worth of a request of a class per millisecond of work, or per request if worth is counted by work.
    fn worth_per_work(&self, class: usize) -> f64 {
        self.settings.classes[class].worth
            / if self.settings.worth_by_work { 1.0 } else { self.usual_answer_ms(class) }
    }

    /// The usual answer time of a class, in milliseconds.
    fn usual_answer_ms(&self, class: usize) -> f64 {
        (self.class_latency_ratio[class] * self.settings.classes[class].aim.ms()).max(0.001)
    }

    /// The expected work of a request, in milliseconds: its cost hint, or the usual answer time of its class.
    fn expected_work_ms(&self, active: &ActiveRequest) -> f64 {
        active.request.cost_hint.map_or_else(|| self.usual_answer_ms(active.request.class.0), Span::ms)
    }

    // ---- outcomes and retries ----------------------------------------------------------------------

    /// Frees the place that an attempt has taken of its server's limit.
    fn release_slot(&mut self, attempt: &InFlightAttempt) {
        self.servers[attempt.server].in_flight -= u32::from(attempt.stage.holds_slot());
        self.servers[attempt.server].stalled -= u32::from(attempt.stalled && attempt.stage.holds_slot());
    }

    /// Takes in how an attempt ended, and retries or ends its request.
    fn handle_outcome(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let Event::Outcome { request: id, attempt, outcome, elapsed, report, closed } = event else { return };
        let Some(in_flight_attempt) = self.in_flight_attempts.remove(&(id, attempt.0)) else { return };
        self.release_slot(&in_flight_attempt);
        let is_current = in_flight_attempt.incarnation == self.servers[in_flight_attempt.server].incarnation;
        // An attempt is recorded as a success when its answer begins. After that, only a broken connection is
        // news. What an earlier process at the server does says nothing about the present one.
        if is_current {
            self.read_report(now, in_flight_attempt.server, report);
            let is_news = in_flight_attempt.stage != AttemptStage::StreamingAnswer
                || outcome == Outcome::ConnectionReset;
            if is_news {
                self.record_outcome(now, &in_flight_attempt, outcome, elapsed, actions);
            }
        }
        if closed {
            self.active_requests.remove(&id);
            self.cancel_losers(id, actions);
        } else if let Some(active) = self.active_requests.get_mut(&id) {
            active.attempts[attempt.0 as usize].outcome = Some(outcome);
            let cost = match outcome {
                Outcome::ConnectFailed => RETRY_COST_UNSENT,
                Outcome::ConnectionReset | Outcome::ServerError => RETRY_COST_BROKEN,
                _ => 1.0,
            };
            self.retry_or_give_up(now, id, cost, actions);
        }
        self.dispatch_pending(now, actions);
    }

    /// Retries a request after a failed attempt, or gives it up. A retry costs `cost` retry tokens.
    fn retry_or_give_up(&mut self, now: Time, id: RequestId, cost: f64, actions: &mut Vec<Action>) {
        let active = &self.active_requests[&id];
        if active.attempts.iter().any(|a| a.outcome.is_none()) {
            return;
        }
        // A retry after a rejection costs tokens as well; otherwise it would go through a whole fleet of full
        // servers.
        if self.attempt_rules(active, now).0 == AllowedServers::NoServer {
            self.give_up(now, id, Reason::RetryNotAllowed, actions);
        } else if self.is_too_late(now, active) {
            self.give_up(now, id, Reason::NoTimeToRetry, actions);
        } else if self.retry_tokens < cost {
            self.give_up(now, id, Reason::RetryBudgetExhausted, actions);
        } else {
            self.retry_tokens -= cost;
            if !self.dispatch(now, id, actions) {
                self.enqueue(now, id, actions);
            }
        }
    }

    /// Ends a request without an answer from a server: refused if that is true, otherwise failed. A refusal
    /// advises to retry after the class's usual answer time, when a place is likely to be free; if all
    /// servers are ejected, not before the first half-open attempt.
    fn give_up(&mut self, now: Time, id: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        let Some(active) = self.active_requests.remove(&id) else { return };
        if self.attempt_rules(&active, now).2 {
            let usual_answer = Span::from_ms(self.usual_answer_ms(active.request.class.0));
            let advice = if reason == Reason::NoServerAvailable {
                usual_answer.max(HALF_OPEN_PAUSE_FIRST)
            } else {
                usual_answer
            };
            let retry_after = self.settings.retry_after.then_some(advice.min(self.settings.max_retry_after));
            actions.push(Action::Refuse { request: id, retry_after, reason });
        } else {
            actions.push(Action::Fail { request: id, reason });
        }
    }

    /// Sends the pending requests that can go and gives up those that can no longer be answered in time. The
    /// order is: within the tenant's share first, then by worth, then newest first. First come, first served
    /// would let every request wait until it is almost too late, and then be late.
    fn dispatch_pending(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.pending.is_empty() {
            return;
        }
        let mut pending = std::mem::take(&mut self.pending);
        let by_worth = |active: &ActiveRequest| (-1e6 * self.worth_per_work(active.request.class.0)) as i64;
        pending.sort_by_cached_key(|id| {
            self.active_requests.get(id).map(|active| (active.over_share, by_worth(active)))
        });
        pending.retain(|&id| {
            let Some(active) = self.active_requests.get(&id) else { return false };
            let class = active.request.class.0;
            let margin =
                (PENDING_LATENCY_MARGIN * self.class_latency_ratio[class]).min(PENDING_MARGIN_AIM_SHARE_MAX);
            if self.is_too_late(now, active)
                || now + self.settings.classes[class].aim * margin >= active.full_worth_until
            {
                let all_ejected = self.serving.iter().all(|&i| self.servers[i].ejection_for(class).is_some());
                let reason = if all_ejected { Reason::NoServerAvailable } else { Reason::QueueTimeout };
                self.give_up(now, id, reason, actions);
                return false;
            }
            !self.dispatch(now, id, actions)
        });
        self.pending = pending;
    }

    // ---- learning about servers --------------------------------------------------------------------

    /// Updates what is known about a server and a class from the outcome of an attempt.
    fn record_outcome(
        &mut self,
        now: Time,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        elapsed: Span,
        actions: &mut Vec<Action>,
    ) {
        let aim_ms = self.settings.classes[attempt.class].aim.ms();
        let (load, total_in_flight) = (self.server_load(now, attempt.server) + 1.0, self.total_in_flight());
        let server = &mut self.servers[attempt.server];
        let class_record = attempt.class + 1;
        let got_no_answer = outcome == Outcome::TimedOut || attempt.stalled && outcome == Outcome::Cancelled;
        let has_begun = attempt.stage.is_receiving_answer();
        let is_lost = got_no_answer && !has_begun && server.newest_answered_sent_at > attempt.sent_at;
        self.lost_answer_share += if is_lost {
            LOST_ANSWER_GAIN * (1.0 - self.lost_answer_share)
        } else {
            -LOST_ANSWER_DECAY * self.lost_answer_share
        };
        let latency_ratio = match outcome {
            // Capped at the aim: one costly request must not weigh as much as ten others.
            Outcome::Success => (elapsed.ms() / aim_ms).min(1.0),
            // The server has answered other attempts in its usual time: a lost answer says nothing about
            // load.
            Outcome::TimedOut | Outcome::Cancelled if attempt.stalled && !has_begun => 0.0,
            // Cancelling does not stop the work: it may still be in the server's queue.
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => 1.0,
            _ => 0.0,
        };
        match outcome {
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectFailed => {}
            Outcome::Success => {
                server.last_answer_at = now;
                server.newest_answered_sent_at = server.newest_answered_sent_at.max(attempt.sent_at);
                update_baseline(&mut self.class_latency_ratio[attempt.class], latency_ratio);
                let slowdown =
                    (latency_ratio / self.class_latency_ratio[attempt.class].max(0.001)).clamp(0.05, 8.0);
                update_baseline(&mut server.slowdown, slowdown);
                self.fleet_load.record_answer(&mut server.reported, load, slowdown);
            }
            _ => server.last_answer_at = now,
        }
        // A rejection is not a failure: a full server is not ejected, but only sent less.
        let at_fault = match outcome {
            Outcome::ServerError => Some(class_record),
            Outcome::ConnectFailed | Outcome::ConnectionReset => Some(WHOLE_SERVER),
            _ => None,
        };
        let is_evidence = at_fault.is_some() || outcome == Outcome::Success;
        for record in [WHOLE_SERVER, class_record].into_iter().filter(|_| is_evidence) {
            // An error of a class does not reset the consecutive failures of the machine, and a broken
            // connection does not reset those of the class: only a success does. A success that is recorded
            // when an answer begins does not either, since that connection may still break.
            let (failed, health) = (at_fault == Some(record), &mut server.health[record]);
            let new_failures = if failed && outcome == Outcome::ConnectFailed {
                EJECTION_FAILURES
            } else {
                u32::from(failed)
            };
            let clears_failures =
                outcome == Outcome::Success && attempt.stage != AttemptStage::StreamingAnswer;
            health.consecutive_failures =
                if clears_failures { 0 } else { health.consecutive_failures + new_failures };
            health.failure_rate += FAILURE_RATE_GAIN * (f64::from(u8::from(failed)) - health.failure_rate);
        }
        if latency_ratio > 0.0 {
            let latency_increase =
                (latency_ratio / self.class_latency_ratio[attempt.class].max(0.001)).min(8.0);
            self.congestion += FAILURE_RATE_GAIN * (latency_increase - self.congestion);
            if self.congestion > CONGESTION_THRESHOLD {
                self.total_limit = (self.total_limit * TOTAL_LIMIT_CUT).max(1.0);
            } else if total_in_flight + 1.0 >= self.total_limit {
                self.total_limit *= TOTAL_LIMIT_GROWTH;
            }
            server.mean_latency_ratio = if server.mean_latency_ratio == 0.0 {
                latency_ratio
            } else {
                server.mean_latency_ratio + LATENCY_GAIN * (latency_ratio - server.mean_latency_ratio)
            };
            let overshoot = (server.mean_latency_ratio / TARGET_LATENCY_RATIO - 1.0).min(2.0);
            let factor = if latency_ratio >= 1.0 {
                LIMIT_LATE_FACTOR
            } else {
                1.0 - LIMIT_SHRINK * overshoot.max(0.0)
            };
            server.limit = (server.limit * factor).max(1.0);
            if overshoot <= 0.0
                && latency_ratio < 1.0
                && f64::from(server.in_flight) + 1.0 >= (0.7 * server.limit).floor()
            {
                server.limit += LIMIT_GROWTH / server.limit.max(1.0);
            }
        }
        if let Some(record) = attempt.half_open_record {
            // An error proves that the machine answers; it counts only against the class.
            let machine_answered = outcome == Outcome::ServerError && record == WHOLE_SERVER;
            if (outcome == Outcome::Success || machine_answered) && latency_ratio < 1.0 {
                server.health[record].ejection = None;
                server.health[record].consecutive_failures = 0;
                (server.mean_latency_ratio, server.slowdown) = (latency_ratio, 1.0);
            } else if let Some(ejection) = &mut server.health[record].ejection {
                ejection.pause = (ejection.pause * 2.0).min(HALF_OPEN_PAUSE_MAX);
                ejection.half_open_at = now + ejection.pause;
            }
            if !machine_answered {
                return;
            }
        }
        if let Some(record) = at_fault.filter(|&record| self.is_outlier(attempt.server, record)) {
            self.eject(now, attempt.server, record, ["failing", "failing one class"][record.min(1)], actions);
        }
    }

    /// Takes in a server's load report, if one came.
    fn read_report(&mut self, now: Time, server: usize, report: Option<Vec<f64>>) {
        let Some(report) = report else { return };
        let word = LoadReport::parse(&self.settings.report_fields, &report);
        let usual_ms = self.usual_answer_ms(0);
        let s = &mut self.servers[server];
        self.fleet_load.record_report(now, &mut s.reported, &word, f64::from(s.in_flight), usual_ms);
    }

    // ---- server list and timers --------------------------------------------------------------------

    /// The mean pause before the list is polled. Balancers that start together spread their first polls over
    /// 2.8 times this.
    fn list_poll_delay(&self, min_delay: Span) -> Span {
        let stagger = LIST_POLL_PAUSE_PER_BALANCER * f64::from(self.settings.balancers.saturating_sub(1));
        min_delay.max(stagger).min(self.settings.list_refresh_interval * 0.25).min(LIST_POLL_PAUSE_MAX)
    }

    /// Takes in news of the server list.
    fn update_list(&mut self, now: Time, update: ListUpdate, actions: &mut Vec<Action>) {
        let (lines, is_complete) = match update {
            ListUpdate::Failed => {
                let pause = self.list_poll_delay(self.list_poll_pause);
                (self.next_list_poll, self.list_poll_pause) =
                    (Some(now + pause * (0.5 + self.rng.f64())), pause * 2.0);
                return;
            }
            ListUpdate::Changes(lines) => (lines, false),
            ListUpdate::Complete(lines) | ListUpdate::Saved(lines) => (lines, true),
        };
        self.list_poll_pause = LIST_POLL_PAUSE_FIRST;
        let classes = self.settings.classes.len();
        if is_complete {
            for server in &mut self.servers {
                server.listed.status = Status::Gone;
            }
        }
        for line in lines {
            let id = line.server;
            match self.server_index.get(&id) {
                Some(&i) => {
                    let server = &mut self.servers[i];
                    if line.started.is_some() && line.started != server.listed.started {
                        // A new process has started: what was learned about the old one no longer holds, and
                        // the server is cold.
                        let (in_flight, stalled) = (server.in_flight, server.stalled);
                        let incarnation = server.incarnation + 1;
                        *server =
                            Server { in_flight, stalled, incarnation, ..Server::new(line, now, classes) };
                    } else {
                        server.listed = line;
                    }
                }
                None => {
                    let index = self.free_indices.pop().unwrap_or(self.servers.len());
                    self.server_index.insert(id, index);
                    self.servers.resize_with(self.servers.len().max(index + 1), Server::default);
                    self.servers[index] = Server::new(line, now, classes);
                }
            }
        }
        for server in &mut self.servers {
            let gone = server.listed.status == Status::Gone;
            server.left_at = gone.then(|| server.left_at.unwrap_or(now));
        }
        let servers = &self.servers;
        self.serving = (0..servers.len()).filter(|&i| servers[i].listed.status == Status::Serving).collect();
        self.remembered = self.remembered.filter(|&m| servers[m].listed.status == Status::Serving);
        self.refill_subset(now);
        self.dispatch_pending(now, actions);
    }

    /// Removes servers that have left for longer than `Settings::drain_grace` and have nothing outstanding.
    /// Otherwise ever new server names would fill the memory and slow down each pass over the servers. A
    /// server that is listed again starts afresh.
    fn forget_departed_servers(&mut self, now: Time) {
        let has_left = |s: &Server| s.left_at.is_some_and(|at| now.since(at) > self.settings.drain_grace);
        let is_in_use = |i: usize| {
            self.servers[i].probe_sent_at.is_some() || self.in_flight_attempts.values().any(|f| f.server == i)
        };
        let is_done = |&i: &usize| has_left(&self.servers[i]) && !is_in_use(i);
        let dropped: Vec<usize> = self.server_index.values().copied().filter(is_done).collect();
        if dropped.is_empty() {
            return;
        }
        self.server_index.retain(|_, i| !dropped.contains(i));
        self.key_affinity.retain(|_, i| !dropped.contains(i));
        self.free_indices.extend(dropped);
    }

    /// Sets the timer for the next tick.
    fn set_tick(&mut self, now: Time, after: Span, actions: &mut Vec<Action>) {
        self.next_tick = now + after;
        actions.push(Action::SetTimer { at: self.next_tick, timer: TICK_TIMER });
    }

    /// Does the periodic work.
    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        // A balancer that knows no servers polls at once, unless a poll has failed already.
        if self.next_list_poll.is_some_and(|at| {
            now >= at || self.server_index.is_empty() && self.list_poll_pause == LIST_POLL_PAUSE_FIRST
        }) {
            self.next_list_poll = None;
            actions.push(Action::SubscribeList { active: true });
        }
        self.forget_departed_servers(now);
        self.refill_subset(now);
        self.find_silent_servers(now, actions);
        self.dispatch_pending(now, actions);
        self.set_tick(
            now,
            if self.pending.is_empty() { TICK_PERIOD_IDLE } else { TICK_PERIOD_BUSY },
            actions,
        );
    }
}
