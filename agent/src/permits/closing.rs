//! Decides how a client connection may be closed: never immediately while a request on it is unanswered,
//! unless the client does not read its answer.

/// Why a connection is closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseReason {
    /// The client does not read its answer.
    StuckReader,
    /// The connection was idle for too long.
    Idle,
    /// The connection is new and has sent nothing.
    Silent,
    /// Part of a request head arrived, and the rest did not come in time.
    HeadOverdue,
    /// The connection has carried its last answer (`Connection: close`), and its client has not closed it.
    TurnedAway,
    /// Another connection needs its slot.
    Evicted,
    /// There are too many idle connections.
    Crowded,
    /// The process is shutting down or draining.
    Leaving,
    /// The process holds too much memory.
    Overload,
    /// The client reads nothing of its answer, and what that holds is needed for others.
    SilentAndNeeded,
}

impl CloseReason {
    /// The name of this reason in events.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::StuckReader => "stuck-reader",
            CloseReason::Idle => "idle",
            CloseReason::Silent => "silent",
            CloseReason::HeadOverdue => "head-overdue",
            CloseReason::TurnedAway => "turned-away",
            CloseReason::Evicted => "evicted",
            CloseReason::Crowded => "crowded",
            CloseReason::Leaving => "leaving",
            CloseReason::Overload => "overload",
            CloseReason::SilentAndNeeded => "silent-and-needed",
        }
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseManner {
    /// After the pending answer has been sent.
    Graceful,
    /// Immediately.
    Immediate,
}

/// What decides how a connection may be closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionFacts {
    /// A complete request has arrived, and the kernel does not have the last byte of its answer.
    pub answer_pending: bool,
    /// Bytes have arrived that have not been read yet; they may be a complete request.
    pub has_unread: bool,
}

/// Permission to close a connection.
#[derive(Debug, PartialEq, Eq)]
pub struct ClosePermit {
    manner: CloseManner,
    reason: CloseReason,
}

impl ClosePermit {
    /// How the connection may be closed.
    pub fn manner(&self) -> CloseManner {
        self.manner
    }

    /// Why the connection is closed.
    pub fn reason(&self) -> CloseReason {
        self.reason
    }
}

/// Decides how a connection may be closed, given how the caller wants to close it: immediately only if no
/// answer is pending on it.
pub fn close(facts: ConnectionFacts, wanted: CloseManner, reason: CloseReason) -> ClosePermit {
    let is_free = match reason {
        // An answer may be pending, but the client does not read it.
        CloseReason::StuckReader | CloseReason::SilentAndNeeded => true,
        // A process that is killed for its memory answers nobody.
        CloseReason::Overload => true,
        // The client has been told that its connection closes, so no request is among unread bytes.
        CloseReason::TurnedAway => !facts.answer_pending,
        // The last byte of a request may be among the unread ones.
        CloseReason::Idle
        | CloseReason::Silent
        | CloseReason::HeadOverdue
        | CloseReason::Evicted
        | CloseReason::Crowded
        | CloseReason::Leaving => !facts.answer_pending && !facts.has_unread,
    };
    let manner = if is_free { wanted } else { CloseManner::Graceful };
    ClosePermit { manner, reason }
}

#[cfg(test)]
mod tests;
