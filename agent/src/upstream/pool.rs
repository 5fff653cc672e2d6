//! The connections to backends: at work, idle, or not there yet.

use super::rest::Rest;
use super::upload::Sending;
use crate::tally::{Count, Tally};
use crate::wire::{Gauge, View, Wire};
use hyper::client::conn::http1::{Builder, SendRequest};
use ryelead::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// A connection rests for this share of the time after which a backend closes it, so that the two never cross.
const REST_SHARE: f64 = 0.8;
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE_WAIT: Duration = Duration::from_millis(500);
/// The largest head of an answer, and its lines; hyper's own bounds would let a few hundred endless heads fill
/// the memory.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;

/// A server's address, and which of its lives this is: connections to an earlier one are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Counts its restarts and moves.
    pub life: u64,
}

/// A connection that carries no request.
struct Idle {
    sender: SendRequest<Sending>,
    view: View,
    task: AbortHandle,
    since: Instant,
    life: u64,
}

/// What can be done with an idle connection.
#[derive(PartialEq)]
enum Use {
    Now,
    /// hyper has not put its last answer behind it yet.
    Soon,
    Never,
}

impl Idle {
    /// Whatever has come on it since its last answer makes it useless: it would be taken for the next answer.
    fn usable(&self, now: Instant, rest: Duration, life: u64) -> Use {
        let age = now.saturating_duration_since(self.since);
        if age >= rest || self.life != life || self.sender.is_closed() || !self.view.is_quiet() {
            Use::Never
        } else if self.sender.is_ready() {
            Use::Now
        } else if age < SETTLE_WAIT {
            Use::Soon
        } else {
            Use::Never
        }
    }
}

/// Aborts its connection when dropped, unless that has been given back: nobody waits on it any more, and what
/// still came on it would be taken for the answer to the next request. What has not reached the server by then must
/// not reach it later: the request is answered, or sent elsewhere.
pub struct Lease {
    sender: Option<SendRequest<Sending>>,
    /// Its socket.
    pub view: View,
    task: AbortHandle,
    /// How long it had been idle; `None` if it has carried nothing yet.
    rested: Option<Duration>,
}

impl Lease {
    /// It has carried nothing yet.
    pub fn is_fresh(&self) -> bool {
        self.rested.is_none()
    }

    /// What sends on it.
    pub fn sender(&mut self) -> Option<&mut SendRequest<Sending>> {
        self.sender.as_mut()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.view.drop_unsent();
            self.task.abort();
        }
    }
}

/// The connections to all backends.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
    open: Gauge,
    open_most: Cell<usize>,
    connect_timeout: Duration,
    rest: Rest,
    tally: Tally,
}

impl Pool {
    /// No connections yet.
    pub fn new(open_most: usize, connect_timeout: Duration, keepalive: Duration) -> Rc<Self> {
        let rest = Rest::new(keepalive.mul_f64(REST_SHARE));
        let (idle, open, tally) = Default::default();
        Rc::new(Pool { idle, open, open_most: Cell::new(open_most), connect_timeout, rest, tally })
    }

    /// Where what is done on the connections is counted.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// How many are open, and how many of those are idle.
    pub fn levels(&self) -> (usize, usize) {
        (self.open.count(), self.idle.borrow().values().map(Vec::len).sum())
    }

    /// No more than so many from now on.
    pub fn allow(&self, most: usize) {
        self.open_most.set(most);
    }

    /// Closes idle connections, the coldest first, until no more than are allowed are open or none is idle.
    pub fn close_excess(&self) {
        let excess = self.open.count().saturating_sub(self.open_most.get());
        for _ in 0..excess {
            if !self.close_coldest() {
                return;
            }
        }
    }

    /// How many are open.
    pub fn count(&self) -> usize {
        self.open.count()
    }

    /// The warmest idle connection, or a new one.
    pub async fn lease(&self, place: Place) -> Result<Lease, Outcome> {
        if let Some(idle) = self.pop(place) {
            let Idle { sender, view, task, since, .. } = idle;
            return Ok(Lease { sender: Some(sender), view, task, rested: Some(since.elapsed()) });
        }
        if self.open.count() >= self.open_most.get() && !self.close_coldest() {
            return Err(Outcome::NotSent);
        }
        self.tally.count(Count::Handshake);
        let ticket = self.open.enter();
        let stream = match timeout(self.connect_timeout, TcpStream::connect(place.address)).await {
            Ok(Ok(stream)) => stream,
            // Out of descriptors: the fault is here, not the server's.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(23 | 24)) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let (wire, view) = Wire::new(stream, ticket);
        let mut builder = Builder::new();
        builder.max_buf_size(HEAD_MOST).max_headers(HEADERS_MOST);
        let Ok((sender, connection)) = builder.handshake(wire).await else {
            return Err(Outcome::ConnectFailed);
        };
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Lease { sender: Some(sender), view, task: task.abort_handle(), rested: None })
    }

    fn pop(&self, place: Place) -> Option<Idle> {
        let (now, mut idle) = (Instant::now(), self.idle.borrow_mut());
        let pool = idle.get_mut(&place.server)?;
        for i in (0..pool.len()).rev() {
            match pool[i].usable(now, self.rest.limit(), place.life) {
                Use::Now => return Some(pool.remove(i)),
                Use::Soon => {}
                Use::Never => self.close(&pool.remove(i)),
            }
        }
        None
    }

    /// Learns from how a connection served that had been idle: it has broken with nothing read, or has not.
    pub fn note(&self, lease: &Lease, broken: bool) {
        if let Some(rested) = lease.rested {
            self.rest.note(rested, broken);
        }
    }

    /// Keeps a connection for the next request, unless more are open than are allowed.
    pub fn give_back(&self, place: Place, mut lease: Lease) {
        let Some(sender) = lease.sender.take() else { return };
        let (view, task) = (lease.view.clone(), lease.task.clone());
        let idle = Idle { sender, view, task, since: Instant::now(), life: place.life };
        if self.open.count() > self.open_most.get() {
            self.close(&idle);
            return;
        }
        self.idle.borrow_mut().entry(place.server).or_default().push(idle);
    }

    fn close(&self, idle: &Idle) {
        self.tally.count(Count::Retired);
        idle.task.abort();
    }

    /// Makes room for a new connection; false if all are at work.
    fn close_coldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|pool| !pool.is_empty()).min_by_key(|pool| pool[0].since);
        oldest.map(|pool| self.close(&pool.remove(0))).is_some()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        let idle = self.idle.borrow_mut().remove(&server);
        idle.into_iter().flatten().for_each(|idle| self.close(&idle));
    }

    /// Closes what has rested long enough, has been closed by its server, or leads to one that is not what it
    /// was: `is_current` tells of a server and a life whether that still is.
    pub fn retire(&self, is_current: impl Fn(ServerId, u64) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|&server, pool| {
            pool.retain(|idle| {
                let keep = is_current(server, idle.life)
                    && idle.usable(now, self.rest.limit(), idle.life) != Use::Never;
                if !keep {
                    self.close(idle);
                }
                keep
            });
            !pool.is_empty()
        });
    }
}
