//! Checks each action once more against the rules, from what was observed of it and without the reasoning
//! that permitted it. All counts should be zero: operators see them at `GET /permits`, and each violation is
//! logged with its request and instant.

use super::attempt::{AttemptState, EarlierAttempt};
use crate::log::log;
use ryelead::{Effect, Group};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A process may be held up this long between reading its clock and writing; an action that is late by no
/// more than this is no violation.
const HELD_UP_MAX: Duration = Duration::from_millis(150);

/// A breach of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// An attempt began after its request was answered or its client had disconnected.
    AttemptAfterAnswer,
    /// An attempt began after the deadline of its request or of the shutdown.
    AttemptAfterDeadline,
    /// An attempt to a draining or removed server began after the grace period in which sends may continue.
    AttemptToLeftServer,
    /// An attempt began that may have caused an effect twice.
    DoubleEffect,
    /// A connection was closed while an answer was pending for a client that was still connected.
    ClosedOwing,
    /// The process ended with answers pending.
    ExitOwing,
    /// A connection on which a sound answer was under way was closed for no reason on the closed list.
    AnswerClosedWithoutReason,
}

impl Violation {
    /// The name of this violation in the log and in the admin API.
    pub fn name(self) -> &'static str {
        match self {
            Violation::AttemptAfterAnswer => "attempt-after-answer",
            Violation::AttemptAfterDeadline => "attempt-after-deadline",
            Violation::AttemptToLeftServer => "attempt-to-left-server",
            Violation::DoubleEffect => "double-effect",
            Violation::ClosedOwing => "closed-owing",
            Violation::ExitOwing => "exit-owing",
            Violation::AnswerClosedWithoutReason => "answer-closed-without-reason",
        }
    }
}

/// The violation counts of one agent; clones share them.
#[derive(Clone, Default)]
pub struct Violations(Rc<RefCell<BTreeMap<Violation, u64>>>);

/// An attempt that has begun, as it was observed.
#[derive(Clone, Debug)]
pub struct BegunAttempt {
    /// When the first byte was written.
    pub first_byte: Instant,
    /// When the request was answered or abandoned; `None` if it was not.
    pub answered_at: Option<Instant>,
    /// The deadline of the request; `None` while its body was incomplete.
    pub deadline: Option<Instant>,
    /// Since when the server takes no new requests; `None` if it does.
    pub server_drain_began_at: Option<Instant>,
    /// How long sends to a draining server may continue.
    pub drain_grace: Duration,
    /// Whether attempts of the request's class may be repeated.
    pub effect: Effect,
    /// The attempt itself, as it was permitted.
    pub itself: EarlierAttempt,
    /// The attempts of the request that began before it, in their state at that time.
    pub before: Vec<EarlierAttempt>,
}

impl Violations {
    /// All counts, by name.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.0.borrow().iter().map(|(violation, count)| (violation.name(), *count)).collect()
    }

    /// The total number of violations.
    pub fn total(&self) -> u64 {
        self.0.borrow().values().sum()
    }

    /// Counts and logs a violation.
    pub fn record(&self, violation: Violation, detail: &str) {
        *self.0.borrow_mut().entry(violation).or_default() += 1;
        log(&format!("violation: {}: {detail}", violation.name()));
    }

    /// Checks an attempt that has begun, and records its violations.
    pub fn check_attempt(&self, begun: &BegunAttempt, detail: &str) {
        for violation in violations_of(begun) {
            self.record(violation, detail);
        }
    }
}

/// Returns the violations of an attempt.
fn violations_of(begun: &BegunAttempt) -> Vec<Violation> {
    let later_than = |instant: Option<Instant>, slack: Duration| {
        instant.is_some_and(|instant| begun.first_byte > instant + slack)
    };
    let mut found = Vec::new();
    if later_than(begun.answered_at, HELD_UP_MAX) {
        found.push(Violation::AttemptAfterAnswer);
    }
    if later_than(begun.deadline, HELD_UP_MAX) {
        found.push(Violation::AttemptAfterDeadline);
    }
    if later_than(begun.server_drain_began_at, begun.drain_grace) {
        found.push(Violation::AttemptToLeftServer);
    }
    if begun.before.iter().any(|other| may_double_effect(begun, other)) {
        found.push(Violation::DoubleEffect);
    }
    found
}

/// Whether both attempts may have caused the effect of their request.
fn may_double_effect(begun: &BegunAttempt, other: &EarlierAttempt) -> bool {
    if other.state == AttemptState::NeverRan {
        return false;
    }
    match begun.effect {
        Effect::Idempotent => false,
        Effect::AtMostOnce => true,
        Effect::Deduplicated { group, window } => {
            let apart = match group {
                Group::All => false,
                Group::Zone => other.zone != begun.itself.zone,
                Group::Cell => other.cell != begun.itself.cell,
            };
            let forgotten = other.begun + Duration::from_micros(window.0) + HELD_UP_MAX;
            apart || begun.first_byte > forgotten
        }
    }
}

#[cfg(test)]
mod tests;
