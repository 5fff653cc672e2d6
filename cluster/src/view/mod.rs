//! One member's view of the fleet. Membership is SWIM by the crate `foca`; round it stand what that leaves to its user:
//! lives, probes that rejoin members who are not there, comparison of views, time that a stopped process did not have, and whether
//! the view is converged.
//!
//! Packets and time go in, packets and events come out: after each call of a `handle_` method, take what there is with
//! [`View::poll_packet`] and [`View::poll_event`], and call again at [`View::next_timer`].

mod codec;
mod direct_evidence;
mod event;
mod receive;
mod reconcile;
mod runtime;
mod setup;
mod timeouts;

pub use event::{Change, Counts, Dropped, Event, MemberStatus};
pub use receive::GOSSIP_BACKLOG_MOST;
pub use setup::{BadSetup, Setup};

use crate::envelope::{Room, seal};
use crate::health::Health;
use crate::member::{Identity, Life, Number, State};
use crate::pace;
use crate::sync::{Summary, Talk, encode};
use crate::table::Table;
use crate::timers::Timers;
use codec::MemberCodec;
use direct_evidence::DirectEvidence;
use foca::{Foca, Identity as _, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use runtime::{Requests, settings};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Packets that wait to be sent. Past it the oldest is dropped, as a network would.
const PACKETS_MOST: usize = 1_024;
/// Events that wait to be taken. Past it the oldest is dropped and counted.
const EVENTS_MOST: usize = 8_192;
/// How the membership protocol writes how many updates follow a header.
const UPDATE_COUNT_BYTES: usize = size_of::<u16>();

/// The membership protocol, as the view uses it.
type Swim = Foca<Identity, MemberCodec, SmallRng, foca::NoCustomBroadcast>;

/// Timers of a view.
enum TimerKind {
    Swim(Timer<Identity>),
    RejoinProbe,
    Sync,
    /// Once more, since a comparison has found a difference.
    SyncSoon,
    /// Looks whether the view is still sure.
    Look,
}

/// What became of this member itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It takes part.
    Present,
    /// Another process has its number; until then it keeps quiet, then it goes above this life.
    Quiet { until: Duration, above: Life },
    /// It has left for good.
    Left,
}

/// One member's view of the fleet. Times are those of any clock that only goes forward.
pub struct View {
    swim: Swim,
    codec: MemberCodec,
    evidence: Rc<DirectEvidence>,
    random: SmallRng,
    peers: Vec<SocketAddr>,
    /// The same, to be searched.
    by_address: HashSet<SocketAddr>,
    started: Duration,
    standing: Standing,
    health: Health,
    /// A probe of the present period has failed.
    probe_failed: bool,
    timers: Timers<TimerKind>,
    /// All others that were ever heard of.
    table: Table,
    /// An earlier comparison than the next regular one is on its way.
    asks_soon: bool,
    /// When another member last had the same view.
    agreed: Option<Duration>,
    was_sure: bool,
    packets: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
}

impl View {
    /// A member that starts now.
    pub fn new(setup: Setup, now: Duration) -> Result<View, BadSetup> {
        let address = setup.check()?;
        let Setup { number, name, life, peers, seed } = setup;
        let me = Identity { number, life, turn: 0, address, name };
        let evidence = Rc::new(DirectEvidence::default());
        let codec =
            || MemberCodec { peers: peers.clone(), evidence: Rc::clone(&evidence), inner: PostcardCodec };
        let random = SmallRng::seed_from_u64(seed);
        let mut view = View {
            swim: Foca::new(me, settings(), SmallRng::seed_from_u64(!seed), codec()),
            codec: codec(),
            evidence,
            random,
            by_address: peers.iter().copied().collect(),
            peers,
            started: now,
            standing: Standing::Present,
            health: Health::default(),
            probe_failed: false,
            timers: Timers::default(),
            table: Table::default(),
            asks_soon: false,
            agreed: None,
            was_sure: false,
            packets: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
        };
        // Members that start together do not all speak at once.
        let apart = pace::SEEK_EVERY_ALONE.mul_f64(view.random.random_range(0.0..1.0));
        view.timers.set(now + apart, TimerKind::RejoinProbe);
        view.timers.set(now + apart + pace::SYNC_EVERY_UNLIKE, TimerKind::Sync);
        view.timers.set(now, TimerKind::Look);
        Ok(view)
    }
}

/// What a view says.
impl View {
    /// This member, as the others know it.
    pub fn me(&self) -> &Identity {
        self.swim.identity()
    }

    /// All that were ever heard of, by number, this member among them.
    pub fn members(&self, now: Duration) -> Vec<MemberStatus> {
        let mut entries: Vec<MemberStatus> = self
            .table
            .lines()
            .map(|e| MemberStatus {
                identity: e.identity.clone(),
                state: e.state,
                since: now.saturating_sub(e.since),
            })
            .collect();
        let me = self.me().clone();
        let state = if self.standing == Standing::Present { State::Alive } else { State::Gone };
        let at = entries.partition_point(|entry| entry.identity.number < me.number);
        entries.insert(at, MemberStatus { identity: me, state, since: now.saturating_sub(self.started) });
        entries
    }

    /// Equal for two views exactly if these hold the same members in the same lives, and the same of them gone.
    pub fn digest(&self) -> u64 {
        self.summary().digest()
    }

    /// Whether this view is likely to be that of the fleet: another member had the same within [`pace::SURE_FOR`], and more
    /// than half of all members that the configuration or the fleet has ever named are there and not even suspected. A
    /// member that is cut off, alone or with a minority, is not sure, and knows it.
    pub fn is_sure(&self, now: Duration) -> bool {
        let present = 1 + self.table.alive();
        let named = self.named();
        let agreed = self.agreed.is_some_and(|at| now.saturating_sub(at) < pace::SURE_FOR);
        self.standing == Standing::Present && 2 * present > named && (agreed || named == 1)
    }

    /// How many members are there, this one among them.
    pub fn size(&self) -> usize {
        1 + self.present()
    }

    /// How many of them are suspected.
    pub fn suspects(&self) -> usize {
        self.table.present() - self.table.alive()
    }

    /// How many updates wait to be passed on by gossip.
    pub fn gossip_backlog(&self) -> usize {
        self.swim.updates_backlog()
    }

    /// What it has counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn present(&self) -> usize {
        self.table.present()
    }

    /// How many members the configuration or the fleet has ever named, this one among them.
    fn named(&self) -> usize {
        let beyond = self.table.from(Number(self.peers.len() as u16));
        self.peers.len() + beyond
    }

    fn summary(&self) -> Summary {
        let mut summary = self.table.summary();
        summary.add(self.me(), false);
        summary
    }
}

/// Packets and time in, packets and events out.
impl View {
    /// A packet has come from this address.
    pub fn handle_packet(&mut self, now: Duration, from: SocketAddr, packet: &[u8]) -> Result<(), Dropped> {
        self.forgive(now);
        let handled = self.receive(now, from, packet);
        match handled {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.dropped += 1,
        }
        self.refresh(now);
        handled
    }

    /// Time has passed; must be called at [`View::next_timer`], and may be at any time.
    pub fn handle_timeout(&mut self, now: Duration) {
        self.forgive(now);
        self.update_evidence_window(now);
        while let Some(what) = self.timers.pop_due(now) {
            self.elapsed(now, what);
            self.refresh(now);
        }
        self.tell_convergence(now);
    }

    /// When [`View::handle_timeout`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// The next packet to be sent, and where to.
    pub fn poll_packet(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.packets.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// This member leaves for good: it tells some, who tell the others. From here on it says and hears nothing.
    pub fn leave(&mut self, now: Duration) {
        if self.standing != Standing::Present {
            return;
        }
        // Under a turn that nobody has heard yet, so that nobody doubts it; what would make it heard is not sent.
        if let Some(last) = self.me().renew() {
            let waiting = self.packets.len();
            self.swim(now, |swim, requests| swim.change_identity(last, requests));
            self.packets.truncate(waiting);
        }
        self.swim(now, |swim, requests| swim.leave_cluster(requests));
        // Others than the first few, in case those don't hear it.
        self.swim(now, |swim, requests| swim.gossip(requests));
        self.standing = Standing::Left;
    }
}

/// What the other parts of a view do their work with.
impl View {
    /// Lets the membership protocol do something and carries out what it wants.
    fn swim(&mut self, now: Duration, act: impl FnOnce(&mut Swim, &mut Requests) -> Result<(), foca::Error>) {
        let mut requests = Requests::default();
        // Its errors are packets that make no sense to it; what it wanted until then holds.
        let _ = act(&mut self.swim, &mut requests);
        for (to, packet) in requests.sends {
            self.send(to, packet);
        }
        for (timer, after) in requests.timers {
            let after = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                    after * self.health.stretch()
                }
                Timer::ChangeSuspectToDown { ref member_id, .. } => {
                    self.evidence.stale.borrow_mut().add(member_id.number);
                    let patience = pace::suspicion(self.size()) * self.health.stretch();
                    self.probe_failed = true;
                    self.health.worse();
                    patience
                }
                _ => after,
            };
            self.timers.set(now + after, TimerKind::Swim(timer));
        }
        if requests.declared_dead {
            self.emit(Event::CalledGone);
        }
    }

    fn send_talk(&mut self, to: SocketAddr, talk: &Talk) {
        if let Some(body) = encode(talk) {
            self.send(to, seal(Room::Talk, &body));
        }
    }

    fn send(&mut self, to: SocketAddr, packet: Vec<u8>) {
        if self.packets.len() == PACKETS_MOST {
            self.packets.pop_front();
            self.counts.overflowed += 1;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += packet.len() as u64;
        self.packets.push_back((to, packet));
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() == EVENTS_MOST {
            self.events.pop_front();
            self.counts.overflowed += 1;
        }
        self.events.push_back(event);
    }
}
