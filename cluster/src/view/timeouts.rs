//! What a view does when a timer is due: the membership protocol's timers, rejoin probes, comparisons.

use super::{Event, Standing, TimerKind, View};
use crate::member::{Identity, Life, Number, State};
use crate::pace;
use crate::sync::Talk;
use crate::table::Entry;
use foca::Timer;
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// How often somebody is drawn by number before all are looked through.
const TRIES: u32 = 8;

/// A member that a rejoin probe goes to.
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
    pub(super) fn update_evidence_window(&self, now: Duration) {
        self.evidence.now.set(now);
        self.evidence.window.set(pace::suspicion(self.size()) * self.health.stretch());
    }

    /// A process that was stopped has waited for nobody meanwhile.
    pub(super) fn forgive(&mut self, now: Duration) {
        let Some(late) = self.timers.forgive(now, pace::LATE) else { return };
        self.health.worse();
        self.counts.late += 1;
        self.emit(Event::Late(late));
    }

    pub(super) fn elapsed(&mut self, now: Duration, what: TimerKind) {
        if let Standing::Quiet { until, above } = self.standing {
            if now < until {
                self.timers.set(until, what);
                return;
            }
            self.standing = Standing::Present;
            self.rejoin_above(now, above);
        }
        match what {
            TimerKind::Swim(timer) => {
                if matches!(timer, Timer::ProbeRandomMember(_)) && !std::mem::take(&mut self.probe_failed) {
                    self.health.better();
                }
                if let Timer::ChangeSuspectToDown { member_id: who, .. } | Timer::RemoveDown(who) = &timer {
                    self.evidence.stale.borrow_mut().add(who.number);
                }
                self.swim(now, |swim, requests| swim.handle_timer(timer, requests));
            }
            TimerKind::RejoinProbe => self.probe_to_rejoin(now),
            TimerKind::Sync => {
                self.timers.set(now + pace::SYNC_EVERY, TimerKind::Sync);
                self.compare_with_another();
            }
            TimerKind::SyncSoon => {
                self.asks_soon = false;
                self.compare_with_another();
            }
            TimerKind::Look => {
                self.timers.set(now + pace::PERIOD, TimerKind::Look);
                let proved = self.evidence.confirmed_deaths();
                if !proved.is_empty() {
                    proved.iter().for_each(|said| self.evidence.stale.borrow_mut().add(said.id().number));
                    self.swim(now, |swim, requests| swim.apply_many(proved.into_iter(), true, requests));
                }
            }
        }
    }

    /// Announces this member to some who are not there: what joins the fleet at a start, and rejoins the sides of a partition.
    pub(super) fn probe_to_rejoin(&mut self, now: Duration) {
        let alone = self.present() == 0;
        let pause = if alone { pace::SEEK_EVERY_ALONE } else { pace::SEEK_EVERY };
        self.timers.set(now + pause, TimerKind::RejoinProbe);
        if self.size() == self.named() {
            return;
        }
        let me = self.me().number;
        let configured = self.peers.iter().zip(0..).map(|(address, n)| (Number(n), *address));
        let never_met = configured.filter(|(n, _)| *n != me && self.table.get(*n).is_none());
        let never_met = never_met.map(|(number, address)| Absent::NeverMet(number, address));
        let gone = self.table.lines().filter(|e| e.state == State::Gone).map(|e| Absent::Dead(&e.identity));
        let absent = never_met.chain(gone).sample(&mut self.random, pace::SEEK_AT_ONCE);
        let absent: Vec<Identity> = absent.into_iter().map(Absent::identity).collect();
        for identity in absent {
            self.swim(now, |swim, requests| swim.announce(identity, requests));
        }
    }

    /// Compares views with one other member.
    pub(super) fn compare_with_another(&mut self) {
        if let Some(whom) = self.random_present() {
            let sums = self.summary().sums();
            self.send_talk(whom, &Talk::Ask { sums, back: false });
        }
    }

    /// Where somebody who is there is reached.
    pub(super) fn random_present(&mut self) -> Option<SocketAddr> {
        let there = |e: &&Entry| e.state != State::Gone;
        let highest = self.table.highest()?;
        for _ in 0..TRIES {
            let number = Number(self.random.random_range(0..=highest.0));
            if let Some(found) = self.table.get(number).filter(there) {
                return Some(found.identity.address);
            }
        }
        // Few are there, or their numbers lie far apart.
        self.table.lines().filter(there).map(|e| e.identity.address).choose(&mut self.random)
    }

    /// The fleet knows this number in a higher life.
    pub(super) fn higher_life_known(&mut self, now: Duration, life: Life) {
        if now.saturating_sub(self.started) < pace::OWN_START {
            self.rejoin_above(now, life);
        } else {
            self.standing = Standing::Quiet { until: now + pace::YIELD_FOR, above: life };
            self.emit(Event::Yielded { to: life });
        }
    }

    pub(super) fn rejoin_above(&mut self, now: Duration, known: Life) {
        let Some(life) = known.max(self.me().life).above() else { return };
        let me = Identity { life, turn: 0, ..self.me().clone() };
        self.swim(now, |swim, requests| swim.change_identity(me, requests));
        self.emit(Event::WentAbove { known, life });
    }
}
