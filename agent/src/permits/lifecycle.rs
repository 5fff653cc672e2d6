//! The lifecycle of this process towards its clients: when it reports that it is ready, accepts connections,
//! closes them and exits. It has no sockets and no clock: the caller passes in the time, and asks again at
//! [`Lifecycle::next`].
//!
//! | phase \ event | list usable | `fail` | `ok` | SIGTERM |
//! | --- | --- | --- | --- | --- |
//! | `Starting` | `Serving` | `Draining` | - | shutdown |
//! | `Serving` | - | `Draining` | - | shutdown |
//! | `Draining` | - | - | `Serving`, or `Starting` without a usable list | shutdown |
//! | `Stopping`, `HandingOver` | - | - | refused | - |
//!
//! `-` changes nothing and is no error. A shutdown leads to `HandingOver` where the platform holds the
//! listening socket, because the next process accepts the connections that are queued there, and to
//! `Stopping` where the socket closes with this process. Neither phase is ever left. `fail` drains this
//! agent, not a server: the decision module is not notified of it.

use super::ProcessEnd;
use std::time::Duration;
use tokio::time::Instant;

/// During a drain, idle connections are kept this long, because clients that were just directed here still
/// send requests.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(1000);
/// After this long in a drain, every connection without a complete request is closed immediately; that is
/// longer than a slow request head may take.
const DRAIN_CLOSE_AFTER: Duration = Duration::from_millis(3200);
/// For this long after a shutdown begins, new connections are still accepted and served.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// Once no answer is pending, connections that have not been used yet are given this long.
const UNUSED_GRACE: Duration = Duration::from_millis(400);
/// A listener handover keeps idle connections this long before it closes them. Most of them carry one more
/// request in that time and are closed with its answer, which no new request can cross.
const HANDOVER_IDLE_TIME: Duration = Duration::from_millis(1000);

/// Phase of the process; the instants are when the order that led to the phase was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No usable server list has been received yet.
    Starting,
    /// Normal operation.
    Serving,
    /// An operator has taken the agent out of service; clients are to go elsewhere.
    Draining(Instant),
    /// Shutting down; the listening socket closes with the process.
    Stopping(Instant),
    /// Shutting down; the platform holds the listening socket for the next process.
    HandingOver(Instant),
}

/// What to do with connections on which no answer is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// Idle connections are kept.
    Keep,
    /// Idle connections are closed, unless a request has arrived; connections that have carried no request
    /// yet are closed after their first answer.
    Close,
    /// All connections without a pending answer are closed immediately.
    CloseImmediately,
}

/// An order was refused because the process is already shutting down.
#[derive(Debug, PartialEq, Eq)]
pub struct ShuttingDown;

/// The client connections of a process, as far as its end depends on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenConnections {
    /// Number of open connections.
    pub open: usize,
    /// Number of connections with an answer pending or a request arriving.
    pub pending: usize,
    /// A client goes on reading an answer that has begun.
    pub answer_moves: bool,
}

/// Permission to end the process. The code that ends it consumes the permit.
#[derive(Debug, PartialEq, Eq)]
pub struct ExitPermit(());

/// The lifecycle of one process.
pub struct Lifecycle {
    phase: Phase,
    /// Whether the listening socket was inherited from the platform.
    inherited: bool,
    /// The longest deadline of any class.
    longest_deadline: Duration,
}

impl Phase {
    /// The name of the phase in the admin API, the log and events.
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

impl Lifecycle {
    /// A process that has just started.
    pub fn new(inherited: bool, longest_deadline: Duration) -> Self {
        Lifecycle { phase: Phase::Starting, inherited, longest_deadline }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Reports that there is a server to send requests to.
    pub fn list_usable(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Serving;
        }
    }

    /// An operator takes the agent out of service.
    pub fn fail(&mut self, now: Instant) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.phase = Phase::Draining(now);
        }
    }

    /// An operator puts the agent back into service. `usable` says whether there is a server to send requests
    /// to.
    pub fn ok(&mut self, usable: bool) -> Result<(), ShuttingDown> {
        match self.phase {
            Phase::Starting | Phase::Serving => Ok(()),
            Phase::Draining(_) => {
                self.phase = if usable { Phase::Serving } else { Phase::Starting };
                Ok(())
            }
            Phase::Stopping(_) | Phase::HandingOver(_) => Err(ShuttingDown),
        }
    }

    /// Begins the shutdown.
    pub fn stop(&mut self, now: Instant) {
        self.phase = match self.phase {
            Phase::Stopping(_) | Phase::HandingOver(_) => return,
            _ if self.inherited => Phase::HandingOver(now),
            _ => Phase::Stopping(now),
        };
    }

    /// The readiness status; `usable` says whether there is a server to send requests to. A shutdown does not
    /// make the agent unready: its clients notice by their connections being closed.
    pub fn is_ready(&self, usable: bool) -> bool {
        usable && !matches!(self.phase, Phase::Draining(_))
    }

    /// Whether the agent is in normal operation.
    pub fn is_in_service(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether to accept connections. An inherited socket may be served by another process too; it is left to
    /// that one until this one has a usable server list, and again once this one shuts down.
    pub fn accepts(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Starting => !self.inherited,
            Phase::Serving | Phase::Draining(_) => true,
            Phase::Stopping(since) => now < since + ACCEPT_AFTER_STOP,
            Phase::HandingOver(_) => false,
        }
    }

    /// Whether every answer closes its connection.
    pub fn closes_connections(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Serving)
    }

    /// What to do with connections on which no answer is pending.
    pub fn idle_policy(&self, now: Instant) -> IdlePolicy {
        let (since, end) = match self.phase {
            Phase::Starting | Phase::Serving => return IdlePolicy::Keep,
            Phase::Draining(since) if now >= since + DRAIN_CLOSE_AFTER => {
                return IdlePolicy::CloseImmediately
            }
            Phase::Draining(since) => (since, DRAIN_IDLE_TIME),
            Phase::Stopping(since) => (since, ACCEPT_AFTER_STOP),
            Phase::HandingOver(since) => (since, HANDOVER_IDLE_TIME),
        };
        if now >= since + end {
            IdlePolicy::Close
        } else {
            IdlePolicy::Keep
        }
    }

    /// Decides whether the process may end now. The platform ends it if it stays for longer than it may.
    pub fn exit_permit(&self, now: Instant, connections: OpenConnections) -> Option<ExitPermit> {
        let OpenConnections { open, pending, answer_moves } = connections;
        let (Phase::Stopping(since) | Phase::HandingOver(since)) = self.phase else { return None };
        let quiet =
            since + UNUSED_GRACE + if self.inherited { HANDOVER_IDLE_TIME } else { ACCEPT_AFTER_STOP };
        let idle = open == 0 && !self.accepts(now);
        let is_over = !answer_moves && now >= ProcessEnd::new(since, self.longest_deadline).exit();
        (idle || (pending == 0 && now >= quiet) || is_over).then_some(ExitPermit(()))
    }

    /// The instant by which all admitted requests must be answered; `None` unless the process is shutting
    /// down.
    pub fn answers_by(&self) -> Option<Instant> {
        let (Phase::Stopping(since) | Phase::HandingOver(since)) = self.phase else { return None };
        Some(ProcessEnd::new(since, self.longest_deadline).answers_by())
    }

    /// The next instant at which one of the decisions above changes by the passing of time; `None` if there
    /// is none.
    pub fn next(&self, now: Instant) -> Option<Instant> {
        let instants = match self.phase {
            Phase::Starting | Phase::Serving => return None,
            Phase::Draining(since) => [since + DRAIN_IDLE_TIME, since + DRAIN_CLOSE_AFTER],
            Phase::Stopping(since) => [since + ACCEPT_AFTER_STOP, since + ACCEPT_AFTER_STOP + UNUSED_GRACE],
            Phase::HandingOver(since) => {
                [since + HANDOVER_IDLE_TIME, since + HANDOVER_IDLE_TIME + UNUSED_GRACE]
            }
        };
        instants.into_iter().find(|at| *at > now)
    }
}

#[cfg(test)]
mod tests;
