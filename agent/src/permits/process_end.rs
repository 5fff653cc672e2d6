//! The end of a process that was told to stop, as the platform counts it: when SIGKILL may come, and by when everything has to
//! be over before that.

use std::time::Duration;
use tokio::time::Instant;

/// The longest deadline that the platform counts, whatever the classes say. Protocol page, "Figures": "SIGKILL comes no sooner
/// than the longest deadline (3 s at most) and 0.7 s more after SIGTERM".
pub const DEADLINE_COUNTED_MOST: Duration = Duration::from_secs(3);
/// What the platform adds to that; the same sentence.
pub const KILL_SLACK: Duration = Duration::from_millis(700);
/// Answers are written so long before the kill: a process may be held up for 0.15 s between reading its clock and writing
/// (standing test, "Beyond this bench"), and 0.1 s is for the client to read.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(250);
/// The process ends by itself so long before the kill.
pub const EXIT_RESERVE: Duration = Duration::from_millis(100);

/// The instants that bind a process from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// SIGKILL comes no sooner than this.
    kill: Instant,
}

impl ProcessEnd {
    /// For a process that was told to stop at an instant; `longest_deadline` is that of its classes.
    pub fn new(stopped: Instant, longest_deadline: Duration) -> ProcessEnd {
        ProcessEnd { kill: stopped + longest_deadline.min(DEADLINE_COUNTED_MOST) + KILL_SLACK }
    }

    /// By when everything that is taken must have its answer, whatever time its client gives it.
    pub fn answers_by(self) -> Instant {
        self.kill - ANSWER_RESERVE
    }

    /// When the process ends, whatever is still owed.
    pub fn exit(self) -> Instant {
        self.kill - EXIT_RESERVE
    }
}

#[cfg(test)]
mod tests;
