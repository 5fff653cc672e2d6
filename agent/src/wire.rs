//! A TCP stream as hyper wants it, which also tells how much was written to it and whether its peer has closed.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// Read at a time; an answer is seldom longer.
const CHUNK: usize = 8 * 1024;

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

/// What can be asked of a connection while hyper owns it. It does not keep the socket open.
#[derive(Clone)]
pub struct View {
    stream: Weak<TcpStream>,
    written: Rc<Cell<u64>>,
}

impl View {
    /// Bytes that the machine has taken for sending.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// What the peer has sent that nobody has read yet; `Ok(0)` says that it has closed. Asked of the kernel,
    /// since the runtime may not have looked at the socket for a while.
    fn peek(&self) -> io::Result<usize> {
        let stream = self.stream.upgrade().ok_or(io::ErrorKind::NotConnected)?;
        socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit(); 1])
    }

    /// True if an idle connection still is one: nothing has come on it, no close and no error either.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// True if the peer has sent something that waits to be read.
    pub fn has_unread(&self) -> bool {
        matches!(self.peek(), Ok(n) if n > 0)
    }
}

/// The stream that hyper owns.
pub struct Wire {
    stream: Rc<TcpStream>,
    written: Rc<Cell<u64>>,
    _ticket: Ticket,
}

impl Wire {
    /// Wraps a connected stream; small messages go out at once.
    pub fn new(stream: TcpStream, ticket: Ticket) -> (Wire, View) {
        let _ = stream.set_nodelay(true);
        let (stream, written) = (Rc::new(stream), Rc::default());
        let view = View { stream: Rc::downgrade(&stream), written: Rc::clone(&written) };
        (Wire { stream, written, _ticket: ticket }, view)
    }
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let room = CHUNK.min(buf.remaining());
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut chunk[..room]) {
                Ok(n) => {
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
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
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Ok(n) => {
                    self.written.set(self.written.get() + n as u64);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
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
