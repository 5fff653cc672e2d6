//! Fault injection: what each kind of fault does to the world's servers, links, lists and agents, and how it ends.

use crate::clock::{At, Clock};
use crate::fleet::switch::Switch;
use crate::judge::evidence::{Book, Emptied, Outage, Silence, Word};
use crate::standins::booking::{Booking, Reports};
use crate::standins::discovery::{told_at_start, Ailment, Entry, Pace, Registry, View};
use crate::standins::link::{Links, Manner};
use crate::standins::office::Offices;
use crate::world::agents::{self, Agent, Upgrade};
use crate::world::platform;
use crate::world::{Fault, Kind, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::sleep;

/// After a link is whole again, what was stuck in it takes this long to come through.
const HEAL: Duration = Duration::from_millis(300);
/// A new process that is killed is so within this from its start: before it says yes, or just after.
const KILLED_WITHIN: Duration = Duration::from_millis(300);
/// A process may be held up this long between reading its clock and writing, and is killed no later for it.
const HELD_UP_MOST: Duration = Duration::from_millis(150);
/// How often a process that was told to end is looked at, and started again where it could not listen.
const LOOK_EVERY: Duration = Duration::from_millis(10);
const START_TRIES: usize = 300;
/// The front learns within this that an agent is not ready, and sends it no new connection.
const FRONT_KNOWS: Duration = Duration::from_millis(300);
/// An agent whose clients are sent away is empty within this.
const EMPTY_WITHIN: Duration = Duration::from_secs(4);
/// And ready again within this, once they are wanted back.
const BACK_WITHIN: Duration = Duration::from_secs(2);

/// Carries out one fault at one target.
pub(super) struct FaultInjector {
    pub(super) world: World,
    pub(super) clock: Clock,
    pub(super) book: Book,
    pub(super) registry: Registry,
    pub(super) booking: Option<Booking>,
    pub(super) agent: Option<(usize, Arc<AsyncMutex<Agent>>, View)>,
    pub(super) links: Links,
    pub(super) offices: Option<Offices>,
    pub(super) restarting: Arc<AtomicUsize>,
    pub(super) failed: Arc<Mutex<Vec<usize>>>,
    pub(super) ready_after: Arc<Mutex<Vec<Duration>>>,
    pub(super) seed: Arc<Mutex<fastrand::Rng>>,
    pub(super) switch: Option<Arc<Switch>>,
    pub(super) peers: Arc<Vec<SocketAddr>>,
    pub(super) fault: Fault,
}

impl FaultInjector {
    fn links(&self) -> Vec<crate::standins::link::Link> {
        let building = self.fault.building.clone().unwrap_or_default();
        let of = move |name: &str| name.split('~').any(|part| part == building);
        self.links.matching(of).into_iter().map(|(_, link)| link).collect()
    }

    /// Writes to the list what has become of a server, as late as the list is.
    async fn list(&self, booking: &Booking, word: Word) {
        sleep(Duration::from_secs_f64(self.world.list_late)).await;
        self.list_now(booking, word);
    }

    fn list_now(&self, booking: &Booking, word: Word) {
        let servers = self.world.servers();
        let Some(server) = servers.iter().position(|(name, _)| name == booking.name()) else { return };
        let building = self.world.building[servers[server].1].name.clone();
        let (life, born) = booking.life();
        let boot_ms = if life > 0 { self.clock.unix_ms(born) } else { 0 };
        self.registry.set(Entry { server, uid: booking.name().into(), building, word, boot_ms });
    }

    async fn restart(&self, booking: &Booking) {
        self.restarting.fetch_add(1, Ordering::Relaxed);
        if booking.restart(true).await.is_ok() {
            self.list(booking, Word::Serving(booking.life().0)).await;
        }
        self.restarting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Lets the fault happen; `to` is when it ends, if it does.
    pub(super) async fn begin(&self, to: Option<At>) {
        let fault = &self.fault;
        if matches!(fault.kind, Kind::Cut | Kind::HalfOpen | Kind::CutAfter | Kind::Line) {
            let from = self.clock.now();
            let to = to.map_or(At(u64::MAX), |to| to.plus(HEAL));
            self.book.open().silences.push(Silence { from, to });
        }
        let ms = |ms: Option<f64>| Duration::from_secs_f64(ms.unwrap_or(0.0) / 1e3);
        if let Some(booking) = &self.booking {
            match fault.kind {
                Kind::Slow => booking.slow(fault.factor.unwrap_or(1.0)),
                Kind::Hang => booking.hang(true),
                Kind::Pause => booking
                    .pause_answers(Some(ms(fault.latency_ms)), fault.bytes.unwrap_or_default() as usize),
                Kind::Crash => {
                    booking.crash();
                    // The list hears of it in its time, unless it is back by then.
                    let gone = self.clock.now().plus(Duration::from_secs_f64(self.world.list_late));
                    if to.is_none_or(|to| gone < to) {
                        self.list(booking, Word::Gone).await;
                    }
                }
                Kind::Restart => self.restart(booking).await,
                Kind::Drain => self.list_now(booking, Word::Draining),
                Kind::Break => booking.break_requests(fault.point.zip(fault.odds)),
                Kind::CrashAt => {
                    if let Some(point) = fault.point {
                        booking.crash_at(point);
                    }
                }
                Kind::Reports => booking.spoil_reports(fault.reports.unwrap_or_default()),
                Kind::Idle => booking.close_idle_after(ms(fault.idle_ms), fault.silently),
                _ => {}
            }
        }
        if let Some((_, agent, view)) = &self.agent {
            match fault.kind {
                Kind::List => view.ail(fault.list.unwrap_or_default()),
                Kind::ListLate => view.delay(ms(fault.latency_ms)),
                Kind::ListPace => view.pace(Pace {
                    before_head: ms(fault.latency_ms),
                    piece_bytes: fault.bytes.unwrap_or_default() as usize,
                    before_piece: ms(fault.jitter_ms),
                }),
                Kind::ListMoves => {
                    if let Ok(address) = view.move_away().await {
                        let _ = agent.lock().await.move_discovery(address).await;
                    }
                }
                Kind::Kill => self.kill(agent, view, to).await,
                Kind::Stop => self.stop(agent, view).await,
                Kind::Upgrade => self.upgrade(agent, view, to).await,
                Kind::DrainAgent => self.send_away(agent).await,
                Kind::Stall => {
                    // What it could not answer meanwhile is the world's doing.
                    let (from, agent_index) = (self.clock.now(), self.agent.as_ref().map_or(0, |a| a.0));
                    let to = to.unwrap_or(At(u64::MAX)).plus(HEAL);
                    self.book.open().outages.push(Outage { agent: agent_index, from, to });
                    agent.lock().await.stall(true).await;
                }
                Kind::Garbage => self.garbage(true),
                _ => {}
            }
        }
        for link in self.links().into_iter().filter(|_| fault.building.is_some()) {
            match fault.kind {
                Kind::Cut => link.cut(true),
                Kind::HalfOpen => fault.direction.into_iter().for_each(|d| link.half_open(d)),
                Kind::CutAfter => {
                    fault.direction.zip(fault.bytes).into_iter().for_each(|(d, n)| link.cut_after(d, n));
                }
                Kind::Reset => {
                    self.book.open().resets.push(self.clock.now());
                    link.reset();
                }
                Kind::Line => link.set(Manner {
                    latency: ms(fault.latency_ms),
                    jitter: ms(fault.jitter_ms),
                    bandwidth: fault.kib_s.map(|k| k * 1024.0),
                    ..Manner::default()
                }),
                _ => {}
            }
        }
        self.flood(fault.factor.unwrap_or(1.0));
    }

    /// Garbage comes to the agent at the address for other agents, or does no longer.
    fn garbage(&self, comes: bool) {
        use crate::fleet::plan::{Fault, Kind};
        let (Some((index, ..)), Some(switch)) = (&self.agent, &self.switch) else { return };
        if comes {
            let amount = self.fault.factor.unwrap_or(1.0);
            let fault = Fault { kind: Kind::Garbage, at: 0.0, lasts: 0.0, members: vec![*index], amount };
            let now = switch.now();
            switch.net().begin(*index, &fault, now);
        } else {
            switch.net().end(*index);
        }
    }

    fn flood(&self, factor: f64) {
        let place = |name: &String| self.world.office.iter().position(|o| o.name == *name);
        if let (Some(offices), Some(office)) = (&self.offices, self.fault.office.as_ref().and_then(place)) {
            offices.flood(office, factor);
        }
    }

    /// Kills an agent, and starts it again at its address when its time has come.
    async fn kill(&self, agent: &Arc<AsyncMutex<Agent>>, view: &View, to: Option<At>) {
        let Some((index, ..)) = &self.agent else { return };
        self.restarting.fetch_add(1, Ordering::Relaxed);
        let mut agent = agent.lock().await;
        let from = self.clock.now();
        let place = {
            let mut book = self.book.open();
            book.outages.push(Outage { agent: *index, from, to: At(u64::MAX) });
            book.outages.len() - 1
        };
        agent.kill().await;
        if let Some(to) = to {
            self.clock.until(to).await;
        }
        if let Err(fault) = agent.restart(self.config(*index, view)).await {
            eprintln!("{fault}");
        }
        if let Some((switch, at)) = self.switch.as_ref().zip(agent.peers_at) {
            switch.place(*index, at);
        }
        self.book.open().outages[place].to = self.clock.now();
        self.restarting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Tells an agent to end, kills it when the platform would or earlier, and starts it again.
    async fn stop(&self, agent: &Arc<AsyncMutex<Agent>>, view: &View) {
        let Some((index, ..)) = &self.agent else { return };
        self.restarting.fetch_add(1, Ordering::Relaxed);
        self.end_gracefully(*index, agent).await;
        sleep(Duration::from_secs_f64(self.fault.lasts.unwrap_or(0.0))).await;
        self.start_again(*index, agent, view).await;
        if let Some(offices) = &self.offices {
            offices.send_away(*index, false);
        }
        self.restarting.fetch_sub(1, Ordering::Relaxed);
    }

    /// SIGTERM, and SIGKILL no sooner than the protocol's page says: a time in which the world had stopped the process, but for
    /// what any process may be held up, does not count. What is lost at an earlier kill, which a fault may ask for, is the world's doing.
    async fn end_gracefully(&self, index: usize, agent: &Arc<AsyncMutex<Agent>>) {
        let from = self.clock.now();
        let (starts, stalled) = {
            let mut agent = agent.lock().await;
            if agent.has_crashed() {
                self.failed.lock().unwrap_or_else(PoisonError::into_inner).push(index);
            }
            agent.terminate().await;
            (agent.starts(), agent.stalled())
        };
        let kill = self.fault.kill_ms.map(|ms| Duration::from_secs_f64(ms / 1e3));
        let bound = platform::kill_after(self.world.class.iter().map(|class| class.deadline_ms));
        loop {
            sleep(LOOK_EVERY).await;
            let mut agent = agent.lock().await;
            let since = self.clock.now().since(from);
            if since >= FRONT_KNOWS {
                self.offices.iter().for_each(|offices| offices.send_away(index, true));
            }
            // Another fault has killed it and started it again.
            if agent.starts() != starts || agent.has_ended() {
                return;
            }
            let stopped = (agent.stalled() - stalled).saturating_sub(HELD_UP_MOST);
            if since >= kill.unwrap_or(bound + stopped) {
                agent.kill().await;
                if kill.is_some_and(|kill| kill < bound) {
                    let to = self.clock.now();
                    self.book.open().outages.push(Outage { agent: index, from, to });
                }
                return;
            }
        }
    }

    /// Starts an agent whose process has ended, and notes how long it took to be ready.
    async fn start_again(&self, index: usize, agent: &Arc<AsyncMutex<Agent>>, view: &View) {
        let mut agent = agent.lock().await;
        if !agent.has_ended() {
            return;
        }
        let from = self.clock.now();
        // Its address may have gone to a connection of somebody else's for a moment.
        for _ in 0..START_TRIES {
            match agent.restart(self.config(index, view)).await {
                Ok(()) => break,
                Err(fault) => eprintln!("{fault}"),
            }
            sleep(LOOK_EVERY).await;
        }
        let is_ready = agent.ready().await.is_ok();
        drop(agent);
        if is_ready {
            let took = self.clock.now().since(from);
            self.ready_after.lock().unwrap_or_else(PoisonError::into_inner).push(took);
        } else {
            self.failed.lock().unwrap_or_else(PoisonError::into_inner).push(index);
        }
    }

    /// What an agent is told when a process of it starts now, and the note that it was told.
    fn config(&self, index: usize, view: &View) -> serde_json::Value {
        let seed = self.seed.lock().unwrap_or_else(PoisonError::into_inner).u64(..);
        let known = self.world.known.then(|| {
            let servers: Vec<_> =
                (0..self.world.servers().len()).map(|s| (s, self.registry.word(s))).collect();
            self.book.open().told.extend(told_at_start(index, &servers, self.clock.now()));
            self.registry.known(view.endpoints())
        });
        agents::config(&self.world, index, view.address(), known.as_deref(), seed, &self.peers)
    }

    /// Brings new processes of an agent beside the old one, one after the other, until its time is over.
    async fn upgrade(&self, agent: &Arc<AsyncMutex<Agent>>, view: &View, to: Option<At>) {
        let Some((index, ..)) = &self.agent else { return };
        let (manner, every) = (self.fault.new.unwrap_or_default(), self.fault.every.unwrap_or(2.0));
        let mut next = self.clock.now();
        while to.is_none_or(|to| next < to) {
            self.clock.until(next).await;
            next = next.plus(Duration::from_secs_f64(every));
            let kill_after = {
                let mut random = self.seed.lock().unwrap_or_else(PoisonError::into_inner);
                Duration::from_secs_f64(KILLED_WITHIN.as_secs_f64() * random.f64())
            };
            let mut killed = None;
            let killing = || killed = Some(self.clock.now());
            let came = Agent::upgrade(agent, self.config(*index, view), manner, kill_after, killing).await;
            if let (Upgrade::Killed, Some(from)) = (manner, killed) {
                // What it had taken by then is lost, and that is the world's doing.
                self.book.open().outages.push(Outage { agent: *index, from, to: self.clock.now() });
            }
            let came = came.unwrap_or_else(|fault| {
                eprintln!("{fault}");
                false
            });
            if !came {
                self.failed.lock().unwrap_or_else(PoisonError::into_inner).push(*index);
            }
        }
    }

    /// Sends an agent's clients away, and looks whether it is empty in time.
    async fn send_away(&self, agent: &Arc<AsyncMutex<Agent>>) {
        let (Some((index, ..)), Some(offices)) = (&self.agent, &self.offices) else { return };
        let from = self.clock.now();
        let Some(admin) = agent.lock().await.admin else { return };
        agents::order(admin, "/healthcheck/fail").await;
        self.clock.until(from.plus(FRONT_KNOWS)).await;
        offices.send_away(*index, true);
        self.clock.until(from.plus(EMPTY_WITHIN)).await;
        self.look(*index, agent, offices, true).await;
    }

    async fn call_back(&self, agent: &Arc<AsyncMutex<Agent>>) {
        let (Some((index, ..)), Some(offices)) = (&self.agent, &self.offices) else { return };
        let from = self.clock.now();
        let Some(admin) = agent.lock().await.admin else { return };
        agents::order(admin, "/healthcheck/ok").await;
        self.clock.until(from.plus(BACK_WITHIN)).await;
        self.look(*index, agent, offices, false).await;
        offices.send_away(*index, false);
    }

    async fn look(&self, index: usize, agent: &Arc<AsyncMutex<Agent>>, offices: &Offices, away: bool) {
        let address = agent.lock().await.address;
        let ready = agents::says_yes(address, "/health/ready").await;
        let (resting, at) = (offices.resting(index), self.clock.now());
        self.book.open().emptied.push(Emptied { agent: index, at, away, ready, resting });
    }

    /// Ends the fault.
    pub(super) async fn end(&self) {
        if let Some(booking) = &self.booking {
            match self.fault.kind {
                Kind::Slow => booking.slow(1.0),
                Kind::Hang => booking.hang(false),
                Kind::Pause => booking.pause_answers(None, 0),
                Kind::Crash | Kind::Drain | Kind::CrashAt => self.restart(booking).await,
                Kind::Break => booking.break_requests(None),
                Kind::Reports => booking.spoil_reports(Reports::Sound),
                Kind::Idle => {
                    let idle = Duration::from_secs_f64(self.world.server.idle_ms / 1e3);
                    booking.close_idle_after(idle, false);
                }
                _ => {}
            }
        }
        if let Some((_, agent, view)) = &self.agent {
            match self.fault.kind {
                Kind::List => view.ail(Ailment::None),
                Kind::ListLate => view.delay(Duration::ZERO),
                Kind::ListPace => view.pace(Pace::default()),
                Kind::Stall => agent.lock().await.stall(false).await,
                Kind::DrainAgent => self.call_back(agent).await,
                Kind::Garbage => self.garbage(false),
                _ => {}
            }
        }
        for link in self.links().into_iter().filter(|_| self.fault.building.is_some()) {
            match self.fault.kind {
                Kind::Cut | Kind::HalfOpen | Kind::CutAfter => link.cut(false),
                Kind::Line => link.set(usual(&self.world)),
                _ => {}
            }
        }
        self.flood(1.0);
    }
}

/// What links between buildings are like without a fault.
pub(super) fn usual(world: &World) -> Manner {
    Manner { latency: Duration::from_secs_f64(world.between_ms / 1e3), ..Manner::default() }
}

impl Kind {
    /// True if it happens at a moment and does not last.
    pub(super) fn is_moment(self) -> bool {
        matches!(self, Kind::Restart | Kind::Reset | Kind::ListMoves | Kind::CrashAt)
    }
}
