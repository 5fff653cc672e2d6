//! Whether a client's connection may be closed: never with an answer owed on it, unless its client takes nothing of that.

/// Why a connection is told to end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseReason {
    /// Its client takes nothing of its answer.
    StuckReader,
    /// It has rested for too long.
    Idle,
    /// It is new and has said nothing.
    Silent,
    /// Half the head of a request has come, and no more.
    HeadOverdue,
    /// It was turned away and has not ended.
    TurnedAway,
    /// Another connection needs its place.
    Evicted,
    /// Too many rest.
    Crowded,
    /// The process ends, or its clients are sent away.
    Leaving,
}

impl CloseReason {
    /// The word for it in events.
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
        }
    }
}

/// How a connection is to end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseManner {
    /// When what is owed on it has been given.
    Gently,
    /// Now.
    AtOnce,
}

/// What is known of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionFacts {
    /// A whole request has come on it and has no answer.
    pub answer_is_owed: bool,
    /// Bytes have come that nobody has read: they may be a whole request.
    pub has_unread: bool,
}

/// A connection may be told to end.
#[derive(Debug, PartialEq, Eq)]
pub struct ClosePermit {
    manner: CloseManner,
    reason: CloseReason,
}

impl ClosePermit {
    /// How.
    pub fn manner(&self) -> CloseManner {
        self.manner
    }

    /// Why.
    pub fn reason(&self) -> CloseReason {
        self.reason
    }
}

/// Decides how a connection may be closed that is wanted to end in a manner: at once only if nothing is owed on it.
pub fn close(facts: ConnectionFacts, wanted: CloseManner, reason: CloseReason) -> ClosePermit {
    let is_free = match reason {
        // Whatever it is owed, it does not take it.
        CloseReason::StuckReader | CloseReason::TurnedAway => true,
        // The last byte of a request may be among those that nobody has read.
        CloseReason::Idle
        | CloseReason::Silent
        | CloseReason::HeadOverdue
        | CloseReason::Evicted
        | CloseReason::Crowded
        | CloseReason::Leaving => !facts.answer_is_owed && !facts.has_unread,
    };
    let manner = if is_free { wanted } else { CloseManner::Gently };
    ClosePermit { manner, reason }
}

#[cfg(test)]
mod tests;
