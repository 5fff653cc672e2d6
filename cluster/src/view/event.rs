//! What a view reports to its user: changes of members and of itself, counters, and the reasons why packets
//! were dropped.

use crate::envelope::Unreadable;
use crate::member::{Generation, Identity, State};
use std::time::Duration;

/// The reason why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// It can't be decoded.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// Its source is not the address that it states, or its sender's number belongs to another address.
    #[error("unknown sender")]
    UnknownSender,
    /// It was sent by an earlier generation of its sender.
    #[error("an earlier generation of the sender")]
    EarlierGeneration,
    /// It reached a member that has left or is silent.
    #[error("the member has left or is silent")]
    NotParticipating,
}

/// A change of a member's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// It is alive or suspected, and this view did not know it before.
    Joined,
    /// It has a new generation, and the one before was not declared dead.
    NewGeneration,
    /// A member had no answer from it and suspects it.
    Suspected,
    /// It has refuted the suspicion.
    Refuted,
    /// It is dead or has left.
    Down,
    /// It was dead or had left, and has rejoined.
    Rejoined,
}

impl Change {
    /// Returns the stable name of this change, which tools read.
    pub fn name(self) -> &'static str {
        match self {
            Change::Joined => "joined",
            Change::NewGeneration => "new-life",
            Change::Suspected => "suspected",
            Change::Refuted => "cleared",
            Change::Down => "gone",
            Change::Rejoined => "back",
        }
    }
}

/// An event of a view; each is reported once, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The state of a member has changed.
    Member(Change, Identity),
    /// The view has converged (true) or is no longer converged (false).
    Converged(bool),
    /// The fleet knew this number with a higher generation, and this member has taken one above it.
    GenerationRaised {
        /// The generation that the fleet knew.
        known: Generation,
        /// The new generation.
        generation: Generation,
    },
    /// The fleet had declared this member dead, and it has rejoined.
    DeclaredDead,
    /// Another process has this number and a higher generation; this one stays silent for
    /// [`crate::pace::YIELD_DURATION`].
    Yielded {
        /// The other process's generation.
        to: Generation,
    },
    /// This process was stopped or starved for this long.
    Stalled(Duration),
}

/// One member in a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub identity: Identity,
    /// Its state.
    pub state: State,
    /// For how long it has been in this state, as far as this view knows.
    pub since: Duration,
}

/// The counters of a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Packets that were received and handled.
    pub received: u64,
    /// Received packets that were dropped, for any reason.
    pub dropped: u64,
    /// Packets that were queued for sending.
    pub sent: u64,
    /// The bytes of these packets.
    pub sent_bytes: u64,
    /// Packets and events that were dropped because their queue was full.
    pub overflowed: u64,
    /// How often this process was found stopped or starved.
    pub stalls: u64,
}
