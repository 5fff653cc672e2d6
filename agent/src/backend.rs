//! Attempts, probes and the connections to backends: a message out, what comes back told as an outcome.

use crate::wire::{Gauge, View, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use ryelead::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// The largest body that either side may send.
pub const BODY_MOST: usize = 64 * 1024;
/// A connection rests for this share of the time after which a backend closes it, so that the two never cross.
const REST_SHARE: f64 = 0.8;
/// A probe that has not been answered by then has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

/// A client's request as it goes to a backend.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// Fewer bytes than this are certainly not the whole message.
    fn least_bytes(&self) -> u64 {
        let headers: usize = self.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
        (self.method.as_str().len() + self.uri.path().len() + headers + self.body.len()) as u64
    }
}

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

/// A backend's 200, to be passed on unchanged.
#[derive(Debug)]
pub struct Served {
    /// The body.
    pub body: Bytes,
    /// What it is.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt or a probe ended.
pub struct Ended {
    /// In the module's terms.
    pub outcome: Outcome,
    /// The load report, if a readable one came.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is a success.
    pub served: Option<Served>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, served: None }
    }
}

/// A connection that carries no request.
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    view: View,
    task: AbortHandle,
    since: Instant,
    life: u64,
}

impl Idle {
    fn is_usable(&self, now: Instant, rest: Duration, life: u64) -> bool {
        let fresh = now.saturating_duration_since(self.since) < rest && self.life == life;
        fresh && self.sender.is_ready() && self.view.is_quiet()
    }
}

/// Closes its connection when dropped, unless that has been given back: nobody waits on it any more, and what
/// still came on it would be taken for the answer to the next request.
struct Lease {
    sender: Option<SendRequest<Full<Bytes>>>,
    view: View,
    task: AbortHandle,
    written_before: u64,
    /// It has carried nothing yet.
    fresh: bool,
}

impl Lease {
    fn new(sender: SendRequest<Full<Bytes>>, view: View, task: AbortHandle, fresh: bool) -> Self {
        let written_before = view.written();
        Lease { sender: Some(sender), view, task, written_before, fresh }
    }

    fn written(&self) -> u64 {
        self.view.written() - self.written_before
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

/// The connections to all backends.
pub struct Backends {
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
    open: Gauge,
    open_most: usize,
    connect_timeout: Duration,
    rest: Duration,
    fields: Vec<String>,
    has_reports: bool,
}

/// Shows how far an attempt has come to whoever stops waiting for it.
#[derive(Default)]
pub struct Progress(Cell<bool>);

impl Progress {
    /// True once a byte of it may have been written.
    pub fn is_sent(&self) -> bool {
        self.0.get()
    }
}

impl Backends {
    /// No connections yet; `fields` are the names in a load report, empty where there are none.
    pub fn new(
        open_most: usize,
        connect_timeout: Duration,
        keepalive: Duration,
        fields: Vec<String>,
        has_reports: bool,
    ) -> Rc<Self> {
        let rest = keepalive.mul_f64(REST_SHARE);
        let (idle, open) = Default::default();
        Rc::new(Backends { idle, open, open_most, connect_timeout, rest, fields, has_reports })
    }

    /// Sends one attempt. `may_send` is asked once more when the first byte could go: a server may have been
    /// told to drain while the connection was on its way.
    pub async fn attempt(
        self: &Rc<Self>,
        place: Place,
        call: &Call,
        until: Instant,
        progress: &Progress,
        may_send: impl Fn() -> bool,
    ) -> Ended {
        let least = call.least_bytes();
        loop {
            let mut lease = match self.lease(place).await {
                Ok(lease) => lease,
                Err(outcome) => return outcome.into(),
            };
            if !may_send() {
                self.give_back(place, lease);
                return Outcome::NotSent.into();
            }
            let request = message(call, place.address, until);
            progress.0.set(true);
            let Some(sender) = &mut lease.sender else { return Outcome::NotSent.into() };
            match sender.try_send_request(request).await {
                Ok(answer) => return self.read(place, lease, answer).await,
                // A pooled connection that ended before anything was written to it says nothing of the server,
                // and no attempt was made: take the next one. A new one that ends so does say something, and
                // to go on would be a storm of connections.
                Err(e) if !lease.fresh && e.message().is_some() && lease.written() == 0 => {
                    progress.0.set(false);
                }
                Err(_) if lease.written() < least => return Outcome::ConnectFailed.into(),
                Err(_) => return Outcome::ConnectionReset.into(),
            }
        }
    }

    async fn read(
        self: &Rc<Self>,
        place: Place,
        lease: Lease,
        answer: Response<hyper::body::Incoming>,
    ) -> Ended {
        let (head, body) = answer.into_parts();
        let report = head.headers.get("x-load-report").and_then(|v| self.report(v.as_bytes()));
        let Ok(body) = Limited::new(body, BODY_MOST).collect().await else {
            // Cut short, or longer than any answer may be: either way it is none, and the server has run it.
            return Ended { outcome: Outcome::ConnectionReset, report, served: None };
        };
        self.give_back(place, lease);
        let turned_away = head.headers.get("x-rejected").is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let served = (outcome == Outcome::Success)
            .then(|| Served { body: body.to_bytes(), content_type: head.headers.get(CONTENT_TYPE).cloned() });
        Ended { outcome, report, served }
    }

    /// Asks a server how it is.
    pub async fn probe(self: &Rc<Self>, place: Place) -> Ended {
        let uri = Uri::from_static(if self.has_reports { "/stats" } else { "/health/live" });
        let call = Call { method: Method::GET, uri, headers: HeaderMap::new(), body: Bytes::new() };
        let until = Instant::now() + PROBE_WAIT;
        let progress = Progress::default();
        let Ok(mut ended) = timeout_at(until, self.attempt(place, &call, until, &progress, || true)).await
        else {
            return Outcome::TimedOut.into();
        };
        if let Some(served) = ended.served.take() {
            ended.report = ended.report.or_else(|| self.report(&served.body));
        }
        ended
    }

    /// The warmest idle connection, or a new one.
    async fn lease(self: &Rc<Self>, place: Place) -> Result<Lease, Outcome> {
        let now = Instant::now();
        while let Some(idle) = self.pop(place.server) {
            if idle.is_usable(now, self.rest, place.life) {
                return Ok(Lease::new(idle.sender, idle.view, idle.task, false));
            }
            idle.task.abort();
        }
        if self.open.count() >= self.open_most && !self.close_coldest() {
            return Err(Outcome::NotSent);
        }
        let ticket = self.open.enter();
        let stream = match timeout(self.connect_timeout, TcpStream::connect(place.address)).await {
            Ok(Ok(stream)) => stream,
            // Out of descriptors: the fault is here, not the server's.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(23 | 24)) => return Err(Outcome::NotSent),
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let (wire, view) = Wire::new(stream, ticket);
        let Ok((sender, connection)) = http1::handshake(wire).await else {
            return Err(Outcome::ConnectFailed);
        };
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Lease::new(sender, view, task.abort_handle(), true))
    }

    fn pop(&self, server: ServerId) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&server)?.pop()
    }

    /// Keeps a connection for the next request as soon as it is ready for one.
    fn give_back(self: &Rc<Self>, place: Place, mut lease: Lease) {
        let backends = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let Some(sender) = &mut lease.sender else { return };
            if !matches!(timeout(SETTLE_WAIT, sender.ready()).await, Ok(Ok(()))) {
                return;
            }
            let Some(sender) = lease.sender.take() else { return };
            let (view, task) = (lease.view.clone(), lease.task.clone());
            let idle = Idle { sender, view, task, since: Instant::now(), life: place.life };
            backends.idle.borrow_mut().entry(place.server).or_default().push(idle);
        });
    }

    /// Makes room for a new connection; false if all are at work.
    fn close_coldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|pool| !pool.is_empty()).min_by_key(|pool| pool[0].since);
        oldest.map(|pool| pool.remove(0).task.abort()).is_some()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        for idle in self.idle.borrow_mut().remove(&server).unwrap_or_default() {
            idle.task.abort();
        }
    }

    /// Closes what has rested long enough, has been closed by its server, or leads to one that is not what it
    /// was: `is_current` tells of a server and a life whether that still is.
    pub fn retire(&self, is_current: impl Fn(ServerId, u64) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|&server, pool| {
            pool.retain(|idle| {
                let usable = is_current(server, idle.life) && idle.is_usable(now, self.rest, idle.life);
                if !usable {
                    idle.task.abort();
                }
                usable
            });
            !pool.is_empty()
        });
    }

    /// A load report in the order of the settings; `None` if it can't be read or lacks a field.
    fn report(&self, text: &[u8]) -> Option<Vec<f64>> {
        if !self.has_reports {
            return None;
        }
        let text = std::str::from_utf8(text).ok()?;
        let text = text.trim();
        let pairs: Option<HashMap<&str, f64>> = text.split(',').map(pair).collect();
        let pairs = pairs?;
        self.fields.iter().map(|field| pairs.get(field.as_str()).copied()).collect()
    }
}

fn pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some((name.trim(), value))
}

/// The message to a backend: the client's own, with the time that this attempt has.
fn message(call: &Call, address: SocketAddr, until: Instant) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    request.headers_mut().insert("x-budget-ms", HeaderValue::from(left));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    request
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    fn backends() -> Rc<Backends> {
        Backends::new(4, Duration::from_secs(20), Duration::from_secs(60), Vec::new(), false)
    }

    fn post(body: usize) -> Call {
        let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
        Call { method: Method::POST, uri, headers, body: vec![7; body].into() }
    }

    async fn attempt(address: SocketAddr, body: usize, may_send: bool) -> Outcome {
        attempt_of(&backends(), address, body, may_send).await
    }

    async fn attempt_of(
        backends: &Rc<Backends>,
        address: SocketAddr,
        body: usize,
        may_send: bool,
    ) -> Outcome {
        let place = Place { server: ServerId(0), address, life: 0 };
        let until = Instant::now() + Duration::from_secs(60);
        let progress = Progress::default();
        backends.attempt(place, &post(body), until, &progress, || may_send).await.outcome
    }

    /// The cap on connections: when all are at work nothing more is opened, and the server is not blamed.
    #[tokio::test]
    async fn past_the_cap_nothing_is_sent() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let second = Duration::from_secs(1);
        let backends = Backends::new(1, second, second, Vec::new(), false);
        let both = async {
            tokio::select! {
                biased;
                outcome = attempt_of(&backends, address, 9, true) => panic!("silence gave {outcome:?}"),
                outcome = attempt_of(&backends, address, 9, true) => outcome,
            }
        };
        let outcome = timeout(Duration::from_secs(20), LocalSet::new().run_until(both)).await;
        assert_eq!(outcome.ok(), Some(Outcome::NotSent));
        // What the first held is free again.
        tokio::task::yield_now().await;
        assert_eq!(backends.open.count(), 0);
    }

    /// The drain rule counts a send from its first byte: what was decided before may come too late to go.
    #[tokio::test]
    async fn nothing_is_written_once_it_may_not_be_sent() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let local = LocalSet::new();
        assert_eq!(local.run_until(attempt(address, 9, false)).await, Outcome::NotSent);
        drop(local);
        let (mut stream, _) = listener.accept().await.unwrap();
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap_or(0), 0);
    }

    /// More than the two sockets can hold, to a peer that closes: the last byte is provably not written.
    #[tokio::test]
    async fn a_break_before_the_last_byte_never_ran() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1]).await;
        };
        let both = async { tokio::join!(attempt(address, 64 << 20, true), peer).0 };
        assert_eq!(LocalSet::new().run_until(both).await, Outcome::ConnectFailed);
    }

    /// A server that ends each new connection before anything could be written gets no storm of them.
    #[tokio::test]
    async fn a_new_connection_that_ends_at_once_is_not_repeated() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let mut accepted = 0;
        // Closes each connection before the runtime hears that it is up.
        let peer = async {
            while accepted < 20 {
                while listener.accept().is_ok() {
                    accepted += 1;
                }
                tokio::task::yield_now().await;
            }
        };
        let outcome = LocalSet::new()
            .run_until(async {
                tokio::select! {
                    biased;
                    outcome = attempt(address, 9, true) => Some(outcome),
                    () = peer => None,
                }
            })
            .await;
        assert_eq!(outcome, Some(Outcome::ConnectFailed), "after {accepted} connections");
        assert_eq!(accepted, 1);
    }

    /// A machine that is cut off says nothing; the connect must not wait for ever, and nothing has run.
    #[tokio::test(start_paused = true)]
    async fn a_connection_that_never_comes_up_fails_in_time() {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        // What fills the queue is answered; what comes after it is not.
        let mut queue = Vec::new();
        for _ in 0..8 {
            let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            filler.set_nonblocking(true).unwrap();
            let _ = filler.connect(&address.into());
            queue.push(filler);
        }
        assert_eq!(LocalSet::new().run_until(attempt(address, 9, true)).await, Outcome::ConnectFailed);
    }

    #[test]
    fn a_report_is_read_by_name_and_a_malformed_one_is_none() {
        let fields = ["qps", "queue"].map(String::from).to_vec();
        let second = Duration::from_secs(1);
        let backends = Backends::new(4, second, second, fields, true);
        assert_eq!(backends.report(b" queue=2, util=0.6,qps=7"), Some(vec![7.0, 2.0]));
        for bad in
            ["", "queue=2", "queue=2,qps", "queue=2,qps=x", "queue=2,qps=NaN", "queue=2,qps=-1", "\u{ff}"]
        {
            assert_eq!(backends.report(bad.as_bytes()), None, "{bad:?}");
        }
    }
}
