//! What the caller and the balancer know of answers that are still arriving, and why such an answer may be
//! closed.

use crate::api::Span;

/// An answer of at most this many bytes is timed by its last byte, a longer one by its first (`DAYS`,
/// "Size").
pub const SHORT_ANSWER_MAX: u64 = 64 * 1024;

/// The balancer keeps back an answer that is still arriving for no longer (1 s), whatever may still come. With
/// what the caller itself holds it back, it must stay under the 2 s that lose it (`DAYS`, "Size").
pub const ANSWER_HOLD_MAX: Span = Span(1_000_000);

/// The length of a sound answer that is still arriving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerLength {
    /// Its head states a length of at most [`SHORT_ANSWER_MAX`].
    Short,
    /// Its head states no length, and no more than [`SHORT_ANSWER_MAX`] bytes have arrived.
    Open,
    /// It is longer than [`SHORT_ANSWER_MAX`].
    Long,
}

/// Why the caller closes a connection on which a sound answer is under way while its client waits. There is
/// no other reason. The index in [`AnswerCloseReason::ALL`] is the index in tables of counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerCloseReason {
    /// The answer of another attempt was chosen.
    AnotherAnswerChosen,
    /// The client has closed its connection, or reads nothing any more.
    ClientGone,
    /// The answer turned out not to be sound: its framing is wrong, it is over the limit, it is followed by
    /// other bytes, or it came before the whole request had been sent.
    Unsound,
    /// The process ends.
    ProcessEnds,
    /// The server has been silent past the deadline of the request for longer than any cut is known to last.
    ServerSilent,
    /// The answer is short, so its last byte is timed, and the time of its request is over.
    ShortAnswerLate,
    /// The process holds too much memory.
    Overload,
    /// The server or the client is silent, and what the answer holds is needed for others.
    SilentAndNeeded,
}

impl AnswerCloseReason {
    /// All reasons, in order.
    pub const ALL: [AnswerCloseReason; 8] = [
        AnswerCloseReason::AnotherAnswerChosen,
        AnswerCloseReason::ClientGone,
        AnswerCloseReason::Unsound,
        AnswerCloseReason::ProcessEnds,
        AnswerCloseReason::ServerSilent,
        AnswerCloseReason::ShortAnswerLate,
        AnswerCloseReason::Overload,
        AnswerCloseReason::SilentAndNeeded,
    ];

    /// The name in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            AnswerCloseReason::AnotherAnswerChosen => "another-answer-chosen",
            AnswerCloseReason::ClientGone => "client-gone",
            AnswerCloseReason::Unsound => "answer-unsound",
            AnswerCloseReason::ProcessEnds => "process-ends",
            AnswerCloseReason::ServerSilent => "server-silent",
            AnswerCloseReason::ShortAnswerLate => "short-answer-late",
            AnswerCloseReason::Overload => "overload",
            AnswerCloseReason::SilentAndNeeded => "silent-and-needed",
        }
    }

    /// The reason with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<AnswerCloseReason> {
        AnswerCloseReason::ALL.into_iter().find(|reason| reason.name() == name)
    }
}
