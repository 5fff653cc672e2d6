//! An agent in virtual time: the real decision module, and round it what the program's driver, fleet and pool do with its
//! actions.

use super::{
    module_time, server_id, span, AgentEvent, Connection, Emulation, Event, Flight, Registry, Stage,
    ANSWER_BYTES, CONNECT_WAIT, NEAR, REQUEST_BYTES,
};
use crate::clock::At;
use crate::judge::evidence::{AgentIndex, End, ServerIndex, Told, Word};
use crate::standins::discovery::Ailment;
use crate::standins::link::Direction;
use ryelead::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the program keeps back of a client's time for an attempt, and for the answer.
const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);
const ANSWER_RESERVE: Duration = Duration::from_millis(6);
/// A probe that is not answered by then has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// A connection rests for this share of the time after which a server closes it.
const REST_SHARE: f64 = 0.8;

/// A request that owes its answer or has attempts out.
struct Open {
    client: usize,
    number: u32,
    deadline: At,
    owed: bool,
    attempts: u32,
    out: BTreeMap<u32, usize>,
}

/// One agent over all its lives.
pub(super) struct Agent {
    balancer: Balancer,
    pub(super) life: u32,
    pub(super) is_down: bool,
    /// It does nothing until then.
    pub(super) stalled_until: At,
    requests: BTreeMap<RequestId, Open>,
    next_request: u64,
    /// Connections that rest, the warmest last.
    pub(super) idle: BTreeMap<ServerIndex, Vec<Connection>>,
    /// Flights that have not ended.
    out: BTreeSet<usize>,
    /// Since when each server is off, as it was told.
    /// Those that drain or are gone.
    off: BTreeSet<ServerIndex>,
    /// Counts what it takes for lives of a server, with the start that it was told.
    lives: BTreeMap<ServerIndex, (u64, Option<At>)>,
    follows: bool,
    /// The version of the list that it has.
    version: Option<u64>,
    pub(super) ailment: Ailment,
    pub(super) stale: Option<Registry>,
    pub(super) delay: Duration,
}

impl Agent {
    pub(super) fn new(settings: &Settings, seed: u64) -> Agent {
        Agent {
            // The settings are the lab's own.
            balancer: Balancer::new(settings.clone(), seed).expect("a checked world gives usable settings"),
            life: 0,
            is_down: false,
            stalled_until: At(0),
            requests: BTreeMap::new(),
            next_request: 0,
            idle: BTreeMap::new(),
            out: BTreeSet::new(),
            off: BTreeSet::new(),
            lives: BTreeMap::new(),
            follows: false,
            version: None,
            ailment: Ailment::None,
            stale: None,
            delay: Duration::ZERO,
        }
    }

    /// For a drain a send counts from its first byte.
    fn may_send(&self, server: ServerIndex) -> bool {
        !self.off.contains(&server)
    }

    fn life_of(&self, server: ServerIndex) -> u64 {
        self.lives.get(&server).map_or(0, |l| l.0)
    }
}

impl Emulation<'_> {
    /// An agent starts, with the list as it stands if the world tells it.
    pub(super) fn start_agent(&mut self, agent: AgentIndex) {
        let mut actions = Vec::new();
        self.agents[agent].balancer.start(module_time(self.now), &mut actions);
        self.perform(agent, actions);
        if self.world.view {
            self.tell(agent, ryelead::Event::Balancers(self.world.agents as u32));
        }
        if self.world.known {
            let lines = self.take_list(agent, None);
            self.tell(agent, ryelead::Event::List(ListUpdate::Saved(lines)));
        }
    }

    /// An agent dies: its clients' connections close, and the kernel goes on with what it had written.
    pub(super) fn kill_agent(&mut self, agent: AgentIndex) {
        let one = &mut self.agents[agent];
        one.is_down = true;
        one.life += 1;
        let (requests, idle, out) =
            (std::mem::take(&mut one.requests), std::mem::take(&mut one.idle), std::mem::take(&mut one.out));
        for open in requests.into_values().filter(|o| o.owed) {
            let (client, number) = (open.client, open.number);
            self.after(NEAR, Event::Answered { client, number, end: End::Closed });
        }
        for (server, connections) in idle {
            connections.into_iter().for_each(|c| self.close(server, c));
        }
        for place in out {
            let Flight { server, connection, stage, .. } = self.flights[place];
            if std::mem::replace(&mut self.flights[place].stage, Stage::Over) == Stage::Out
                && stage == Stage::Out
            {
                self.close(server, connection);
            }
        }
    }

    /// It starts again under its address.
    pub(super) fn restart_agent(&mut self, agent: AgentIndex) {
        let seed = self.random.u64(..);
        let old = &self.agents[agent];
        let (life, ailment, delay) = (old.life, old.ailment, old.delay);
        let stale = self.agents[agent].stale.take();
        let fresh = Agent::new(&self.settings[agent % self.settings.len()], seed);
        self.agents[agent] = Agent { life, ailment, delay, stale, ..fresh };
        self.start_agent(agent);
    }

    pub(super) fn at_agent(&mut self, agent: AgentIndex, life: u32, event: AgentEvent) {
        let one = &self.agents[agent];
        if one.life != life {
            return;
        }
        if self.now < one.stalled_until {
            let until = one.stalled_until;
            return self.at(until, Event::Agent(agent, life, event));
        }
        match event {
            AgentEvent::Take { client } => self.take_request(agent, client),
            AgentEvent::ClientGone(id) => self.abandon(agent, id),
            AgentEvent::Deadline(id) => {
                if let Some(open) = self.agents[agent].requests.get(&id).filter(|o| o.owed) {
                    let (client, number) = (open.client, open.number);
                    self.after(NEAR, Event::Answered { client, number, end: End::Failed(504) });
                    self.abandon(agent, id);
                }
            }
            AgentEvent::Timer(timer) => self.tell(agent, ryelead::Event::Timer(timer)),
            AgentEvent::Connected(place) => self.write(place),
            AgentEvent::Failed(place, outcome) => self.ended(place, outcome, None),
            AgentEvent::Ended(place, outcome, report) => {
                let event = Event::Agent(agent, life, AgentEvent::Ended(place, outcome, report.clone()));
                if self.passes(place, Direction::Back, ANSWER_BYTES, &event) {
                    self.ended(place, outcome, report);
                }
            }
            AgentEvent::Timeout(place) => {
                let outcome = match self.flights[place].stage {
                    Stage::Connecting if self.flights[place].attempt.is_some() => Outcome::NotSent,
                    _ => Outcome::TimedOut,
                };
                self.ended(place, outcome, None);
            }
            AgentEvent::News => self.news(agent),
            AgentEvent::ListFailed => self.list_failed(agent),
        }
    }

    fn tell(&mut self, agent: AgentIndex, event: ryelead::Event) {
        let mut actions = Vec::new();
        self.agents[agent].balancer.handle(module_time(self.now), event, &mut actions);
        self.perform(agent, actions);
    }

    fn wake(&mut self, at: At, agent: AgentIndex, event: AgentEvent) {
        let life = self.agents[agent].life;
        self.at(at, Event::Agent(agent, life, event));
    }

    // ---- requests -----------------------------------------------------------------------------------

    fn take_request(&mut self, agent: AgentIndex, client: usize) {
        let now = self.now;
        let guest = &mut self.guests[client];
        let Some(sent) = guest.sent.filter(|_| guest.open) else { return };
        let (class, office, number) = (guest.class, guest.office, guest.client.number);
        let budget = Duration::from_millis(guest.client.give_up.since(sent).as_millis() as u64);
        let deadline = now.plus(budget.min(self.plan.classes[class].0.deadline));
        let one = &mut self.agents[agent];
        let id = RequestId(one.next_request);
        one.next_request += 1;
        guest.request = Some(id);
        let (owed, attempts, out) = (true, 0, BTreeMap::new());
        one.requests.insert(id, Open { client, number, deadline, owed, attempts, out });
        let last = At(deadline.0.saturating_sub(ANSWER_RESERVE.as_micros() as u64));
        self.wake(last, agent, AgentEvent::Deadline(id));
        let request = Request {
            tenant: Some(TenantId(office)),
            ..Request::new(id, ClassId(class), span(deadline.since(now)))
        };
        self.tell(agent, ryelead::Event::Request(request));
    }

    fn abandon(&mut self, agent: AgentIndex, id: RequestId) {
        let owed = self.agents[agent].requests.get_mut(&id).map(|o| std::mem::replace(&mut o.owed, false));
        if owed == Some(true) {
            self.tell(agent, ryelead::Event::ClientGone { request: id });
            self.forget_ended(agent, id);
        }
    }

    fn forget_ended(&mut self, agent: AgentIndex, id: RequestId) {
        let requests = &mut self.agents[agent].requests;
        if requests.get(&id).is_some_and(|o| !o.owed && o.out.is_empty()) {
            requests.remove(&id);
        }
    }

    fn answer(&mut self, agent: AgentIndex, id: RequestId, end: End) {
        let Some(open) = self.agents[agent].requests.get_mut(&id).filter(|o| o.owed) else { return };
        open.owed = false;
        let (client, number) = (open.client, open.number);
        self.after(NEAR, Event::Answered { client, number, end });
        self.forget_ended(agent, id);
    }

    // ---- actions ------------------------------------------------------------------------------------

    fn perform(&mut self, agent: AgentIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, timeout_at, .. } => {
                    self.send(agent, request, server.0 as usize, timeout_at);
                }
                Action::Cancel { request, attempt } => {
                    let out = self.agents[agent].requests.get(&request).and_then(|o| o.out.get(&attempt.0));
                    if let Some(&place) = out {
                        let event = AgentEvent::Failed(place, Outcome::Cancelled);
                        self.wake(self.now, agent, event);
                    }
                }
                Action::Refuse { request, retry_after, reason } => {
                    self.note(reason);
                    // As the protocol words it: seconds, with three places.
                    let after = retry_after.map(|span| (span.ms() / 1e3 * 1e3).round() / 1e3);
                    self.answer(agent, request, End::Refused(after));
                }
                Action::Fail { request, reason } => {
                    self.note(reason);
                    self.answer(agent, request, End::Failed(502));
                }
                Action::SetTimer { at, timer } => {
                    let at = At(at.0.saturating_sub(super::EPOCH));
                    self.wake(at, agent, AgentEvent::Timer(timer));
                }
                Action::Probe { server } => self.probe(agent, server.0 as usize),
                Action::CloseIdle { server } => self.close_idle(agent, server.0 as usize),
                Action::SubscribeList { active } => {
                    self.agents[agent].follows = active;
                    if active {
                        self.wake(self.now.plus(NEAR), agent, AgentEvent::News);
                    }
                }
                Action::FetchList => {
                    self.agents[agent].version = None;
                    self.wake(self.now.plus(NEAR), agent, AgentEvent::News);
                }
                // Answers of the emulated servers arrive whole.
                Action::Forward { .. } | Action::Log { .. } | Action::SendPeerMessage { .. } => {}
            }
        }
    }

    fn note(&mut self, reason: Reason) {
        *self.given_up.entry((self.now.0 / 1_000_000, reason)).or_default() += 1;
    }

    fn send(&mut self, agent: AgentIndex, id: RequestId, server: ServerIndex, timeout_at: Time) {
        let now = self.now;
        let most = self.settings[0].max_attempts;
        let Some(open) = self.agents[agent].requests.get_mut(&id) else { return };
        let number = open.attempts;
        open.attempts += 1;
        let lawful = open.owed && number < most;
        let last = At(open.deadline.0.saturating_sub(ATTEMPT_RESERVE.as_micros() as u64));
        let until = At(timeout_at.0.saturating_sub(super::EPOCH)).min(last);
        let place = self.flights.len();
        open.out.insert(number, place);
        let client = open.client;
        self.push_flight(agent, server, Some((id, number, client)));
        if !lawful || until <= now {
            return self.wake(now, agent, AgentEvent::Failed(place, Outcome::NotSent));
        }
        self.totals.attempts += 1;
        self.wake(until, agent, AgentEvent::Timeout(place));
        self.lease(place);
    }

    fn probe(&mut self, agent: AgentIndex, server: ServerIndex) {
        let place = self.flights.len();
        self.push_flight(agent, server, None);
        self.totals.probes += 1;
        self.wake(self.now.plus(PROBE_WAIT), agent, AgentEvent::Timeout(place));
        self.lease(place);
    }

    fn push_flight(
        &mut self,
        agent: AgentIndex,
        server: ServerIndex,
        attempt: Option<(RequestId, u32, usize)>,
    ) {
        let (agent_life, sent, connection) = (self.agents[agent].life, self.now, Connection::default());
        let (stage, taken_back, serial, breaks) = (Stage::Connecting, false, None, None);
        self.agents[agent].out.insert(self.flights.len());
        self.flights.push(Flight {
            agent,
            agent_life,
            server,
            attempt,
            sent,
            stage,
            connection,
            taken_back,
            serial,
            breaks,
        });
    }

    /// Takes the warmest connection that rests, or opens one.
    fn lease(&mut self, place: usize) {
        let Flight { agent, server, .. } = self.flights[place];
        let link = self.link(agent, server);
        let (cut_out, cut_back) =
            link.map_or((false, false), |l| (self.links[l].cut_out, self.links[l].cut_back));
        while let Some(connection) = self.agents[agent].idle.get_mut(&server).and_then(Vec::pop) {
            let one = &self.servers[server];
            let old = connection.life != self.agents[agent].life_of(server);
            // What the server has closed shows, unless the link keeps it back.
            let closed = one.epoch != connection.epoch
                || !one.idle_silently && self.now.since(connection.since) > one.idle;
            if old || closed && !cut_back {
                self.close(server, connection);
                continue;
            }
            self.flights[place].connection = connection;
            return self.write(place);
        }
        if cut_out {
            let (at, event) =
                (self.now.plus(CONNECT_WAIT), AgentEvent::Failed(place, Outcome::ConnectFailed));
            return self.wake(at, agent, event);
        }
        let event = match (self.servers[server].up, link) {
            (true, _) => AgentEvent::Connected(place),
            (false, None) => AgentEvent::Failed(place, Outcome::ConnectFailed),
            // The link takes it, and then finds nobody there: what was written may have come to somebody.
            (false, Some(_)) => AgentEvent::Failed(place, Outcome::ConnectionReset),
        };
        self.wake(self.now.plus(NEAR * 2), agent, event);
    }

    /// A connection is up: the first byte goes, if it still may.
    fn write(&mut self, place: usize) {
        let Flight { agent, server, stage, attempt, connection, .. } = self.flights[place];
        if stage != Stage::Connecting {
            return;
        }
        if connection == Connection::default() {
            let life = self.agents[agent].life_of(server);
            self.flights[place].connection = Connection { life, ..self.accept(server) };
        }
        if attempt.is_some() && !self.agents[agent].may_send(server) {
            self.give_back(place);
            return self.ended(place, Outcome::NotSent, None);
        }
        self.flights[place].stage = Stage::Out;
        let way = self.way(agent, server, REQUEST_BYTES);
        self.after(way, Event::Request(place));
    }

    fn give_back(&mut self, place: usize) {
        let Flight { agent, server, connection, .. } = self.flights[place];
        let connection = Connection { since: self.now, ..connection };
        self.agents[agent].idle.entry(server).or_default().push(connection);
    }

    /// An attempt or a probe is over for its agent.
    fn ended(&mut self, place: usize, outcome: Outcome, report: Option<Vec<f64>>) {
        let Flight { agent, server, stage, attempt, connection, sent, serial, .. } = self.flights[place];
        if stage == Stage::Over {
            return;
        }
        self.flights[place].stage = Stage::Over;
        self.agents[agent].out.remove(&place);
        let answered = matches!(outcome, Outcome::Success | Outcome::Rejected | Outcome::ServerError);
        if answered {
            self.give_back(place);
        } else if stage == Stage::Out {
            self.flights[place].taken_back = true;
            self.close(server, connection);
            if let Some(serial) = serial {
                let (now, attempt) = (self.now, &mut self.evidence.attempts[serial as usize]);
                attempt.over = attempt.over.or(Some(now));
            }
        }
        let elapsed = span(self.now.since(sent));
        let Some((id, number, _)) = attempt else {
            let server = server_id(server);
            return self.tell(agent, ryelead::Event::ProbeResult { server, outcome, elapsed, report });
        };
        let Some(open) = self.agents[agent].requests.get_mut(&id) else { return };
        open.out.remove(&number);
        if let (Outcome::Success, true, Some(serial)) = (outcome, open.owed, serial) {
            open.owed = false;
            let (client, number) = (open.client, open.number);
            self.after(NEAR, Event::Answered { client, number, end: End::Served(serial + 1) });
        }
        let closed = self.agents[agent].requests.get(&id).is_none_or(|o| !o.owed);
        let (request, attempt) = (id, AttemptNo(number));
        self.tell(agent, ryelead::Event::Outcome { request, attempt, outcome, elapsed, report, closed });
        self.forget_ended(agent, id);
    }

    // ---- connections --------------------------------------------------------------------------------

    fn close_idle(&mut self, agent: AgentIndex, server: ServerIndex) {
        for connection in self.agents[agent].idle.remove(&server).unwrap_or_default() {
            self.close(server, connection);
        }
    }

    /// Closes what has rested long enough or leads to a server that is not what it was.
    pub(super) fn retire(&mut self, agent: AgentIndex) {
        if self.agents[agent].idle.is_empty() || self.now < self.agents[agent].stalled_until {
            return;
        }
        let rest = Duration::from_secs_f64(self.world.server.idle_ms / 1e3 * REST_SHARE);
        let mut idle = std::mem::take(&mut self.agents[agent].idle);
        idle.retain(|&server, connections| {
            connections.retain(|connection| {
                let one = &self.agents[agent];
                let keep = self.now.since(connection.since) < rest
                    && connection.life == one.life_of(server)
                    && !one.off.contains(&server);
                if !keep {
                    self.close(server, *connection);
                }
                keep
            });
            !connections.is_empty()
        });
        self.agents[agent].idle = idle;
    }

    // ---- the list -----------------------------------------------------------------------------------

    /// The list says something of a server from now on.
    pub(super) fn list_now(&mut self, server: ServerIndex, word: Word) {
        self.registry.rev += 1;
        let one = &self.servers[server];
        let born = (one.life > 0).then_some(one.born);
        self.registry.entries[server] = (word, self.registry.rev, born);
        for agent in 0..self.agents.len() {
            let late = NEAR + self.agents[agent].delay;
            self.wake(self.now.plus(late), agent, AgentEvent::News);
        }
    }

    fn news(&mut self, agent: AgentIndex) {
        let one = &self.agents[agent];
        if !one.follows {
            return;
        }
        match one.ailment {
            Ailment::Silent => return,
            Ailment::Down => return self.list_failed(agent),
            Ailment::None | Ailment::Stale => {}
        }
        let rev = one.stale.as_ref().map_or(self.registry.rev, |stale| stale.rev);
        match one.version {
            Some(version) if version >= rev => {}
            Some(version) => {
                let lines = self.take_list(agent, Some(version));
                self.tell(agent, ryelead::Event::List(ListUpdate::Changes(lines)));
            }
            None => {
                let lines = self.take_list(agent, None);
                self.tell(agent, ryelead::Event::List(ListUpdate::Complete(lines)));
            }
        }
    }

    pub(super) fn list_failed(&mut self, agent: AgentIndex) {
        if std::mem::replace(&mut self.agents[agent].follows, false) {
            self.tell(agent, ryelead::Event::List(ListUpdate::Failed));
        }
    }

    /// Forgets what version of the list an agent has, as one does whose source has moved.
    pub(super) fn forget_version(&mut self, agent: AgentIndex) {
        self.agents[agent].version = None;
        self.wake(self.now.plus(NEAR), agent, AgentEvent::News);
    }

    pub(super) fn hurry_news(&mut self, agent: AgentIndex, at: At, fails: bool) {
        self.wake(at, agent, if fails { AgentEvent::ListFailed } else { AgentEvent::News });
    }

    /// What the list has told since a version, or the whole of it, as an agent takes it over.
    fn take_list(&mut self, agent: AgentIndex, since: Option<u64>) -> Vec<ServerEntry> {
        let now = self.now;
        let list = self.agents[agent].stale.clone().unwrap_or_else(|| self.registry.clone());
        let mut lines = Vec::new();
        for (server, &(word, rev, born)) in list.entries.iter().enumerate() {
            if since.is_some_and(|version| rev <= version) {
                continue;
            }
            self.evidence.told.push(Told { agent, server, word, at: now });
            let one = &mut self.agents[agent];
            let (life, started) = *one.lives.get(&server).unwrap_or(&(0, born));
            one.lives.insert(server, (life + u64::from(started != born), born));
            let status = match word {
                Word::Serving(_) => Status::Serving,
                Word::Draining => Status::Draining,
                Word::Gone => Status::Gone,
            };
            if status == Status::Serving {
                one.off.remove(&server);
            } else {
                one.off.insert(server);
            }
            if status != Status::Serving || started != born {
                self.close_idle(agent, server);
            }
            if since.is_some() || status != Status::Gone {
                lines.push(ServerEntry {
                    zone: ZoneId(self.buildings[server] as u32),
                    status,
                    started: born.map(module_time),
                    ..ServerEntry::serving(server_id(server))
                });
            }
        }
        self.agents[agent].version = Some(list.rev);
        lines
    }
}
