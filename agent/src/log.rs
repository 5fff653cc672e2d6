//! The log on standard error, with a rate limit: a flood of faulty peers must not become a flood of lines.

use crate::rate_limiter::RateLimiter;
use std::cell::RefCell;
use std::io::{self, Write};
use std::time::Instant;

/// Burst of lines, and the sustained rate per second.
const LINE_BURST: f64 = 100.0;
const LINES_PER_SECOND: f64 = 10.0;

thread_local! {
    static RATE_LIMIT: RefCell<RateLimiter> =
        RefCell::new(RateLimiter::new(LINE_BURST, LINES_PER_SECOND, Instant::now()));
}

/// Writes a line within the rate limit. Write errors are ignored: an agent whose log has been closed goes on
/// without one.
pub fn log(text: &str) {
    let _ = write_line(|out| writeln!(out, "dilljunction: {text}"));
}

fn write_line(line: impl FnOnce(&mut io::StderrLock) -> io::Result<()>) -> io::Result<()> {
    let Some(dropped) = RATE_LIMIT.with_borrow_mut(|a| a.take(Instant::now())) else { return Ok(()) };
    let mut out = io::stderr().lock();
    if dropped > 0 {
        writeln!(out, "dilljunction: {dropped} lines left out")?;
    }
    line(&mut out)
}

/// The output of event lines: the same log, under the same rate limit.
struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // The subscriber writes each line with one call.
        let _ = write_line(|out| out.write_all(line));
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Which events are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLevel {
    /// Events of the membership view and the configuration.
    Fleet,
    /// Those, and the events of each request.
    Requests,
}

/// Sets the rate limit of the log, in place of the low default for human readers.
pub fn set_line_rate(per_second: u32) {
    let per_second = f64::from(per_second);
    RATE_LIMIT
        .with_borrow_mut(|a| *a = RateLimiter::new(per_second.max(LINE_BURST), per_second, Instant::now()));
}

/// Writes `tracing` events to the log from now on, one line each, as text or as JSON. Applies to the whole
/// process; a second call changes nothing.
pub fn log_events(json: bool, level: EventLevel) {
    let max_level = match level {
        EventLevel::Fleet => tracing::Level::INFO,
        EventLevel::Requests => tracing::Level::DEBUG,
    };
    let lines =
        tracing_subscriber::fmt().with_writer(|| LogWriter).with_ansi(false).with_max_level(max_level);
    let _ = if json { lines.json().flatten_event(true).try_init() } else { lines.try_init() };
}
