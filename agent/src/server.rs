//! The clients' side: takes requests in and gives each exactly one answer.

use crate::backend::{Call, BODY_MOST};
use crate::driver::{log, Answer, Arrival, Driver};
use crate::wire::{Gauge, View, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use ryelead::{ClassId, Effect, KeyId, RequestId, Span, TenantId};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::convert::Infallible;
use std::hash::{Hash, Hasher};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// A client that hears nothing from the module gets its answer this long before it stops waiting.
const ANSWER_RESERVE: Duration = Duration::from_millis(6);
/// A client that has begun a request must finish it within this.
const BODY_WAIT: Duration = Duration::from_secs(5);
/// And one that has not begun may keep its connection this long.
const HEAD_WAIT: Duration = Duration::from_secs(60);
/// How long a connection that has been asked to close may take to pass on an answer.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// Pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// No client waits longer than this, whatever it says.
const BUDGET_MOST: Duration = Duration::from_secs(3600);

const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// What a request is checked against.
pub struct Catalogue {
    /// Name and effect of each class.
    pub classes: Vec<(String, Effect)>,
    /// The tenants' names.
    pub tenants: Vec<String>,
}

/// What a connection shows of itself to the others.
struct Seat {
    busy: Cell<bool>,
    /// It has carried a request already.
    used: Cell<bool>,
    since: Cell<Instant>,
    close: Notify,
}

/// The clients' side of the agent.
pub struct Server {
    driver: Driver,
    catalogue: Catalogue,
    seats: RefCell<HashMap<u64, Rc<Seat>>>,
    open: Gauge,
    open_most: usize,
    left: Notify,
    stopping: Cell<bool>,
}

impl Server {
    /// Serves nobody yet.
    pub fn new(driver: Driver, catalogue: Catalogue, open_most: usize) -> Rc<Self> {
        Rc::new(Server {
            driver,
            catalogue,
            seats: RefCell::default(),
            open: Gauge::default(),
            open_most,
            left: Notify::new(),
            stopping: Cell::new(false),
        })
    }

    /// Accepts connections until dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut number = 0;
        loop {
            // A connection that waits in the backlog has been accepted as far as its client can tell, so room
            // is made before it is needed.
            while self.open.count() >= self.open_most {
                self.close_coldest();
                let _ = timeout(ACCEPT_PAUSE, self.left.notified()).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    number += 1;
                    let server = Rc::clone(self);
                    tokio::task::spawn_local(async move { server.serve(number, stream).await });
                }
                Err(e) => {
                    log(&format!("cannot accept: {e}"));
                    self.close_coldest();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// From now on every answer ends its connection.
    pub fn begin_stop(&self) {
        self.stopping.set(true);
    }

    /// Closes the connections that are idle, and the others after their answer.
    pub fn close_all(&self) {
        self.seats.borrow().values().for_each(|seat| seat.close.notify_one());
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.open.count()
    }

    /// Asks the connection that has been idle longest to close, if one is idle.
    fn close_coldest(&self) {
        let seats = self.seats.borrow();
        if let Some(seat) = seats.values().filter(|s| !s.busy.get()).min_by_key(|s| s.since.get()) {
            seat.close.notify_one();
        }
    }

    async fn serve(self: Rc<Self>, number: u64, stream: TcpStream) {
        let seat = Rc::new(Seat {
            busy: Cell::new(false),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            close: Notify::new(),
        });
        self.seats.borrow_mut().insert(number, Rc::clone(&seat));
        let (wire, view) = Wire::new(stream, self.open.enter());
        self.converse(&seat, wire, view).await;
        self.seats.borrow_mut().remove(&number);
        self.left.notify_one();
    }

    async fn converse(self: &Rc<Self>, seat: &Rc<Seat>, wire: Wire, view: View) {
        let service = service_fn(|request| {
            let (server, seat) = (Rc::clone(self), Rc::clone(seat));
            async move {
                seat.busy.set(true);
                seat.used.set(true);
                let mut answer = server.handle(request).await;
                seat.busy.set(false);
                seat.since.set(Instant::now());
                if server.stopping.get() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(HEAD_WAIT);
        let mut connection = pin!(builder.serve_connection(wire, service));
        tokio::select! {
            _ = connection.as_mut() => return,
            () = seat.close.notified() => {}
        }
        // A request that has come but was not read yet must not be cut off by the close.
        while !seat.busy.get() && view.has_unread() {
            if timeout(Duration::from_millis(1), connection.as_mut()).await.is_ok() {
                return;
            }
        }
        // hyper would close one that has had no request yet. At a stop its client has just come and is about to
        // ask, with no listener left to turn to: it keeps its connection for that one answer.
        if seat.used.get() || !self.stopping.get() {
            connection.as_mut().graceful_shutdown();
        }
        // What is left is to pass on an answer that is owed or has been given; a client that does not read, or
        // has begun a request and says no more, must not keep its seat.
        while timeout(CLOSE_WAIT, connection.as_mut()).await.is_err()
            && (seat.busy.get() || self.stopping.get())
        {}
    }

    /// One request, one answer.
    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health/ready" && request.method() == Method::GET {
            let ready = self.driver.can_decide();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        match self.take(request).await {
            Ok((call, arrival)) => self.pass_on(call, arrival).await,
            Err((status, why)) => {
                let mut answer = plain(status, why);
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                answer
            }
        }
    }

    /// Reads and checks a request; whatever is wrong with it ends here.
    async fn take(&self, request: Request<Incoming>) -> Result<(Call, Arrival), (StatusCode, &'static str)> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        let name = text(&head.headers, "x-call-class").ok_or(bad("X-Call-Class is missing"))?;
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.catalogue.classes.iter().position(|(class, _)| class == name);
        let class = class.filter(|_| first == name).ok_or(bad("no such class"))?;
        let keyed = one(&head.headers, IDEMPOTENCY_KEY.as_str()).is_some();
        let fits = match self.catalogue.classes[class].1 {
            Effect::Idempotent => head.method == Method::GET,
            Effect::Deduplicated { .. } => head.method == Method::POST && keyed,
            Effect::AtMostOnce => head.method == Method::POST && !keyed,
        };
        if !fits {
            return Err(bad("method and key do not fit the class"));
        }
        one(&head.headers, CALL_ID.as_str()).filter(|v| !v.is_empty()).ok_or(bad("X-Call-Id is missing"))?;
        let budget = text(&head.headers, "x-budget-ms").and_then(|t| t.parse::<u64>().ok());
        let budget = Duration::from_millis(budget.ok_or(bad("X-Budget-Ms is no whole number"))?);
        if head.uri.path_and_query().is_none_or(|p| !p.as_str().starts_with('/')) {
            return Err(bad("no path"));
        }
        let body = match timeout(BODY_WAIT, Limited::new(body, BODY_MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
            }
            Ok(Err(_)) => return Err(bad("the body can't be read")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        };
        // The client's time runs from the last byte of its request, which has just come.
        let deadline = Instant::now() + budget.min(BUDGET_MOST);
        let cost = text(&head.headers, "x-call-cost").and_then(|t| t.parse::<f64>().ok());
        let tenant = text(&head.headers, "x-caller");
        let arrival = Arrival {
            class: ClassId(class),
            tenant: tenant.and_then(|t| self.catalogue.tenants.iter().position(|n| n == t)).map(TenantId),
            key: one(&head.headers, "x-route-hash").map(|key| KeyId(hash(key.as_bytes()))),
            cost_hint: cost.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span::from_ms(us / 1e3)),
            repeat: text(&head.headers, "x-again") == Some("1"),
            deadline,
        };
        let mut headers = HeaderMap::with_capacity(6);
        for name in [CALL_ID, IDEMPOTENCY_KEY, HOST, CONTENT_TYPE] {
            if let Some(value) = head.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        let parts = head.uri.into_parts();
        let uri = parts.path_and_query.map(Into::into).unwrap_or_default();
        Ok((Call { method: head.method, uri, headers, body }, arrival))
    }

    async fn pass_on(&self, call: Call, arrival: Arrival) -> Response<Full<Bytes>> {
        let deadline = arrival.deadline;
        let (id, answer) = self.driver.submit(call, arrival);
        // Dropped by hyper with this future when the client closes its connection.
        let pending = Pending { driver: self.driver.clone(), id };
        let answer = timeout_at(deadline - ANSWER_RESERVE.min(deadline - Instant::now()), answer).await;
        drop(pending);
        match answer {
            Ok(Ok(Answer::Served(served))) => {
                let mut answer = Response::new(Full::new(served.body));
                if let Some(kind) = served.content_type {
                    answer.headers_mut().insert(CONTENT_TYPE, kind);
                }
                answer
            }
            Ok(Ok(Answer::Refused(retry_after))) => {
                let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                if let Some(Ok(v)) =
                    retry_after.map(|s| HeaderValue::try_from(format!("{:.3}", s.ms() / 1e3)))
                {
                    answer.headers_mut().insert(RETRY_AFTER, v);
                }
                answer
            }
            Ok(Ok(Answer::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed"),
            // The promise of one answer in time does not hang on the module.
            Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        }
    }
}

/// A request that waits for its answer; told to the driver when nobody waits any more.
struct Pending {
    driver: Driver,
    id: RequestId,
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.driver.abandon(self.id);
    }
}

/// A header that may stand once only; twice is as good as not at all, since nobody can say which is meant.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    one(headers, name)?.to_str().ok().map(str::trim)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}
