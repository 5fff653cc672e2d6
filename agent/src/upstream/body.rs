//! Limits and errors of the bodies of requests and answers. All other modules here depend on it.

/// Maximum size in bytes of an answer that is buffered before it is forwarded, so that another attempt can
/// replace it if it fails.
pub const BUFFERED_ANSWER_MAX: usize = 64 * 1024;
/// Maximum size of a request or an answer in bytes.
pub const BODY_MAX: u64 = 32 * 1024 * 1024;
/// Maximum memory of a streamed answer or request besides the client's connection: the buffers of hyper on
/// both sides, and the connection to the server. 50 to 66 KiB were measured.
pub const STREAMING_MEMORY_MAX: usize = 72 * 1024;
/// Why there is no answer, or not a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// The connection ended, or the answer could not be read.
    #[error("the connection to the server has ended")]
    Connection,
    /// The framing or the body of the answer can't be read, or the answer is over a limit.
    #[error("the server's answer is incomplete or invalid")]
    Invalid,
    /// Nothing more of the answer has arrived for some time.
    #[error("the server's answer has stalled")]
    Stalled,
    /// The server reads nothing of the request.
    #[error("the server does not read the request")]
    RequestNotRead,
    /// Bytes that may belong to it have arrived behind its end.
    #[error("the server's answer is followed by more bytes")]
    InDoubt,
}

impl AnswerError {
    /// The name of this error in events and metrics. Names are stable, because tools add the counters up.
    pub fn name(self) -> &'static str {
        match self {
            AnswerError::Connection => "connection-ended",
            AnswerError::Invalid => "answer-invalid",
            AnswerError::Stalled => "answer-stalled",
            AnswerError::RequestNotRead => "request-not-read",
            AnswerError::InDoubt => "answer-in-doubt",
        }
    }
}
