//! The clients' side: takes requests in and gives each exactly one answer.

use super::intake::{check_end, Catalogue, Fault, Remainder, Taken};
use super::reply::Reply;
use super::seats::{Seat, Seats};
use crate::clients::Clients;
use crate::driver::Driver;
use crate::events;
use crate::log::log;
use crate::permits::admission::admit;
use crate::permits::closing::CloseManner;
use crate::permits::lifecycle::{ExitPermit, Resting};
use crate::permits::violations::Violation;
use crate::requests::Answer;
use crate::wire::{Gauge, Wire};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use ryelead::{RequestId, Span};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot::error::RecvError;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// A client that hears nothing from the module gets its answer this long before it stops waiting.
const ANSWER_RESERVE: Duration = Duration::from_millis(6);
/// How long a connection that has been asked to close may take to pass on an answer.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often connections whose time is over are looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// The largest head of a request, and its lines: hyper's own bounds would let a few hundred half heads fill the memory.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// When to come back if there was no memory for a body: others are done with theirs by then.
const BODY_RETRY: Span = Span(100_000);

/// The process could not answer it before its end; it was not forwarded.
const NO_TIME: Fault = (StatusCode::SERVICE_UNAVAILABLE, "the process ends");
/// Nobody reads this.
const CLIENT_GONE: Fault = (StatusCode::BAD_REQUEST, "the client has gone");

/// The clients' side of the agent.
pub struct Server {
    driver: Driver,
    clients: Rc<Clients>,
    catalogue: Catalogue,
    seats: Seats,
    open: Gauge,
    open_most: Cell<usize>,
    /// Beyond so many, those that rest are closed; and beyond so many, all after their answer.
    crowd: Cell<(usize, usize)>,
    /// Rings when more connections are open than are allowed.
    crowded: Notify,
}

impl Server {
    /// Serves nobody yet.
    pub fn new(
        driver: Driver,
        clients: Rc<Clients>,
        catalogue: Catalogue,
        (open_most, crowd): (usize, (usize, usize)),
    ) -> Rc<Self> {
        let (seats, open) = Default::default();
        let (open_most, crowd, crowded) = (Cell::new(open_most), Cell::new(crowd), Notify::new());
        Rc::new(Server { driver, clients, catalogue, seats, open, open_most, crowd, crowded })
    }

    /// No more connections than so many from now on.
    pub fn allow(&self, most: usize) {
        self.open_most.set(most);
    }

    /// Makes room until no more connections are open than are allowed, and not only once another one comes.
    pub fn close_excess(&self) {
        if self.open.count() > self.open_most.get() {
            self.crowded.notify_one();
        }
    }

    /// From how many connections on the resting ones are closed, and from how many on all after their answer.
    pub fn crowd(&self, crowd: (usize, usize)) {
        self.crowd.set(crowd);
    }

    /// Accepts connections until dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        // Since when connections may have waited: no longer than that, once the queue has been seen empty.
        let mut blocked_since: Option<Instant> = None;
        loop {
            // A connection that waits in the backlog has been accepted as far as its client can tell, so room
            // is made before it is needed.
            while self.open.count() >= self.open_most.get() {
                blocked_since.get_or_insert_with(Instant::now);
                self.seats.make_room();
                let _ = timeout(ACCEPT_PAUSE, self.seats.left()).await;
            }
            let accepted = tokio::select! {
                accepted = next_connection(listener, &mut blocked_since) => accepted,
                () = self.crowded.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (server, ticket) = (Rc::clone(self), self.open.enter());
                    let (wire, view) = Wire::of_client(stream, ticket);
                    let queued = blocked_since.map_or(Duration::ZERO, |since| since.elapsed());
                    tokio::task::spawn_local(async move {
                        let taken = server.seats.enter(view, queued);
                        server.converse(&taken.seat, wire).await;
                    });
                }
                Err(e) if is_of_one_connection(&e) => yield_now().await,
                Err(e) => {
                    blocked_since.get_or_insert_with(Instant::now);
                    log(&format!("cannot accept: {e}"));
                    if is_shortage(&e) {
                        self.seats.make_room();
                    }
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Ends connections of which nothing comes, for as long as the agent lives.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            // A timer would wake an agent without clients for nothing.
            self.seats.occupied().await;
            sleep(SWEEP_EVERY).await;
            self.seats.sweep(self.crowd.get().0);
            self.settle();
        }
    }

    /// Ends the connections that may not rest any longer.
    pub fn settle(&self) {
        match self.clients.rest() {
            Resting::Stay => {}
            Resting::End => self.seats.end_all(),
            Resting::EndAtOnce => self.seats.end_all_at_once(),
        }
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.open.count()
    }

    /// How many of them owe an answer or may do so soon.
    pub fn owed(&self) -> usize {
        self.seats.owed()
    }

    /// The process ends by this permit: whatever is owed at that moment is lost.
    pub fn end_process(&self, _permit: ExitPermit) {
        let owing = self.seats.owing();
        if owing > 0 {
            self.driver.violations().record(Violation::ExitOwing, &format!("{owing} answers"));
        }
    }

    /// A connection has been closed from this side, and its client is there: nothing may be owed on it.
    fn check_closed(&self, seat: &Seat) {
        if seat.owes_answer() && !seat.is_stuck() && seat.client_stays() {
            self.driver.violations().record(Violation::ClosedOwing, &format!("connection {}", seat.number()));
        }
    }

    async fn converse(self: &Rc<Self>, seat: &Rc<Seat>, wire: Wire) {
        let service = service_fn(|request| {
            let (server, seat) = (Rc::clone(self), Rc::clone(seat));
            async move {
                seat.begin();
                let mut answer = server.handle(&seat, request).await;
                // Clients that ask once and stay would leave the others none of the connections that all may hold.
                if server.clients.ends_connections() || server.open.count() > server.crowd.get().1 {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let leaves = answer.headers().contains_key(CONNECTION);
                answer.body_mut().begin(&seat, leaves);
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // The sweep ends half a request; a timer for each head would cost more.
        builder.header_read_timeout(None).max_buf_size(HEAD_MOST).max_headers(HEADERS_MOST);
        let mut connection = pin!(builder.serve_connection(wire, service));
        let drive = async {
            tokio::select! {
                _ = connection.as_mut() => return,
                end = seat.ended() => if end == CloseManner::AtOnce { return },
            }
            let gently = async {
                // A request that has come but was not read yet, or half of one, must not be cut off by the close; how long
                // its head may take the sweep says.
                while !seat.is_busy() && seat.has_begun() {
                    if timeout(Duration::from_millis(1), connection.as_mut()).await.is_ok() {
                        return;
                    }
                }
                // hyper would close one that has had no request yet. At a stop or in a drain its client has just come and
                // is about to ask, perhaps with no listener left to turn to: it keeps its connection for that one answer.
                if seat.is_used() || !self.clients.ends_connections() {
                    connection.as_mut().graceful_shutdown();
                }
                // What is left is to pass on an answer that is owed or has been given; a client that does not read, or
                // has begun a request and says no more, must not keep its seat.
                while timeout(CLOSE_WAIT, connection.as_mut()).await.is_err()
                    && (seat.is_busy() || self.clients.ends_connections())
                {}
            };
            let at_once = async { while seat.ended().await != CloseManner::AtOnce {} };
            tokio::select! {
                () = gently => {}
                () = at_once => {}
            }
        };
        drive.await;
        // The connection is there until it is dropped, and so is what its client may still be owed.
        self.check_closed(seat);
    }

    /// One request, one answer.
    async fn handle(&self, seat: &Seat, request: Request<Incoming>) -> Response<Reply> {
        if request.uri().path() == "/health/ready" && request.method() == Method::GET {
            let ready = self.clients.is_ready();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let answer = match self.catalogue.take(seat, request).await {
            Ok(taken) => {
                let (bytes, is_long) = (taken.bytes, taken.rest.is_some());
                let answer = self.pass_on(seat, taken).await;
                // Of a long one that was looked at before its last byte went on.
                answer.and_then(
                    |answer| if is_long { Ok(answer) } else { check_end(seat, bytes).map(|()| answer) },
                )
            }
            Err(fault) => Err(fault),
        };
        answer.unwrap_or_else(|(status, why)| turned_away(status, why))
    }

    async fn pass_on(&self, seat: &Seat, taken: Taken) -> Result<Response<Reply>, Fault> {
        let Taken { call, call_id, arrival, bytes, rest } = taken;
        let admission = match admit(Instant::now(), arrival.client_deadline, self.clients.answers_by()) {
            Ok(admission) => admission,
            Err(denied) => {
                events::request_denied(&call_id, denied.name());
                rest.into_iter().for_each(Remainder::give_up);
                return Err(NO_TIME);
            }
        };
        let mut deadline = admission.deadline();
        let Some((id, answer)) = self.driver.submit(call, call_id, arrival, admission) else {
            rest.into_iter().for_each(Remainder::give_up);
            return Err((StatusCode::CONFLICT, "X-Call-Id is in use"));
        };
        // Dropped by hyper with this future when it reads that the client has closed its connection. It reads nothing behind
        // bytes that came after the request, nor while a server takes nothing of a long one.
        let _pending = Pending { driver: self.driver.clone(), id };
        let (mut answer, mut closed) = (pin!(answer), pin!(seat.view().closed()));
        if let Some(mut rest) = rest {
            let poured = tokio::select! {
                biased;
                answer = answer.as_mut() => Err(Ok(Some(answer))),
                poured = rest.pour(seat, bytes) => poured.map_err(Err),
                () = closed.as_mut() => Err(Err(CLIENT_GONE)),
                () = self.driver.process_ends(ANSWER_RESERVE) => Err(Ok(None)),
            };
            if let Err(over) = poured {
                rest.give_up();
                let mut answer = worded(over?);
                events::request_answered(id, answer.status().as_u16());
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(answer);
            }
            let answers_by = self.clients.answers_by();
            deadline = rest.finish(|deadline| answers_by.map_or(deadline, |by| by.min(deadline)));
            self.driver.whole(id, deadline);
        }
        seat.take();
        let by = deadline - ANSWER_RESERVE.min(deadline - Instant::now());
        let answer = tokio::select! {
            biased;
            answer = timeout_at(by, answer) => worded(answer.ok()),
            () = closed => return Err(CLIENT_GONE),
            () = self.driver.process_ends(ANSWER_RESERVE) => worded(None),
        };
        events::request_answered(id, answer.status().as_u16());
        Ok(answer)
    }
}

/// The next connection; while there is none, nothing waits in the queue.
async fn next_connection(
    listener: &TcpListener,
    blocked_since: &mut Option<Instant>,
) -> io::Result<(TcpStream, SocketAddr)> {
    poll_fn(|context| {
        let accepted = listener.poll_accept(context);
        if accepted.is_pending() {
            *blocked_since = None;
        }
        accepted
    })
    .await
}

/// True if an accept failed for the connection that it would have brought, or for a signal: the next may be there already.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

/// True if an accept failed since the machine or the process is short of something, which a closed connection gives back. Linux:
/// ENOMEM, ENFILE, EMFILE, ENOBUFS.
fn is_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| matches!(number, 12 | 23 | 24 | 105))
}

/// An answer in the protocol's words; `None` if none has come in time.
fn worded(answer: Option<Result<Answer, RecvError>>) -> Response<Reply> {
    match answer {
        Some(Ok(Answer::Served(served))) => {
            let mut answer = Response::new(Reply::from(served.body));
            if let Some(kind) = served.content_type {
                answer.headers_mut().insert(CONTENT_TYPE, kind);
            }
            answer
        }
        Some(Ok(Answer::Refused(retry_after))) => refused(retry_after),
        Some(Ok(Answer::Failed) | Err(_)) => plain(StatusCode::BAD_GATEWAY, "failed"),
        // The promise of one answer in time does not hang on the module.
        None => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
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

fn plain(status: StatusCode, text: &'static str) -> Response<Reply> {
    let mut answer = Response::new(Reply::text(text));
    *answer.status_mut() = status;
    answer
}

/// A refusal, with the time to come back after.
fn refused(retry_after: Option<Span>) -> Response<Reply> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Some(Ok(value)) = retry_after.map(|s| HeaderValue::try_from(format!("{:.3}", s.ms() / 1e3))) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// An answer to what can't be used; whatever else may come on its connection is not waited for.
fn turned_away(status: StatusCode, why: &'static str) -> Response<Reply> {
    let mut answer = match status {
        StatusCode::SERVICE_UNAVAILABLE => refused(Some(BODY_RETRY)),
        status => plain(status, why),
    };
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
