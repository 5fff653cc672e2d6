//! Every decision of the balancer; its interface (settings, events, actions) is in `src/api.rs`.
//!
//! In the order of a request's life: `arrive` takes it in, `place` decides whether and where it goes,
//! `lawful` what may still be done, `outcome` learns and decides what follows, `end` answers; `tick`.
//!
//! One law holds for few balancers and for many: a server's load is what this one has there and what the
//! others have by its reports (`src/told.rs`), and a request may go where that leaves its answer in time, the
//! fuller the more it is worth. Where few send, their own counts carry it; where many do, the reports.

use crate::api::*;
use crate::told::{lean, Hearsay, Told, Word};
use std::collections::BTreeMap;

mod long_requests;
mod shutdown;

/// Fresh draws of each pick, beside the one server that is remembered; the paper asks for one at the least.
const DRAWS: usize = 3;
/// Fresh draws come from a circle of as many servers as own requests reach in this many seconds, or of the
/// least: of more, one balancer of many knows too little, and together they hold too many connections.
const CIRCLE_S: f64 = 1.0;
const CIRCLE_LEAST: usize = 16;
/// One draw of so many comes from all that serve, so that the circle goes round.
const WIDE_DRAW: u32 = 48;
/// Tries for each fresh draw to hit a server that is open; after that the whole list is gone through.
const DRAW_TRIES: usize = 8;
/// What a server told lately needs no probe; a request that knows of none of its candidates has them probed.
/// Where probes cost more than this price, older knowledge will do, by as much.
const KNOWN: Span = Span(400_000);
const KNOWN_PRICE: f64 = 0.01;
/// The share of its aim that a request may wait for the probes of its candidates.
const LOOK: f64 = 0.08;
/// Load that a probe still out stands for when the look is over, and one that failed or was turned away.
const PROBE_OUT: f64 = 2.0;
const PROBE_FAILED: f64 = 8.0;
/// Weight of a new answer in a server's pace: about the last eight answers count.
const PACE_GAIN: f64 = 0.12;
/// Failures in a row that make a server suspect, and how seldom as many come by chance from others.
const FAILURES: u32 = 2;
const FAILURES_CHANCE: f64 = 0.002;
/// Weight of a new answer in a server's share of failures.
const FAILING_GAIN: f64 = 0.05;
/// Answers are held to get lost past this share of attempts that end so though others have overtaken them.
const LOST: f64 = 0.15;
const LOST_GAIN: f64 = 0.04;
const LOST_FADE: f64 = 0.01;
/// An attempt is overdue at this multiple of its class's pace, and of its aim: all of it if it is alone.
const OVERDUE: f64 = 4.0;
const OVERDUE_LEAST: f64 = 0.7;
/// At most this share of the serving fleet is suspect; beyond it the trouble is not the servers'.
const SUSPECT_SHARE: f64 = 0.75;
/// First and longest pause between two trials of a suspect server.
const TRIAL_FIRST: Span = Span(250_000);
const TRIAL_MOST: Span = Span(4_000_000);
/// What a request earns of a trial; at most one is saved: many suspects must not use up what is asked for.
const TRIAL_EARN: f64 = 0.03;
/// The share of its aim that an answer should take: over it a server's limit shrinks, under it it grows.
const TARGET: f64 = 0.25;
/// A server in another zone weighs this much more for each 1% that crossing costs, and less than one request.
const AWAY: f64 = 0.25;
const AWAY_MOST: f64 = 1.8;
/// A key's last server weighs this much where keys run warm: it wins unless it holds clearly more.
const WARM: f64 = 0.7;
/// Keys remembered; past that all are forgotten, which costs each of them one cold run.
const KEYS_MOST: usize = 10_000;
/// Loads that differ by less than this (as a logarithm) are alike: a quarter is well within chance.
const ALIKE: f64 = 0.25;
/// By what servers tell, one is full for the requests of most worth where their answers would come at this
/// multiple of their aim; and by this much earlier for each e-fold less of worth, so that what is worth least
/// is shed first. Between classes only the root of their worth counts: the class served worst counts too.
const FULL: f64 = 0.9;
const FULL_LESS: f64 = 0.25;
/// ... but never so early that a server with nothing to do is full.
const FULL_LEAST: f64 = 1.5;
/// What an answer past its aim leaves of a server's limit.
const LATE_CUT: f64 = 0.85;
/// A limit in full use grows by this much in the time that it takes to use it once.
const GROWTH: f64 = 0.1;
/// And shrinks by this much of its overshoot an answer; 0.04 and 0.08 cost more than they save.
const SHRINK: f64 = 0.02;
/// Own requests in flight that a server is first thought to bear.
const LIMIT_FIRST: f64 = 2.0;
/// Where servers tell nothing, answers that take this multiple of their usual time say that many crowd them:
/// with each, what may be out in all shrinks, and else grows where it is used up.
const CROWD: f64 = 2.0;
const ROOM_CUT: f64 = 0.95;
const ROOM_GROWTH: f64 = 1.02;
/// Each request earns this much of a further attempt, saved up to the burst. One after a break costs less
/// than one after a full server or a wait, which load brings about; one that was not sent gave no work.
const RETRY_EARN: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
const RETRY_BROKEN: f64 = 0.4;
const RETRY_UNSENT: f64 = 0.05;
/// How often the balancer looks around when it holds requests, and when it does not.
const TICK_BUSY: Span = Span(10_000);
const TICK_IDLE: Span = Span(50_000);
/// Votes that a class's usual wait can gather; a new habit of the clients is believed after as many.
const VOTES_MOST: u32 = 50;
/// A held request must have this multiple of its class's present answer time left, or this share of its aim.
const WAIT_MARGIN: f64 = 2.0;
const WAIT_MOST: f64 = 0.7;
/// Traffic is counted over about this many milliseconds.
const COUNT_MS: f64 = 3000.0;
/// A tenant is over its share at this multiple of its fraction; usage wobbles without anyone flooding.
const SHARE_SLACK: f64 = 1.4;
/// Longest local queue, in requests.
const HELD_MOST: usize = 500;
/// Pause before the list is asked for again, doubled on each failure; what each other balancer adds; and the
/// longest: one and a half of it, 2.5 s of a call that hangs and 1.4 s of the next are the 6 s of news.
const ASK_AGAIN: Span = Span(200_000);
const ASK_APART: Span = Span(40_000);
const ASK_LONGEST: Span = Span(1_400_000);

const TICK: TimerId = TimerId(0);
const LOOKED: TimerId = TimerId(1);

/// Where a request may still go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    Nowhere,
    Anywhere,
    Zone(ZoneId),
    Cell(CellId),
}

struct Attempt {
    server: usize,
    zone: ZoneId,
    cell: CellId,
    sent: Time,
    /// How it ended, unless it is out.
    ended: Option<Outcome>,
}

/// An accepted request; it goes when it has its final answer.
struct Live {
    request: Request,
    deadline: Time,
    /// After this an answer is worth nothing more, or less.
    wanted_by: Time,
    attempts: Vec<Attempt>,
    bound: bool,
    /// Its tenant had its share already; worth little if that is so.
    over_share: bool,
    /// How often candidates were drawn for it.
    picks: u32,
}

/// What a request asks of a server now, reckoned once for all servers that are looked at for it.
#[derive(Clone, Copy)]
struct Ask {
    reach: Reach,
    class: usize,
    /// A server where requests take longer than this multiple of their usual time is full for it.
    stretch: f64,
}

/// A request whose candidates are being probed, and how long it waits for them.
struct Look {
    request: RequestId,
    candidates: Vec<usize>,
    until: Time,
}

/// An attempt that has not ended; it outlives its request if that ends first.
struct Flight {
    server: usize,
    class: usize,
    sent: Time,
    /// The record of its server that it is to clear.
    trial: Option<usize>,
    /// Its answer is held for lost. A place kept for it to a deadline far off would shut its server.
    stuck: bool,
    stage: Stage,
}

/// How far an attempt has come. Only while its server works on it does it hold a place there.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Coming,
    Out,
    Begun,
}

struct Suspicion {
    /// Never, while one is out; a request that is still coming may take long.
    next_trial: Time,
    pause: Span,
}

/// What a server's answers say of it, as a whole or for one class.
#[derive(Default)]
struct Record {
    /// Failures in a row.
    failures: u32,
    /// Smoothed share of its answers that are failures.
    failing: f64,
    suspicion: Option<Suspicion>,
}

/// The place of the record of a server as a whole; that of class c stands at c + 1.
const WHOLE: usize = 0;

#[derive(Default)]
struct Server {
    listed: Listed,
    in_flight: u32,
    /// Of those, the ones whose answers are held for lost.
    stuck: u32,
    /// Answer time over its class's usual, leaning to the quick ones: how slow the machine itself is.
    stretch: f64,
    /// Smoothed answer time as a share of the class's aim.
    pace: f64,
    last_answer: Time,
    /// When the newest of its answered attempts was sent: what was sent before that has been overtaken.
    overtaken: Time,
    /// Own requests that it may hold.
    limit: f64,
    /// A broken connection or silence is the machine's fault; an error may be that of one class there.
    records: Vec<Record>,
    told: Told,
    /// When the probe that is out was sent.
    probed_at: Option<Time>,
    /// When the list first said that it has left.
    gone_at: Option<Time>,
}

impl Server {
    fn new(listed: Listed, now: Time, classes: usize) -> Self {
        Server {
            listed,
            stretch: 1.0,
            last_answer: now,
            limit: LIMIT_FIRST,
            records: (0..=classes).map(|_| Record::default()).collect(),
            ..Server::default()
        }
    }

    /// Why it is not sent requests of a class, if it is not.
    fn doubt(&self, class: usize) -> Option<&Suspicion> {
        self.records[WHOLE].suspicion.as_ref().or(self.records[class + 1].suspicion.as_ref())
    }
}

/// The decisions of one client process about where, when and how often its requests are sent.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// Those in `index`, and places of dropped ones that wait for others.
    servers: Vec<Server>,
    index: BTreeMap<ServerId, usize>,
    free: Vec<usize>,
    /// Those that the list says are serving.
    serving: Vec<usize>,
    live: BTreeMap<RequestId, Live>,
    flights: BTreeMap<(RequestId, u32), Flight>,
    /// Newest first within each rank.
    held: Vec<RequestId>,
    looking: Vec<Look>,
    memory: Option<usize>,
    /// Those that fresh draws come from.
    circle: Vec<usize>,
    /// The server that each key was last sent to, where servers do known keys for less.
    warm: BTreeMap<KeyId, usize>,
    /// Answer time of a class as a share of its aim, leaning to the quick: a crowd is not usual.
    class_pace: Vec<f64>,
    /// The wait that most requests of a class come with, that of a first try, and the votes for it.
    usual_wait: Vec<(Span, u32)>,
    /// Traffic of the last seconds by tenant.
    tenant_asked: Vec<f64>,
    counted_at: Time,
    retries: f64,
    trials: f64,
    hearsay: Hearsay,
    /// How far answers get lost; see [`LOST`].
    lost: f64,
    /// How much longer than usual answers take, and what may be out in all for that; see [`CROWD`].
    crowd: f64,
    room: f64,
    ask_pause: Span,
    ask_at: Option<Time>,
    tick_at: Time,
    /// No request is decided to a later deadline than this; set when the process ends.
    answers_by: Time,
}

impl Balancer {
    /// A balancer for these settings; equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            index: BTreeMap::new(),
            free: Vec::new(),
            serving: Vec::new(),
            live: BTreeMap::new(),
            flights: BTreeMap::new(),
            held: Vec::new(),
            looking: Vec::new(),
            memory: None,
            circle: Vec::new(),
            warm: BTreeMap::new(),
            class_pace: vec![0.2; settings.classes.len()],
            usual_wait: vec![(Span::ZERO, 0); settings.classes.len()],
            tenant_asked: vec![0.0; settings.tenants.len()],
            counted_at: Time(0),
            retries: RETRY_BURST,
            trials: 1.0,
            hearsay: Hearsay::default(),
            lost: 0.0,
            crowd: 1.0,
            room: LIMIT_FIRST * CIRCLE_LEAST as f64,
            ask_pause: ASK_AGAIN,
            ask_at: None,
            tick_at: Time(0),
            answers_by: Time(u64::MAX),
            settings,
        })
    }

    /// To be called once, before the first event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.settings.discovery == Discovery::OnRequest {
            self.ask_at = Some(now + self.pause_to_ask(Span::ZERO) * (2.8 * self.rng.f64()));
        }
        self.set_tick(now, TICK_IDLE, out);
    }

    /// Takes in what has happened by `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request(request) => self.arrive(now, request, out),
            Event::Bound { request, attempt } => self.bind(request, attempt),
            Event::Whole { request } => self.whole(now, request),
            Event::FirstByte { request, attempt } => self.begin(now, request, attempt, out),
            Event::Outcome { .. } => self.outcome(now, event, out),
            Event::ClientGone { request } => drop(self.live.remove(&request)),
            Event::Shutdown { answers_by } => self.shut_down(now, answers_by, out),
            Event::Balancers(number) => self.settings.balancers = number.max(1),
            Event::Timer(TICK) => self.tick(now, out),
            Event::Timer(LOOKED) => self.settle(now, |look| look.until <= now, out),
            Event::Timer(_) | Event::PeerMessage { .. } => {}
            Event::Probed { .. } => self.probed(now, event, out),
            Event::List(update) => self.list(now, update, out),
        }
    }

    // ---- a request comes in -------------------------------------------------------------------------

    fn arrive(&mut self, now: Time, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class.0) else {
            out.push(Action::Refuse { request: id, retry_after: None, reason: Reason::NoSuchClass });
            return;
        };
        if self.live.contains_key(&id) {
            return;
        }
        // First tries of a class wait alike; another wait is what earlier tries have left of the deadline.
        let period = self.settings.period;
        let (usual, votes) = &mut self.usual_wait[request.class.0];
        let near = request.time_left.less(*usual) <= period && usual.less(request.time_left) <= period;
        let alike = near || *votes == 0;
        match *votes {
            0 => (*usual, *votes) = (request.time_left, 1),
            _ if alike => *votes = (*votes + 1).min(VOTES_MOST),
            _ => *votes -= 1,
        }
        let spent = if alike { Span::ZERO } else { class.deadline.less(request.time_left) };
        let deadline = (now + request.time_left).min(self.answers_by);
        let wanted_by = (now + class.aim.less(spent)).min(deadline);
        let over_share = self.over_share(now, &request);
        let (attempts, bound, picks) = (Vec::new(), false, 0);
        let live = Live { request, deadline, wanted_by, attempts, bound, over_share, picks };
        let hopeless = self.hopeless(now, &live);
        self.live.insert(id, live);
        self.retries = (self.retries + RETRY_EARN).min(RETRY_BURST);
        self.trials = (self.trials + TRIAL_EARN).min(1.0);
        if hopeless {
            self.end(now, id, Reason::TooLate, out);
        } else if !self.place(now, id, out) {
            self.hold(now, id, out);
        }
    }

    /// Counts a request by its tenant; what one takes past its fraction of own traffic is over its share.
    fn over_share(&mut self, now: Time, request: &Request) -> bool {
        let keep = (-now.since(self.counted_at).ms() / COUNT_MS).exp();
        self.counted_at = now;
        self.tenant_asked.iter_mut().for_each(|n| *n *= keep);
        let Some(tenant) = request.tenant.filter(|t| t.0 < self.tenant_asked.len()) else { return false };
        self.tenant_asked[tenant.0] += 1.0;
        let all: f64 = self.tenant_asked.iter().sum();
        let fair = SHARE_SLACK * self.settings.tenants[tenant.0].fraction * all;
        self.settings.over_share_worth < 1.0 && self.rng.f64() * self.tenant_asked[tenant.0] > fair.max(1.0)
    }

    /// Sent now, it would not be answered while that is worth something.
    fn hopeless(&self, now: Time, live: &Live) -> bool {
        let c = &self.settings.classes[live.request.class.0];
        let soon = c.aim * (0.7 * self.class_pace[live.request.class.0]);
        now + soon >= if c.late_worth > 0.0 { live.deadline } else { live.wanted_by }
    }

    /// Keeps a request for later, or ends it if that is hopeless.
    fn hold(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if self.held.len() >= HELD_MOST {
            self.end(now, id, Reason::QueueFull, out);
            return;
        }
        self.held.insert(0, id);
        // A tick that is due is never put off, or requests held at each would starve it.
        if self.tick_at > now + TICK_BUSY {
            self.set_tick(now, TICK_BUSY, out);
        }
    }

    /// Where it may go, until when, and if a refusal would be true; all of "no effect happens twice" is here.
    fn lawful(&self, live: &Live, now: Time) -> (Reach, Time, bool) {
        let class = &self.settings.classes[live.request.class.0];
        let out = live.attempts.iter().any(|a| a.ended.is_none());
        let first = live.attempts.iter().find(|a| !a.ended.is_some_and(Outcome::never_ran));
        let full = live.attempts.len() >= self.settings.max_attempts as usize;
        let begin_by = match (first, class.effect) {
            (Some(first), Effect::Deduplicated { window, .. }) => live.deadline.min(first.sent + window),
            _ => live.deadline,
        };
        let shut = full || live.bound || now >= begin_by || (out && !self.settings.second_copies);
        let send = match (first, class.effect) {
            _ if shut => Reach::Nowhere,
            (None, _) | (_, Effect::Idempotent) => Reach::Anywhere,
            (Some(_), Effect::AtMostOnce) => Reach::Nowhere,
            (Some(first), Effect::Deduplicated { group, .. }) => match group {
                Group::All => Reach::Anywhere,
                Group::Zone => Reach::Zone(first.zone),
                Group::Cell => Reach::Cell(first.cell),
            },
        };
        let alike =
            matches!(class.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. });
        (send, begin_by, (first.is_none() || alike) && !live.bound)
    }

    // ---- the pick -----------------------------------------------------------------------------------

    /// Sends a request to the lightest of drawn candidates, perhaps after a look; false if none is open.
    fn place(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
        if !self.live.contains_key(&id) {
            return true;
        }
        let candidates = self.candidates(now, id);
        self.look(now, id, &candidates, out) || self.choose(now, id, &candidates, out)
    }

    /// Has the candidates of a request probed, if it can wait for that and nothing has been heard of any of
    /// them lately: one balancer of many hears little, and all together would place their requests blindly.
    fn look(&mut self, now: Time, id: RequestId, candidates: &[usize], out: &mut Vec<Action>) -> bool {
        let live = &self.live[&id];
        let until = now + self.settings.classes[live.request.class.0].aim * LOOK;
        let known = KNOWN * (self.settings.prices.probe / KNOWN_PRICE).max(1.0);
        let blind = candidates.iter().all(|&c| !self.servers[c].told.is_fresh(now, known));
        let may = self.settings.probes && live.picks == 1 && until < live.deadline;
        if !may || !blind || candidates.is_empty() {
            return false;
        }
        for &c in candidates {
            if self.servers[c].probed_at.is_none() {
                self.servers[c].probed_at = Some(now);
                out.push(Action::Probe { server: self.servers[c].listed.server });
            }
        }
        self.looking.push(Look { request: id, candidates: candidates.to_vec(), until });
        out.push(Action::SetTimer { at: until, timer: LOOKED });
        true
    }

    /// Sends the requests whose look is over to the lightest of their candidates, by what is known now.
    fn settle(&mut self, now: Time, over: impl Fn(&Look) -> bool, out: &mut Vec<Action>) {
        let (over, looking): (Vec<_>, Vec<_>) = std::mem::take(&mut self.looking).into_iter().partition(over);
        self.looking = looking;
        for Look { request, mut candidates, .. } in over {
            if !self.live.contains_key(&request) {
                continue;
            }
            // One whose probe is still out steps back if another has answered.
            let heard = candidates.iter().any(|&c| self.servers[c].probed_at.is_none());
            let told = |c: usize| !heard || self.servers[c].probed_at.is_none();
            let ask = self.ask(now, &self.live[&request]);
            candidates.retain(|&c| told(c) && self.open_to(now, &ask, c));
            if !self.choose(now, request, &candidates, out) {
                self.hold(now, request, out);
            }
        }
    }

    /// Sends a request to the lightest of these; false if there is none.
    fn choose(&mut self, now: Time, id: RequestId, candidates: &[usize], out: &mut Vec<Action>) -> bool {
        let Some(server) = self.lightest(now, id, candidates) else { return false };
        let request = &self.live[&id].request;
        let (class, key) = (request.class.0, request.key.filter(|_| self.settings.warm_keys));
        self.remember(server, key);
        self.send(now, id, class, server, out);
        true
    }

    /// What others have at a server. A cold one is not as full as the rest: it would stand idle for that.
    fn others(&self, now: Time, s: &Server) -> f64 {
        self.hearsay.others(now, &s.told, self.warmth(s, now) >= 1.0)
    }

    /// All that a server holds, by own counts and by what it has told.
    fn load(&self, now: Time, server: usize) -> f64 {
        let s = &self.servers[server];
        f64::from(s.in_flight) + self.others(now, s)
    }

    /// Own requests that servers work on.
    fn at_work(&self) -> f64 {
        self.serving.iter().map(|&i| f64::from(self.servers[i].in_flight)).sum()
    }

    /// Whether one more request at a server would be answered in time, and leave room for what is worth more.
    fn has_told_room(&self, now: Time, server: usize, stretch: f64) -> bool {
        let s = &self.servers[server];
        let Some(breadth) = self.hearsay.breadth(&s.told) else { return true };
        self.load(now, server) + 1.0 < (stretch * breadth).max(FULL_LEAST) * self.warmth(s, now)
    }

    /// What a request asks of a server: the more it is worth for its work, the fuller that may be.
    fn ask(&self, now: Time, live: &Live) -> Ask {
        let (classes, class) = (&self.settings.classes, live.request.class.0);
        let most = (0..classes.len()).map(|c| self.worth(c)).fold(f64::MIN_POSITIVE, f64::max);
        let over = if live.over_share { self.settings.over_share_worth } else { 1.0 };
        let part = ((self.worth(class) / most).powf(0.4) * over).clamp(1e-3, 1.0);
        let weight = self.hearsay.of_others(now, self.serving.len(), self.settings.balancers);
        let full = FULL / weight * (1.0 + FULL_LESS * part.ln());
        let stretch = full.max(0.0) * classes[class].aim.ms() / self.usual(class);
        Ask { reach: self.lawful(live, now).0, class, stretch }
    }

    /// What a probe says of a server's load: its report or, without one, the time that it had to wait there.
    fn probed(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Probed { server, outcome, elapsed, report } = event else { return };
        let Some(&server) = self.index.get(&server) else { return };
        self.read_report(now, server, report);
        let usual = (0..self.settings.classes.len()).map(|c| self.usual(c)).fold(f64::INFINITY, f64::min);
        let s = &mut self.servers[server];
        s.probed_at = None;
        if outcome != Outcome::Success {
            s.told.guess(now, PROBE_FAILED);
        } else if !s.told.is_fresh(now, Span(1)) {
            s.told.guess(now, elapsed.ms() / usual);
        }
        let out_still = |&c: &usize| self.servers[c].probed_at.is_some();
        let over = |l: &&Look| l.candidates.contains(&server) && !l.candidates.iter().any(out_still);
        let done: Vec<RequestId> = self.looking.iter().filter(over).map(|l| l.request).collect();
        self.settle(now, |look| done.contains(&look.request), out);
    }

    /// The remembered servers that are open to a request, and fresh draws; one that it has tried comes last.
    fn candidates(&mut self, now: Time, id: RequestId) -> Vec<usize> {
        let room = self.settings.report_source != ReportSource::None || self.at_work() < self.room;
        let Some(live) = self.live.get_mut(&id).filter(|_| room) else { return Vec::new() };
        live.picks += 1;
        let first = live.picks == 1;
        let tries: Vec<usize> = live.attempts.iter().map(|a| a.server).collect();
        let warm = live.request.key.and_then(|k| self.warm.get(&k));
        let ask = self.ask(now, &self.live[&id]);
        let mut candidates: Vec<usize> = self.memory.iter().chain(warm).copied().collect();
        candidates.retain(|&i| !tries.contains(&i) && !self.is_cold(now, i) && self.open_to(now, &ask, i));
        let all = candidates.len() + DRAWS;
        let all_cold = self.serving.iter().all(|&i| self.is_cold(now, i));
        for _ in 0..DRAWS {
            let from = if self.rng.u32(0..WIDE_DRAW) == 0 { &self.serving } else { &self.circle };
            for turn in 0..DRAW_TRIES.min(from.len()) {
                let i = from[self.rng.usize(0..from.len())];
                // All balancers together must not push a cold server over: even if it wins every pick it is
                // drawn for, it gets half of what the rule allows. What waits has no second roll.
                let warmth = self.warmth(&self.servers[i], now);
                let chance = 0.5 * self.settings.overload_factor * warmth / DRAWS as f64;
                let shut = warmth < 1.0 && (!first || turn > 0 || self.rng.f64() >= chance);
                if !shut && !tries.contains(&i) && self.open_to(now, &ask, i) {
                    candidates.push(i);
                    break;
                }
            }
        }
        if candidates.len() < all {
            let open = self.serving.iter().copied().filter(|&i| self.open_to(now, &ask, i));
            let (again, fresh): (Vec<_>, Vec<_>) = open.partition(|i| tries.contains(i));
            let mut pool = if fresh.is_empty() && candidates.is_empty() { again } else { fresh };
            pool.retain(|&i| all_cold || !self.is_cold(now, i));
            for _ in 0..(all - candidates.len()).min(pool.len()) {
                candidates.push(pool[self.rng.usize(0..pool.len())]);
            }
        }
        // Cold ones do not stand in for full warm ones: they would get all that those cannot take.
        if !all_cold && candidates.iter().all(|&i| self.is_cold(now, i)) {
            candidates.clear();
        }
        candidates
    }

    /// Whether a server may be sent a request now: by rules, list, room and suspicion.
    fn open_to(&self, now: Time, ask: &Ask, server: usize) -> bool {
        let s = &self.servers[server];
        let lawful = match ask.reach {
            Reach::Nowhere => false,
            Reach::Anywhere => true,
            Reach::Zone(zone) => s.listed.zone == zone,
            Reach::Cell(cell) => s.listed.cell == cell,
        };
        lawful
            && s.listed.status == Status::Serving
            && f64::from(s.in_flight - s.stuck) < (s.limit * self.warmth(s, now)).max(1.0)
            && s.doubt(ask.class).is_none_or(|q| now >= q.next_trial && self.trials >= 1.0)
            && self.has_told_room(now, server, ask.stretch)
    }

    /// The candidate with the least load, scaled by a slow machine, a priced crossing, an unknown key.
    fn lightest(&mut self, now: Time, id: RequestId, candidates: &[usize]) -> Option<usize> {
        let live = &self.live[&id];
        let class = live.request.class.0;
        let warm = live.request.key.and_then(|k| self.warm.get(&k)).copied();
        let heavy = (self.work(live) / self.usual(class)).clamp(1.0, 9.0).sqrt();
        let weight = self.hearsay.of_others(now, self.serving.len(), self.settings.balancers);
        let coins: Vec<u32> = candidates.iter().map(|_| self.rng.u32(..)).collect();
        let away = (1.0 + 100.0 * AWAY * self.settings.prices.cross_zone).clamp(1.0, AWAY_MOST);
        let key = |c: usize, coin: u32| {
            let s = &self.servers[c];
            let far = if s.listed.zone == self.settings.zone { 1.0 } else { away };
            let gain = if warm == Some(c) { WARM } else { 1.0 };
            // A suspect drawn for its trial goes first: by its own record it would never be tried.
            let out = if s.probed_at.is_some() { PROBE_OUT } else { 0.0 };
            let load = (f64::from(s.in_flight) + weight * self.others(now, s)).max(out);
            let count = if s.doubt(class).is_some() { 0.0 } else { load + 1.0 };
            let load = (count * far * (s.stretch * gain).powf(0.5 * heavy)).ln();
            ((load / ALIKE).round() as i32, coin)
        };
        candidates.iter().zip(coins).min_by_key(|&(&c, coin)| key(c, coin)).map(|(&c, _)| c)
    }

    fn remember(&mut self, server: usize, key: Option<KeyId>) {
        if let Some(key) = key {
            if self.warm.len() >= KEYS_MOST {
                self.warm.clear();
            }
            self.warm.insert(key, server);
        }
        self.memory = Some(server);
        let sound = self.servers[server].records[WHOLE].suspicion.is_none();
        if sound && !self.circle.is_empty() && !self.circle.contains(&server) {
            let place = self.rng.usize(0..self.circle.len());
            self.circle[place] = server;
        }
    }

    /// Holds the circle to its size and to servers that serve; newcomers are drawn uniformly, suspects last.
    fn close_circle(&mut self, now: Time) {
        let servers = &self.servers;
        let fit = |i: usize| servers[i].records[WHOLE].suspicion.is_none();
        let size = ((self.hearsay.own_rate(now) * CIRCLE_S) as usize).max(CIRCLE_LEAST);
        self.circle.retain(|&i| servers[i].listed.status == Status::Serving && fit(i));
        self.circle.truncate(size + size / 2);
        if self.circle.len() < size.min(self.serving.len()) {
            let mut inside = vec![false; servers.len()];
            self.circle.iter().for_each(|&i| inside[i] = true);
            let mut outside: Vec<usize> = self.serving.iter().copied().filter(|&i| !inside[i]).collect();
            self.rng.shuffle(&mut outside);
            outside.sort_by_key(|&i| !fit(i));
            self.circle.extend(outside.iter().take(size - self.circle.len()));
        }
    }

    fn send(&mut self, now: Time, id: RequestId, class: usize, server: usize, out: &mut Vec<Action>) {
        let begin_by = self.lawful(&self.live[&id], now).1;
        let Some(live) = self.live.get_mut(&id) else { return };
        // No earlier: what is called off goes on at its server, and no count would show it.
        let timeout_at = live.deadline;
        let s = &mut self.servers[server];
        let attempt = live.attempts.len() as u32;
        let Listed { zone, cell, .. } = s.listed;
        live.attempts.push(Attempt { server, zone, cell, sent: now, ended: None });
        let stage = if live.request.coming { Stage::Coming } else { Stage::Out };
        s.in_flight += u32::from(stage == Stage::Out);
        self.hearsay.send(now);
        let trial = [WHOLE, class + 1].into_iter().find(|&r| s.records[r].suspicion.is_some());
        if let Some(q) = trial.and_then(|r| s.records[r].suspicion.as_mut()) {
            q.next_trial = if stage == Stage::Out { Time(u64::MAX) } else { now + q.pause };
            self.trials -= 1.0;
        }
        self.flights.insert((id, attempt), Flight { server, class, sent: now, trial, stuck: false, stage });
        out.push(Action::Send { request: id, server: s.listed.server, begin_by, timeout_at });
    }

    /// The share of its capacity that a server surely has.
    fn warmth(&self, s: &Server, now: Time) -> f64 {
        let Some(started) = s.listed.started else { return 1.0 };
        let (age, warm) = (now.since(started).ms(), self.settings.warm_after.ms());
        if age >= warm {
            return 1.0;
        }
        let cold = self.settings.cold_share.min(1.0);
        cold + (1.0 - cold) * age / warm
    }

    fn is_cold(&self, now: Time, server: usize) -> bool {
        self.warmth(&self.servers[server], now) < 1.0
    }

    /// What a request of a class is worth for the work that it makes.
    fn worth(&self, class: usize) -> f64 {
        self.settings.classes[class].worth / if self.settings.worth_by_work { 1.0 } else { self.usual(class) }
    }

    /// The usual answer time of a class in milliseconds.
    fn usual(&self, class: usize) -> f64 {
        (self.class_pace[class] * self.settings.classes[class].aim.ms()).max(0.001)
    }

    /// A guess at a request's work: the hint, else the usual answer time of its class.
    fn work(&self, live: &Live) -> f64 {
        live.request.cost_hint.map_or_else(|| self.usual(live.request.class.0), Span::ms)
    }

    // ---- what follows an outcome --------------------------------------------------------------------

    /// An attempt holds no place at its server any more.
    fn land(&mut self, flight: &Flight) {
        self.servers[flight.server].in_flight -= u32::from(flight.stage == Stage::Out);
        self.servers[flight.server].stuck -= u32::from(flight.stuck);
    }

    fn outcome(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { request: id, attempt, outcome, elapsed, report, closed } = event else { return };
        let Some(flight) = self.flights.remove(&(id, attempt.0)) else { return };
        self.land(&flight);
        self.read_report(now, flight.server, report);
        // Of an answer that has begun only a break is news.
        if flight.stage != Stage::Begun || outcome == Outcome::ConnectionReset {
            self.learn(now, &flight, outcome, elapsed, out);
        }
        if closed {
            self.live.remove(&id);
        } else if let Some(live) = self.live.get_mut(&id) {
            live.attempts[attempt.0 as usize].ended = Some(outcome);
            let cost = match outcome {
                Outcome::ConnectFailed => RETRY_UNSENT,
                Outcome::ConnectionReset | Outcome::ServerError => RETRY_BROKEN,
                _ => 1.0,
            };
            self.follow_up(now, id, cost, out);
        }
        self.pump(now, out);
    }

    /// A request still owes its answer after a failure; another attempt costs so much of what is saved up.
    fn follow_up(&mut self, now: Time, id: RequestId, cost: f64, out: &mut Vec<Action>) {
        let live = &self.live[&id];
        if live.attempts.iter().any(|a| a.ended.is_none()) {
            return;
        }
        // What was turned away pays too, or it would go round a fleet of full servers.
        if self.lawful(live, now).0 == Reach::Nowhere {
            self.end(now, id, Reason::NoMoreAllowed, out);
        } else if self.hopeless(now, live) {
            self.end(now, id, Reason::FailedLate, out);
        } else if self.retries < cost {
            self.end(now, id, Reason::RetriesSpent, out);
        } else {
            self.retries -= cost;
            if !self.place(now, id, out) {
                self.hold(now, id, out);
            }
        }
    }

    /// The final answer from here: a refusal if that is true to the client, else a failure.
    fn end(&mut self, now: Time, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&id) else { return };
        if self.lawful(&live, now).2 {
            let usual = Span::from_ms(self.usual(live.request.class.0));
            let advice = if reason == Reason::NobodyOpen { usual.max(TRIAL_FIRST) } else { usual };
            let retry_after = self.settings.retry_after.then_some(advice.min(self.settings.max_retry_after));
            out.push(Action::Refuse { request: id, retry_after, reason });
        } else {
            out.push(Action::Fail { request: id, reason });
        }
    }

    /// Sends what is held and can go, newest first, and ends what can no longer be answered in time: first
    /// come first served would let every request wait until it is nearly too late, and then be late.
    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.held);
        let cheap = |l: &Live| (-1e6 * self.worth(l.request.class.0)) as i64;
        held.sort_by_cached_key(|id| self.live.get(id).map(|l| (l.over_share, cheap(l))));
        held.retain(|&id| {
            let Some(live) = self.live.get(&id) else { return false };
            let class = live.request.class.0;
            let margin = (WAIT_MARGIN * self.class_pace[class]).min(WAIT_MOST);
            if self.hopeless(now, live) || now + self.settings.classes[class].aim * margin >= live.wanted_by {
                let nobody = self.serving.iter().all(|&i| self.servers[i].doubt(class).is_some());
                let reason = if nobody { Reason::NobodyOpen } else { Reason::WaitedOut };
                self.end(now, id, reason, out);
                return false;
            }
            !self.place(now, id, out)
        });
        self.held = held;
    }

    // ---- what is learned of servers -----------------------------------------------------------------

    fn learn(&mut self, now: Time, flight: &Flight, outcome: Outcome, elapsed: Span, out: &mut Vec<Action>) {
        let aim = self.settings.classes[flight.class].aim.ms();
        let (load, at_work) = (self.load(now, flight.server) + 1.0, self.at_work());
        let s = &mut self.servers[flight.server];
        let of_class = flight.class + 1;
        let late = outcome == Outcome::TimedOut || flight.stuck && outcome == Outcome::Cancelled;
        let lost = late && s.overtaken > flight.sent;
        self.lost += if lost { LOST_GAIN * (1.0 - self.lost) } else { -LOST_FADE * self.lost };
        let used = match outcome {
            // Late is late: one costly request must not weigh like ten.
            Outcome::Success => (elapsed.ms() / aim).min(1.0),
            // The server has answered others in its usual time: that this one got lost says nothing of load.
            Outcome::TimedOut | Outcome::Cancelled if flight.stuck => 0.0,
            // Called back is not stopped: the work may still stand in the server's queue.
            Outcome::TimedOut | Outcome::Rejected | Outcome::Cancelled => 1.0,
            _ => 0.0,
        };
        match outcome {
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectFailed => {}
            Outcome::Success => {
                s.last_answer = now;
                s.overtaken = s.overtaken.max(flight.sent);
                lean(&mut self.class_pace[flight.class], used);
                let stretch = (used / self.class_pace[flight.class].max(0.001)).clamp(0.05, 8.0);
                lean(&mut s.stretch, stretch);
                self.hearsay.answered(&mut s.told, load, stretch);
            }
            _ => s.last_answer = now,
        }
        // A full server is no sick one: it is only sent less.
        let at_fault = match outcome {
            Outcome::ServerError => Some(of_class),
            Outcome::ConnectFailed | Outcome::ConnectionReset => Some(WHOLE),
            _ => None,
        };
        let tells = at_fault.is_some() || outcome == Outcome::Success;
        for r in [WHOLE, of_class].into_iter().filter(|_| tells) {
            // An error of one class does not clear the machine, nor the other way round.
            let (failed, record) = (at_fault == Some(r), &mut s.records[r]);
            let more = if failed && outcome == Outcome::ConnectFailed { FAILURES } else { u32::from(failed) };
            let whole = outcome == Outcome::Success && flight.stage != Stage::Begun;
            record.failures = if whole { 0 } else { record.failures + more };
            record.failing += FAILING_GAIN * (f64::from(u8::from(failed)) - record.failing);
        }
        if used > 0.0 {
            let crowd = (used / self.class_pace[flight.class].max(0.001)).min(8.0);
            self.crowd += FAILING_GAIN * (crowd - self.crowd);
            if self.crowd > CROWD {
                self.room = (self.room * ROOM_CUT).max(1.0);
            } else if at_work + 1.0 >= self.room {
                self.room *= ROOM_GROWTH;
            }
            s.pace = if s.pace == 0.0 { used } else { s.pace + PACE_GAIN * (used - s.pace) };
            let over = (s.pace / TARGET - 1.0).min(2.0);
            let factor = if used >= 1.0 { LATE_CUT } else { 1.0 - SHRINK * over.max(0.0) };
            s.limit = (s.limit * factor).max(1.0);
            if over <= 0.0 && used < 1.0 && f64::from(s.in_flight) + 1.0 >= (0.7 * s.limit).floor() {
                s.limit += GROWTH / s.limit.max(1.0);
            }
        }
        if let Some(on) = flight.trial {
            // An error clears the machine and counts against the class.
            let heard = outcome == Outcome::ServerError && on == WHOLE;
            if (outcome == Outcome::Success || heard) && used < 1.0 {
                s.records[on].suspicion = None;
                s.records[on].failures = 0;
                (s.pace, s.stretch) = (used, 1.0);
            } else if let Some(q) = &mut s.records[on].suspicion {
                q.pause = (q.pause * 2.0).min(TRIAL_MOST);
                q.next_trial = now + q.pause;
            }
            if !heard {
                return;
            }
        }
        if let Some(r) = at_fault.filter(|&r| self.is_unusual(flight.server, r)) {
            self.suspect(now, flight.server, r, ["failing", "failing one class"][r.min(1)], out);
        }
    }

    /// Whether failures in a row are more than chance would bring from the better servers, left by a cut.
    fn is_unusual(&self, server: usize, r: usize) -> bool {
        let others = self.serving.iter().filter(|&&i| i != server);
        let mut others: Vec<f64> = others.map(|&i| self.servers[i].records[r].failing).collect();
        others.sort_by(f64::total_cmp);
        let usual = others.get(others.len() / 4).copied().unwrap_or(0.0);
        let failures = self.servers[server].records[r].failures;
        failures >= FAILURES && usual.powf(f64::from(failures)) < FAILURES_CHANCE
    }

    /// Takes a server out of the draw, for all classes or for one, unless too many are out already.
    fn suspect(&mut self, now: Time, server: usize, r: usize, why: &str, out: &mut Vec<Action>) {
        let is_out =
            |&&i: &&usize| [WHOLE, r].iter().any(|&r| self.servers[i].records[r].suspicion.is_some());
        let gone = self.serving.iter().filter(is_out).count();
        let s = &mut self.servers[server];
        if s.records[r].suspicion.is_some() || (gone + 1) as f64 > SUSPECT_SHARE * self.serving.len() as f64 {
            return;
        }
        s.records[r].suspicion = Some(Suspicion { next_trial: now + TRIAL_FIRST, pause: TRIAL_FIRST });
        out.push(Action::Log { text: format!("server {} {why}: suspect", s.listed.server.0) });
        if r == WHOLE {
            self.memory = self.memory.filter(|&m| m != server);
            self.close_circle(now);
        }
    }

    fn read_report(&mut self, now: Time, server: usize, report: Option<Vec<f64>>) {
        let Some(report) = report else { return };
        let word = Word::read(&self.settings.report_fields, &report);
        let usual = self.usual(0);
        let s = &mut self.servers[server];
        self.hearsay.hear(now, &mut s.told, &word, f64::from(s.in_flight), usual);
    }

    // ---- the list and the clock ---------------------------------------------------------------------

    /// The mean pause before the list is asked for; those that start together spread over nearly thrice that.
    fn pause_to_ask(&self, least: Span) -> Span {
        let apart = ASK_APART * f64::from(self.settings.balancers.saturating_sub(1));
        least.max(apart).min(self.settings.ask_within * 0.25).min(ASK_LONGEST)
    }

    fn list(&mut self, now: Time, update: ListUpdate, out: &mut Vec<Action>) {
        let (lines, complete) = match update {
            ListUpdate::Failed => {
                let pause = self.pause_to_ask(self.ask_pause);
                (self.ask_at, self.ask_pause) = (Some(now + pause * (0.5 + self.rng.f64())), pause * 2.0);
                return;
            }
            ListUpdate::Changes(lines) => (lines, false),
            ListUpdate::Complete(lines) | ListUpdate::Saved(lines) => (lines, true),
        };
        self.ask_pause = ASK_AGAIN;
        let classes = self.settings.classes.len();
        if complete {
            for s in &mut self.servers {
                s.listed.status = Status::Gone;
            }
        }
        for line in lines {
            let server = line.server;
            match self.index.get(&server) {
                Some(&i) => {
                    let s = &mut self.servers[i];
                    if line.started.is_some() && line.started != s.listed.started {
                        // A new process: what was learned of the old one says nothing, and it is cold.
                        let (in_flight, stuck, last_answer) = (s.in_flight, s.stuck, s.last_answer);
                        *s = Server { in_flight, stuck, last_answer, ..Server::new(line, now, classes) };
                    } else {
                        s.listed = line;
                    }
                }
                None => {
                    let place = self.free.pop().unwrap_or(self.servers.len());
                    self.index.insert(server, place);
                    self.servers.resize_with(self.servers.len().max(place + 1), Server::default);
                    self.servers[place] = Server::new(line, now, classes);
                }
            }
        }
        for s in &mut self.servers {
            let gone = s.listed.status == Status::Gone;
            s.gone_at = gone.then(|| s.gone_at.unwrap_or(now));
        }
        let servers = &self.servers;
        self.serving = (0..servers.len()).filter(|&i| servers[i].listed.status == Status::Serving).collect();
        self.memory = self.memory.filter(|&m| servers[m].listed.status == Status::Serving);
        self.close_circle(now);
        self.pump(now, out);
    }

    /// Drops the servers that have left for good and that nothing is out to: new names would fill the memory.
    fn forget(&mut self, now: Time) {
        let left = |s: &Server| s.gone_at.is_some_and(|at| now.since(at) > self.settings.drain_grace);
        let out =
            |i: usize| self.servers[i].probed_at.is_some() || self.flights.values().any(|f| f.server == i);
        let over = |&i: &usize| left(&self.servers[i]) && !out(i);
        let dropped: Vec<usize> = self.index.values().copied().filter(over).collect();
        if dropped.is_empty() {
            return;
        }
        self.index.retain(|_, i| !dropped.contains(i));
        self.warm.retain(|_, i| !dropped.contains(i));
        self.free.extend(dropped);
    }

    fn set_tick(&mut self, now: Time, after: Span, out: &mut Vec<Action>) {
        self.tick_at = now + after;
        out.push(Action::SetTimer { at: self.tick_at, timer: TICK });
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.tick_at {
            return;
        }
        // One that knows nobody can't wait for its turn.
        if self.ask_at.is_some_and(|at| now >= at || self.index.is_empty() && self.ask_pause == ASK_AGAIN) {
            self.ask_at = None;
            out.push(Action::Follow { active: true });
        }
        self.forget(now);
        self.close_circle(now);
        self.find_silent(now, out);
        self.pump(now, out);
        self.set_tick(now, if self.held.is_empty() { TICK_IDLE } else { TICK_BUSY }, out);
    }

    /// A server is silent if an attempt there is overdue and nothing has come back since; where answers get
    /// lost, so is one that others have overtaken. What may be repeated in time is called back and goes on.
    fn find_silent(&mut self, now: Time, out: &mut Vec<Action>) {
        let overdue = |(&key, flight): (&(RequestId, u32), &Flight)| {
            let (server, aim) = (&self.servers[flight.server], self.settings.classes[flight.class].aim);
            let least = if server.in_flight > 1 { OVERDUE_LEAST } else { 1.0 };
            let work = self.live.get(&key.0).map_or(0.0, |live| self.work(live));
            let pace = self.class_pace[flight.class].max(work / aim.ms());
            let quiet = server.last_answer < flight.sent;
            let lost = self.lost >= LOST && (quiet || server.overtaken > flight.sent);
            let late =
                flight.stage == Stage::Out && now.since(flight.sent) > aim * (OVERDUE * pace).max(least);
            (late && (quiet || lost)).then_some((key, flight.server, quiet, lost))
        };
        let late: Vec<_> = self.flights.iter().filter_map(overdue).collect();
        for &((id, attempt), server, quiet, lost) in &late {
            if quiet {
                self.suspect(now, server, WHOLE, "silent", out);
            }
            let flight = self.flights.get_mut(&(id, attempt)).filter(|f| lost && !f.stuck);
            self.servers[server].stuck += u32::from(flight.is_some());
            flight.into_iter().for_each(|f| f.stuck = true);
            let Some(live) = self.live.get(&id) else { continue };
            let repeatable = self.settings.classes[live.request.class.0].effect != Effect::AtMostOnce;
            let last = attempt as usize + 1 == live.attempts.len() && !live.bound;
            let spare = live.attempts.len() < self.settings.max_attempts as usize && self.retries >= 1.0;
            if repeatable && self.settings.cancel && last && spare && !self.hopeless(now, live) {
                out.push(Action::Cancel { request: id, attempt: AttemptNo(attempt) });
            }
        }
    }
}
