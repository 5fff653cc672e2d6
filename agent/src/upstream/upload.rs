//! Streamed requests: forwarded to the server as the client sends them, without buffering.
//!
//! The bytes that arrived before the request was known to be long are buffered, so that an attempt that gets
//! no connection loses nothing. From the first byte beyond them, no other attempt can send the complete
//! request; the sender reports this to the decision module first
//! ([`super::attempt::AttemptOwner::commit`]). Only one piece is in transit at a time: a server that does not
//! read slows the client down by TCP flow control. While no attempt has begun, more is read ahead within the spare
//! memory, because neither the end of the request nor the client's close is seen before what lies ahead of it.

use super::body::BODY_MAX;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// Maximum number of bytes of a request that are read ahead of its attempt.
const READ_AHEAD_MAX: usize = 2 * 1024 * 1024;

/// The client has not sent the complete request.
#[derive(Debug, thiserror::Error)]
#[error("the client has not sent the complete request")]
pub struct IncompleteRequest;

/// What both ends of a streamed request know.
struct UploadState {
    /// The client's budget, which starts with its last byte.
    budget: Duration,
    /// When the client was last known not to have sent its last byte.
    incomplete_at: Cell<Instant>,
    /// Unbuffered bytes that have been received, and that have been passed to a connection.
    received: Cell<u64>,
    forwarded: Cell<u64>,
    /// Bytes that wait to be passed to a connection.
    waiting: Cell<usize>,
    /// Notified when a piece has been passed to a connection.
    taken: Notify,
}

/// A piece of the body, with the memory that it holds if it was read ahead.
type Piece = (Bytes, Option<MemoryReservation>);

/// The unbuffered part of a request, as its sender sees it.
pub struct Upload {
    /// The length of the whole body in bytes, if the head states it.
    length: Option<u64>,
    state: Rc<UploadState>,
    pieces: RefCell<mpsc::UnboundedReceiver<Piece>>,
    /// The client's deadline, once the body is complete.
    completed: watch::Receiver<Option<Instant>>,
}

/// The end that receives from the client. If it is dropped before `finish`, the request stays incomplete.
pub struct UploadSource {
    state: Rc<UploadState>,
    /// Bounded by what [`UploadSource::push`] lets through.
    pieces: mpsc::UnboundedSender<Piece>,
    completed: watch::Sender<Option<Instant>>,
    /// The memory for what is read ahead.
    memory: Rc<MemoryBudget>,
}

/// Creates the two ends of a streamed request, whose client had not sent its last byte at `incomplete_at`. What
/// is read ahead of its attempt is reserved from `memory`.
pub fn upload(
    length: Option<u64>,
    budget: Duration,
    incomplete_at: Instant,
    memory: Rc<MemoryBudget>,
) -> (UploadSource, Rc<Upload>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (deadline_sender, completed) = watch::channel(None);
    let state = Rc::new(UploadState {
        budget,
        incomplete_at: Cell::new(incomplete_at),
        received: Cell::default(),
        forwarded: Cell::default(),
        waiting: Cell::default(),
        taken: Notify::new(),
    });
    let source =
        UploadSource { state: Rc::clone(&state), pieces: sender, completed: deadline_sender, memory };
    (source, Rc::new(Upload { length, state, pieces: RefCell::new(receiver), completed }))
}

impl UploadSource {
    /// Forwards a piece, once the previous one has been taken or there is spare memory to read ahead.
    pub async fn push(&self, piece: Bytes) {
        let state = &self.state;
        state.received.set(state.received.get() + piece.len() as u64);
        let reservation = loop {
            if state.waiting.get() == 0 || self.pieces.is_closed() {
                break None;
            }
            if let Some(reservation) = self.reserve_ahead(piece.len()) {
                break Some(reservation);
            }
            state.taken.notified().await;
        };
        state.waiting.set(state.waiting.get() + piece.len());
        // A slice would keep the whole buffer that it was read into.
        let piece = if reservation.is_some() { Bytes::copy_from_slice(&piece) } else { piece };
        // Nobody takes the piece any more if this fails; the answer to the request says why.
        let _ = self.pieces.send((piece, reservation));
    }

    /// The memory for a piece that is read ahead, if it may be: only while no attempt has begun.
    fn reserve_ahead(&self, bytes: usize) -> Option<MemoryReservation> {
        let has_begun = self.state.forwarded.get() > 0;
        if has_begun || self.state.waiting.get() + bytes > READ_AHEAD_MAX {
            return None;
        }
        self.memory.take_spare(bytes)
    }

    /// Records that the client had not sent its last byte at `instant`.
    pub fn set_incomplete_at(&self, instant: Instant) {
        self.state.incomplete_at.set(self.state.incomplete_at.get().max(instant));
    }

    /// The earliest instant at which the client's time may be over.
    pub fn earliest_deadline(&self) -> Instant {
        self.state.incomplete_at.get() + self.state.budget
    }

    /// Marks the body as complete; the client waits until `deadline`.
    pub fn finish(self, deadline: Instant) {
        self.completed.send_replace(Some(deadline));
    }
}

impl Upload {
    /// The client's budget, which starts with its last byte.
    pub fn budget(&self) -> Duration {
        self.state.budget
    }

    /// The time that is certainly left to the client.
    pub fn time_left(&self) -> Duration {
        let deadline = self.state.incomplete_at.get() + self.state.budget;
        deadline.saturating_duration_since(Instant::now())
    }

    /// Waits for the end of the body and returns the client's deadline; waits for ever if the body stays
    /// incomplete.
    pub async fn completed(&self) -> Instant {
        let mut completed = self.completed.clone();
        let completion = completed.wait_for(Option::is_some).await.ok().and_then(|deadline| *deadline);
        match completion {
            Some(deadline) => deadline,
            None => std::future::pending().await,
        }
    }

    /// Whether the client will not send the rest.
    pub fn is_aborted(&self) -> bool {
        self.completed.borrow().is_none() && self.completed.has_changed().is_err()
    }

    /// Whether no unbuffered byte has been passed to a connection.
    pub fn nothing_forwarded(&self) -> bool {
        self.state.forwarded.get() == 0
    }

    /// Number of unbuffered bytes passed to a connection, if those were all of the body.
    pub fn forwarded_if_complete(&self) -> Option<u64> {
        let forwarded = self.state.forwarded.get();
        let all = self.completed.borrow().is_some() && forwarded == self.state.received.get();
        all.then_some(forwarded)
    }

    /// Records that a piece has been passed to a connection.
    fn record_forwarded(&self, length: usize) {
        self.state.forwarded.set(self.state.forwarded.get() + length as u64);
        self.state.waiting.set(self.state.waiting.get() - length);
        self.state.taken.notify_one();
    }
}

/// The body of a request to a server.
pub enum RequestBody {
    /// A complete body.
    Buffered(Full<Bytes>),
    /// The buffered part, and the rest as it arrives.
    Streamed(Option<Bytes>, Rc<Upload>),
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = IncompleteRequest;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteRequest>>> {
        let (first, upload) = match &mut *self {
            RequestBody::Buffered(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            RequestBody::Streamed(first, upload) => (first, upload),
        };
        if let Some(first) = first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let piece = ready!(upload.pieces.borrow_mut().poll_recv(cx));
        Poll::Ready(match piece {
            Some((piece, _)) => {
                upload.record_forwarded(piece.len());
                Some(Ok(Frame::data(piece)))
            }
            None if upload.completed.borrow().is_some() => None,
            None => Some(Err(IncompleteRequest)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(body) if body.is_end_stream())
    }

    /// Called before the first piece is polled. Exact if the client has stated the length.
    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(body) => body.size_hint(),
            RequestBody::Streamed(_, upload) => match upload.length {
                Some(length) => SizeHint::with_exact(length),
                None => {
                    let mut hint = SizeHint::new();
                    hint.set_upper(BODY_MAX);
                    hint
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
