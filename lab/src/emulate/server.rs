//! A booking server in virtual time: the lab's model, with the faults and the truth log that its sockets have.

use super::{AgentEvent, Connection, Emulation, Event, Flight, Stage, ANSWER_BYTES, REQUEST_BYTES};
use crate::clock::At;
use crate::judge::evidence::{Attempt, Effect, Fragment, Group, Life, ServerIndex};
use crate::standins::booking::model::{Figures, Model, Report, Step};
use crate::standins::booking::{Point, Reports};
use crate::standins::link::Direction;
use ryelead::Outcome;
use std::collections::HashMap;
use std::time::Duration;

/// A half answer is taken back by its reset after this.
const HALF_PAUSE: Duration = Duration::from_millis(20);

/// The state of one server over all its lives.
pub(super) struct Server {
    figures: Figures,
    pub(super) model: Model,
    pub(super) random: fastrand::Rng,
    pub(super) life: u32,
    pub(super) born: At,
    pub(super) cold: bool,
    pub(super) up: bool,
    /// Counts deaths.
    pub(super) epoch: u32,
    pub(super) connections: usize,
    pub(super) reports: Reports,
    pub(super) breaks: Option<(Point, f64)>,
    pub(super) crash_at: Option<Point>,
    pub(super) idle: Duration,
    pub(super) idle_silently: bool,
    /// What is out here, by its number in the truth log.
    waiting: HashMap<u64, usize>,
    /// Counts orders to wake the model: only the last holds.
    version: u64,
    turn_at: Option<At>,
}

impl Server {
    pub(super) fn new(figures: Figures, seed: u64) -> Server {
        Server {
            figures,
            model: Model::new(figures, At(0), false),
            random: fastrand::Rng::with_seed(seed),
            life: 0,
            born: At(0),
            cold: false,
            up: true,
            epoch: 0,
            connections: 0,
            reports: Reports::Sound,
            breaks: None,
            crash_at: None,
            idle: Duration::from_secs_f64(figures.idle_ms / 1e3),
            idle_silently: false,
            waiting: HashMap::new(),
            version: 0,
            turn_at: None,
        }
    }

    /// The load report in the order of the settings' fields, as far as an agent can read it.
    fn report(&mut self, now: At) -> Option<Vec<f64>> {
        let Report { mut qps, mut latency_ms, eps, mut queue } = self.model.report(now);
        match self.reports {
            Reports::Sound => {}
            Reports::Noisy => {
                for figure in [&mut qps, &mut latency_ms, &mut queue] {
                    *figure *= 0.5 + self.random.f64();
                }
            }
            Reports::Absurd | Reports::Missing => return None,
        }
        Some(vec![qps, latency_ms, eps, queue])
    }
}

impl Emulation<'_> {
    pub(super) fn write_life(&mut self, server: ServerIndex) {
        let one = &self.servers[server];
        let capacity = one.figures.cores * 1e6;
        let (life, from, cold) = (one.life, one.born, one.cold);
        self.evidence.lives.push(Life { server, life, from, cold, fell: None, capacity });
    }

    /// A connection comes up at a server.
    pub(super) fn accept(&mut self, server: ServerIndex) -> Connection {
        let (now, mut steps) = (self.now, Vec::new());
        let one = &mut self.servers[server];
        one.model.burden(now, one.figures.handshake_ms, &mut steps);
        one.connections += 1;
        let welcome = one.connections <= one.figures.connections;
        let epoch = one.epoch;
        self.totals.handshakes += 1;
        self.totals.connections_most = self.totals.connections_most.max(one.connections);
        self.steps(server, steps);
        Connection { epoch, life: 0, welcome, since: now }
    }

    pub(super) fn close(&mut self, server: ServerIndex, connection: Connection) {
        let one = &mut self.servers[server];
        if one.epoch == connection.epoch {
            one.connections = one.connections.saturating_sub(1);
        }
    }

    /// A request or a probe has come to a server.
    pub(super) fn reach_server(&mut self, place: usize) {
        if !self.passes(place, Direction::Out, REQUEST_BYTES, &Event::Request(place)) {
            return;
        }
        let now = self.now;
        let Flight { server, connection, attempt, .. } = self.flights[place].clone();
        let one = &mut self.servers[server];
        let rested = now.since(connection.since) > one.idle;
        if !one.up || one.epoch != connection.epoch || (rested && one.idle_silently) {
            return self.reply(place, Outcome::ConnectionReset, None);
        }
        let Some((_, _, client)) = attempt else {
            let mut steps = Vec::new();
            one.model.burden(now, one.figures.probe_ms, &mut steps);
            let report = one.report(now);
            self.steps(server, steps);
            return self.reply(place, Outcome::Success, report);
        };
        let breaks = one.breaks.filter(|(_, odds)| one.random.f64() < *odds).map(|(point, _)| point);
        for (point, named) in [(Point::BeforeHead, false), (Point::AfterHead, true)] {
            let crashes = self.servers[server].crash_at == Some(point);
            if breaks == Some(point) || crashes {
                let call = named.then(|| self.guests[client].call.clone());
                self.evidence.fragments.push(Fragment { server, call, first: now });
                if crashes {
                    self.die(server);
                }
                return self.reply(place, Outcome::ConnectionReset, None);
            }
        }
        self.flights[place].breaks = breaks;
        self.take(place, client);
    }

    fn take(&mut self, place: usize, client: usize) {
        let (now, server) = (self.now, self.flights[place].server);
        let guest = &self.guests[client];
        let class = guest.class;
        let one = &mut self.servers[server];
        let (least, most) = self.world.class[class].work_ms;
        let work = ((least + (most - least) * one.random.f64()) * 1e3) as u64;
        let serial = self.evidence.attempts.len() as u64;
        self.evidence.attempts.push(Attempt {
            serial,
            server,
            life: one.life,
            call: guest.call.clone(),
            class,
            key: guest.key.clone(),
            work,
            first: now,
            came: now,
            began: None,
            effect: None,
            dropped: false,
            rejected: None,
            answered: None,
            over: None,
            body: serial + 1,
        });
        self.flights[place].serial = Some(serial);
        let mut steps = Vec::new();
        let taken =
            self.flights[place].connection.welcome && one.model.offer(now, serial, work as f64, &mut steps);
        if taken {
            one.waiting.insert(serial, place);
        }
        self.steps(server, steps);
        if !self.servers[server].up {
            // It fell over this very request.
            return self.reply(place, Outcome::ConnectionReset, None);
        }
        if !taken {
            let report = self.servers[server].report(now);
            let attempt = &mut self.evidence.attempts[serial as usize];
            (attempt.rejected, attempt.over) = (Some(now), Some(now));
            self.reply(place, Outcome::Rejected, report);
        }
    }

    /// The server's model has gone on by itself.
    pub(super) fn turn(&mut self, server: ServerIndex, version: u64) {
        let (now, mut steps) = (self.now, Vec::new());
        let one = &mut self.servers[server];
        if one.version != version || !one.up {
            return;
        }
        one.turn_at = None;
        one.model.advance(now, &mut steps);
        self.steps(server, steps);
    }

    /// Carries out what the model has done, and sees to its next turn.
    pub(super) fn steps(&mut self, server: ServerIndex, steps: Vec<Step>) {
        let now = self.now;
        for step in steps {
            match step {
                Step::Began(serial) => self.evidence.attempts[serial as usize].began = Some(now),
                Step::Done(serial) => self.done(server, serial),
                Step::Fell => {
                    let life = self.servers[server].life;
                    let lives = self.evidence.lives.iter_mut();
                    lives.filter(|l| (l.server, l.life) == (server, life)).for_each(|l| l.fell = Some(now));
                    self.die(server);
                }
            }
        }
        let one = &mut self.servers[server];
        let next = if one.up { one.model.next() } else { None };
        if next != one.turn_at {
            one.version += 1;
            one.turn_at = next;
            if let Some(at) = next {
                let version = one.version;
                self.at(at, Event::Turn(server, version));
            }
        }
    }

    fn done(&mut self, server: ServerIndex, serial: u64) {
        let Some(place) = self.servers[server].waiting.remove(&serial) else { return };
        if self.breaks_at(place, Point::BeforeEffect) {
            return;
        }
        self.take_effect(serial);
        if self.breaks_at(place, Point::AfterEffect) {
            return;
        }
        let (now, half) = (self.now, self.breaks_at(place, Point::HalfAnswer));
        if half {
            return;
        }
        let report = self.servers[server].report(now);
        let attempt = &mut self.evidence.attempts[serial as usize];
        (attempt.answered, attempt.over) = (Some(now), attempt.over.or(Some(now)));
        self.reply(place, Outcome::Success, report);
    }

    fn breaks_at(&mut self, place: usize, point: Point) -> bool {
        let Flight { server, breaks, .. } = self.flights[place];
        let crashes = self.servers[server].crash_at == Some(point);
        if crashes {
            self.die(server);
        } else if breaks == Some(point) {
            self.servers[server].model.failed();
        } else {
            return false;
        }
        if point == Point::HalfAnswer {
            let Flight { agent, agent_life, .. } = self.flights[place];
            let event = AgentEvent::Ended(place, Outcome::ConnectionReset, None);
            self.after(HALF_PAUSE, Event::Agent(agent, agent_life, event));
        } else {
            self.reply(place, Outcome::ConnectionReset, None);
        }
        true
    }

    fn take_effect(&mut self, serial: u64) {
        let now = self.now;
        let attempt = &self.evidence.attempts[serial as usize];
        let is_new = match (self.plan.classes[attempt.class].0.effect, &attempt.key) {
            (Effect::Keyed(group, window), Some(key)) => {
                let group = (group == Group::Zone).then(|| self.buildings[attempt.server]);
                let key = (attempt.class, group, key.clone());
                let is_new = self.repeats.get(&key).is_none_or(|last| attempt.came.since(*last) > window);
                if is_new {
                    self.repeats.insert(key, now);
                }
                is_new
            }
            _ => true,
        };
        let attempt = &mut self.evidence.attempts[serial as usize];
        if is_new {
            attempt.effect = Some(now);
        } else {
            attempt.dropped = true;
        }
    }

    /// What a server answers, or the reset in place of it, goes back to the agent.
    pub(super) fn reply(&mut self, place: usize, outcome: Outcome, report: Option<Vec<f64>>) {
        let Flight { agent, agent_life, server, serial, .. } = self.flights[place];
        if let Some(serial) = serial {
            let (now, attempt) = (self.now, &mut self.evidence.attempts[serial as usize]);
            attempt.over = attempt.over.or(Some(now));
        }
        let way = self.way(agent, server, ANSWER_BYTES);
        let event = AgentEvent::Ended(place, outcome, report);
        self.after(way, Event::Agent(agent, agent_life, event));
    }

    /// A server dies: its connections are reset and new ones are refused.
    pub(super) fn die(&mut self, server: ServerIndex) {
        let one = &mut self.servers[server];
        if !std::mem::replace(&mut one.up, false) {
            return;
        }
        one.epoch += 1;
        (one.connections, one.turn_at) = (0, None);
        one.version += 1;
        let mut out: Vec<usize> = one.waiting.drain().map(|(_, place)| place).collect();
        out.sort_unstable();
        out.retain(|&place| self.flights[place].stage == Stage::Out);
        for place in out {
            self.reply(place, Outcome::ConnectionReset, None);
        }
    }

    /// A server starts again, cold; the faults of its last life are gone.
    pub(super) fn restart(&mut self, server: ServerIndex) {
        self.die(server);
        let (now, one) = (self.now, &mut self.servers[server]);
        one.model = Model::new(one.figures, now, true);
        one.life += 1;
        (one.born, one.cold, one.up) = (now, true, true);
        (one.breaks, one.crash_at) = (None, None);
        let life = one.life;
        self.write_life(server);
        let late = Duration::from_secs_f64(self.world.list_late);
        self.after(late, Event::Listed(server, crate::judge::evidence::Word::Serving(life), life));
    }

    /// Who has something out or at rest over a link, for a reset of it.
    pub(super) fn reset_link(&mut self, link: usize) {
        let over: Vec<usize> = (0..self.flights.len())
            .filter(|&place| {
                let Flight { agent, server, stage, .. } = self.flights[place];
                stage == Stage::Out && self.link(agent, server) == Some(link)
            })
            .collect();
        for place in over {
            self.reply(place, Outcome::ConnectionReset, None);
        }
        for agent in 0..self.agents.len() {
            for server in 0..self.servers.len() {
                if self.link(agent, server) == Some(link) {
                    for connection in self.agents[agent].idle.remove(&server).unwrap_or_default() {
                        self.close(server, connection);
                    }
                }
            }
        }
    }
}
