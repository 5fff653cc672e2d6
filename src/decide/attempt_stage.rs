//! How far an attempt has come.

/// How far an attempt has come. It counts against its server's limit only while the server works on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// The body of the request is still arriving.
    ReceivingBody,
    /// The server has the whole request and has not begun to answer.
    Processing,
    /// Part of the answer has arrived, and none of it has been forwarded.
    ReceivingAnswer,
    /// The answer is being forwarded.
    StreamingAnswer,
}

impl AttemptStage {
    /// Whether an attempt in this stage counts against its server's limit.
    pub(super) fn holds_slot(self) -> bool {
        matches!(self, AttemptStage::Processing | AttemptStage::ReceivingAnswer)
    }
}
