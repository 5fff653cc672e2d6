//! The signals that tell this process something: SIGTERM and SIGHUP.
//!
//! The runtime's own signals panic when the read of their pipe is interrupted. Here the handler sets a flag and writes a byte; a read
//! that fails says nothing, and a byte that got lost costs no signal, since the flag is looked at now and then as well.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// A SIGTERM whose byte got lost is noticed within this; answers are given 250 ms before the kill.
const LOOK_FOR_TERMINATE: Duration = Duration::from_millis(200);
/// And a SIGHUP within this; a new configuration counts 4 s after it.
const LOOK_FOR_HANGUP: Duration = Duration::from_secs(1);

/// One kind of signal, as the process waits for it. Those that come while nobody waits count as one.
pub struct Signal {
    came: Arc<AtomicBool>,
    pipe: UnixStream,
    look_every: Duration,
}

impl Signal {
    /// SIGTERM, from now on; must be called on the runtime.
    pub fn terminate() -> io::Result<Signal> {
        Signal::of(SIGTERM, LOOK_FOR_TERMINATE)
    }

    /// SIGHUP, from now on; must be called on the runtime.
    pub fn hangup() -> io::Result<Signal> {
        Signal::of(SIGHUP, LOOK_FOR_HANGUP)
    }

    fn of(signal: i32, look_every: Duration) -> io::Result<Signal> {
        let came = Arc::new(AtomicBool::new(false));
        // In this order: whoever is woken finds the flag set.
        signal_hook::flag::register(signal, Arc::clone(&came))?;
        let (pipe, handler) = StdUnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal, handler)?;
        pipe.set_nonblocking(true)?;
        Ok(Signal { came, pipe: UnixStream::from_std(pipe)?, look_every })
    }

    /// Comes back once the signal has come.
    pub async fn recv(&mut self) {
        while timeout(self.look_every, std::future::poll_fn(|context| self.poll(context))).await.is_err() {}
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.came.swap(false, Ordering::SeqCst) {
                return Poll::Ready(());
            }
            match self.pipe.poll_read_ready(context) {
                Poll::Pending => return Poll::Pending,
                // The pipe is of this process alone and does not break; if it did, the flag is left.
                Poll::Ready(Err(_)) => return Poll::Pending,
                Poll::Ready(Ok(())) => self.drain(),
            }
        }
    }

    /// Reads what the handler has written, so that the pipe tells of the next signal. An error is that there is nothing, or that the
    /// read was interrupted, after which it is ready still.
    fn drain(&self) {
        let _ = self.pipe.try_read(&mut [0; 64]);
    }
}
