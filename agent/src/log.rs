//! Lines for people on call, bounded: a flood of bad peers must not become a flood of lines.

use crate::allowance::Allowance;
use std::cell::RefCell;
use std::io::{self, Write};
use std::time::Instant;

/// Lines that may come at once, and how many a second after that.
const BURST: f64 = 100.0;
const PER_SECOND: f64 = 10.0;

thread_local! {
    static ALLOWANCE: RefCell<Allowance> = RefCell::new(Allowance::new(BURST, PER_SECOND, Instant::now()));
}

/// Writes a line, unless there have been too many; an agent whose log has been closed goes on without one.
pub fn log(text: &str) {
    let _ = write_line(|out| writeln!(out, "dilljunction: {text}"));
}

fn write_line(line: impl FnOnce(&mut io::StderrLock) -> io::Result<()>) -> io::Result<()> {
    let Some(dropped) = ALLOWANCE.with_borrow_mut(|a| a.take(Instant::now())) else { return Ok(()) };
    let mut out = io::stderr().lock();
    if dropped > 0 {
        writeln!(out, "dilljunction: {dropped} lines left out")?;
    }
    line(&mut out)
}

/// Where event lines go: the same log, under the same bound.
struct Lines;

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Each line comes in one piece.
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
    /// What the agents know of one another.
    Fleet,
    /// That, and what becomes of each request.
    Requests,
}

/// Lets so many lines a second through, in place of the few that people read.
pub fn allow_lines(per_second: u32) {
    let per_second = f64::from(per_second);
    ALLOWANCE.with_borrow_mut(|a| *a = Allowance::new(per_second.max(BURST), per_second, Instant::now()));
}

/// From now on what is told with `tracing` stands in the log, a line each: as text, or as JSON for programs. For the whole
/// process, once; a second call changes nothing.
pub fn log_events(json: bool, level: EventLevel) {
    let most = match level {
        EventLevel::Fleet => tracing::Level::INFO,
        EventLevel::Requests => tracing::Level::DEBUG,
    };
    let lines = tracing_subscriber::fmt().with_writer(|| Lines).with_ansi(false).with_max_level(most);
    let _ = if json { lines.json().flatten_event(true).try_init() } else { lines.try_init() };
}
