//! The deadlines of a process that was told to stop: the earliest instant of SIGKILL, and by when everything
//! has to be over before it.

use std::time::Duration;
use tokio::time::Instant;

/// The most of a class's deadline that the platform takes into account. The protocol guarantees that SIGKILL
/// comes no sooner after SIGTERM than the longest deadline (at most 3 s of it) plus 0.7 s.
pub const DEADLINE_MAX: Duration = Duration::from_secs(3);
/// What the platform adds to the longest deadline before SIGKILL: 0.7 s by the same guarantee.
pub const KILL_SLACK: Duration = Duration::from_millis(700);
/// Answers are written this long before SIGKILL: 0.15 s because a process may be held up that long between
/// reading its clock and writing, and 0.1 s for the client to read the answer.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(250);
/// The process exits by itself this long before SIGKILL.
pub const EXIT_RESERVE: Duration = Duration::from_millis(100);

/// The deadlines that apply to a process from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// The earliest instant of SIGKILL.
    kill: Instant,
}

impl ProcessEnd {
    /// Computes the deadlines of a process that received SIGTERM at `stopped`; `longest_deadline` is the
    /// longest deadline of any class.
    pub fn new(stopped: Instant, longest_deadline: Duration) -> ProcessEnd {
        ProcessEnd { kill: stopped + longest_deadline.min(DEADLINE_MAX) + KILL_SLACK }
    }

    /// The instant by which every admitted request must be answered, whatever deadline its client gives it.
    pub fn answers_by(self) -> Instant {
        self.kill - ANSWER_RESERVE
    }

    /// The instant at which the process exits even if answers are still pending.
    pub fn exit(self) -> Instant {
        self.kill - EXIT_RESERVE
    }
}

#[cfg(test)]
mod tests;
