//! The view of a connection that hyper owns.

use super::socket::{is_quiet, is_retryable, peek};
use super::{Armed, ConnectionState, READ_BUFFER};
use crate::answer_scanner::{SurplusKind, SURPLUS_MAX};
use crate::head::HeadScanner;
use crate::permits::attempt::AttemptPermit;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

/// Interval of the check whether a peer has closed after sending bytes that nobody reads. Without such bytes
/// the close itself wakes the waiting task. A client counts as disconnected 100 ms after its close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Gives access to the state of a connection that hyper owns. Does not keep the socket open.
#[derive(Clone)]
pub struct ConnectionView {
    pub(super) stream: Weak<TcpStream>,
    pub(super) state: Rc<ConnectionState>,
}

impl ConnectionView {
    /// Number of bytes that the kernel has taken for sending.
    pub fn written(&self) -> u64 {
        self.state.written.get()
    }

    /// Number of bytes that have been read from the peer.
    pub fn received(&self) -> u64 {
        self.state.received.get()
    }

    /// When a read last found nothing more to read.
    pub fn drained_at(&self) -> Option<Instant> {
        self.state.drained_at.get()
    }

    /// Size of the kernel's receive buffer in bytes; `None` if the connection has ended or it can't be told.
    pub fn receive_buffer_size(&self) -> Option<usize> {
        let stream = self.stream.upgrade()?;
        socket2::SockRef::from(&*stream).recv_buffer_size().ok()
    }

    /// Since when the peer has read nothing of the bytes that wait to be written.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.state.write_stalled_since.get()
    }

    /// When the kernel last took bytes for sending.
    pub fn last_write(&self) -> Option<Instant> {
        self.state.last_write.get()
    }

    /// Records that hyper has the last byte of a message. Its flush is pending until the kernel has that byte.
    pub fn expect_flush(&self) {
        self.state.flush_pending.set(true);
    }

    /// Whether hyper has the last byte of a message, and the kernel not yet.
    pub fn is_flush_pending(&self) -> bool {
        self.state.flush_pending.get()
    }

    /// When the kernel had taken the last byte of the last message.
    pub fn flushed_at(&self) -> Option<Instant> {
        self.state.flushed_at.get()
    }

    /// Waits until more has been read than at the last call.
    pub async fn data_arrived(&self) {
        self.state.data_arrived.notified().await;
    }

    /// The head of the current request, from its first byte.
    pub fn head(&self) -> HeadScanner {
        self.state.head.as_ref().map(|head| head.borrow().clone()).unwrap_or_default()
    }

    /// Starts a new request with the next byte that is read.
    pub fn expect_head(&self) {
        if let Some(head) = &self.state.head {
            *head.borrow_mut() = HeadScanner::default();
        }
    }

    /// Prepares the write of a request. Bytes that arrive before its first byte is written are no answer to
    /// it: the connection ends and nothing is written. After it, no more than `read_limit` bytes are read.
    /// The first byte uses up `permit`, and is not written if the permit has expired.
    pub fn arm(&self, permit: AttemptPermit, read_limit: u64) {
        self.state.expired.set(false);
        self.state.armed.set(Some(Armed { received: self.received(), permit }));
        self.state.read_limit.set(Some(read_limit));
        if let Some(answer) = &self.state.answer {
            answer.borrow_mut().expect_answer();
        }
    }

    /// Frees the memory of the last answer, which has been examined.
    pub fn release_answer(&self) {
        if let Some(answer) = &self.state.answer {
            answer.borrow_mut().release();
        }
    }

    /// Whether the last request was not written because its permit had expired.
    pub fn has_expired(&self) -> bool {
        self.state.expired.get()
    }

    /// Limits the number of bytes read from now on to `read_limit`.
    pub fn limit_reads(&self, read_limit: u64) {
        self.state.read_limit.set(Some(read_limit));
    }

    /// The socket, which stays open as long as the result is kept, also if hyper drops its connection.
    pub fn keep_open(&self) -> Option<Rc<TcpStream>> {
        self.stream.upgrade()
    }

    /// Whether the answer that is being read is complete and its body is empty.
    pub fn is_empty_answer(&self) -> bool {
        self.state.answer.as_ref().is_some_and(|answer| answer.borrow().has_ended_without_body())
    }

    /// Examines what has arrived behind the end of the last answer, including bytes that the kernel still
    /// holds. `body` is the body of that answer as it was sent, or empty if that isn't known.
    pub fn examine_surplus(&self, body: &[u8]) -> SurplusKind {
        let Some(answer) = &self.state.answer else { return SurplusKind::None };
        if let Some(stream) = self.stream.upgrade().filter(|_| answer.borrow().has_ended()) {
            self.read_surplus(&stream);
        }
        let kind = answer.borrow().surplus_kind(body);
        kind
    }

    /// Reads what the kernel holds behind the end of an answer, within [`SURPLUS_MAX`]. An end or an error of
    /// the connection is left for its next use.
    fn read_surplus(&self, stream: &TcpStream) {
        let socket = socket2::SockRef::from(stream);
        while self.surplus_bytes() < SURPLUS_MAX as u64 && matches!(peek(stream), Ok(1..)) {
            let read = READ_BUFFER.with_borrow_mut(|buffer| {
                let n = io::Read::read(&mut &*socket, buffer)?;
                self.state.record_read(&buffer[..n])
            });
            if read.is_err_and(|error| !is_retryable(&error)) {
                return;
            }
        }
    }

    /// Calls `report` with the number and the first of the bytes behind the end of the last answer.
    pub fn surplus<T>(&self, report: impl FnOnce(u64, &[u8]) -> T) -> Option<T> {
        let answer = self.state.answer.as_ref()?.borrow();
        Some(report(answer.surplus().bytes(), answer.surplus().kept()))
    }

    /// Number of bytes that have been read behind the end of the last answer.
    pub fn surplus_bytes(&self) -> u64 {
        self.state.surplus_bytes()
    }

    /// Whether an idle connection is still usable: no bytes, close or error have arrived. Asks the kernel,
    /// since the runtime may not have polled the socket for a while.
    pub fn is_quiet(&self) -> bool {
        self.surplus_bytes() == 0 && self.stream.upgrade().is_some_and(|stream| is_quiet(&stream))
    }

    /// Makes a later close discard unsent bytes. After a plain close the kernel goes on delivering them for
    /// minutes, longer than any deadline of a request or lifetime of its key.
    pub fn discard_unsent(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // Zero closes with a reset and discards the buffer. An error means that the socket is closed
            // already.
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Whether the peer has not closed and the connection is not broken, as far as the kernel knows.
    pub fn is_open(&self) -> bool {
        let Some(stream) = self.stream.upgrade().filter(|_| !self.state.write_failed.get()) else {
            return false;
        };
        match peek(&stream) {
            Ok(bytes) => bytes > 0,
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Whether the peer has closed or the connection is broken, also behind unread bytes, as far as the kernel has
    /// been told.
    pub fn has_closed(&self) -> bool {
        let Some(stream) = self.stream.upgrade().filter(|_| self.is_open()) else { return true };
        let mut context = Context::from_waker(Waker::noop());
        let readiness = pin!(stream.ready(Interest::READABLE)).poll(&mut context);
        matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the peer has closed or the connection is broken, even if there are unread bytes before the
    /// close.
    pub async fn closed(&self) {
        while let Some(stream) = self.stream.upgrade() {
            match stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_CHECK_INTERVAL).await,
                _ => return,
            }
        }
    }

    /// Whether the peer has sent bytes that are not read yet.
    pub fn has_unread(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| matches!(peek(&stream), Ok(n) if n > 0))
    }
}
