//! The body of an answer to a client: buffered, or streamed from a server.

use super::connection_slot::ConnectionSlot;
use crate::memory_budget::MemoryReservation;
use crate::upstream::attempt::ServedBody;
use crate::upstream::body::AnswerError;
use crate::upstream::streaming::StreamedAnswer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The body of an answer.
pub enum AnswerBody {
    /// A complete body, with the memory that it holds.
    Buffered { body: Full<Bytes>, guard: Option<AnswerGuard>, _reservation: Option<MemoryReservation> },
    /// A streamed body.
    Streamed(Box<StreamedAnswer>, Option<AnswerGuard>),
}

impl AnswerBody {
    /// A short text of the agent itself.
    pub fn text(text: &'static str) -> AnswerBody {
        let body = Full::new(Bytes::from_static(text.as_bytes()));
        AnswerBody::Buffered { body, guard: None, _reservation: None }
    }

    /// Records that the answer begins. The connection closes after it if `closes` is set. `knows_chunks` tells
    /// whether the client can read a chunked answer.
    pub fn begin(&mut self, slot: &Rc<ConnectionSlot>, closes: bool, knows_chunks: bool) {
        slot.on_answer_begun();
        let ends_with_connection = !knows_chunks && self.size_hint().exact().is_none();
        let answer_guard =
            AnswerGuard { slot: Rc::clone(slot), closes, ends_with_connection, is_broken: false };
        if let AnswerBody::Streamed(body, _) = self {
            body.set_close_reason(None);
        }
        let (AnswerBody::Buffered { guard, .. } | AnswerBody::Streamed(_, guard)) = self;
        *guard = Some(answer_guard);
    }
}

impl From<ServedBody> for AnswerBody {
    fn from(body: ServedBody) -> AnswerBody {
        match body {
            ServedBody::Complete(body, reservation) => {
                AnswerBody::Buffered { body: Full::new(body), guard: None, _reservation: reservation }
            }
            ServedBody::Stream(streaming) => AnswerBody::Streamed(streaming, None),
        }
    }
}

impl Drop for AnswerBody {
    /// A body that is dropped before its end closes the connection to its server.
    fn drop(&mut self) {
        if let AnswerBody::Streamed(body, Some(guard)) = self {
            body.set_close_reason(guard.slot.answer_close_reason());
        }
    }
}

/// Records the end of an answer: hyper drops the body once it has taken the last byte. The answer is owed until
/// the kernel has that byte too.
pub struct AnswerGuard {
    slot: Rc<ConnectionSlot>,
    closes: bool,
    /// The client knows the end of the answer by the end of its connection alone.
    ends_with_connection: bool,
    /// No more of the answer will arrive.
    is_broken: bool,
}

impl AnswerGuard {
    /// Makes an answer that broke off distinguishable from a complete one: its connection ends with a reset.
    fn break_off(&mut self) {
        self.is_broken = true;
        if self.ends_with_connection {
            self.slot.view().discard_unsent();
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.slot.on_answer_ended(self.closes, self.is_broken);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match &mut *self {
            AnswerBody::Buffered { body, .. } => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            AnswerBody::Streamed(body, guard) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                if let (Some(Err(_)), Some(guard)) = (&frame, guard) {
                    guard.break_off();
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered { body, .. } => body.is_end_stream(),
            AnswerBody::Streamed(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered { body, .. } => body.size_hint(),
            AnswerBody::Streamed(body, _) => body.size_hint(),
        }
    }
}
