//! The life of this process towards its clients: when it says that it is ready, accepts, ends connections, and exits. No
//! socket and no clock: the caller brings the time, and asks again at [`LifeCycle::next`].
//!
//! | in \ on | list usable | `fail` | `ok` | SIGTERM |
//! | --- | --- | --- | --- | --- |
//! | `Starting` | `Serving` | `Draining` | - | stop |
//! | `Serving` | - | `Draining` | - | stop |
//! | `Draining` | - | - | `Serving`, or `Starting` without a usable list | stop |
//! | `Stopping`, `HandingOver` | - | - | refused | - |
//!
//! `-` changes nothing and is no error. A stop leads to `HandingOver` where the platform holds the listening socket,
//! since whoever runs next takes what waits there, and to `Stopping` where the socket ends with this process. Nothing
//! leads back from either. A drain is that of this agent, not of a server: the decision module never hears of it.

use super::ProcessEnd;
use std::time::Duration;
use tokio::time::Instant;

/// In a drain clients that have just been sent here still ask; connections rest no longer after this.
const DRAIN_REST: Duration = Duration::from_millis(1000);
/// And after this, whatever still has no whole request ends at once: it had longer than a slow head takes.
const DRAIN_END: Duration = Duration::from_millis(3200);
/// After a stop new connections go on coming for a while, and are served.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// Once nothing is owed, connections that have not been used yet are given this long.
const LINGER: Duration = Duration::from_millis(400);
/// Before a hand-over closes connections that rest: most are asked once more in that time, and end with the answer, which
/// no request can cross.
const HAND_OVER_REST: Duration = Duration::from_millis(1000);
/// Where the process stands; instants are those of the order that led there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No list of servers that can be used has come yet.
    Starting,
    /// As long as nobody says otherwise.
    Serving,
    /// Operators have sent the clients away.
    Draining(Instant),
    /// Told to end; its listening socket ends with it.
    Stopping(Instant),
    /// Told to end; the platform holds the listening socket for the next process.
    HandingOver(Instant),
}

/// What is to be done about connections that owe nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resting {
    /// They may rest.
    Stay,
    /// Those that rest end, unless a request has come; those that have carried none keep their first answer.
    End,
    /// All that owe no answer end.
    EndAtOnce,
}

/// An order that can't be followed any more: the process is on its way out.
#[derive(Debug, PartialEq, Eq)]
pub struct OnItsWayOut;

/// The process may end. Whoever ends it uses it up.
#[derive(Debug, PartialEq, Eq)]
pub struct ExitPermit(());

/// The life of one process.
pub struct LifeCycle {
    phase: Phase,
    /// The listening socket is the platform's.
    inherited: bool,
    /// The longest deadline of a class.
    longest: Duration,
}

impl Phase {
    /// What operators and the log call it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining(_) => "draining",
            Phase::Stopping(_) => "stopping",
            Phase::HandingOver(_) => "handing over",
        }
    }
}

impl LifeCycle {
    /// A process that has just started.
    pub fn new(inherited: bool, longest: Duration) -> Self {
        LifeCycle { phase: Phase::Starting, inherited, longest }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// There is a server to send to.
    pub fn list_usable(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// Operators send the clients away.
    pub fn fail(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.phase = Phase::Draining(now);
        }
    }

    /// Operators want the clients back; `usable`: there is a server to send to.
    pub fn ok(&mut self, usable: bool) -> Result<(), OnItsWayOut> {
        match self.phase {
            Phase::Starting | Phase::Serving => Ok(()),
            Phase::Draining(_) => {
                self.phase = if usable { Phase::Serving } else { Phase::Starting };
                Ok(())
            }
            Phase::Stopping(_) | Phase::HandingOver(_) => Err(OnItsWayOut),
        }
    }

    /// The process is told to end.
    pub fn stop(&mut self, now: Instant) {
        self.phase = match self.phase {
            Phase::Stopping(_) | Phase::HandingOver(_) => return,
            _ if self.inherited => Phase::HandingOver(now),
            _ => Phase::Stopping(now),
        };
    }

    /// What readiness says, given whether there is a server to send to. A stop does not make it say no: its clients
    /// notice by the closing of connections, as they always did.
    pub fn is_ready(&self, usable: bool) -> bool {
        usable && !matches!(self.phase, Phase::Draining(_))
    }

    /// The process takes clients.
    pub fn takes_clients(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether to accept connections. A socket that another process may serve too is left to that one until this one
    /// can decide, and from the stop on.
    pub fn accepts(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Starting => !self.inherited,
            Phase::Serving | Phase::Draining(_) => true,
            Phase::Stopping(since) => now < since + ACCEPT_ON,
            Phase::HandingOver(_) => false,
        }
    }

    /// Whether every answer ends its connection.
    pub fn ends_connections(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Serving)
    }

    /// What is to be done about connections that owe nothing.
    pub fn rest(&self, now: Instant) -> Resting {
        let (since, end) = match self.phase {
            Phase::Starting | Phase::Serving => return Resting::Stay,
            Phase::Draining(since) if now >= since + DRAIN_END => return Resting::EndAtOnce,
            Phase::Draining(since) => (since, DRAIN_REST),
            Phase::Stopping(since) => (since, ACCEPT_ON),
            Phase::HandingOver(since) => (since, HAND_OVER_REST),
        };
        if now >= since + end {
            Resting::End
        } else {
            Resting::Stay
        }
    }

    /// Whether the process may end now, with so many connections open and so many of them owing an answer or about to.
    pub fn exits(&self, now: Instant, open: usize, owed: usize) -> Option<ExitPermit> {
        let (Phase::Stopping(since) | Phase::HandingOver(since)) = self.phase else { return None };
        let quiet = since + LINGER + if self.inherited { HAND_OVER_REST } else { ACCEPT_ON };
        let idle = open == 0 && !self.accepts(now);
        let is_over = now >= ProcessEnd::new(since, self.longest).exit();
        (idle || (owed == 0 && now >= quiet) || is_over).then_some(ExitPermit(()))
    }

    /// By when all that is taken must have its answer, if the process is to end.
    pub fn answers_by(&self) -> Option<Instant> {
        let (Phase::Stopping(since) | Phase::HandingOver(since)) = self.phase else { return None };
        Some(ProcessEnd::new(since, self.longest).answers_by())
    }

    /// When one of the answers above changes by itself, if one does.
    pub fn next(&self, now: Instant) -> Option<Instant> {
        let instants = match self.phase {
            Phase::Starting | Phase::Serving => return None,
            Phase::Draining(since) => [since + DRAIN_REST, since + DRAIN_END],
            Phase::Stopping(since) => [since + ACCEPT_ON, since + ACCEPT_ON + LINGER],
            Phase::HandingOver(since) => [since + HAND_OVER_REST, since + HAND_OVER_REST + LINGER],
        };
        instants.into_iter().find(|at| *at > now)
    }
}

#[cfg(test)]
mod tests;
