//! A fleet in virtual time: balancers as they are, servers as plain queues, and a release between them.

use ryelead::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// A release as it was drawn.
pub struct Release {
    settings: Settings,
    balancers: usize,
    /// Traffic of each balancer, requests a second.
    rates: Vec<f64>,
    /// How much later than the others a balancer hears of a change.
    lags: Vec<Span>,
    servers: usize,
    cores: usize,
    work_ms: f64,
    /// When servers are replaced, which ones.
    replaced: Vec<(Time, usize)>,
    seed: u64,
}

/// What came of a release.
#[derive(Debug)]
#[expect(dead_code, reason = "what is used of the ramp is printed for whoever draws more of them")]
pub struct Told {
    /// Cold servers that were sent more than they bear, by balancers that knew.
    pub broken: usize,
    /// The most that one was sent, as a part of what it bears with what is put down to chance.
    pub worst: f64,
    /// The share of the requests that were answered in time.
    pub served: f64,
    /// What a cold server was sent on the mean over its ramp, as a part of what it bears without chance.
    pub used: f64,
}

const START: Time = Time(1_000_000_000);
const LENGTH: Span = Span(14_000_000);
const FLIGHT: Span = Span(500);

enum Due {
    Arrival(usize),
    Timer(usize, TimerId),
    /// A request comes to its server.
    Comes(usize, RequestId, u32, usize),
    /// A server has done one.
    Done(usize),
    /// An answer comes back.
    Answer(usize, RequestId, u32, Outcome, Time, Option<Vec<f64>>),
    Probed(usize, usize, Time),
    Replaced(usize),
    News(usize, Vec<Listed>),
}

#[derive(Clone)]
struct Work {
    from: (usize, RequestId, u32),
    sent: Time,
    ms: f64,
}

struct Server {
    started: Option<Time>,
    gone: bool,
    working: Vec<Option<Work>>,
    waiting: VecDeque<Work>,
    /// What came within the rule's time, in requests of mean work, and whether its balancer knew of the start.
    came: VecDeque<(Time, f64, bool)>,
    broken: bool,
    sum: f64,
    answered: VecDeque<(Time, f64)>,
}

impl Release {
    pub fn draw(balancers: usize, seed: u64) -> Release {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut between = |from: f64, to: f64| from + (to - from) * random.f64();
        let servers = (balancers as f64 * between(0.3, 1.0)).clamp(8.0, 100.0) as usize;
        let (cores, work_ms) = (between(2.0, 4.9) as usize, between(30.0, 150.0));
        let load = between(0.3, 1.2);
        let all = servers as f64 * cores as f64 * 1e3 / work_ms * load;
        let shares: Vec<f64> = (0..balancers).map(|_| (between(-1.2, 1.2)).exp()).collect();
        let sum: f64 = shares.iter().sum();
        let lags = (0..balancers).map(|_| Span::from_ms(between(100.0, 2000.0))).collect();
        let aim = Span::from_ms(work_ms * between(3.0, 8.0));
        let class = Class { aim, deadline: aim * 2.0, ..Class::default() };
        let tells = between(0.0, 1.0) < 0.5;
        let settings = Settings {
            balancers: if between(0.0, 1.0) < 0.2 { 3 } else { balancers as u32 },
            classes: vec![class],
            max_attempts: 4,
            probes: tells,
            report_source: if tells { ReportSource::Answers } else { ReportSource::None },
            report_fields: vec![ReportField::Rate, ReportField::ServiceTime, ReportField::Queue],
            cold_share: between(0.3, 0.55),
            warm_after: Span::from_ms(between(3000.0, 9000.0)),
            overload_factor: between(2.0, 4.0),
            fall_after: Span::from_ms(between(1000.0, 2000.0)),
            ..Settings::default()
        };
        let over = between(1000.0, 7000.0);
        let first = START + Span::from_ms(3000.0);
        let part = if between(0.0, 1.0) < 0.25 { 10 } else { 6 };
        let replaced =
            (0..servers * part / 10).map(|i| (first + Span::from_ms(between(0.0, over)), i)).collect();
        let rates = shares.iter().map(|share| all * share / sum).collect();
        Release { settings, balancers, rates, lags, servers, cores, work_ms, replaced, seed }
    }

    pub fn play(self) -> Told {
        Play::new(self).run()
    }
}

struct Play {
    of: Release,
    random: fastrand::Rng,
    now: Time,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Due>,
    next: u64,
    /// Open requests: until when an answer is worth something, and how many attempts were sent.
    open: BTreeMap<(usize, RequestId), (Time, u32)>,
    /// From when on a balancer knows of a server.
    knows: BTreeMap<(usize, usize), Time>,
    asked: u64,
    served: u64,
    worst: f64,
    used: (f64, u64),
}

impl Play {
    fn new(of: Release) -> Play {
        let random = fastrand::Rng::with_seed(of.seed ^ 0x5eed);
        let seed = of.seed << 16;
        let balancers =
            (0..of.balancers).map(|b| Balancer::new(of.settings.clone(), seed + b as u64).unwrap());
        let (balancers, servers) = (balancers.collect(), Vec::new());
        let (due, events, open, knows) = Default::default();
        let mut play = Play {
            of,
            random,
            now: START,
            balancers,
            servers,
            due,
            events,
            next: 0,
            open,
            knows,
            asked: 0,
            served: 0,
            worst: 0.0,
            used: (0.0, 0),
        };
        for _ in 0..play.of.servers {
            play.add_server(None);
        }
        let lines: Vec<Listed> = (0..play.of.servers).map(|s| play.line(s)).collect();
        for b in 0..play.of.balancers {
            let mut actions = Vec::new();
            play.balancers[b].start(START, &mut actions);
            play.perform(b, actions);
            play.tell(b, Event::List(ListUpdate::Complete(lines.clone())));
            let wait = play.pause(b);
            play.at(START + wait, Due::Arrival(b));
        }
        for (at, server) in play.of.replaced.clone() {
            play.at(at, Due::Replaced(server));
        }
        play
    }

    fn line(&self, server: usize) -> Listed {
        let one = &self.servers[server];
        let status = if one.gone { Status::Gone } else { Status::Serving };
        Listed { status, started: one.started, ..Listed::serving(ServerId(server as u32)) }
    }

    fn add_server(&mut self, started: Option<Time>) -> usize {
        let working = vec![None; self.of.cores];
        let (waiting, came, answered) = Default::default();
        let (gone, broken, sum) = (false, false, 0.0);
        self.servers.push(Server { started, gone, working, waiting, came, broken, sum, answered });
        self.servers.len() - 1
    }

    fn at(&mut self, at: Time, due: Due) {
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, due);
        self.next += 1;
    }

    fn pause(&mut self, balancer: usize) -> Span {
        Span::from_ms(-self.random.f64().max(1e-9).ln() / self.of.rates[balancer] * 1e3)
    }

    fn tell(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        self.perform(balancer, actions);
    }

    fn perform(&mut self, balancer: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    if let Some((_, sent)) = self.open.get_mut(&(balancer, request)) {
                        let attempt = std::mem::replace(sent, *sent + 1);
                        let comes = Due::Comes(balancer, request, attempt, server.0 as usize);
                        self.at(self.now + FLIGHT, comes);
                    }
                }
                Action::Refuse { request, .. } | Action::Fail { request, .. } => {
                    self.open.remove(&(balancer, request));
                }
                Action::SetTimer { at, timer } => self.at(at.max(self.now), Due::Timer(balancer, timer)),
                Action::Probe { server } => {
                    let sent = self.now;
                    self.at(sent + FLIGHT * 2.0, Due::Probed(balancer, server.0 as usize, sent));
                }
                _ => {}
            }
        }
    }

    fn run(mut self) -> Told {
        while let Some(Reverse((at, number))) = self.due.pop() {
            if at > START + LENGTH {
                break;
            }
            self.now = at;
            let Some(due) = self.events.remove(&number) else { continue };
            self.step(due);
        }
        let broken = self.servers.iter().filter(|s| s.broken).count();
        let used = self.used.0 / self.used.1.max(1) as f64;
        Told { broken, worst: self.worst, served: self.served as f64 / self.asked as f64, used }
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Arrival(b) => {
                let id = RequestId(self.next);
                let class = &self.of.settings.classes[0];
                let request = Request::new(id, ClassId(0), class.deadline);
                self.open.insert((b, id), (self.now + class.aim, 0));
                self.asked += 1;
                self.tell(b, Event::Request(request));
                let wait = self.pause(b);
                self.at(self.now + wait, Due::Arrival(b));
            }
            Due::Timer(b, timer) => self.tell(b, Event::Timer(timer)),
            Due::Comes(b, id, attempt, server) => self.comes(b, id, attempt, server),
            Due::Done(place) => self.done(place),
            Due::Answer(b, request, attempt, outcome, sent, report) => {
                let open = self.open.get(&(b, request)).copied();
                let closed = open.is_none() || outcome == Outcome::Success;
                if let (Some((until, _)), Outcome::Success) = (open, outcome) {
                    self.open.remove(&(b, request));
                    self.served += u64::from(self.now <= until);
                }
                let (attempt, elapsed) = (AttemptNo(attempt), self.now.since(sent));
                self.tell(b, Event::Outcome { request, attempt, outcome, elapsed, report, closed });
            }
            Due::Probed(b, server, sent) => {
                let (outcome, report) = (Outcome::Success, Some(self.report(server)));
                let elapsed = self.now.since(sent);
                self.tell(b, Event::Probed { server: ServerId(server as u32), outcome, elapsed, report });
            }
            Due::Replaced(old) => {
                let new = self.add_server(Some(self.now));
                self.servers[old].gone = true;
                let lines = vec![self.line(old), self.line(new)];
                for b in 0..self.of.balancers {
                    let told = self.now + self.of.lags[b];
                    self.knows.insert((b, new), told);
                    self.at(told, Due::News(b, lines.clone()));
                }
            }
            Due::News(b, lines) => self.tell(b, Event::List(ListUpdate::Changes(lines))),
        }
    }

    fn warmth(&self, server: usize) -> f64 {
        let Some(started) = self.servers[server].started else { return 1.0 };
        let cold = self.of.settings.cold_share;
        (cold + (1.0 - cold) * self.now.since(started).ms() / self.of.settings.warm_after.ms()).min(1.0)
    }

    fn comes(&mut self, b: usize, id: RequestId, attempt: u32, server: usize) {
        let ms = -self.random.f64().max(1e-9).ln() * self.of.work_ms;
        let knew = self.knows.get(&(b, server)).is_none_or(|at| *at <= self.now);
        self.judge(server, ms / self.of.work_ms, knew);
        let work = Work { from: (b, id, attempt), sent: self.now, ms };
        let one = &mut self.servers[server];
        if one.waiting.len() >= 20 * self.of.cores {
            let sent = self.now;
            return self.at(sent + FLIGHT, Due::Answer(b, id, attempt, Outcome::Rejected, sent, None));
        }
        one.waiting.push_back(work);
        self.begin(server);
    }

    fn begin(&mut self, server: usize) {
        let warmth = self.warmth(server);
        while let Some(slot) = self.servers[server].working.iter().position(Option::is_none) {
            let Some(work) = self.servers[server].waiting.pop_front() else { return };
            let done = self.now + Span::from_ms(work.ms / warmth);
            self.servers[server].working[slot] = Some(work);
            self.at(done, Due::Done(server * self.of.cores + slot));
        }
    }

    fn done(&mut self, place: usize) {
        let (server, slot) = (place / self.of.cores, place % self.of.cores);
        let one = &mut self.servers[server];
        let Some(work) = one.working[slot].take() else { return };
        one.answered.push_back((self.now, work.ms));
        let (b, id, attempt) = work.from;
        let report = (self.of.settings.report_source != ReportSource::None).then(|| self.report(server));
        self.at(self.now + FLIGHT, Due::Answer(b, id, attempt, Outcome::Success, work.sent, report));
        self.begin(server);
    }

    fn report(&mut self, server: usize) -> Vec<f64> {
        let (now, warmth) = (self.now, self.warmth(server));
        let one = &mut self.servers[server];
        while one.answered.front().is_some_and(|(at, _)| now.since(*at) > Span(1_000_000)) {
            one.answered.pop_front();
        }
        let count = one.answered.len() as f64;
        let all: f64 = one.answered.iter().map(|(_, ms)| ms / warmth).sum();
        vec![count, all / count.max(1.0), one.waiting.len() as f64]
    }

    /// What the rule says of all that has come to a server within its time.
    fn judge(&mut self, server: usize, work: f64, knew: bool) {
        let (settings, now, warmth) = (&self.of.settings, self.now, self.warmth(server));
        if warmth >= 1.0 {
            return;
        }
        let one = &mut self.servers[server];
        one.came.push_back((now, work, knew));
        one.sum += work;
        while let Some((_, work, _)) =
            one.came.front().filter(|(at, ..)| now.since(*at) > settings.fall_after)
        {
            one.sum -= work;
            one.came.pop_front();
        }
        let within = settings.fall_after.ms().min(now.since(one.started.unwrap_or(now)).ms());
        let bears = settings.overload_factor * warmth * self.of.cores as f64 / self.of.work_ms;
        let allowed = bears * settings.fall_after.ms();
        let knowing: f64 = one.came.iter().filter(|c| c.2).map(|c| c.1).sum();
        let most = allowed + 2.0 * allowed.sqrt() + 2.0;
        self.used = (self.used.0 + one.sum / (bears * within.max(1.0)), self.used.1 + 1);
        self.worst = self.worst.max(one.sum / most);
        one.broken |= one.sum > most && knowing > one.sum * 2.0 / 3.0;
    }
}
