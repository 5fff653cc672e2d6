//! Counters of an agent's activity, logged as one line per period, so that the cost of a whole fleet can be
//! added up with `dilljunction-lab tally`. Nothing is counted unless the switches file enables it.

use crate::answer_scanner::SurplusKind;
use crate::log::log;
use crate::permits::overload::OverloadLevel;
use crate::upstream::body::AnswerError;
use ryelead::{AnswerCloseReason, Outcome, Reason};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, MissedTickBehavior};

/// The events that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Requests admitted.
    Request,
    /// Attempts that the decision module has sent.
    Send,
    /// Probes that the decision module has sent.
    Probe,
    /// Connections to servers that were opened, or for which that was tried.
    Handshake,
    /// Attempts that got no connection because no more could be opened.
    PoolFull,
    /// Idle connections that the agent has closed.
    Retired,
    /// Discovery calls.
    ListCall,
    /// Discovery calls that returned no list.
    ListFailed,
    /// Server entries received from discovery.
    ListEntry,
    /// Server entries that could not be parsed.
    ListUnreadable,
    /// Attempts, by outcome.
    Outcome(Outcome),
    /// Attempts without an answer, by what was wrong with the connection or the answer.
    AnswerError(AnswerError),
    /// Times that nothing more of an answer that had begun arrived.
    AnswerStalled,
    /// Connections that were closed while a sound answer was under way, by reason.
    AnswerClosed(AnswerCloseReason),
    /// Times that a level of memory overload was entered.
    Overload(OverloadLevel),
    /// Exchanges that were ended because their client or server was silent and others needed what they held.
    SilentEnded,
    /// Requests of clients that were rejected before they were admitted.
    Rejected,
    /// Failed probes.
    ProbeFailed,
    /// Requests refused or failed by the decision module, by reason.
    GivenUp(Reason),
    /// Packets of other agents that were accepted.
    PeerPacket,
    /// Packets at the address for other agents that were dropped.
    PeerPacketDropped,
    /// Packets sent to other agents.
    PeerPacketSent,
    /// Answers behind which a copy of them arrived.
    SurplusCopy,
    /// Answers behind which other bytes arrived, so that they were not forwarded.
    SurplusOther,
    /// Connections on which bytes arrived after the answer before them had been forwarded.
    SurplusLate,
}

impl Count {
    /// The counter of what arrived behind an answer, if anything did.
    pub fn of_surplus(kind: SurplusKind) -> Option<Count> {
        match kind {
            SurplusKind::None => None,
            SurplusKind::Copy => Some(Count::SurplusCopy),
            SurplusKind::Partial | SurplusKind::Other => Some(Count::SurplusOther),
        }
    }

    /// The name of the counter in a line. Names are stable, because tools add the counters up.
    pub fn name(self) -> &'static str {
        match self {
            Count::Request => "requests",
            Count::Send => "sends",
            Count::Probe => "probes",
            Count::Handshake => "handshakes",
            Count::PoolFull => "pool-full",
            Count::Retired => "retired",
            Count::ListCall => "list-calls",
            Count::ListFailed => "list-failed",
            Count::ListEntry => "list-lines",
            Count::ListUnreadable => "list-unread",
            Count::Outcome(Outcome::Success) => "success",
            Count::Outcome(Outcome::ServerError) => "server-error",
            Count::Outcome(Outcome::Rejected) => "rejected",
            Count::Outcome(Outcome::TimedOut) => "timed-out",
            Count::Outcome(Outcome::ConnectFailed) => "connect-failed",
            Count::Outcome(Outcome::ConnectionReset) => "reset",
            Count::Outcome(Outcome::Cancelled) => "cancelled",
            Count::Outcome(Outcome::NotSent) => "not-sent",
            Count::AnswerError(error) => error.name(),
            Count::Overload(level) => level.name(),
            Count::AnswerClosed(reason) => reason.name(),
            Count::AnswerStalled => "answers-silent",
            Count::SilentEnded => "silent-ended",
            Count::Rejected => "requests-rejected",
            Count::ProbeFailed => "probes-failed",
            Count::GivenUp(reason) => reason.name(),
            Count::PeerPacket => "peer-packets",
            Count::PeerPacketDropped => "peer-dropped",
            Count::PeerPacketSent => "peer-sent",
            Count::SurplusCopy => "surplus-copy",
            Count::SurplusOther => "surplus-other",
            Count::SurplusLate => "surplus-late",
        }
    }
}

/// The resident memory of this process in KiB, by the kernel's account; 0 if it can't be read.
pub fn resident_kilobytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// The counters of one agent; clones share them.
#[derive(Clone, Default)]
pub struct Metrics(Rc<Counters>);

#[derive(Default)]
struct Counters {
    is_on: Cell<bool>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
}

impl Metrics {
    /// Enables counting.
    pub fn enable(&self) {
        self.0.is_on.set(true);
    }

    /// Increments a counter by one.
    pub fn count(&self, what: Count) {
        self.add(what, 1);
    }

    /// Increments a counter by `number`.
    pub fn add(&self, what: Count, number: usize) {
        if !self.0.is_on.get() {
            return;
        }
        *self.0.counts.borrow_mut().entry(what.name()).or_default() += number as u64;
    }

    /// Returns all counts since the last call and, after a bar, the given levels, as one line that begins
    /// with `tally`. `at_ms` is Unix time in milliseconds.
    fn line(&self, at_ms: u128, levels: &[(&'static str, usize)]) -> String {
        let counts = std::mem::take(&mut *self.0.counts.borrow_mut());
        let counts = counts.iter().map(|(name, n)| format!(" {name}={n}"));
        let levels = levels.iter().map(|(name, n)| format!(" {name}={n}"));
        format!("tally {at_ms}{} |{}", counts.collect::<String>(), levels.collect::<String>())
    }

    /// Logs a line every `period` for as long as the agent lives; `levels` returns the current numbers of
    /// open connections and the like.
    pub async fn log_periodically(self, period: Duration, levels: impl Fn() -> Vec<(&'static str, usize)>) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            log(&self.line(at.as_millis(), &levels()));
        }
    }
}

#[cfg(test)]
mod tests;
