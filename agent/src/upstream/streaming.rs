//! Streamed answers: read from the server's connection as the client reads them, never buffered as a whole.
//!
//! Buffered are the buffers of hyper on either side (16 KiB each) and, if the head did not state a length,
//! the bytes that arrived before the answer was known to be long ([`super::body::BUFFERED_ANSWER_MAX`] at
//! most). A client that does not read slows the server down by TCP flow control.

use super::answer_end::AnswerEnd;
use super::body::{AnswerError, BODY_MAX};
use super::live_answer::LiveAnswer;
use super::pool::Lease;
use super::silent_peers::SilentPeer;
use crate::memory_budget::MemoryReservation;
use crate::permits::silence::SILENCE_MAX;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ryelead::AnswerCloseReason;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant, Sleep};

/// How a streamed answer ended, for the task that sent the request.
pub enum StreamEnd {
    /// It is complete; the connection can be used again.
    Complete(Lease),
    /// The server's answer ended early.
    Broken,
}

/// A streamed answer, as the body of the answer to the client.
pub struct StreamedAnswer {
    /// Bytes that have been read already.
    first: Option<Bytes>,
    body: Incoming,
    /// Number of bytes that may still arrive.
    remaining: u64,
    /// The end of the longest silence of the server while the client waits, from the end of the attempt's time on.
    silence: Pin<Box<Sleep>>,
    /// The end of the attempt's time.
    until: Instant,
    /// The client has polled for more than has arrived.
    client_waits: bool,
    /// Where others learn that the server is silent, and may give the answer up.
    peer: Rc<SilentPeer>,
    /// `None` once the end has been reported. If it is dropped before that, the client has disconnected, and
    /// the connection to the server is closed.
    end: Option<(Lease, oneshot::Sender<StreamEnd>)>,
    /// Decides whether the answer is whole, once its last byte has been read.
    check: Option<AnswerEnd>,
    /// The end of the answer, held back until that is decided: the client must be able to tell an answer that
    /// isn't whole.
    held: Option<HeldEnd>,
    /// Records why the connection is closed, if the agent closes it before the end.
    live: Option<LiveAnswer>,
    /// The memory for the bytes that have been read already, and for the rest.
    _reservations: (Option<MemoryReservation>, Option<MemoryReservation>),
}

/// The last bytes of an answer, if any are left, and whether it turns out to be whole.
struct HeldEnd {
    last: Option<Bytes>,
    is_whole: Pin<Box<dyn Future<Output = bool>>>,
}

impl StreamedAnswer {
    /// Creates the body from the bytes read so far and the rest. The receiver gets the end of the answer, or
    /// nothing if the client disconnects first.
    pub fn new(
        first: Bytes,
        body: Incoming,
        lease: Lease,
        (check, live): (AnswerEnd, LiveAnswer),
        peer: Rc<SilentPeer>,
        until: Instant,
        reservations: (Option<MemoryReservation>, Option<MemoryReservation>),
    ) -> (StreamedAnswer, oneshot::Receiver<StreamEnd>) {
        let (end_sender, end) = oneshot::channel();
        let remaining = BODY_MAX.saturating_sub(first.len() as u64);
        let first = Some(first).filter(|first| !first.is_empty());
        let silence = Box::pin(sleep(SILENCE_MAX));
        (
            StreamedAnswer {
                first,
                body,
                remaining,
                silence,
                until,
                client_waits: false,
                peer,
                end: Some((lease, end_sender)),
                check: Some(check),
                held: None,
                live: Some(live),
                _reservations: reservations,
            },
            end,
        )
    }

    /// Holds back the end of the answer; returns false if it has been forwarded already.
    fn hold_end(&mut self, last: Option<Bytes>) -> bool {
        let Some(check) = self.check.take() else { return false };
        let is_whole = Box::pin(async move { check.is_whole(&[]).await });
        self.held = Some(HeldEnd { last, is_whole });
        true
    }

    /// Records that nothing of the answer is there while the client waits for it. Ready with the reason once the
    /// answer must be closed for that.
    fn poll_silent(&mut self, cx: &mut Context<'_>) -> Poll<AnswerCloseReason> {
        if !std::mem::replace(&mut self.client_waits, true) {
            let since = Instant::now().max(self.until);
            self.silence.as_mut().reset(since + SILENCE_MAX);
            self.peer.set_silent_since(Some(since));
        }
        if self.peer.poll_given_up(cx).is_ready() {
            return Poll::Ready(AnswerCloseReason::SilentAndNeeded);
        }
        ready!(self.silence.as_mut().poll(cx));
        Poll::Ready(AnswerCloseReason::ServerSilent)
    }

    /// Records that the server goes on.
    fn on_progress(&mut self) {
        if std::mem::take(&mut self.client_waits) {
            self.peer.set_silent_since(None);
        }
    }

    fn end(&mut self, complete: bool) {
        if let Some((lease, end_sender)) = self.end.take() {
            let _ = end_sender.send(if complete { StreamEnd::Complete(lease) } else { StreamEnd::Broken });
        }
    }

    /// Sets why the connection to the server is closed if the body is dropped before the end.
    pub fn set_close_reason(&self, reason: Option<AnswerCloseReason>) {
        if let Some(live) = &self.live {
            live.set_reason(reason);
        }
    }

    /// Ends the answer with this reason.
    fn close(&mut self, reason: AnswerCloseReason) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        self.live.take().into_iter().for_each(|live| live.close(reason));
        self.fail()
    }

    /// The answer can't be read to its end.
    fn break_off(&mut self) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if let (Some(live), Some(check)) = (self.live.take(), &self.check) {
            check.close_broken(live);
        }
        self.fail()
    }

    fn fail(&mut self) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        self.end(false);
        Poll::Ready(Some(Err(AnswerError::Invalid)))
    }
}

impl Body for StreamedAnswer {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            if let Some(held) = &mut self.held {
                let is_whole = ready!(held.is_whole.as_mut().poll(cx));
                let last = self.held.take().and_then(|held| held.last);
                if !is_whole {
                    return self.close(AnswerCloseReason::Unsound);
                }
                self.live.take().into_iter().for_each(LiveAnswer::end);
                self.end(true);
                return Poll::Ready(last.map(|data| Ok(Frame::data(data))));
            }
            let Poll::Ready(next) = Pin::new(&mut self.body).poll_frame(cx) else {
                // The time limit for the server runs only while the client waits.
                let reason = ready!(self.poll_silent(cx));
                return self.close(reason);
            };
            self.on_progress();
            match next {
                None if self.hold_end(None) => {}
                None => return Poll::Ready(None),
                Some(Err(_)) => return self.break_off(),
                // Trailers are not forwarded: clients do not use them.
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    match self.remaining.checked_sub(data.len() as u64) {
                        Some(remaining) => self.remaining = remaining,
                        None => return self.close(AnswerCloseReason::Unsound),
                    }
                    // A slice would keep the whole buffer that it was read into.
                    let data = Bytes::copy_from_slice(&data);
                    // hyper does not poll again after the last byte of a stated length.
                    if !self.body.is_end_stream() {
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                    self.hold_end(Some(data));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    /// Exact if the head stated the length, so that the client gets it too.
    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        match self.body.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
