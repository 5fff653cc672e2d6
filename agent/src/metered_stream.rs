//! A TCP stream for hyper that also provides what hyper hides: the number of bytes read and written, whether
//! the peer has closed, and how the head of a request states the body length.

use crate::answer_scanner::{AnswerScanner, SurplusKind, SURPLUS_MAX};
use crate::head::HeadScanner;
use crate::permits::attempt::AttemptPermit;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// Maximum number of bytes per read; most messages are shorter.
const READ_MAX: usize = 8 * 1024;

/// Interval of the check whether a peer has closed after sending bytes that nobody reads. Without such bytes
/// the close itself wakes the waiting task. A client counts as disconnected 100 ms after its close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Size of the kernel's send buffer for answers to clients. Clients are on the same machine and lose nothing
/// by it; with a buffer that grows to megabytes, a slow reader would look for many seconds like one that
/// reads nothing.
const SEND_BUFFER: usize = 64 * 1024;

thread_local! {
    /// Buffer between the kernel and hyper, used for one read at a time.
    static READ_BUFFER: RefCell<[u8; READ_MAX]> = const { RefCell::new([0; READ_MAX]) };
}

/// Counts the open connections of one side.
#[derive(Clone, Default)]
pub struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection until the ticket is dropped.
    pub fn enter(&self) -> Ticket {
        self.0.set(self.0.get() + 1);
        Ticket(self.clone())
    }
}

/// One open connection in a [`Gauge`].
pub struct Ticket(Gauge);

impl Drop for Ticket {
    fn drop(&mut self) {
        self.0 .0.set(self.0.count().saturating_sub(1));
    }
}

/// Conditions for the first byte of a request.
struct Armed {
    /// Bytes received before; no more may arrive until the first byte is written.
    received: u64,
    permit: AttemptPermit,
}

/// State of a connection, shared between the stream and its views.
#[derive(Default)]
struct ConnectionState {
    written: Cell<u64>,
    received: Cell<u64>,
    /// Number of bytes that may still be read before the connection ends; `None` for no limit.
    read_limit: Cell<Option<u64>>,
    /// Set while a request is about to be written.
    armed: Cell<Option<Armed>>,
    /// The permit of the last request had expired before its first byte, so that nothing was written.
    expired: Cell<bool>,
    /// Since when the peer has read nothing of the bytes that wait to be written.
    write_stalled_since: Cell<Option<Instant>>,
    /// The head of the request that is being read, on connections of clients.
    head: Option<RefCell<HeadScanner>>,
    /// The answer that is being read, on connections to servers.
    answer: Option<RefCell<AnswerScanner>>,
    data_arrived: Notify,
}

impl ConnectionState {
    /// Records bytes that have been read; returns how many of them hyper gets. It gets none that lie behind
    /// the end of an answer: it would close the connection before they have been examined.
    fn record_read(&self, bytes: &[u8]) -> io::Result<usize> {
        self.received.set(self.received.get() + bytes.len() as u64);
        if let Some(head) = &self.head {
            head.borrow_mut().feed(bytes);
        }
        let passed = self.answer.as_ref().map_or(bytes.len(), |answer| answer.borrow_mut().feed(bytes));
        if let Some(left) = self.read_limit.get() {
            let left = left.checked_sub(bytes.len() as u64).ok_or(io::ErrorKind::FileTooLarge)?;
            self.read_limit.set(Some(left));
        }
        self.data_arrived.notify_one();
        Ok(passed)
    }

    /// Number of bytes that have been read behind the end of the last answer.
    fn surplus_bytes(&self) -> u64 {
        self.answer.as_ref().map_or(0, |answer| answer.borrow().surplus().bytes())
    }
}

/// Gives access to the state of a connection that hyper owns. Does not keep the socket open.
#[derive(Clone)]
pub struct ConnectionView {
    stream: Weak<TcpStream>,
    state: Rc<ConnectionState>,
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

    /// Since when the peer has read nothing of the bytes that wait to be written.
    pub fn write_stalled_since(&self) -> Option<Instant> {
        self.state.write_stalled_since.get()
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

    /// Calls `report` with the kind, the number and the first of the bytes behind the end of the last answer.
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
        let Some(stream) = self.stream.upgrade() else { return false };
        match peek(&stream) {
            Ok(bytes) => bytes > 0,
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
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

/// Whether an error says nothing about the connection: no data at present, or a signal. The call is repeated
/// when the runtime reports the socket as ready, or at once, respectively.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// The number of unread bytes, 1 at most; `Ok(0)` means that the peer has closed.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

fn is_quiet(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// The stream that hyper owns.
pub struct MeteredStream {
    stream: Rc<TcpStream>,
    state: Rc<ConnectionState>,
    _ticket: Ticket,
}

impl MeteredStream {
    /// Wraps a stream to discovery or to an operator. Disables Nagle's algorithm.
    pub fn new(stream: TcpStream, ticket: Ticket) -> (MeteredStream, ConnectionView) {
        MeteredStream::with(stream, ticket, ConnectionState::default())
    }

    /// Wraps a client's stream and scans the heads of its requests.
    pub fn of_client(stream: TcpStream, ticket: Ticket) -> (MeteredStream, ConnectionView) {
        // On failure the default of the kernel stays.
        let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
        MeteredStream::with(
            stream,
            ticket,
            ConnectionState { head: Some(RefCell::default()), ..ConnectionState::default() },
        )
    }

    /// Wraps a stream to a server and follows its answers.
    pub fn of_server(stream: TcpStream, ticket: Ticket) -> (MeteredStream, ConnectionView) {
        let state = ConnectionState { answer: Some(RefCell::default()), ..ConnectionState::default() };
        MeteredStream::with(stream, ticket, state)
    }

    fn with(stream: TcpStream, ticket: Ticket, state: ConnectionState) -> (MeteredStream, ConnectionView) {
        let _ = stream.set_nodelay(true);
        let (stream, state) = (Rc::new(stream), Rc::new(state));
        let view = ConnectionView { stream: Rc::downgrade(&stream), state: Rc::clone(&state) };
        (MeteredStream { stream, state, _ticket: ticket }, view)
    }
}

impl Read for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let len_max = READ_MAX.min(buf.remaining());
        loop {
            // No answer will follow on this connection: nobody is woken, and it is closed without a read.
            if self.state.surplus_bytes() > 0 {
                return Poll::Pending;
            }
            ready!(self.stream.poll_read_ready(cx))?;
            let read = READ_BUFFER.with_borrow_mut(|buffer| {
                let n = self.stream.try_read(&mut buffer[..len_max])?;
                let passed = self.state.record_read(&buffer[..n])?;
                buf.put_slice(&buffer[..passed]);
                Ok((n, passed))
            });
            match read {
                // Zero bytes would mean that the server has closed.
                Ok((1.., 0)) => {}
                Ok(_) => return Poll::Ready(Ok(())),
                Err(e) if is_retryable(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl MeteredStream {
    fn write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let armed = self.state.armed.take();
        if let Some(armed) = &armed {
            if armed.received != self.state.received.get() || !is_quiet(&self.stream) {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            if !armed.permit.is_valid(Instant::now()) {
                self.state.expired.set(true);
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        loop {
            if self.stream.poll_write_ready(cx)?.is_pending() {
                // Nothing has been written: the conditions are checked again before the first byte.
                self.state.armed.set(armed);
                let since = self.state.write_stalled_since.get().unwrap_or_else(Instant::now);
                self.state.write_stalled_since.set(Some(since));
                return Poll::Pending;
            }
            match write(&self.stream) {
                Ok(n) => {
                    self.state.written.set(self.state.written.get() + n as u64);
                    self.state.write_stalled_since.set(None);
                    if let Some(armed) = armed {
                        armed.permit.record_first_byte(Instant::now());
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if is_retryable(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
