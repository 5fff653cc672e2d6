//! A TCP stream for hyper that also provides what hyper hides: the number of bytes read and written, whether
//! the peer has closed, and how the head of a request states the body length.

mod gauge;
mod socket;
mod view;

pub use self::gauge::Gauge;
use self::gauge::Ticket;
use self::socket::{is_quiet, is_retryable};
pub use self::view::ConnectionView;
use crate::answer_scanner::AnswerScanner;
use crate::head::HeadScanner;
use crate::permits::attempt::AttemptPermit;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of bytes per read; most messages are shorter.
const READ_MAX: usize = 8 * 1024;

/// Size of the kernel's send buffer for answers to clients. Clients are on the same machine and lose nothing
/// by it; with a buffer that grows to megabytes, a slow reader would look for many seconds like one that
/// reads nothing.
const SEND_BUFFER: usize = 64 * 1024;

thread_local! {
    /// Buffer between the kernel and hyper, used for one read at a time.
    static READ_BUFFER: RefCell<[u8; READ_MAX]> = const { RefCell::new([0; READ_MAX]) };
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
    /// When a read last found nothing more to read.
    drained_at: Cell<Option<Instant>>,
    /// Number of bytes that may still be read before the connection ends; `None` for no limit.
    read_limit: Cell<Option<u64>>,
    /// Set while a request is about to be written.
    armed: Cell<Option<Armed>>,
    /// The permit of the last request had expired before its first byte, so that nothing was written.
    expired: Cell<bool>,
    /// Since when the peer has read nothing of the bytes that wait to be written.
    write_stalled_since: Cell<Option<Instant>>,
    /// When the kernel last took bytes for sending.
    last_write: Cell<Option<Instant>>,
    /// A write has failed. The kernel reports a reset once, and then as an end behind the unread bytes.
    write_failed: Cell<bool>,
    /// hyper has the end of a message that the kernel may not have yet.
    flush_pending: Cell<bool>,
    /// When the kernel had taken the last byte of a message.
    flushed_at: Cell<Option<Instant>>,
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
            let Poll::Ready(readiness) = self.stream.poll_read_ready(cx) else {
                self.state.drained_at.set(Some(Instant::now()));
                return Poll::Pending;
            };
            readiness?;
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
                    let now = Instant::now();
                    self.state.last_write.set(Some(now));
                    if let Some(armed) = armed {
                        armed.permit.record_first_byte(now);
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if is_retryable(&e) => {}
                Err(e) => {
                    self.state.write_failed.set(true);
                    return Poll::Ready(Err(e));
                }
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

    /// hyper calls this once the kernel has taken all that was in its buffer.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.flush_pending.replace(false) {
            self.state.flushed_at.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
