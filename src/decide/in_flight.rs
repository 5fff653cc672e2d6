//! Attempts that have not ended, and how far they have come.

use crate::api::Time;

/// An attempt that has not ended. It outlives its request if that ends first.
pub(super) struct InFlightAttempt {
    pub(super) server: usize,
    /// The incarnation of the server that it was sent to.
    pub(super) incarnation: u32,
    pub(super) class: usize,
    pub(super) sent_at: Time,
    /// The health record whose ejection this half-open attempt may end.
    pub(super) half_open_record: Option<usize>,
    /// Its answer is taken to be lost. It no longer counts against its server's limit: if it did until a
    /// distant deadline, the server would get no requests.
    pub(super) stalled: bool,
    pub(super) stage: AttemptStage,
    /// How much of its answer has arrived.
    pub(super) answer: ArrivingAnswer,
}

/// The answer of an attempt, as far as it has arrived.
#[derive(Clone, Copy, Default)]
pub(super) struct ArrivingAnswer {
    /// When its first byte arrived.
    pub(super) begun_at: Option<Time>,
    /// Since when it is known to be sound and to state no length.
    pub(super) open_since: Option<Time>,
    /// When more of it was last known to have arrived.
    pub(super) progressed_at: Time,
    /// The caller has been told to forward it.
    pub(super) is_forwarded: bool,
}

/// How far an attempt has come. It counts against its server's limit only while the server works on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// The body of the request is still arriving.
    ReceivingBody,
    /// The server has the whole request and has not begun to answer.
    Processing,
    /// Part of the answer has arrived, and none of it has been forwarded.
    ReceivingAnswer,
    /// The same, and its head states no length. What is timed of such an answer, if it is long, has arrived.
    ReceivingOpenAnswer,
    /// The answer is being forwarded.
    StreamingAnswer,
}

impl AttemptStage {
    /// Whether an attempt in this stage counts against its server's limit.
    pub(super) fn holds_slot(self) -> bool {
        matches!(self, AttemptStage::Processing | AttemptStage::ReceivingAnswer)
    }

    /// Whether part of the answer has arrived, and none of it has been forwarded.
    pub(super) fn is_receiving_answer(self) -> bool {
        matches!(self, AttemptStage::ReceivingAnswer | AttemptStage::ReceivingOpenAnswer)
    }
}
