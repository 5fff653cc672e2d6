//! A long request on its way through: what its client sends goes to the backend as that takes it, and is not kept.
//!
//! What has come before the request was known to be long is kept, so that an attempt that finds no connection costs nothing.
//! From the first byte beyond it on, no other attempt can have the request whole; whoever sends it says so to the module
//! before ([`super::attempt::Owner::bind`]). One piece is on its way at a time: a backend that takes nothing makes the
//! client wait, by TCP.

use super::body::BODY_MOST;
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

/// The client has not sent the whole request.
#[derive(Debug, thiserror::Error)]
#[error("the client has not sent all of its request")]
pub struct NotWhole;

/// The part of a request that is not kept, as those see it who send it on.
pub struct Upload {
    /// How long the whole body is, if its head says so.
    length: Option<u64>,
    /// The time that the client gives from its last byte on.
    pub budget: Duration,
    pieces: RefCell<mpsc::Receiver<Bytes>>,
    /// When the client stops waiting, once all has come.
    whole: watch::Receiver<Option<Instant>>,
    /// Bytes beyond what is kept that came, and that have been given to a connection.
    come: Rc<Cell<u64>>,
    passed: Cell<u64>,
}

/// The other end, which its client fills. Dropped before its end, the request never comes whole.
pub struct Source {
    pieces: mpsc::Sender<Bytes>,
    whole: watch::Sender<Option<Instant>>,
    come: Rc<Cell<u64>>,
}

/// The two ends of a long request.
pub fn upload(length: Option<u64>, budget: Duration) -> (Source, Rc<Upload>) {
    let (sender, receiver) = mpsc::channel(1);
    let (told, whole) = watch::channel(None);
    let come = Rc::new(Cell::new(0));
    let source = Source { pieces: sender, whole: told, come: Rc::clone(&come) };
    let pieces = RefCell::new(receiver);
    (source, Rc::new(Upload { length, budget, pieces, whole, come, passed: Cell::new(0) }))
}

impl Source {
    /// Passes a piece on, as soon as the one before it has gone.
    pub async fn push(&self, piece: Bytes) {
        self.come.set(self.come.get() + piece.len() as u64);
        // Nobody takes it any more: the answer says why.
        let _ = self.pieces.send(piece).await;
    }

    /// All has come; the client waits until `deadline`.
    pub fn finish(self, deadline: Instant) {
        self.whole.send_replace(Some(deadline));
    }
}

impl Upload {
    /// When the client stops waiting; comes back once all has come, never if it does not.
    pub async fn whole(&self) -> Instant {
        let mut whole = self.whole.clone();
        let told = whole.wait_for(Option::is_some).await.ok().and_then(|deadline| *deadline);
        match told {
            Some(deadline) => deadline,
            None => std::future::pending().await,
        }
    }

    /// The client will not send the rest.
    pub fn is_broken(&self) -> bool {
        self.whole.borrow().is_none() && self.whole.has_changed().is_err()
    }

    /// Nothing of what is not kept has been given away.
    pub fn is_untouched(&self) -> bool {
        self.passed.get() == 0
    }

    /// Bytes that a connection was given beyond what is kept, if that was all.
    pub fn passed_whole(&self) -> Option<u64> {
        let all = self.whole.borrow().is_some() && self.passed.get() == self.come.get();
        all.then(|| self.passed.get())
    }
}

/// The body of a request to a backend.
pub enum Sending {
    /// All of it.
    Whole(Full<Bytes>),
    /// What was kept of it, and the rest as it comes.
    Coming(Option<Bytes>, Rc<Upload>),
}

impl Body for Sending {
    type Data = Bytes;
    type Error = NotWhole;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NotWhole>>> {
        let (first, upload) = match &mut *self {
            Sending::Whole(body) => return Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Sending::Coming(first, upload) => (first, upload),
        };
        if let Some(first) = first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let piece = ready!(upload.pieces.borrow_mut().poll_recv(cx));
        Poll::Ready(match piece {
            Some(piece) => {
                upload.passed.set(upload.passed.get() + piece.len() as u64);
                Some(Ok(Frame::data(piece)))
            }
            None if upload.whole.borrow().is_some() => None,
            None => Some(Err(NotWhole)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Sending::Whole(body) if body.is_end_stream())
    }

    /// Asked before the first piece is: exact where the client has said how long it is.
    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(body) => body.size_hint(),
            Sending::Coming(_, upload) => match upload.length {
                Some(length) => SizeHint::with_exact(length),
                None => {
                    let mut hint = SizeHint::new();
                    hint.set_upper(BODY_MOST);
                    hint
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
