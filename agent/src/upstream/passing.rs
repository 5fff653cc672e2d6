//! A long answer on its way through: read from the backend's connection as the client takes it, never held whole.
//!
//! What is buffered of one is what hyper holds on either side (16 KiB each) and, where the head did not say how long the
//! answer is, what had come before it was known to be long ([`super::body::SHORT_MOST`] at most). A client that takes nothing makes the
//! backend wait, by TCP.

use super::body::{Spoilt, BODY_MOST};
use super::pool::Lease;
use crate::budget::Portion;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant, Sleep};

/// A backend that gives nothing of a long answer for so long, while its client waits, gives no more.
const STALL: Duration = Duration::from_secs(5);

/// How a long answer ended, for those who sent the request.
pub enum Passed {
    /// Whole; the connection can be used again.
    Whole(Lease),
    /// The backend broke it off.
    Broken,
}

/// The rest of a long answer; as the body of the client's answer it takes the backend's bytes as they come.
pub struct Passing {
    /// What has been read already.
    first: Option<Bytes>,
    body: Incoming,
    /// Bytes that may still come.
    left: u64,
    stall: Pin<Box<Sleep>>,
    /// The client has asked for more than has come.
    awaited: bool,
    /// Gone once the end has been told. Dropped before that, the client has gone, and the connection with it.
    end: Option<(Lease, oneshot::Sender<Passed>)>,
    /// For what has been read already, and for the rest.
    _portions: (Option<Portion>, Portion),
}

impl Passing {
    /// What has been read so far and what is to come; its end is told on the receiver, which hears nothing if the client
    /// went first.
    pub fn new(
        first: Bytes,
        body: Incoming,
        lease: Lease,
        portions: (Option<Portion>, Portion),
    ) -> (Passing, oneshot::Receiver<Passed>) {
        let (told, end) = oneshot::channel();
        let left = BODY_MOST.saturating_sub(first.len() as u64);
        let first = Some(first).filter(|first| !first.is_empty());
        let stall = Box::pin(sleep(STALL));
        (
            Passing {
                first,
                body,
                left,
                stall,
                awaited: false,
                end: Some((lease, told)),
                _portions: portions,
            },
            end,
        )
    }

    fn end(&mut self, whole: bool) {
        if let Some((lease, told)) = self.end.take() {
            let _ = told.send(if whole { Passed::Whole(lease) } else { Passed::Broken });
        }
    }

    fn broken(&mut self) -> Poll<Option<Result<Frame<Bytes>, Spoilt>>> {
        self.end(false);
        Poll::Ready(Some(Err(Spoilt::Answer)))
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = Spoilt;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Spoilt>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            let Poll::Ready(next) = Pin::new(&mut self.body).poll_frame(cx) else {
                // The backend's time runs only while the client waits for it.
                if !std::mem::replace(&mut self.awaited, true) {
                    self.stall.as_mut().reset(Instant::now() + STALL);
                }
                ready!(self.stall.as_mut().poll(cx));
                return self.broken();
            };
            self.awaited = false;
            match next {
                None => {
                    self.end(true);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return self.broken(),
                // Trailers say nothing to clients of this protocol.
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    match self.left.checked_sub(data.len() as u64) {
                        Some(left) => self.left = left,
                        None => return self.broken(),
                    }
                    // As it is it would keep all of the buffer that it was read into.
                    let data = Bytes::copy_from_slice(&data);
                    // Nobody asks for what follows the last byte of a stated length.
                    if self.body.is_end_stream() {
                        self.end(true);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    /// Exact where the head said how long the answer is, so that the client is told as well.
    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        match self.body.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
