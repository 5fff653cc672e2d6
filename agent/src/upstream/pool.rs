//! Connections to servers: active, idle, or to be opened.

use super::idle_limit::IdleLimit;
use super::silent_peers::SilentPeers;
use super::upload::RequestBody;
use crate::answer_scanner::{HEADERS_MAX, HEAD_MAX};
use crate::metered_stream::{ConnectionView, Gauge, MeteredStream};
use crate::metrics::{Count, Metrics};
use crate::shortage::ShortageHandler;
use hyper::client::conn::http1::{Builder, SendRequest};
use ryelead::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// A connection may be idle for this share of the time after which a server closes it, so that a request and
/// the close can't cross.
const IDLE_FRACTION: f64 = 0.8;
/// How long hyper may take to make a connection ready again after its answer has been read.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// A server's address and generation. Connections to an earlier generation are not used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// The server.
    pub server: ServerId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Incremented with each restart and each change of address.
    pub generation: u64,
}

/// A connection that carries no request.
struct IdleConnection {
    sender: SendRequest<RequestBody>,
    view: ConnectionView,
    task: AbortHandle,
    since: Instant,
    generation: u64,
}

/// Whether an idle connection can be used.
#[derive(PartialEq)]
enum Usability {
    Ready,
    /// hyper has not finished its last answer yet.
    NotYet,
    Unusable,
}

impl IdleConnection {
    /// A connection on which anything arrived after its last answer can't be used: the bytes would be taken
    /// for the next answer.
    fn usability(&self, now: Instant, idle_limit: Duration, generation: u64) -> Usability {
        let age = now.saturating_duration_since(self.since);
        if age >= idle_limit
            || self.generation != generation
            || self.sender.is_closed()
            || !self.view.is_quiet()
        {
            Usability::Unusable
        } else if self.sender.is_ready() {
            Usability::Ready
        } else if age < READY_TIMEOUT {
            Usability::NotYet
        } else {
            Usability::Unusable
        }
    }
}

/// A connection in use. Unless it is given back, dropping it aborts the connection: bytes that still arrive
/// on it would be taken for the answer to the next request. Request bytes that have not reached the server by
/// then must not reach it later, since the request has been answered or sent elsewhere.
pub struct Lease {
    sender: Option<SendRequest<RequestBody>>,
    /// The view of its socket.
    pub view: ConnectionView,
    task: AbortHandle,
    /// How long it had been idle; `None` for a new connection.
    idle_time: Option<Duration>,
    /// hyper drops a connection with its answer if the server says that it closes it. What has arrived behind
    /// the answer can be read all the same.
    _socket: Option<Rc<TcpStream>>,
}

impl Lease {
    fn of_idle(idle: IdleConnection) -> Lease {
        let IdleConnection { sender, view, task, since, .. } = idle;
        let (idle_time, _socket) = (Some(since.elapsed()), view.keep_open());
        Lease { sender: Some(sender), view, task, idle_time, _socket }
    }

    /// Whether it is new and has carried no request yet.
    pub fn is_new(&self) -> bool {
        self.idle_time.is_none()
    }

    /// The hyper sender of the connection.
    pub fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.sender.as_mut()
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.view.discard_unsent();
            self.task.abort();
        }
    }
}

/// The connections to all servers.
pub struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<IdleConnection>>>,
    open: Gauge,
    open_max: Cell<usize>,
    connect_timeout: Duration,
    idle_limit: IdleLimit,
    metrics: Metrics,
    silent_peers: SilentPeers,
    shortage: ShortageHandler,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(open_max: usize, connect_timeout: Duration, keepalive: Duration) -> Rc<Self> {
        let idle_limit = IdleLimit::new(keepalive.mul_f64(IDLE_FRACTION));
        let (idle, open, metrics, silent_peers, shortage) = Default::default();
        let open_max = Cell::new(open_max);
        Rc::new(Pool { idle, open, open_max, connect_timeout, idle_limit, metrics, silent_peers, shortage })
    }

    /// The metrics of the connections.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The exchanges that are under way.
    pub fn silent_peers(&self) -> &SilentPeers {
        &self.silent_peers
    }

    /// What frees a connection when all that may be opened are in use.
    pub fn shortage(&self) -> &ShortageHandler {
        &self.shortage
    }

    /// Number of open connections, and number of idle ones among them.
    pub fn levels(&self) -> (usize, usize) {
        (self.open.count(), self.idle.borrow().values().map(Vec::len).sum())
    }

    /// Sets the maximum number of connections.
    pub fn set_open_max(&self, max: usize) {
        self.open_max.set(max);
    }

    /// Closes idle connections, least recently used first, until no more than allowed are open or none is
    /// idle.
    pub fn close_excess(&self) {
        let excess = self.open.count().saturating_sub(self.open_max.get());
        for _ in 0..excess {
            if !self.close_least_recent() {
                return;
            }
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.count()
    }

    /// The most recently used idle connection to the server, or a new one. While no more may be opened, it waits
    /// for as long as a connect may take.
    pub async fn lease(&self, server_endpoint: ServerEndpoint) -> Result<Lease, Outcome> {
        let wait_until = Instant::now() + self.connect_timeout;
        loop {
            if let Some(idle) = self.take_idle(server_endpoint) {
                return Ok(Lease::of_idle(idle));
            }
            if self.open.count() < self.open_max.get() || self.close_least_recent() {
                return self.connect(server_endpoint).await;
            }
            self.shortage.call();
            if timeout_at(wait_until, self.open.available()).await.is_err() {
                self.metrics.count(Count::PoolFull);
                return Err(Outcome::NotSent);
            }
        }
    }

    async fn connect(&self, server_endpoint: ServerEndpoint) -> Result<Lease, Outcome> {
        self.metrics.count(Count::Handshake);
        let ticket = self.open.enter();
        let stream = match timeout(self.connect_timeout, TcpStream::connect(server_endpoint.address)).await {
            Ok(Ok(stream)) => stream,
            // Out of descriptors: this is no fault of the server.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(23 | 24)) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let (wire, view) = MeteredStream::of_server(stream, ticket);
        let mut builder = Builder::new();
        builder.max_buf_size(HEAD_MAX).max_headers(HEADERS_MAX);
        let Ok((sender, connection)) = builder.handshake(wire).await else {
            return Err(Outcome::ConnectFailed);
        };
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let _socket = view.keep_open();
        Ok(Lease { sender: Some(sender), view, task: task.abort_handle(), idle_time: None, _socket })
    }

    fn take_idle(&self, server_endpoint: ServerEndpoint) -> Option<IdleConnection> {
        let (now, mut idle) = (Instant::now(), self.idle.borrow_mut());
        let pool = idle.get_mut(&server_endpoint.server)?;
        for i in (0..pool.len()).rev() {
            match pool[i].usability(now, self.idle_limit.limit(), server_endpoint.generation) {
                Usability::Ready => return Some(pool.remove(i)),
                Usability::NotYet => {}
                Usability::Unusable => self.close(&pool.remove(i)),
            }
        }
        None
    }

    /// Records whether a connection that had been idle broke before anything was read.
    pub fn record_use(&self, lease: &Lease, broken: bool) {
        if let Some(idle_time) = lease.idle_time {
            self.idle_limit.record_use(idle_time, broken);
        }
    }

    /// Keeps a connection for the next request, unless more are open than allowed or bytes have arrived behind
    /// its last answer.
    pub fn give_back(&self, server_endpoint: ServerEndpoint, mut lease: Lease) {
        if lease.view.surplus_bytes() > 0 {
            self.metrics.count(Count::Retired);
            return;
        }
        let Some(sender) = lease.sender.take() else { return };
        lease.view.release_answer();
        let (view, task) = (lease.view.clone(), lease.task.clone());
        let idle = IdleConnection {
            sender,
            view,
            task,
            since: Instant::now(),
            generation: server_endpoint.generation,
        };
        if self.open.count() > self.open_max.get() {
            self.close(&idle);
            return;
        }
        self.idle.borrow_mut().entry(server_endpoint.server).or_default().push(idle);
        self.open.notify_available();
    }

    fn close(&self, idle: &IdleConnection) {
        if idle.view.surplus_bytes() > 0 {
            self.metrics.count(Count::SurplusLate);
        }
        self.metrics.count(Count::Retired);
        idle.task.abort();
    }

    /// Closes the idle connection that was used least recently; false if none is idle.
    fn close_least_recent(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|pool| !pool.is_empty()).min_by_key(|pool| pool[0].since);
        oldest.map(|pool| self.close(&pool.remove(0))).is_some()
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        while self.close_least_recent() {}
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        let idle = self.idle.borrow_mut().remove(&server);
        idle.into_iter().flatten().for_each(|idle| self.close(&idle));
    }

    /// Closes idle connections that have reached the idle limit, were closed by the server or lead to an
    /// earlier generation. `is_current` tells whether a generation of a server is the current one.
    pub fn close_unusable(&self, is_current: impl Fn(ServerId, u64) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|&server, pool| {
            pool.retain(|idle| {
                let keep = is_current(server, idle.generation)
                    && idle.usability(now, self.idle_limit.limit(), idle.generation) != Usability::Unusable;
                if !keep {
                    self.close(idle);
                }
                keep
            });
            !pool.is_empty()
        });
    }
}
