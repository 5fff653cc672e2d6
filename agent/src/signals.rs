//! The signals that this process handles: SIGTERM and SIGHUP.
//!
//! Tokio's own signal handling panics when the read of its pipe is interrupted. Here the handler sets a flag
//! and writes a byte to a pipe; a failed read is ignored, and a lost byte loses no signal, since the flag is
//! polled as well.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Bound on noticing a SIGTERM whose byte was lost; answers are due 250 ms before the platform's SIGKILL.
const TERMINATE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The same bound for SIGHUP; a new configuration must take effect 4 s after it.
const HANGUP_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A signal that the process waits for. Signals that arrive between two waits count as one.
pub struct Signal {
    raised: Arc<AtomicBool>,
    pipe: UnixStream,
    poll_interval: Duration,
}

impl Signal {
    /// Handles SIGTERM from now on; must be called on the runtime.
    pub fn terminate() -> io::Result<Signal> {
        Signal::of(SIGTERM, TERMINATE_POLL_INTERVAL)
    }

    /// Handles SIGHUP from now on; must be called on the runtime.
    pub fn hangup() -> io::Result<Signal> {
        Signal::of(SIGHUP, HANGUP_POLL_INTERVAL)
    }

    fn of(signal: i32, poll_interval: Duration) -> io::Result<Signal> {
        let raised = Arc::new(AtomicBool::new(false));
        // The flag is registered first, so that it is set whenever the pipe wakes the task.
        signal_hook::flag::register(signal, Arc::clone(&raised))?;
        let (pipe, handler) = StdUnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal, handler)?;
        pipe.set_nonblocking(true)?;
        Ok(Signal { raised, pipe: UnixStream::from_std(pipe)?, poll_interval })
    }

    /// Completes once the signal has arrived.
    pub async fn recv(&mut self) {
        while timeout(self.poll_interval, std::future::poll_fn(|context| self.poll(context))).await.is_err() {
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.raised.swap(false, Ordering::SeqCst) {
                return Poll::Ready(());
            }
            match self.pipe.poll_read_ready(context) {
                Poll::Pending => return Poll::Pending,
                // The pipe belongs to this process alone and does not fail; if it did, polling the flag
                // remains.
                Poll::Ready(Err(_)) => return Poll::Pending,
                Poll::Ready(Ok(())) => self.drain(),
            }
        }
    }

    /// Reads the handler's bytes, so that the pipe becomes ready with the next signal. An error means that
    /// there is nothing to read, or that the read was interrupted, after which the pipe is still ready.
    fn drain(&self) {
        let _ = self.pipe.try_read(&mut [0; 64]);
    }
}
