//! What a view tells its user: changes of members and of itself, counters, and packets that it dropped.

use crate::envelope::Unreadable;
use crate::member::{Identity, Life, State};
use std::time::Duration;

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Dropped {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// It does not come from where it says, or its sender's number belongs to another address.
    #[error("a stranger")]
    Stranger,
    /// It was sent by an earlier life of its sender.
    #[error("an earlier life")]
    EarlierLife,
    /// It came to a member that has left or keeps quiet.
    #[error("not listening")]
    NotListening,
}

/// What has become of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// It is there, for the first time that this view knows of.
    Joined,
    /// It is there in a new life, and nobody had called the one before gone.
    NewLife,
    /// Somebody had no answer from it.
    Suspected,
    /// It has contradicted.
    Cleared,
    /// It is gone.
    Gone,
    /// It was gone and is there.
    Back,
}

impl Change {
    /// The word for it; words are stable, tools read them.
    pub fn word(self) -> &'static str {
        match self {
            Change::Joined => "joined",
            Change::NewLife => "new-life",
            Change::Suspected => "suspected",
            Change::Cleared => "cleared",
            Change::Gone => "gone",
            Change::Back => "back",
        }
    }
}

/// What a view tells, once and in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Something has become of a member.
    Member(Change, Identity),
    /// The view is sure from now on, or is not.
    Sure(bool),
    /// The fleet knew this number in a higher life, and this one went above.
    WentAbove {
        /// What the fleet knew.
        known: Life,
        /// What it is now.
        life: Life,
    },
    /// The fleet had called this member gone, and it has come back.
    CalledGone,
    /// There is another process with this number and a higher life; this one keeps quiet for a while.
    Yielded {
        /// The other's life.
        to: Life,
    },
    /// This process was stopped or starved for so long.
    Late(Duration),
}

/// What a view says of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Who.
    pub identity: Identity,
    /// How it is.
    pub state: State,
    /// For how long it has been so, as far as this view knows.
    pub since: Duration,
}

/// What a view counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Packets that were taken in.
    pub received: u64,
    /// Packets that were dropped, whatever the reason.
    pub dropped: u64,
    /// Packets that were sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Packets and events that nobody took in time.
    pub overflowed: u64,
    /// Times that it was stopped or starved.
    pub late: u64,
}
