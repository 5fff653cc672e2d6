//! Polling policy that keeps the server list fresh: which call to the discovery service comes next, how long
//! it may go unanswered, and which answers are accepted. Does no I/O and reads no clock.
//!
//! A long poll whose connection has gone silent looks like one without changes until its hold time is over.
//! The allowance for changes missed that way: a change counts as known 6 s after the silence began, or 2 s
//! after the end of the requested hold if that is later, and a draining server may still be sent to for the
//! settings' drain grace from then on. So a long poll is abandoned [`LONG_POLL_SLACK`] after its hold, and
//! what it may have missed is polled at once with calls that the service does not hold. That leaves the
//! smaller of the two allowances plus the grace for connecting, answering and reading:
//!
//! `LONG_POLL_SLACK + immediate polls <= 2 s + grace`, and `<= 6 s - hold + grace` where the hold is short.
//!
//! A slow answer is not a silent one, and neither can be told from the other in time. So a call that takes longer
//! than that is overtaken by another one and read on ([`patience`]); the answer that comes first is applied, and
//! an older version than the known one never is. What a slow answer tells may be as old as its call.
//!
//! Long polls of many agents begin at the same moment, when a change reaches them all. Each agent draws its
//! hold time at random, so that neither the ends of those polls nor the polls after a common outage coincide.

pub mod patience;

use self::patience::CallPatience;
use ryelead::{Discovery, Settings};
use std::time::Duration;
use tokio::time::Instant;

/// How long after its hold a long poll may still be answered; an answer that need not be held takes a few
/// milliseconds.
const LONG_POLL_SLACK: Duration = Duration::from_millis(500);
/// Bounds of the hold time of a long poll. Where lists are pushed the source is on the agent's own machine,
/// so that a shorter hold costs nothing.
const HOLD_MAX: Duration = Duration::from_secs(20);
const HOLD_MAX_PUSHED: Duration = Duration::from_secs(2);
const HOLD_MIN: Duration = Duration::from_millis(500);
/// Where one discovery service serves all agents: the interval between immediate polls, how many of them are
/// made after a long poll has failed, and how long the last one is waited for. The service abandons its own calls
/// earlier than that.
const IMMEDIATE_INTERVAL: Duration = Duration::from_millis(500);
const IMMEDIATE_CALLS_MAX: u32 = 3;
const IMMEDIATE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval of the polls to a new source, which are made until one is answered: its list counts as known
/// after 4 s.
const NEW_SOURCE_INTERVAL: Duration = Duration::from_secs(1);
/// Where lists are pushed: the bounds of the interval between polls, which is a quarter of the drain grace. A
/// source that was down is polled again within one interval.
const PUSHED_INTERVAL: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Pause after an immediate answer without changes, so that a service that does not hold calls is not polled
/// in a tight loop; well within the 200 ms that may pass between two long polls.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);
/// A source that has sent only older versions for this long has restarted its version count.
const VERSION_RESET_AFTER: Duration = Duration::from_secs(30);

/// The settings that determine the polling policy.
#[derive(Debug, Clone, Copy)]
pub struct PollPolicy {
    /// The list is pushed to a source on the agent's own machine, which costs nothing to poll.
    pub pushed: bool,
    /// How long a server may still be sent to after it began to drain.
    pub grace: Duration,
    /// How long an agent that neither holds a long poll nor polls may use the list that it has.
    pub list_refresh_interval: Duration,
}

impl PollPolicy {
    /// Extracts the policy from the settings.
    pub fn from_settings(settings: &Settings) -> PollPolicy {
        PollPolicy {
            pushed: settings.discovery == Discovery::Pushed,
            grace: Duration::from_micros(settings.drain_grace.0),
            list_refresh_interval: Duration::from_micros(settings.list_refresh_interval.0),
        }
    }

    /// The longest hold time of a long poll.
    pub fn max_hold(&self) -> Duration {
        if self.pushed {
            HOLD_MAX_PUSHED
        } else {
            self.list_refresh_interval.clamp(HOLD_MIN, HOLD_MAX)
        }
    }

    fn pushed_interval(&self) -> Duration {
        (self.grace / 4).clamp(PUSHED_INTERVAL.0, PUSHED_INTERVAL.1)
    }
}

/// The next call to the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextCall {
    /// Returns what is newer than `from`, as soon as there is something or `hold` is over.
    LongPoll {
        /// The version that the agent has.
        from: i64,
        /// How long the source is asked to hold the call.
        hold: Duration,
        /// When its answer must have begun; another call is made beside it otherwise.
        give_up_after: Duration,
    },
    /// Returns what there is, at once. A new call starts each `interval` until one is answered; the series has
    /// failed `call_timeout` after the last one.
    Immediate {
        /// Only what is newer than this version; the whole list if `None`.
        from: Option<i64>,
        /// The interval between two calls.
        interval: Duration,
        /// How long the last call is waited for. It is read on after that.
        call_timeout: Duration,
        /// The most calls; unlimited if `None`.
        max_calls: Option<u32>,
    },
}

/// Why a call returned no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PollError {
    /// The answer did not begin in time, or stalled, or did not end in time. It may still arrive.
    #[error("no whole answer in time")]
    TimedOut,
    /// No connection, a connection that closed before the answer, or a status other than 200.
    #[error("the call failed")]
    Failed,
    /// The answer is truncated, too long or malformed.
    #[error("malformed answer")]
    Malformed,
}

/// What to do after a call, or a series of calls, that returned no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowUp {
    /// Poll again at once.
    PollAgain,
    /// Poll again after a pause.
    Pause(Duration),
    /// Report the failure to the decision module, which paces the calls to a service shared by all agents.
    ReportFailure,
}

/// Whether an answer is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// Apply the list.
    Accept,
    /// Older than the known version: applying it would undo later changes.
    Stale,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No list has come from this source yet.
    New,
    /// A list has come, and a later change may have been missed.
    MaybeStale,
    /// Immediate polls have failed too, or a call was refused: single polls at the pace of the decision
    /// module.
    Failing,
    /// Up to date: only a long poll that is silent now can miss a change.
    UpToDate,
}

/// The polling state of one agent towards one source.
///
/// | state | list accepted | timed out or malformed | failed |
/// | --- | --- | --- | --- |
/// | new | up to date | new, after a pause | new, after a pause |
/// | up to date | up to date | maybe stale, at once | failing (a) or maybe stale (b) |
/// | maybe stale | up to date | failing (a) or maybe stale (b) | failing (a) or maybe stale (b) |
/// | failing | up to date | failing (a) | failing (a) |
///
/// (a) With a service shared by all agents: the failure is reported to the decision module, which paces the
/// next call. (b) Where lists are pushed: after a pause.
///
/// A long poll is made in the up-to-date state only: half a second after its hold it is known to be silent,
/// and a change made after a failed call counts as known 6 s after the source is reachable again. Those 6 s
/// cover [`IMMEDIATE_TIMEOUT`] of a call that hangs, at most 2.1 s of pause by the decision module, and 1.4 s
/// for the answer.
pub struct Freshness {
    policy: PollPolicy,
    state: State,
    version: Option<i64>,
    older_since: Option<Instant>,
    random: fastrand::Rng,
    patience: CallPatience,
}

impl Freshness {
    /// Starts with the version of the list that the agent already has from this source, if any.
    pub fn new(policy: PollPolicy, version: Option<i64>, seed: u64) -> Self {
        // Where lists are pushed, a change counts as known from the first moment of the process.
        let state = match version {
            None => State::New,
            Some(_) if policy.pushed => State::MaybeStale,
            Some(_) => State::UpToDate,
        };
        let (random, patience) = (fastrand::Rng::with_seed(seed), CallPatience::new(policy.pushed));
        Freshness { policy, state, version, older_since: None, random, patience }
    }

    /// How long the calls are waited for.
    pub fn patience(&mut self) -> &mut CallPatience {
        &mut self.patience
    }

    /// Returns the next call to make.
    pub fn next_call(&mut self) -> NextCall {
        let Some(from) = self.version.filter(|_| self.state != State::New) else {
            let (interval, call_timeout) = self.immediate_pacing(NEW_SOURCE_INTERVAL);
            return NextCall::Immediate { from: None, interval, call_timeout, max_calls: None };
        };
        if self.state != State::UpToDate {
            let (interval, call_timeout) = self.immediate_pacing(IMMEDIATE_INTERVAL);
            let max_calls = if self.state == State::Failing { 1 } else { IMMEDIATE_CALLS_MAX };
            let max_calls = (!self.policy.pushed).then_some(max_calls);
            return NextCall::Immediate { from: Some(from), interval, call_timeout, max_calls };
        }
        let max_hold_ms = self.policy.max_hold().as_millis() as u64;
        let hold = Duration::from_millis(self.random.u64(max_hold_ms / 2..=max_hold_ms));
        let give_up_after = hold + self.patience.long_poll_slack(LONG_POLL_SLACK);
        NextCall::LongPoll { from, hold, give_up_after }
    }

    fn immediate_pacing(&self, default_interval: Duration) -> (Duration, Duration) {
        let interval = self.policy.pushed_interval();
        if self.policy.pushed {
            (interval, interval)
        } else {
            (default_interval, IMMEDIATE_TIMEOUT)
        }
    }

    /// Records an answer of this version that took `after`. Returns whether to accept it, and the pause
    /// before the next call.
    pub fn on_answer(&mut self, now: Instant, version: i64, after: Duration) -> (Acceptance, Duration) {
        let known = self.version.filter(|known| version <= *known);
        let pause = if known.is_some() && after < EMPTY_PAUSE { EMPTY_PAUSE } else { Duration::ZERO };
        if known.is_some_and(|known| version < known) {
            let since = *self.older_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= VERSION_RESET_AFTER {
                // The version count has restarted: treat it as a new source.
                (self.state, self.version, self.older_since) = (State::New, None, None);
            }
            return (Acceptance::Stale, pause);
        }
        let pause = if self.state == State::UpToDate { pause } else { Duration::ZERO };
        (self.state, self.version, self.older_since) = (State::UpToDate, Some(version), None);
        (Acceptance::Accept, pause)
    }

    /// Records a failed call or series of calls.
    pub fn on_failure(&mut self, error: PollError) -> FollowUp {
        let before = self.state;
        let pushed = self.policy.pushed;
        self.state = match before {
            State::New => State::New,
            State::UpToDate if error != PollError::Failed => State::MaybeStale,
            _ if pushed => State::MaybeStale,
            _ => State::Failing,
        };
        match (before, error) {
            (State::UpToDate, error) if error != PollError::Failed => FollowUp::PollAgain,
            (State::New, _) => FollowUp::Pause(self.policy.pushed_interval()),
            _ if pushed => FollowUp::Pause(self.policy.pushed_interval()),
            _ => FollowUp::ReportFailure,
        }
    }

    /// The version of the list last accepted from this source.
    pub fn version(&self) -> Option<i64> {
        self.version
    }
}

#[cfg(test)]
mod tests;
