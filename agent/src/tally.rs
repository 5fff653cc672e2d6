//! Counts of what an agent does, told as one line a period, so that the cost of a whole fleet can be added up: see
//! `dilljunction-lab tally`. Off unless a file asks for it; nothing is counted then.

use crate::log::log;
use ryelead::{Outcome, Reason};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{interval, MissedTickBehavior};

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Requests taken in.
    Request,
    /// Attempts that the module has sent.
    Send,
    /// Probes that the module has sent.
    Probe,
    /// Connections to servers that were opened, or were tried to be.
    Handshake,
    /// Idle connections that were closed from this side.
    Retired,
    /// Calls to discovery.
    ListCall,
    /// Calls to discovery that brought no list.
    ListFailed,
    /// Lines that discovery has sent.
    ListLine,
    /// Those of them that can't be read.
    ListUnread,
    /// Attempts by how they ended.
    Outcome(Outcome),
    /// Probes that failed.
    ProbeFailed,
    /// Requests given up, by reason.
    GivenUp(Reason),
    /// Packets of other agents that were taken in.
    PeerPacket,
    /// Packets at their address that were not.
    PeerPacketDropped,
    /// Packets to other agents.
    PeerPacketSent,
}

impl Count {
    /// The word for it in a line; words are stable, tools add them up.
    pub fn word(self) -> &'static str {
        match self {
            Count::Request => "requests",
            Count::Send => "sends",
            Count::Probe => "probes",
            Count::Handshake => "handshakes",
            Count::Retired => "retired",
            Count::ListCall => "list-calls",
            Count::ListFailed => "list-failed",
            Count::ListLine => "list-lines",
            Count::ListUnread => "list-unread",
            Count::Outcome(Outcome::Success) => "success",
            Count::Outcome(Outcome::ServerError) => "server-error",
            Count::Outcome(Outcome::Rejected) => "rejected",
            Count::Outcome(Outcome::TimedOut) => "timed-out",
            Count::Outcome(Outcome::ConnectFailed) => "connect-failed",
            Count::Outcome(Outcome::ConnectionReset) => "reset",
            Count::Outcome(Outcome::Cancelled) => "cancelled",
            Count::Outcome(Outcome::NotSent) => "not-sent",
            Count::ProbeFailed => "probes-failed",
            Count::GivenUp(reason) => reason.name(),
            Count::PeerPacket => "peer-packets",
            Count::PeerPacketDropped => "peer-dropped",
            Count::PeerPacketSent => "peer-sent",
        }
    }
}

/// The counts of one agent; clones share them.
#[derive(Clone, Default)]
pub struct Tally(Rc<Sums>);

#[derive(Default)]
struct Sums {
    is_on: Cell<bool>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
}

impl Tally {
    /// Counts from now on.
    pub fn switch_on(&self) {
        self.0.is_on.set(true);
    }

    /// Counts one.
    pub fn count(&self, what: Count) {
        self.add(what, 1);
    }

    /// Counts so many.
    pub fn add(&self, what: Count, number: usize) {
        if !self.0.is_on.get() {
            return;
        }
        *self.0.counts.borrow_mut().entry(what.word()).or_default() += number as u64;
    }

    /// All counts since the last call and, behind a bar, the levels as they stand: one line that begins with `tally`.
    /// `at_ms` is Unix time in milliseconds.
    fn line(&self, at_ms: u128, levels: &[(&'static str, usize)]) -> String {
        let counts = std::mem::take(&mut *self.0.counts.borrow_mut());
        let counts = counts.iter().map(|(word, n)| format!(" {word}={n}"));
        let levels = levels.iter().map(|(word, n)| format!(" {word}={n}"));
        format!("tally {at_ms}{} |{}", counts.collect::<String>(), levels.collect::<String>())
    }

    /// Logs a line every `period` for as long as the agent lives; `levels` tells what stands open at that moment.
    pub async fn tell(self, period: Duration, levels: impl Fn() -> Vec<(&'static str, usize)>) {
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
