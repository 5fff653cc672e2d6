//! Clients: they send one request at a time on a connection, keep it, and compare each answer with the one
//! that the servers make for that request.

use crate::net::Conn;
use crate::platform::{Agent, Record};
use crate::servers::schedule;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// What all clients have seen.
#[derive(Default)]
pub struct Seen {
    pub sent: AtomicUsize,
    /// Served with the body that a server made for the request.
    pub good: AtomicUsize,
    /// Served with anything else.
    pub wrong: AtomicUsize,
    /// Refused or failed.
    pub not_served: AtomicUsize,
    /// The connection ended, or nothing came for half a second after the request's time.
    pub unanswered: AtomicUsize,
}

impl Seen {
    pub fn count(&self, of: &AtomicUsize) -> usize {
        of.load(Ordering::Relaxed)
    }

    pub fn summary(&self) -> String {
        format!(
            "{} sent, {} served right, {} served wrong, {} refused or failed, {} without an answer",
            self.count(&self.sent),
            self.count(&self.good),
            self.count(&self.wrong),
            self.count(&self.not_served),
            self.count(&self.unanswered)
        )
    }
}

/// How a client sends.
#[derive(Clone, Copy)]
pub struct Habit {
    /// Requests in a row, each sent when the one before has its answer.
    pub in_a_row: usize,
    /// The pause after them.
    pub pause: Duration,
    /// Size of the bodies that the servers make.
    pub bytes: usize,
    /// Whether every second request is an `assign-session`, which must not run twice.
    pub writes: bool,
}

/// Starts a client of this agent, which sends until `end`.
pub fn client(
    agent: &Agent,
    number: usize,
    habit: Habit,
    end: Instant,
    seen: &Arc<Seen>,
    record: &Record,
) -> JoinHandle<()> {
    let (listen, seen, record) = (agent.listen.clone(), Arc::clone(seen), record.clone());
    spawn(move || {
        let mut kept: Option<Conn> = None;
        let mut n = 0;
        while Instant::now() < end {
            for _ in 0..habit.in_a_row {
                n += 1;
                let id = format!("{number:04x}{n:012x}");
                let is_write = habit.writes && n % 2 == 0;
                let Some(mut conn) = kept.take().or_else(|| TcpStream::connect(&listen).ok().map(Conn::new))
                else {
                    record.line(&format!("client {number} can't connect"));
                    continue;
                };
                seen.sent.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("client {number} sends {id}"));
                match ask(&mut conn, &id, is_write) {
                    Ok((status, body)) => {
                        let (of, what) = match status {
                            200 if body == schedule(&id, habit.bytes) => {
                                (&seen.good, "the body made for it".to_string())
                            }
                            200 => {
                                (&seen.wrong, format!("WRONG body of {} bytes: {}", body.len(), shown(&body)))
                            }
                            _ => (&seen.not_served, String::new()),
                        };
                        of.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!("client {number} has {status} for {id} {what}"));
                        kept = Some(conn);
                    }
                    Err(why) => {
                        seen.unanswered.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!("client {number} has no whole answer for {id}: {why}"));
                    }
                }
            }
            sleep(habit.pause);
        }
    })
}

fn shown(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(60)]).into_owned()
}

fn ask(conn: &mut Conn, id: &str, is_write: bool) -> std::io::Result<(u16, Vec<u8>)> {
    let text = if is_write {
        format!(
            "POST /assign-session HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: assign-session\r\n\
             X-Caller: south-courts\r\nX-Budget-Ms: 1000\r\nContent-Length: 4\r\n\r\ndone"
        )
    } else {
        format!(
            "GET /read-schedule HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: read-schedule\r\n\
             X-Caller: legal-aid\r\nX-Budget-Ms: 400\r\n\r\n"
        )
    };
    let budget = if is_write { 1000 } else { 400 };
    conn.stream.set_read_timeout(Some(Duration::from_millis(budget + 500)))?;
    conn.stream.write_all(text.as_bytes())?;
    let head = conn.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let body = conn.body(&head)?;
    if !conn.rest.is_empty() {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    Ok((head.status(), body))
}
