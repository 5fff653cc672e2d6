//! The faults of a world, each caused in one place, as on sockets.

use super::{Emulation, Event, CONNECT_WAIT, HEAL, NEAR};
use crate::clock::At;
use crate::judge::evidence::{Outage, ServerIndex, Silence, Word};
use crate::standins::booking::Reports;
use crate::standins::discovery::Ailment;
use crate::standins::link::Direction;
use crate::world::Kind;
use std::time::Duration;

/// A watch that nobody answers has failed after this.
const WATCH_WAIT: Duration = Duration::from_secs(25);

impl Emulation<'_> {
    pub(super) fn schedule_faults(&mut self) {
        for (fault, facts) in self.world.fault.iter().enumerate() {
            let targets: Vec<Option<usize>> = match facts.kind {
                Kind::List | Kind::ListLate | Kind::ListPace | Kind::ListMoves | Kind::Kill | Kind::Stall => {
                    self.world.agents_named(&facts.agents).into_iter().map(Some).collect()
                }
                _ if !facts.servers.is_empty() => {
                    self.world.servers_named(&facts.servers).into_iter().map(Some).collect()
                }
                _ => vec![None],
            };
            for (n, target) in targets.into_iter().enumerate() {
                let from = At::from_secs(facts.at + facts.stagger * n as f64);
                self.at(from, Event::Fault { fault, target, begins: true });
                if let Some(lasts) = facts.lasts {
                    let to = from.plus(Duration::from_secs_f64(lasts));
                    self.at(to, Event::Fault { fault, target, begins: false });
                }
            }
        }
    }

    pub(super) fn fault(&mut self, fault: usize, target: Option<usize>, begins: bool) {
        let kind = self.world.fault[fault].kind;
        match (kind, target) {
            (
                Kind::List | Kind::ListLate | Kind::ListPace | Kind::ListMoves | Kind::Kill | Kind::Stall,
                Some(agent),
            ) => {
                self.agent_fault(fault, agent, begins);
            }
            (Kind::Flood, _) => {
                let facts = &self.world.fault[fault];
                let office = self.world.office.iter().position(|o| Some(&o.name) == facts.office.as_ref());
                if let Some(office) = office {
                    self.floods[office] = if begins { facts.factor.unwrap_or(1.0) } else { 1.0 };
                }
            }
            (_, Some(server)) => self.server_fault(fault, server, begins),
            (_, None) => self.link_fault(fault, begins),
        }
    }

    fn server_fault(&mut self, fault: usize, server: ServerIndex, begins: bool) {
        let facts = &self.world.fault[fault];
        let (now, mut steps) = (self.now, Vec::new());
        let one = &mut self.servers[server];
        match facts.kind {
            Kind::Slow => {
                let factor = if begins { facts.factor.unwrap_or(1.0) } else { 1.0 };
                one.model.set_slow(now, factor, &mut steps);
            }
            Kind::Hang => one.model.set_hung(now, begins, &mut steps),
            Kind::Crash if begins => {
                let life = one.life;
                self.die(server);
                let late = self.world.list_late;
                if facts.lasts.is_none_or(|lasts| late < lasts) {
                    let late = Duration::from_secs_f64(late);
                    self.after(late, Event::Listed(server, Word::Gone, life));
                }
            }
            Kind::Drain if begins => self.list_now(server, Word::Draining),
            Kind::Restart if begins => self.restart(server),
            Kind::Crash | Kind::Drain | Kind::CrashAt if !begins => self.restart(server),
            Kind::Break => one.breaks = facts.point.zip(facts.odds).filter(|_| begins),
            Kind::CrashAt => one.crash_at = facts.point,
            Kind::Reports => {
                one.reports = if begins { facts.reports.unwrap_or_default() } else { Reports::Sound };
            }
            Kind::Idle => {
                let ms = if begins { facts.idle_ms.unwrap_or(0.0) } else { self.world.server.idle_ms };
                one.idle = Duration::from_secs_f64(ms / 1e3);
                one.idle_silently = begins && facts.silently;
            }
            _ => {}
        }
        self.steps(server, steps);
    }

    fn agent_fault(&mut self, fault: usize, agent: usize, begins: bool) {
        let facts = &self.world.fault[fault];
        let now = self.now;
        let to = facts.lasts.map_or(At(u64::MAX), |lasts| now.plus(Duration::from_secs_f64(lasts)));
        let ms = Duration::from_secs_f64(facts.latency_ms.unwrap_or(0.0) / 1e3);
        match (facts.kind, begins) {
            (Kind::List, true) => {
                let ailment = facts.list.unwrap_or_default();
                let registry = self.registry.clone();
                let one = &mut self.agents[agent];
                one.ailment = ailment;
                one.stale = (ailment == Ailment::Stale).then_some(registry);
                match ailment {
                    Ailment::Silent => self.hurry_news(agent, now.plus(WATCH_WAIT), true),
                    Ailment::Down => self.hurry_news(agent, now.plus(NEAR), true),
                    Ailment::None | Ailment::Stale => {}
                }
            }
            (Kind::List, false) => {
                let one = &mut self.agents[agent];
                (one.ailment, one.stale) = (Ailment::None, None);
                self.hurry_news(agent, now.plus(NEAR), false);
            }
            (Kind::ListLate | Kind::ListPace, _) => {
                self.agents[agent].delay = if begins { ms } else { Duration::ZERO }
            }
            (Kind::ListMoves, true) => self.forget_version(agent),
            (Kind::Kill, true) => {
                self.evidence.outages.push(Outage { agent, from: now, to });
                self.kill_agent(agent);
            }
            (Kind::Kill, false) => self.restart_agent(agent),
            (Kind::Stall, true) => {
                self.evidence.outages.push(Outage { agent, from: now, to: to.plus(HEAL) });
                self.agents[agent].stalled_until = to;
            }
            _ => {}
        }
    }

    fn link_fault(&mut self, fault: usize, begins: bool) {
        let facts = &self.world.fault[fault];
        let now = self.now;
        let building = self.world.building.iter().position(|b| Some(&b.name) == facts.building.as_ref());
        if begins && matches!(facts.kind, Kind::Cut | Kind::HalfOpen | Kind::CutAfter | Kind::Line) {
            let to = facts.lasts.map_or(At(u64::MAX), |l| now.plus(Duration::from_secs_f64(l)).plus(HEAL));
            self.evidence.silences.push(Silence { from: now, to });
        }
        let ms = |ms: Option<f64>| Duration::from_secs_f64(ms.unwrap_or(0.0) / 1e3);
        for place in 0..self.links.len() {
            let link = &mut self.links[place];
            if building.is_none_or(|b| link.between.0 != b && link.between.1 != b) {
                continue;
            }
            match (facts.kind, begins) {
                (Kind::Cut, true) => (link.cut_out, link.cut_back) = (true, true),
                (Kind::HalfOpen, true) => {
                    link.cut_out = facts.direction == Some(Direction::Out);
                    link.cut_back = facts.direction == Some(Direction::Back);
                }
                (Kind::CutAfter, true) => link.cut_after = facts.direction.zip(facts.bytes),
                (Kind::Reset, true) => self.reset_link(place),
                (Kind::Line, _) => {
                    let usual = Duration::from_secs_f64(self.world.between_ms / 1e3);
                    link.latency = if begins { ms(facts.latency_ms) } else { usual };
                    link.jitter = if begins { ms(facts.jitter_ms) } else { Duration::ZERO };
                    link.bandwidth = facts.kib_s.filter(|_| begins).map(|k| k * 1024.0);
                }
                (Kind::Cut | Kind::HalfOpen | Kind::CutAfter, false) => self.heal(place),
                _ => {}
            }
        }
    }

    /// A link is whole again: what was stuck in it comes through, but for what its sender has taken back.
    fn heal(&mut self, place: usize) {
        let link = &mut self.links[place];
        (link.cut_out, link.cut_back, link.cut_after) = (false, false, None);
        for (_, event) in std::mem::take(&mut link.stuck) {
            if !matches!(&event, Event::Request(flight) if self.flights[*flight].taken_back) {
                self.after(NEAR, event);
            }
        }
        // Connects that hung go on failing on their own: their next handshake comes later than CONNECT_WAIT.
        debug_assert!(CONNECT_WAIT < Duration::from_secs(1));
    }
}
