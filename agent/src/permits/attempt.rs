//! Decides whether an attempt may write its first byte now. The request must still need an answer, its server
//! must take new requests, every deadline must lie ahead, and no effect may happen twice. The decision module
//! applies the same rules when it decides on the attempt; they are checked again here because the attempt may
//! have waited for a connection since then.

use ryelead::{CellId, Effect, Group, ZoneId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a permit is valid. It is meant to be used immediately; if the process was held up in between, the
/// facts have to be checked again.
const PERMIT_VALIDITY: Duration = Duration::from_millis(50);

/// State of an attempt that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// In flight: its outcome is not known yet.
    InFlight,
    /// Ended, and certainly never ran at the server.
    NeverRan,
    /// Ended, and may have run at the server.
    MayHaveRun,
}

/// An earlier attempt of the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierAttempt {
    /// Zone of the attempt's server.
    pub zone: ZoneId,
    /// Cell of the attempt's server.
    pub cell: CellId,
    /// When the attempt received its permit.
    pub begun: Instant,
    /// State of the attempt.
    pub state: AttemptState,
}

/// What is known of the server that an attempt goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerFacts {
    /// The server is listed as serving, and is still in the generation that the attempt was meant for.
    pub takes_new_work: bool,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Cell of the server.
    pub cell: CellId,
}

/// Everything that decides whether an attempt may begin.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts<'a> {
    /// The current instant.
    pub now: Instant,
    /// The client is waiting, and no answer has been sent.
    pub answer_pending: bool,
    /// The client has closed its connection.
    pub client_gone: bool,
    /// The deadline of the request; `None` while its body is incomplete.
    pub deadline: Option<Instant>,
    /// The latest instant at which the decision module lets the attempt begin.
    pub begin_by: Option<Instant>,
    /// The server that the attempt goes to.
    pub server: ServerFacts,
    /// Whether attempts of the request's class may be repeated.
    pub effect: Effect,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// The attempts of the request that have already begun.
    pub earlier: &'a [EarlierAttempt],
}

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptDenied {
    /// The client is known to have disconnected, or has its answer.
    NotOwed,
    /// The client has closed its connection; its request is about to be abandoned.
    ClientGone,
    /// The deadline of the request or of the shutdown has passed.
    DeadlinePassed,
    /// The time that the decision module allowed for beginning the attempt has passed.
    BeginByPassed,
    /// The server is draining, was removed or is in another generation.
    ServerLeft,
    /// Another attempt is in flight, and hedging is off.
    AnotherIsOut,
    /// An earlier attempt may have run, and the class must not be repeated.
    MayHaveRun,
    /// An earlier attempt may have run, and this server does not share its deduplication group.
    OutsideGroup,
    /// An earlier attempt may have run, and the deduplication window of its key is over.
    WindowPassed,
}

impl AttemptDenied {
    /// The name of this reason in events.
    pub fn name(self) -> &'static str {
        match self {
            AttemptDenied::NotOwed => "not-owed",
            AttemptDenied::ClientGone => "client-gone",
            AttemptDenied::DeadlinePassed => "deadline-passed",
            AttemptDenied::BeginByPassed => "begin-by-passed",
            AttemptDenied::ServerLeft => "server-left",
            AttemptDenied::AnotherIsOut => "another-is-out",
            AttemptDenied::MayHaveRun => "may-have-run",
            AttemptDenied::OutsideGroup => "outside-group",
            AttemptDenied::WindowPassed => "window-passed",
        }
    }
}

/// When the first byte of an attempt was written, as recorded by the connection. Clones share the value.
#[derive(Clone, Debug, Default)]
pub struct FirstByte(Rc<Cell<Option<Instant>>>);

impl FirstByte {
    /// When the first byte was written; `None` if it was not.
    pub fn written_at(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Permission to write the first byte of an attempt. The connection consumes it.
#[derive(Debug)]
pub struct AttemptPermit {
    use_by: Instant,
    first_byte: FirstByte,
}

impl AttemptPermit {
    /// A permit for a probe, which belongs to no request and has no effect at its server.
    pub fn for_probe(now: Instant) -> AttemptPermit {
        AttemptPermit { use_by: now + PERMIT_VALIDITY, first_byte: FirstByte::default() }
    }

    /// A handle that will hold the instant of the first byte.
    pub fn first_byte(&self) -> FirstByte {
        self.first_byte.clone()
    }

    /// The last check before the first byte is written: false if the permit has expired and has to be
    /// requested again.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.use_by
    }

    /// Records that the first byte was written.
    pub fn record_first_byte(self, now: Instant) {
        self.first_byte.0.set(Some(now));
    }
}

/// Decides whether an attempt may begin.
pub fn attempt(facts: &AttemptFacts<'_>) -> Result<AttemptPermit, AttemptDenied> {
    if !facts.answer_pending {
        return Err(AttemptDenied::NotOwed);
    }
    if facts.client_gone {
        return Err(AttemptDenied::ClientGone);
    }
    if facts.deadline.is_some_and(|deadline| facts.now >= deadline) {
        return Err(AttemptDenied::DeadlinePassed);
    }
    if facts.begin_by.is_some_and(|begin_by| facts.now >= begin_by) {
        return Err(AttemptDenied::BeginByPassed);
    }
    if !facts.server.takes_new_work {
        return Err(AttemptDenied::ServerLeft);
    }
    let window_end = check_repeat(facts)?;
    let limits = [facts.deadline, facts.begin_by, window_end];
    let use_by = limits.into_iter().flatten().fold(facts.now + PERMIT_VALIDITY, Instant::min);
    Ok(AttemptPermit { use_by, first_byte: FirstByte::default() })
}

/// Decides whether the attempt may begin after the earlier ones. Returns the end of the deduplication window,
/// if there is one that limits it.
fn check_repeat(facts: &AttemptFacts<'_>) -> Result<Option<Instant>, AttemptDenied> {
    let is_in_flight = facts.earlier.iter().any(|attempt| attempt.state == AttemptState::InFlight);
    if is_in_flight && !facts.hedging {
        return Err(AttemptDenied::AnotherIsOut);
    }
    let may_have_run = |attempt: &&EarlierAttempt| attempt.state != AttemptState::NeverRan;
    let Some(first) = facts.earlier.iter().filter(may_have_run).min_by_key(|attempt| attempt.begun) else {
        return Ok(None);
    };
    match facts.effect {
        Effect::Idempotent => Ok(None),
        Effect::AtMostOnce => Err(AttemptDenied::MayHaveRun),
        Effect::Deduplicated { group, window } => {
            let knows_key = match group {
                Group::All => true,
                Group::Zone => facts.server.zone == first.zone,
                Group::Cell => facts.server.cell == first.cell,
            };
            let window_end = first.begun + Duration::from_micros(window.0);
            if !knows_key {
                Err(AttemptDenied::OutsideGroup)
            } else if facts.now >= window_end {
                Err(AttemptDenied::WindowPassed)
            } else {
                Ok(Some(window_end))
            }
        }
    }
}

#[cfg(test)]
mod tests;
