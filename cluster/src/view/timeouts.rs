//! Handles timers that are due: those of the membership protocol, rejoin probes and comparisons of views.

use super::{Event, Participation, TimerKind, View};
use crate::member::{Generation, Identity, Number, State};
use crate::pace;
use crate::sync::SyncMessage;
use crate::table::Entry;
use foca::Timer;
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// How many random numbers are tried before all entries are scanned.
const RANDOM_TRIES: u32 = 8;

/// A member that a rejoin probe is sent to.
enum Absent<'a> {
    NeverMet(Number, SocketAddr),
    Dead(&'a Identity),
}

impl Absent<'_> {
    fn identity(self) -> Identity {
        match self {
            Absent::NeverMet(number, address) => Identity::unknown(number, address),
            Absent::Dead(identity) => identity.clone(),
        }
    }
}

impl View {
    /// Sets the time and the window by which direct evidence counts as recent.
    pub(super) fn update_evidence_window(&self, now: Duration) {
        self.evidence.now.set(now);
        self.evidence.window.set(pace::suspicion_timeout(self.size()) * self.health.multiplier());
    }

    /// Postpones all timers if this process was stopped or starved, so that no other member is suspected for
    /// that time.
    pub(super) fn handle_stall(&mut self, now: Duration) {
        let Some(late) = self.timers.postpone_if_stalled(now, pace::STALL_TOLERANCE) else { return };
        self.health.degrade();
        self.counts.stalls += 1;
        self.emit(Event::Stalled(late));
    }

    /// Runs one timer that is due. While this member yields to another process, the timer is postponed.
    pub(super) fn run_timer(&mut self, now: Duration, kind: TimerKind) {
        if let Participation::Yielding { until, above } = self.participation {
            if now < until {
                self.timers.set(until, kind);
                return;
            }
            self.participation = Participation::Active;
            self.rejoin_above(now, above);
        }
        match kind {
            TimerKind::Swim(timer) => {
                if matches!(timer, Timer::ProbeRandomMember(_)) && !std::mem::take(&mut self.probe_failed) {
                    self.health.improve();
                }
                if let Timer::ChangeSuspectToDown { member_id: who, .. } | Timer::RemoveDown(who) = &timer {
                    self.evidence.stale.borrow_mut().insert(who.number);
                }
                self.swim(now, |swim, actions| swim.handle_timer(timer, actions));
            }
            TimerKind::RejoinProbe => self.probe_to_rejoin(now),
            TimerKind::Sync => {
                self.timers.set(now + pace::SYNC_INTERVAL, TimerKind::Sync);
                self.compare_with_another();
            }
            TimerKind::SyncSoon => {
                self.sync_soon_set = false;
                self.compare_with_another();
            }
            TimerKind::PeriodicCheck => {
                self.timers.set(now + pace::PROBE_INTERVAL, TimerKind::PeriodicCheck);
                let confirmed = self.evidence.confirmed_deaths();
                if !confirmed.is_empty() {
                    confirmed
                        .iter()
                        .for_each(|reported| self.evidence.stale.borrow_mut().insert(reported.id().number));
                    self.swim(now, |swim, actions| swim.apply_many(confirmed.into_iter(), true, actions));
                }
            }
        }
    }

    /// Announces this member to some absent members. This joins the fleet at a start, and rejoins the sides
    /// of a partition.
    pub(super) fn probe_to_rejoin(&mut self, now: Duration) {
        let is_alone = self.others_present() == 0;
        let interval = if is_alone { pace::REJOIN_PROBE_INTERVAL_ALONE } else { pace::REJOIN_PROBE_INTERVAL };
        self.timers.set(now + interval, TimerKind::RejoinProbe);
        if self.size() == self.known_size() {
            return;
        }
        let me = self.me().number;
        let configured = self.peers.iter().zip(0..).map(|(address, n)| (Number(n), *address));
        let never_met = configured.filter(|(n, _)| *n != me && self.table.get(*n).is_none());
        let never_met = never_met.map(|(number, address)| Absent::NeverMet(number, address));
        let dead = self.table.entries().filter(|e| e.state == State::Down).map(|e| Absent::Dead(&e.identity));
        let absent = never_met.chain(dead).sample(&mut self.random, pace::REJOIN_PROBE_FANOUT);
        let absent: Vec<Identity> = absent.into_iter().map(Absent::identity).collect();
        for identity in absent {
            self.swim(now, |swim, actions| swim.announce(identity, actions));
        }
    }

    /// Requests a comparison of views from one other member.
    pub(super) fn compare_with_another(&mut self) {
        if let Some(address) = self.random_present() {
            let checksums = self.summary().checksums();
            self.send_sync(address, &SyncMessage::Compare { checksums, is_reply: false });
        }
    }

    /// Returns the address of a random member that is alive or suspected.
    pub(super) fn random_present(&mut self) -> Option<SocketAddr> {
        let is_present = |e: &&Entry| e.state != State::Down;
        let highest = self.table.highest()?;
        for _ in 0..RANDOM_TRIES {
            let number = Number(self.random.random_range(0..=highest.0));
            if let Some(found) = self.table.get(number).filter(is_present) {
                return Some(found.identity.address);
            }
        }
        // Few members are present, or their numbers are sparse.
        self.table.entries().filter(is_present).map(|e| e.identity.address).choose(&mut self.random)
    }

    /// Handles a report that the fleet knows this number with a higher generation: soon after its start this
    /// member takes a generation above it, later it yields to the other process.
    pub(super) fn handle_higher_generation(&mut self, now: Duration, generation: Generation) {
        if now.saturating_sub(self.started) < pace::STARTUP_WINDOW {
            self.rejoin_above(now, generation);
        } else {
            self.participation =
                Participation::Yielding { until: now + pace::YIELD_DURATION, above: generation };
            self.emit(Event::Yielded { to: generation });
        }
    }

    /// Rejoins the fleet with a generation above the known one.
    pub(super) fn rejoin_above(&mut self, now: Duration, known: Generation) {
        let Some(generation) = known.max(self.me().generation).successor() else { return };
        let me = Identity { generation, incarnation: 0, ..self.me().clone() };
        self.swim(now, |swim, actions| swim.change_identity(me, actions));
        self.emit(Event::GenerationRaised { known, generation });
    }
}
