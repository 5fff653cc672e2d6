//! The body of an answer to a client: buffered, or streamed from a server.

use super::slots::ConnectionSlot;
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
    Buffered { body: Full<Bytes>, _reservation: Option<MemoryReservation> },
    /// A streamed body. Its connection counts as busy until the stream has ended.
    Streamed(Box<StreamedAnswer>, Option<AnswerGuard>),
}

impl AnswerBody {
    /// A short text of the agent itself.
    pub fn text(text: &'static str) -> AnswerBody {
        AnswerBody::Buffered { body: Full::new(Bytes::from_static(text.as_bytes())), _reservation: None }
    }

    /// Records that the request has its answer. The connection closes after it if `closes` is set.
    /// `knows_chunks` tells whether the client can read a chunked answer.
    pub fn begin(&mut self, slot: &Rc<ConnectionSlot>, closes: bool, knows_chunks: bool) {
        match self {
            AnswerBody::Buffered { .. } => slot.on_answered(closes),
            AnswerBody::Streamed(body, guard) => {
                let ends_with_connection = !knows_chunks && body.size_hint().exact().is_none();
                *guard = Some(AnswerGuard { slot: Rc::clone(slot), closes, ends_with_connection });
            }
        }
    }
}

impl From<ServedBody> for AnswerBody {
    fn from(body: ServedBody) -> AnswerBody {
        match body {
            ServedBody::Complete(body, reservation) => {
                AnswerBody::Buffered { body: Full::new(body), _reservation: Some(reservation) }
            }
            ServedBody::Stream(streaming) => AnswerBody::Streamed(streaming, None),
        }
    }
}

/// Marks the request as answered when a streamed body has ended or is dropped.
pub struct AnswerGuard {
    slot: Rc<ConnectionSlot>,
    closes: bool,
    /// The client knows the end of the answer by the end of its connection alone.
    ends_with_connection: bool,
}

impl AnswerGuard {
    /// Makes an answer that broke off distinguishable from a complete one: its connection ends with a reset.
    fn break_off(&self) {
        if self.ends_with_connection {
            self.slot.view().discard_unsent();
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.slot.on_answered(self.closes);
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
