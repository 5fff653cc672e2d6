//! The parts of an attempt: the request that it carries, the result that it ends with, and the calls to its
//! owner.

use super::body::AnswerError;
use super::live_answer::CloseRecorder;
use super::streaming::StreamedAnswer;
use super::upload::Upload;
use crate::memory_budget::MemoryReservation;
use crate::metered_stream::ConnectionView;
use crate::permits::attempt::AttemptPermit;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use ryelead::{AnswerLength, Outcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Attempts are waited for until this long before the client's deadline, so that the decision module can
/// still choose the final answer, and that can still reach the client.
pub const ATTEMPT_RESERVE: Duration = Duration::from_millis(15);

/// A client's request as it is sent to a server.
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// The body, or the part of it that is buffered.
    pub body: Bytes,
    /// The rest of the body, if the request is streamed.
    pub upload: Option<Rc<Upload>>,
    /// The client's connection; `None` for a probe.
    pub client: Option<ConnectionView>,
    /// The memory that the body holds.
    pub _reservation: Option<MemoryReservation>,
}

impl Call {
    /// Completes when the time for an attempt is over: at `until`, or for a streamed request
    /// [`ATTEMPT_RESERVE`] before the deadline that starts when its body is complete.
    pub async fn time_up(&self, until: Instant) {
        match &self.upload {
            Some(upload) => sleep_until(upload.completed().await - ATTEMPT_RESERVE).await,
            None => sleep_until(until).await,
        }
    }

    /// Lower bound of the size of the message in bytes: with fewer bytes written, the server can't have all
    /// of it. `u64::MAX` while the body is incomplete.
    pub(super) fn min_bytes(&self) -> u64 {
        let rest = match &self.upload {
            Some(upload) => upload.forwarded_if_complete(),
            None => Some(0),
        };
        let Some(rest) = rest else { return u64::MAX };
        let headers: usize = self.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
        rest + (self.method.as_str().len() + self.uri.path().len() + headers + self.body.len()) as u64
    }
}

/// A server's 200 answer, to be forwarded unchanged.
pub struct Served {
    /// The body.
    pub body: ServedBody,
    /// The `Content-Type` header.
    pub content_type: Option<HeaderValue>,
}

/// The body of a server's answer.
pub enum ServedBody {
    /// A complete body, with the memory that it holds.
    Complete(Bytes, Option<MemoryReservation>),
    /// A streamed body.
    Stream(Box<StreamedAnswer>),
}

/// The result of an attempt or a probe.
pub struct AttemptResult {
    /// The outcome as the decision module sees it.
    pub outcome: Outcome,
    /// The load report, if a valid one was received.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is a success and the answer has not been streamed already.
    pub served: Option<Served>,
    /// When the answer began, if it was streamed.
    pub began: Option<Instant>,
    /// Why there is no answer, if the connection or the answer was at fault.
    pub error: Option<AnswerError>,
}

impl AttemptResult {
    /// An attempt that ended with this outcome because of an error.
    pub(super) fn of_error(outcome: Outcome, error: AnswerError) -> Self {
        AttemptResult { error: Some(error), ..outcome.into() }
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, report: None, served: None, began: None, error: None }
    }
}

/// The progress of an attempt.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has been written.
    #[default]
    NotSent,
    /// A byte of the request may have been written.
    Sent,
    /// A sound answer is under way: only a reason on the closed list ends the attempt.
    Answering(AnswerLength),
    /// The answer is being streamed: time-outs and cancels of the attempt no longer apply.
    Streaming,
}

/// The order of the decision module to forward the answer of an attempt while it arrives.
#[derive(Default)]
pub struct ForwardOrder {
    is_given: Cell<bool>,
    given: Notify,
}

impl ForwardOrder {
    /// Gives the order.
    pub fn give(&self) {
        self.is_given.set(true);
        self.given.notify_one();
    }

    /// Whether it has been given.
    pub fn is_given(&self) -> bool {
        self.is_given.get()
    }

    /// Waits until it is given. Supports one caller at a time.
    pub async fn given(&self) {
        while !self.is_given.get() {
            self.given.notified().await;
        }
    }
}

/// Shows the stage of an attempt to the task that may stop waiting for it.
#[derive(Default)]
pub struct Progress(Cell<Stage>);

impl Progress {
    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.0.get()
    }

    pub(super) fn set(&self, stage: Stage) {
        self.0.set(stage);
    }
}

/// The calls of an attempt to the task that started it.
pub trait AttemptOwner {
    /// The permit to write the first byte now; `None` if it must not be written. While the connection was
    /// being established, the server may have been told to drain and the client may have disconnected.
    fn permit(&self) -> Option<AttemptPermit>;
    /// Called before a streamed request is sent: no other attempt can send it afterwards.
    fn commit(&self);
    /// Called when part of an answer has arrived and the rest has not.
    fn answer_begun(&self);
    /// Called each time that nothing more of an answer that has begun has arrived for some time.
    fn answer_stalled(&self);
    /// Called when more of an answer has arrived, but not for every piece.
    fn answer_progressed(&self);
    /// Called when the length of a sound answer that is still arriving is known, as far as it will be.
    fn answer_length(&self, length: AnswerLength);
    /// The order to forward the answer.
    fn forward_order(&self) -> &ForwardOrder;
    /// Who is told if the connection of a sound answer is closed; `None` for probes.
    fn close_recorder(&self) -> Option<CloseRecorder>;
    /// Called when a streamed answer begins; returns false if the request has been answered already.
    fn start_answer(&self, served: Served) -> bool;
}
