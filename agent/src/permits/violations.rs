//! Each act compared with the rules once more, from what was seen of it and without the reasoning that allowed it. Zero is the only
//! good number: operators see the counts at `GET /permits`, and each violation stands in the log with its request and instant.

use super::attempt::{AttemptState, EarlierAttempt};
use crate::log::log;
use ryelead::{Effect, Group};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A process may be held up this long between reading its clock and writing (standing test, "Beyond this bench").
const HELD_UP_MOST: Duration = Duration::from_millis(150);

/// What was done against the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// An attempt began after the request had its answer or its client had gone.
    AttemptAfterAnswer,
    /// An attempt began after the time of its request, or the process's.
    AttemptAfterDeadline,
    /// An attempt began at a server after the time in which sends to it had to stop.
    AttemptToLeftServer,
    /// An attempt began that may have had an effect twice.
    DoubleEffect,
    /// A connection was closed with an answer owed to a client that was there.
    ClosedOwing,
    /// The process ended with answers owed.
    ExitOwing,
}

impl Violation {
    /// The word for it in the log and at the operators' address.
    pub fn name(self) -> &'static str {
        match self {
            Violation::AttemptAfterAnswer => "attempt-after-answer",
            Violation::AttemptAfterDeadline => "attempt-after-deadline",
            Violation::AttemptToLeftServer => "attempt-to-left-server",
            Violation::DoubleEffect => "double-effect",
            Violation::ClosedOwing => "closed-owing",
            Violation::ExitOwing => "exit-owing",
        }
    }
}

/// The counts of one agent; clones share them.
#[derive(Clone, Default)]
pub struct Violations(Rc<RefCell<BTreeMap<Violation, u64>>>);

/// An attempt that has begun, as it was seen.
#[derive(Clone, Debug)]
pub struct BegunAttempt {
    /// When its first byte was written.
    pub first_byte: Instant,
    /// When its request was answered or given up, if it was.
    pub answered_at: Option<Instant>,
    /// By when the request had to have its answer; `None` while it was still coming.
    pub deadline: Option<Instant>,
    /// Since when nothing new may go to its server, if that is so.
    pub server_off_since: Option<Instant>,
    /// How long sends to a server that drains may go on.
    pub drain_grace: Duration,
    /// What the class allows.
    pub effect: Effect,
    /// Itself, as it was allowed.
    pub itself: EarlierAttempt,
    /// The others that began before it, and how they stood then.
    pub before: Vec<EarlierAttempt>,
}

impl Violations {
    /// All counts, by their words.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.0.borrow().iter().map(|(violation, count)| (violation.name(), *count)).collect()
    }

    /// How many there were.
    pub fn total(&self) -> u64 {
        self.0.borrow().values().sum()
    }

    /// Counts one, and says so.
    pub fn record(&self, violation: Violation, detail: &str) {
        *self.0.borrow_mut().entry(violation).or_default() += 1;
        log(&format!("violation: {}: {detail}", violation.name()));
    }

    /// Looks at an attempt that has begun.
    pub fn check_attempt(&self, begun: &BegunAttempt, detail: &str) {
        for violation in found(begun) {
            self.record(violation, detail);
        }
    }
}

/// What an attempt broke.
fn found(begun: &BegunAttempt) -> Vec<Violation> {
    let later_than = |instant: Option<Instant>, slack: Duration| {
        instant.is_some_and(|instant| begun.first_byte > instant + slack)
    };
    let mut found = Vec::new();
    if later_than(begun.answered_at, HELD_UP_MOST) {
        found.push(Violation::AttemptAfterAnswer);
    }
    if later_than(begun.deadline, HELD_UP_MOST) {
        found.push(Violation::AttemptAfterDeadline);
    }
    if later_than(begun.server_off_since, begun.drain_grace) {
        found.push(Violation::AttemptToLeftServer);
    }
    if begun.before.iter().any(|other| doubles(begun, other)) {
        found.push(Violation::DoubleEffect);
    }
    found
}

/// Whether two attempts of a request may have had an effect each.
fn doubles(begun: &BegunAttempt, other: &EarlierAttempt) -> bool {
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
            let forgotten = other.begun + Duration::from_micros(window.0) + HELD_UP_MOST;
            apart || begun.first_byte > forgotten
        }
    }
}

#[cfg(test)]
mod tests;
