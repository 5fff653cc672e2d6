//! How long a call to discovery is waited for before another one is made beside it, and which call is closed
//! when there are too many. Does no I/O and reads no clock.
//!
//! A call is overtaken, never given up for being slow: it is read on until an answer that makes it useless has
//! been accepted, or until its place is needed. One call at a time is protected from that, so that the calls
//! that follow a slow one can't restart it for ever.

use std::time::Duration;
use tokio::time::Instant;

/// An answer that has begun is overtaken when no more of it arrives for this long, or for 1.5 times the longest
/// pause within the last answer.
const STALL_MIN: Duration = Duration::from_millis(250);
/// The most of that: what an answer that stays silent hides is polled with over a second left.
const STALL_MAX: Duration = Duration::from_millis(750);
/// An answer that is still arriving this long after it began is overtaken once.
const BODY_TIME: Duration = Duration::from_secs(2);
/// The most calls to a service that all agents share that are in flight at once. One more call costs the
/// service work, and the answers of a slow one must not become slower.
const SHARED_CALLS_MAX: usize = 4;
/// The most calls in flight to a source on the agent's own machine, which costs nothing to poll.
const LOCAL_CALLS_MAX: usize = 8;
/// How long one call is protected from being closed, at first. The time doubles each time that it passes without
/// an accepted answer, so that a call whose connection is dead hides no slow one, and any pace is met in the end.
const PROTECTION_MIN: Duration = Duration::from_secs(30);
const PROTECTION_MAX: Duration = Duration::from_secs(3600);
/// After answers that came later than this, what a silent long poll hides can't be known in time by another call:
/// such answers are waited for, since more calls would make a slow service slower.
const LATE_ANSWER: Duration = Duration::from_millis(1500);
/// The most that a long poll, and the interval between two calls, are prolonged to.
const LATE_SLACK_MAX: Duration = Duration::from_secs(4);
const LATE_INTERVAL_MAX: Duration = Duration::from_millis(2500);
/// Calls that were made this recently count as equally old.
const AGE_MIN: Duration = Duration::from_millis(100);

/// What is known of a call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallState {
    /// When it was made.
    pub sent_at: Instant,
    /// When the head of its answer had arrived.
    pub answer_began_at: Option<Instant>,
    /// When something last happened: it was made, or part of its answer arrived.
    pub last_progress_at: Instant,
}

/// The patience of one agent with one source.
#[derive(Debug)]
pub struct CallPatience {
    calls_max: usize,
    /// The longest pause within the last answer that was accepted.
    pause_seen: Duration,
    /// How late answers of a shared service come: half of it is forgotten with each answer.
    lateness_seen: Duration,
    is_local: bool,
    protection: Duration,
}

impl CallPatience {
    /// Patience with a source that has not answered yet; `is_local` if it is on the agent's own machine.
    pub fn new(is_local: bool) -> CallPatience {
        let calls_max = if is_local { LOCAL_CALLS_MAX } else { SHARED_CALLS_MAX };
        CallPatience {
            calls_max,
            pause_seen: Duration::ZERO,
            lateness_seen: Duration::ZERO,
            is_local,
            protection: PROTECTION_MIN,
        }
    }

    /// Records an answer that was accepted, the longest pause within it, and how long after the end of its hold
    /// it was whole.
    pub fn on_accepted(&mut self, longest_pause: Duration, lateness: Duration) {
        self.pause_seen = longest_pause;
        self.lateness_seen = lateness.max(self.lateness_seen / 2);
        self.protection = PROTECTION_MIN;
    }

    /// From when on another call is made beside this one, whose answer was to begin by `begin_by`.
    pub fn overtaken_at(&self, call: CallState, begin_by: Instant) -> Instant {
        match call.answer_began_at {
            None => begin_by,
            Some(began) => (call.last_progress_at + self.stall_limit()).min(began + BODY_TIME),
        }
    }

    /// Until when no further call is made because an answer is arriving; `None` if none is. Each further call
    /// is waited for longer, since it makes the answers of a slow service slower.
    pub fn arriving_until(&self, now: Instant, calls: &[CallState]) -> Option<Instant> {
        let body_time = BODY_TIME * calls.len() as u32;
        let until = |call: &CallState| {
            Some((call.last_progress_at + self.stall_limit()).min(call.answer_began_at? + body_time))
        };
        calls.iter().filter_map(until).filter(|until| *until > now).max()
    }

    /// How long after its hold a long poll may still be answered, `usual` unless answers come late.
    pub fn long_poll_slack(&self, usual: Duration) -> Duration {
        if self.is_local || self.lateness_seen <= LATE_ANSWER {
            return usual;
        }
        self.lateness_seen.clamp(usual, LATE_SLACK_MAX)
    }

    /// The interval before the next of several calls, longer than `usual` if answers come late or many are in
    /// flight.
    pub fn interval(&self, usual: Duration, in_flight: usize) -> Duration {
        let is_full = in_flight >= self.calls_max;
        let interval = if is_full { usual * 2 } else { usual };
        if self.is_local || self.lateness_seen <= LATE_ANSWER {
            return interval;
        }
        interval.max(self.lateness_seen.min(LATE_INTERVAL_MAX))
    }

    /// The calls that have to be closed before another one is made, as indices in `calls`, which are in the order
    /// in which they were made. One call is protected; of the others those stay that leave calls of all ages, so
    /// that one of them is old enough for any pace.
    pub fn calls_to_close(&mut self, now: Instant, calls: &[CallState]) -> Vec<usize> {
        let excess = (calls.len() + 1).saturating_sub(self.calls_max);
        if excess == 0 {
            return Vec::new();
        }
        let protected = self.protected(now, calls);
        let mut kept: Vec<usize> = (0..calls.len()).collect();
        let mut closed = Vec::new();
        for _ in 0..excess {
            let candidates = (0..kept.len()).filter(|place| Some(kept[*place]) != protected);
            let gap = |place: &usize| gap_without(now, calls, &kept, *place);
            let Some(place) = candidates.min_by(|a, b| gap(a).total_cmp(&gap(b))) else { break };
            closed.push(kept.remove(place));
        }
        closed
    }

    /// The oldest call whose answer has begun, or else the oldest one. A call loses its protection with time,
    /// since its connection may be dead; the next one is protected for longer.
    fn protected(&mut self, now: Instant, calls: &[CallState]) -> Option<usize> {
        let protection = self.protection;
        let is_young = |call: &CallState| now.saturating_duration_since(call.sent_at) < protection;
        if calls.first().is_some_and(|oldest| !is_young(oldest)) {
            self.protection = (protection * 2).min(PROTECTION_MAX);
        }
        let begun = calls.iter().position(|call| is_young(call) && call.answer_began_at.is_some());
        begun.or_else(|| calls.iter().position(is_young))
    }

    fn stall_limit(&self) -> Duration {
        (self.pause_seen * 3 / 2).clamp(STALL_MIN, STALL_MAX)
    }
}

/// The ratio between the ages of the two neighbours of a kept call, which is the gap that closing it leaves; zero
/// for the oldest one.
fn gap_without(now: Instant, calls: &[CallState], kept: &[usize], place: usize) -> f64 {
    let age = |place: usize| now.saturating_duration_since(calls[kept[place]].sent_at).as_secs_f64();
    let Some(older) = place.checked_sub(1) else { return 0.0 };
    let younger_age = if place + 1 < kept.len() { age(place + 1) } else { 0.0 };
    age(older) / younger_age.max(AGE_MIN.as_secs_f64())
}

#[cfg(test)]
mod tests;
