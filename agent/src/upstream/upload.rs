//! Streamed requests: forwarded to the server as the client sends them, without buffering.
//!
//! The bytes that arrived before the request was known to be long are buffered, so that an attempt that gets
//! no connection loses nothing. From the first byte beyond them, no other attempt can send the complete
//! request; the sender reports this to the decision module first
//! ([`super::attempt::AttemptOwner::commit`]). Only one piece is in transit at a time: a server that does not
//! read slows the client down by TCP flow control.

use super::body::BODY_MAX;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The client has not sent the complete request.
#[derive(Debug, thiserror::Error)]
#[error("the client has not sent the complete request")]
pub struct IncompleteRequest;

/// The unbuffered part of a request, as its sender sees it.
pub struct Upload {
    /// The length of the whole body in bytes, if the head states it.
    length: Option<u64>,
    /// The client's budget, which starts with its last byte.
    pub budget: Duration,
    /// When the client was last known not to have sent its last byte.
    incomplete_at: Rc<Cell<Instant>>,
    pieces: RefCell<mpsc::Receiver<Bytes>>,
    /// The client's deadline, once the body is complete.
    completed: watch::Receiver<Option<Instant>>,
    /// Unbuffered bytes that have been received, and that have been passed to a connection.
    received: Rc<Cell<u64>>,
    forwarded: Cell<u64>,
}

/// The end that receives from the client. If it is dropped before `finish`, the request stays incomplete.
pub struct UploadSource {
    budget: Duration,
    incomplete_at: Rc<Cell<Instant>>,
    pieces: mpsc::Sender<Bytes>,
    completed: watch::Sender<Option<Instant>>,
    received: Rc<Cell<u64>>,
}

/// Creates the two ends of a streamed request, whose client had not sent its last byte at `incomplete_at`.
pub fn upload(length: Option<u64>, budget: Duration, incomplete_at: Instant) -> (UploadSource, Rc<Upload>) {
    let (sender, receiver) = mpsc::channel(1);
    let (deadline_sender, completed) = watch::channel(None);
    let received = Rc::new(Cell::new(0));
    let incomplete_at = Rc::new(Cell::new(incomplete_at));
    let source = UploadSource {
        budget,
        incomplete_at: Rc::clone(&incomplete_at),
        pieces: sender,
        completed: deadline_sender,
        received: Rc::clone(&received),
    };
    let pieces = RefCell::new(receiver);
    let forwarded = Cell::new(0);
    (source, Rc::new(Upload { length, budget, incomplete_at, pieces, completed, received, forwarded }))
}

impl UploadSource {
    /// Forwards a piece, once the previous one has been taken.
    pub async fn push(&self, piece: Bytes) {
        self.received.set(self.received.get() + piece.len() as u64);
        // Nobody takes the piece any more; the answer to the request says why.
        let _ = self.pieces.send(piece).await;
    }

    /// Records that the client had not sent its last byte at `instant`.
    pub fn set_incomplete_at(&self, instant: Instant) {
        self.incomplete_at.set(self.incomplete_at.get().max(instant));
    }

    /// The earliest instant at which the client's time may be over.
    pub fn earliest_deadline(&self) -> Instant {
        self.incomplete_at.get() + self.budget
    }

    /// Marks the body as complete; the client waits until `deadline`.
    pub fn finish(self, deadline: Instant) {
        self.completed.send_replace(Some(deadline));
    }
}

impl Upload {
    /// The time that is certainly left to the client.
    pub fn time_left(&self) -> Duration {
        let deadline = self.incomplete_at.get() + self.budget;
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
        self.forwarded.get() == 0
    }

    /// Number of unbuffered bytes passed to a connection, if those were all of the body.
    pub fn forwarded_if_complete(&self) -> Option<u64> {
        let all = self.completed.borrow().is_some() && self.forwarded.get() == self.received.get();
        all.then(|| self.forwarded.get())
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
            Some(piece) => {
                upload.forwarded.set(upload.forwarded.get() + piece.len() as u64);
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
