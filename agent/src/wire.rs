//! A TCP stream as hyper wants it, which also tells what hyper hides: how much was read and written, whether the peer
//! has closed, and what the head of a request says of its length.

use crate::head::Head;
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

/// Read at a time; a message is seldom longer.
const CHUNK: usize = 8 * 1024;

/// How often it is looked whether a peer has closed behind bytes that nobody reads: without such bytes the close itself wakes
/// whoever waits for it. A client counts as gone 100 ms after its close.
const UNREAD_EVERY: Duration = Duration::from_millis(25);

/// What the kernel holds of an answer that its client has not taken. Clients are on the same machine and lose nothing by
/// it; with a buffer that grows to megabytes a slow reader would look for many seconds like one that takes nothing.
const SEND_BUFFER: usize = 64 * 1024;

thread_local! {
    /// Where bytes stand between the kernel and hyper, for one read at a time.
    static BETWEEN: RefCell<[u8; CHUNK]> = const { RefCell::new([0; CHUNK]) };
}

/// Counts the connections of one side that are open.
#[derive(Clone, Default)]
pub struct Gauge(Rc<Cell<usize>>);

impl Gauge {
    /// How many are open.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more until the ticket is dropped.
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

/// What holds for the first byte of a request.
struct Armed {
    /// What had been received before: nothing may come until that byte.
    received: u64,
    permit: AttemptPermit,
}

/// What a connection tells of itself.
#[derive(Default)]
struct Meter {
    written: Cell<u64>,
    received: Cell<u64>,
    /// Bytes that may still be read before the connection ends; `None` for any number.
    allowance: Cell<Option<u64>>,
    /// A request is about to be written.
    armed: Cell<Option<Armed>>,
    /// The permit of the last request was too old when its first byte was to be written, so that nothing was.
    expired: Cell<bool>,
    /// Since when the peer has taken nothing of what waits to be written.
    stuck_since: Cell<Option<Instant>>,
    /// The head of the request that is being read, on a client's connection.
    head: Option<RefCell<Head>>,
    arrived: Notify,
}

impl Meter {
    fn take_in(&self, bytes: &[u8]) -> io::Result<()> {
        self.received.set(self.received.get() + bytes.len() as u64);
        if let Some(left) = self.allowance.get() {
            let left = left.checked_sub(bytes.len() as u64).ok_or(io::ErrorKind::FileTooLarge)?;
            self.allowance.set(Some(left));
        }
        if let Some(head) = &self.head {
            head.borrow_mut().feed(bytes);
        }
        self.arrived.notify_one();
        Ok(())
    }
}

/// What can be asked of a connection while hyper owns it. It does not keep the socket open.
#[derive(Clone)]
pub struct View {
    stream: Weak<TcpStream>,
    meter: Rc<Meter>,
}

impl View {
    /// Bytes that the machine has taken for sending.
    pub fn written(&self) -> u64 {
        self.meter.written.get()
    }

    /// Bytes that have been read from the peer.
    pub fn received(&self) -> u64 {
        self.meter.received.get()
    }

    /// Since when the peer has taken nothing of what waits to be written.
    pub fn stuck_since(&self) -> Option<Instant> {
        self.meter.stuck_since.get()
    }

    /// Comes back once more has been read than at the last call.
    pub async fn arrived(&self) {
        self.meter.arrived.notified().await;
    }

    /// The head of the present request, from its first byte.
    pub fn head(&self) -> Head {
        self.meter.head.as_ref().map(|head| head.borrow().clone()).unwrap_or_default()
    }

    /// The next byte that is read belongs to a new request.
    pub fn expect_head(&self) {
        if let Some(head) = &self.meter.head {
            *head.borrow_mut() = Head::default();
        }
    }

    /// A request is about to be written. Whatever comes before its first byte is no answer to it and ends the
    /// connection instead, with nothing written; after it, no more than `allowance` bytes are read.
    /// `permit` is used up by that byte, or too old for it.
    pub fn arm(&self, permit: AttemptPermit, allowance: u64) {
        self.meter.expired.set(false);
        self.meter.armed.set(Some(Armed { received: self.received(), permit }));
        self.meter.allowance.set(Some(allowance));
    }

    /// True if the last request was not written since its permit was too old by then.
    pub fn has_expired(&self) -> bool {
        self.meter.expired.get()
    }

    /// From now on no more than `allowance` bytes are read.
    pub fn allow(&self, allowance: u64) {
        self.meter.allowance.set(Some(allowance));
    }

    /// True if an idle connection still is one: nothing has come on it, no close and no error either. Asked of the
    /// kernel, since the runtime may not have looked at the socket for a while.
    pub fn is_quiet(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| is_quiet(&stream))
    }

    /// Whenever the connection ends from now on, what has not gone out by then is dropped: a plain close leaves it to the
    /// kernel, which goes on delivering it for minutes, past any time that a request or its key has.
    pub fn drop_unsent(&self) {
        if let Some(stream) = self.stream.upgrade() {
            // Zero: close by a reset, and discard. An error means that the socket has ended already.
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// True if the peer has not closed, and the connection has not broken, as far as the kernel knows.
    pub fn is_open(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        match peek(&stream) {
            Ok(bytes) => bytes > 0,
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Comes back when the peer has closed, or the connection has broken, also behind bytes that nobody has read.
    pub async fn closed(&self) {
        while let Some(stream) = self.stream.upgrade() {
            match stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(UNREAD_EVERY).await,
                _ => return,
            }
        }
    }

    /// True if the peer has sent something that waits to be read.
    pub fn has_unread(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| matches!(peek(&stream), Ok(n) if n > 0))
    }
}

/// True for what says nothing of a connection: it has nothing now, or a signal came. The call is made again, when the runtime
/// says that the socket is ready and at once, in that order.
fn is_to_be_repeated(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// What the peer has sent that nobody has read yet; `Ok(0)` says that it has closed.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            seen => return seen,
        }
    }
}

fn is_quiet(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// The stream that hyper owns.
pub struct Wire {
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    _ticket: Ticket,
}

impl Wire {
    /// Wraps a stream to a backend or to discovery; small messages go out at once.
    pub fn new(stream: TcpStream, ticket: Ticket) -> (Wire, View) {
        Wire::with(stream, ticket, Meter::default())
    }

    /// Wraps a client's stream, and looks at the heads of its requests.
    pub fn of_client(stream: TcpStream, ticket: Ticket) -> (Wire, View) {
        // Refused, the kernel's own size stands.
        let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER);
        Wire::with(stream, ticket, Meter { head: Some(RefCell::default()), ..Meter::default() })
    }

    fn with(stream: TcpStream, ticket: Ticket, meter: Meter) -> (Wire, View) {
        let _ = stream.set_nodelay(true);
        let (stream, meter) = (Rc::new(stream), Rc::new(meter));
        let view = View { stream: Rc::downgrade(&stream), meter: Rc::clone(&meter) };
        (Wire { stream, meter, _ticket: ticket }, view)
    }
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let room = CHUNK.min(buf.remaining());
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let read = BETWEEN.with_borrow_mut(|between| {
                let n = self.stream.try_read(&mut between[..room])?;
                buf.put_slice(&between[..n]);
                self.meter.take_in(&between[..n])
            });
            match read {
                Err(e) if is_to_be_repeated(&e) => {}
                read => return Poll::Ready(read),
            }
        }
    }
}

impl Wire {
    fn write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let armed = self.meter.armed.take();
        if let Some(armed) = &armed {
            if armed.received != self.meter.received.get() || !is_quiet(&self.stream) {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            if !armed.permit.is_valid(Instant::now()) {
                self.meter.expired.set(true);
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        loop {
            if self.stream.poll_write_ready(cx)?.is_pending() {
                // Nothing has gone: it is looked at once more before it does.
                self.meter.armed.set(armed);
                let since = self.meter.stuck_since.get().unwrap_or_else(Instant::now);
                self.meter.stuck_since.set(Some(since));
                return Poll::Pending;
            }
            match write(&self.stream) {
                Ok(n) => {
                    self.meter.written.set(self.meter.written.get() + n as u64);
                    self.meter.stuck_since.set(None);
                    if let Some(armed) = armed {
                        armed.permit.used(Instant::now());
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if is_to_be_repeated(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Wire {
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
