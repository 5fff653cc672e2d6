//! One member's view of the fleet. The membership protocol is SWIM, by the crate `foca`. This module adds
//! what `foca` leaves to its user: generations, rejoin probes to absent members, comparison of views,
//! tolerance for a stopped process, and the check that the view has converged.
//!
//! The caller passes in packets and the time. After each call of a `handle_` method it takes the resulting
//! packets and events with [`View::poll_packet`] and [`View::poll_event`], and it calls
//! [`View::handle_timeout`] at [`View::next_timer`].

mod codec;
mod direct_evidence;
mod event;
mod receive;
mod reconcile;
mod runtime;
mod setup;
mod timeouts;

pub use event::{Change, Counts, Dropped, Event, MemberStatus};
pub use receive::GOSSIP_BACKLOG_MAX;
pub use setup::{Setup, SetupError};

use crate::envelope::{Channel, seal};
use crate::health::Health;
use crate::member::{Generation, Identity, Number, State};
use crate::pace;
use crate::sync::{Summary, SyncMessage, encode};
use crate::table::Table;
use crate::timers::Timers;
use codec::MemberCodec;
use direct_evidence::DirectEvidence;
use foca::{Foca, Identity as _, PostcardCodec, Timer};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use runtime::{RequestedActions, settings};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The most packets that wait to be sent. Beyond it the oldest is dropped, as a network would.
const PACKETS_MAX: usize = 1_024;
/// The most events that wait to be taken. Beyond it the oldest is dropped and counted.
const EVENTS_MAX: usize = 8_192;
/// The size of the update count that follows a header of the membership protocol.
const UPDATE_COUNT_BYTES: usize = size_of::<u16>();

/// The membership protocol as the view configures it.
type Swim = Foca<Identity, MemberCodec, SmallRng, foca::NoCustomBroadcast>;

/// The timers of a view.
enum TimerKind {
    Swim(Timer<Identity>),
    RejoinProbe,
    Sync,
    /// An extra comparison, since one has found a difference.
    SyncSoon,
    /// Checks whether the view is still converged, and applies disputed deaths that are confirmed.
    PeriodicCheck,
}

/// Whether this member takes part in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Participation {
    /// It takes part.
    Active,
    /// Another process has its number: it stays silent until then, and then takes a generation above this
    /// one.
    Yielding { until: Duration, above: Generation },
    /// It has left for good.
    Left,
}

/// One member's view of the fleet. Times come from any monotonic clock.
pub struct View {
    swim: Swim,
    codec: MemberCodec,
    evidence: Rc<DirectEvidence>,
    random: SmallRng,
    peers: Vec<SocketAddr>,
    /// The same addresses, for lookup.
    peer_addresses: HashSet<SocketAddr>,
    started: Duration,
    participation: Participation,
    health: Health,
    /// A probe has failed since the last probe timer.
    probe_failed: bool,
    timers: Timers<TimerKind>,
    /// All other members that this view has ever learned of.
    table: Table,
    /// A [`TimerKind::SyncSoon`] timer is set.
    sync_soon_set: bool,
    /// When another member last had the same view.
    last_agreement: Option<Duration>,
    was_converged: bool,
    packets: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    counts: Counts,
}

impl View {
    /// Creates the view of a member that starts now.
    pub fn new(setup: Setup, now: Duration) -> Result<View, SetupError> {
        let address = setup.check()?;
        let Setup { number, name, generation, peers, seed } = setup;
        let me = Identity { number, generation, incarnation: 0, address, name };
        let evidence = Rc::new(DirectEvidence::default());
        let codec =
            || MemberCodec { peers: peers.clone(), evidence: Rc::clone(&evidence), inner: PostcardCodec };
        let random = SmallRng::seed_from_u64(seed);
        let mut view = View {
            swim: Foca::new(me, settings(), SmallRng::seed_from_u64(!seed), codec()),
            codec: codec(),
            evidence,
            random,
            peer_addresses: peers.iter().copied().collect(),
            peers,
            started: now,
            participation: Participation::Active,
            health: Health::default(),
            probe_failed: false,
            timers: Timers::default(),
            table: Table::default(),
            sync_soon_set: false,
            last_agreement: None,
            was_converged: false,
            packets: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
        };
        // A random delay, so that members that start together do not all send at once.
        let start_delay = pace::REJOIN_PROBE_INTERVAL_ALONE.mul_f64(view.random.random_range(0.0..1.0));
        view.timers.set(now + start_delay, TimerKind::RejoinProbe);
        view.timers.set(now + start_delay + pace::SYNC_INTERVAL_AFTER_DIFFERENCE, TimerKind::Sync);
        view.timers.set(now, TimerKind::PeriodicCheck);
        Ok(view)
    }
}

/// Queries.
impl View {
    /// Returns this member's identity.
    pub fn me(&self) -> &Identity {
        self.swim.identity()
    }

    /// Returns all members that this view has ever learned of and this one itself, in the order of their
    /// numbers.
    pub fn members(&self, now: Duration) -> Vec<MemberStatus> {
        let mut entries: Vec<MemberStatus> = self
            .table
            .entries()
            .map(|e| MemberStatus {
                identity: e.identity.clone(),
                state: e.state,
                since: now.saturating_sub(e.since),
            })
            .collect();
        let me = self.me().clone();
        let state = if self.participation == Participation::Active { State::Alive } else { State::Down };
        let at = entries.partition_point(|entry| entry.identity.number < me.number);
        entries.insert(at, MemberStatus { identity: me, state, since: now.saturating_sub(self.started) });
        entries
    }

    /// Returns a digest that is equal for two views exactly if they hold the same members in the same
    /// generations and agree which of them are dead or left.
    pub fn digest(&self) -> u64 {
        self.summary().digest()
    }

    /// Returns whether this view has converged, that is, whether it is likely to be the same as the rest of
    /// the fleet's: another member had the same view within [`pace::CONVERGED_FOR`], and more than half of
    /// all members that the configuration or the fleet has ever named are alive and not suspected. A member
    /// that is cut off, alone or with a minority, is not converged, and detects that.
    pub fn is_converged(&self, now: Duration) -> bool {
        let alive = 1 + self.table.alive();
        let known_size = self.known_size();
        let agreed = self.last_agreement.is_some_and(|at| now.saturating_sub(at) < pace::CONVERGED_FOR);
        self.participation == Participation::Active && 2 * alive > known_size && (agreed || known_size == 1)
    }

    /// Returns how many members are alive or suspected, this one included.
    pub fn size(&self) -> usize {
        1 + self.others_present()
    }

    /// Returns how many members are suspected.
    pub fn suspects(&self) -> usize {
        self.table.present() - self.table.alive()
    }

    /// Returns how many updates wait to be passed on by gossip.
    pub fn gossip_backlog(&self) -> usize {
        self.swim.updates_backlog()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn others_present(&self) -> usize {
        self.table.present()
    }

    /// Returns how many members the configuration or the fleet has ever named, this one included.
    fn known_size(&self) -> usize {
        let beyond = self.table.from(Number(self.peers.len() as u16));
        self.peers.len() + beyond
    }

    fn summary(&self) -> Summary {
        let mut summary = self.table.summary();
        summary.add(self.me(), false);
        summary
    }
}

/// Input and output.
impl View {
    /// Handles a packet that was received from this address.
    pub fn handle_packet(&mut self, now: Duration, from: SocketAddr, packet: &[u8]) -> Result<(), Dropped> {
        self.handle_stall(now);
        let handled = self.receive(now, from, packet);
        match handled {
            Ok(()) => self.counts.received += 1,
            Err(_) => self.counts.dropped += 1,
        }
        self.refresh(now);
        handled
    }

    /// Runs the timers that are due. Must be called at [`View::next_timer`], and may be called at any time.
    pub fn handle_timeout(&mut self, now: Duration) {
        self.handle_stall(now);
        self.update_evidence_window(now);
        while let Some(kind) = self.timers.pop_due(now) {
            self.run_timer(now, kind);
            self.refresh(now);
        }
        self.report_convergence(now);
    }

    /// Returns when [`View::handle_timeout`] is due.
    pub fn next_timer(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Takes the next packet to send, with its destination.
    pub fn poll_packet(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.packets.pop_front()
    }

    /// Takes the next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Leaves the fleet for good: notifies some members, which pass it on. From then on this member neither
    /// sends nor handles packets.
    pub fn leave(&mut self, now: Duration) {
        if self.participation != Participation::Active {
            return;
        }
        // It leaves under a new incarnation, of which no member has direct evidence that would dispute the
        // death. The announcement of the new identity must not be sent, as it would create that evidence.
        if let Some(departing) = self.me().renew() {
            let queued = self.packets.len();
            self.swim(now, |swim, actions| swim.change_identity(departing, actions));
            self.packets.truncate(queued);
        }
        self.swim(now, |swim, actions| swim.leave_cluster(actions));
        // Notifies further members, in case the first ones don't receive it.
        self.swim(now, |swim, actions| swim.gossip(actions));
        self.participation = Participation::Left;
    }
}

/// Helpers for the submodules.
impl View {
    /// Calls the membership protocol and carries out the actions that it requests.
    fn swim(
        &mut self,
        now: Duration,
        call: impl FnOnce(&mut Swim, &mut RequestedActions) -> Result<(), foca::Error>,
    ) {
        let mut actions = RequestedActions::default();
        // Its errors stand for packets that it rejects; the actions requested until then are valid.
        let _ = call(&mut self.swim, &mut actions);
        for (to, packet) in actions.sends {
            self.send(to, packet);
        }
        for (timer, after) in actions.timers {
            let after = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                    after * self.health.multiplier()
                }
                Timer::ChangeSuspectToDown { ref member_id, .. } => {
                    self.evidence.stale.borrow_mut().insert(member_id.number);
                    let timeout = pace::suspicion_timeout(self.size()) * self.health.multiplier();
                    self.probe_failed = true;
                    self.health.degrade();
                    timeout
                }
                _ => after,
            };
            self.timers.set(now + after, TimerKind::Swim(timer));
        }
        if actions.declared_dead {
            self.emit(Event::DeclaredDead);
        }
    }

    fn send_sync(&mut self, to: SocketAddr, message: &SyncMessage) {
        if let Some(body) = encode(message) {
            self.send(to, seal(Channel::Sync, &body));
        }
    }

    fn send(&mut self, to: SocketAddr, packet: Vec<u8>) {
        if self.packets.len() == PACKETS_MAX {
            self.packets.pop_front();
            self.counts.overflowed += 1;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += packet.len() as u64;
        self.packets.push_back((to, packet));
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
            self.counts.overflowed += 1;
        }
        self.events.push_back(event);
    }
}
