//! The server side for clients: reads requests and gives each exactly one answer.

use super::answer_body::AnswerBody;
use super::connection_slot::ConnectionSlot;
use super::responses::{rejection_response, text_response, to_response};
use super::slots::ConnectionSlots;
use super::validation::{
    check_no_excess, discard, BodyRemainder, ForwardError, Rejection, RequestRules, ValidRequest,
    BUFFERED_MAX, CLIENT_GONE,
};
use crate::clients::Clients;
use crate::driver::Driver;
use crate::events;
use crate::limits::{CLIENT_CONNECTION_BYTES, SERVER_CONNECTION_BYTES};
use crate::log::log;
use crate::metered_stream::{Gauge, MeteredStream};
use crate::metrics::Count;
use crate::permits::admission::admit;
use crate::permits::closing::CloseManner;
use crate::permits::lifecycle::{ExitPermit, IdlePolicy, OpenConnections};
use crate::permits::silence::Need;
use crate::permits::violations::Violation;
use crate::requests::Answer;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use ryelead::RequestId;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot::{error::RecvError, Receiver};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// If the decision module gives no answer, the client gets one this long before its deadline.
pub(super) const ANSWER_RESERVE: Duration = Duration::from_millis(6);
/// How long a connection that is closing may take to write an answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval of the check for connections whose timeout has passed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a request head, and number of its header lines. With hyper's defaults a few hundred
/// partial heads would fill the memory.
const HEAD_MAX: usize = 16 * 1024;
const HEADERS_MAX: usize = 64;
/// The process ends before it could answer the request; it was not forwarded.
const PROCESS_ENDS: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "the process ends");

/// The process holds too much memory for another request; it was not forwarded.
const MEMORY_SHORT: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "memory is short");

/// The resident memory is read once for so many connections and requests.
const TAKEN_PER_READING: u32 = 8;

/// Serves the connections of clients.
pub struct Server {
    driver: Driver,
    clients: Rc<Clients>,
    request_rules: RequestRules,
    slots: ConnectionSlots,
    open: Gauge,
    open_max: Cell<usize>,
    /// Above the first number of connections idle ones are closed; above the second all are closed after
    /// their answer.
    idle_eviction_limits: Cell<(usize, usize)>,
    /// Notified when more connections are open than allowed.
    over_limit: Notify,
    /// Notified when a client connects.
    connected: Notify,
    /// Memory is short: new requests are refused.
    refuses_new: Cell<bool>,
    /// The most bytes that work in progress may be promised; `None` if that is not known.
    work_max: Cell<Option<u64>>,
    /// Reads the resident memory; called for one in [`TAKEN_PER_READING`] connections and requests.
    reading: RefCell<Option<Box<dyn Fn()>>>,
    taken: Cell<u32>,
}

impl Server {
    /// Creates a server that does not accept connections yet.
    pub fn new(
        driver: Driver,
        clients: Rc<Clients>,
        request_rules: RequestRules,
        (open_max, idle_eviction_limits): (usize, (usize, usize)),
    ) -> Rc<Self> {
        let (slots, open, connected, refuses_new, work_max, reading, taken) = Default::default();
        let (open_max, idle_eviction_limits, over_limit) =
            (Cell::new(open_max), Cell::new(idle_eviction_limits), Notify::new());
        Rc::new(Server {
            driver,
            clients,
            request_rules,
            slots,
            open,
            open_max,
            idle_eviction_limits,
            over_limit,
            connected,
            refuses_new,
            work_max,
            reading,
            taken,
        })
    }

    /// Sets the maximum number of connections.
    pub fn set_open_max(&self, max: usize) {
        self.open_max.set(max);
    }

    /// Starts to evict connections if more are open than allowed, without waiting for the next new
    /// connection.
    pub fn close_excess(&self) {
        if self.open.count() > self.open_max.get() {
            self.over_limit.notify_one();
        }
    }

    /// Sets the number of connections above which idle ones are closed, and the number above which all are
    /// closed after their answer.
    pub fn set_idle_eviction_limits(&self, idle_eviction_limits: (usize, usize)) {
        self.idle_eviction_limits.set(idle_eviction_limits);
    }

    /// Accepts connections until dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        // Start of the period in which connections may have waited in the queue; `None` once the queue has
        // been seen empty.
        let mut blocked_since: Option<Instant> = None;
        loop {
            // To its client, a connection in the backlog counts as accepted, so a slot is freed before it is
            // needed.
            while self.open.count() >= self.open_max.get() {
                blocked_since.get_or_insert_with(Instant::now);
                self.free_connection();
                let _ = timeout(ACCEPT_PAUSE, self.slots.slot_freed()).await;
            }
            let accepted = tokio::select! {
                accepted = next_connection(listener, &mut blocked_since) => accepted,
                () = self.over_limit.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let (server, ticket) = (Rc::clone(self), self.open.enter());
                    self.connected.notify_one();
                    let may_have_closed = self.record_taken();
                    let (wire, view) = MeteredStream::of_client(stream, ticket);
                    let queue_time = blocked_since.map_or(Duration::ZERO, |since| since.elapsed());
                    tokio::task::spawn_local(async move {
                        let guard = server.slots.register(view, queue_time);
                        server.serve_client(&guard.slot, wire).await;
                    });
                    if may_have_closed {
                        yield_now().await;
                    }
                }
                Err(e) if is_transient_accept_error(&e) => yield_now().await,
                Err(e) => {
                    blocked_since.get_or_insert_with(Instant::now);
                    log(&format!("cannot accept: {e}"));
                    if is_resource_shortage(&e) {
                        self.free_connection();
                    }
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes connections whose timeout has passed, until the process ends.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            // Without clients, a timer would only wake the process for nothing.
            self.slots.non_empty().await;
            sleep(SWEEP_INTERVAL).await;
            // A drain or a shutdown ends the connections of clients that read nothing.
            let need = if self.clients.closes_connections() { Need::Others } else { Need::None };
            self.slots.sweep(self.idle_eviction_limits.get().0, need);
            self.close_idle_connections();
        }
    }

    /// Closes the connections that the life cycle no longer allows to stay idle.
    pub fn close_idle_connections(&self) {
        match self.clients.idle_policy() {
            IdlePolicy::Keep => {}
            IdlePolicy::Close => self.slots.close_all(),
            IdlePolicy::CloseImmediately => self.slots.close_all_at_once(),
        }
    }

    /// Waits until a client is connected.
    pub async fn has_connections(&self) {
        while self.open.count() == 0 {
            self.connected.notified().await;
        }
    }

    /// Refuses all new requests before their bodies are read, or no longer does.
    pub fn refuse_new(&self, refuse: bool) {
        self.refuses_new.set(refuse);
    }

    /// Sets the most bytes that work in progress may be promised.
    pub fn limit_work(&self, bytes: u64) {
        self.work_max.set(Some(bytes));
    }

    /// Sets what reads the resident memory while a crowd arrives, which may take much within one interval.
    pub fn on_work_taken(&self, reading: Box<dyn Fn()>) {
        self.reading.replace(Some(reading));
    }

    /// Counts a connection or a request; returns whether the resident memory was read for it.
    fn record_taken(&self) -> bool {
        let taken = self.taken.get().wrapping_add(1);
        self.taken.set(taken);
        let is_due = taken.is_multiple_of(TAKEN_PER_READING);
        if let Some(reading) = self.reading.borrow().as_ref().filter(|_| is_due) {
            reading();
        }
        is_due
    }

    /// What requests and connections have been promised, as the budgets count it, in bytes.
    pub fn work_bytes(&self) -> u64 {
        let clients = self.open.count() as f64 * CLIENT_CONNECTION_BYTES;
        let servers = self.driver.pool().count() as f64 * SERVER_CONNECTION_BYTES;
        self.request_rules.bodies.held() as u64 + (clients + servers) as u64
    }

    /// Whether no new request can be taken in.
    fn is_memory_short(&self) -> bool {
        let next = self.work_bytes() + BUFFERED_MAX as u64;
        self.refuses_new.get() || self.work_max.get().is_some_and(|max| next > max)
    }

    /// Closes connections that are idle after a request.
    pub fn close_idle_clients(&self) {
        self.slots.close_idle();
    }

    /// Evicts up to `number` connections on which no request is complete.
    pub fn evict(&self, number: usize) {
        (0..number).for_each(|_| self.free_connection());
    }

    /// Evicts a connection, or else ends the exchange whose peer has been silent for longest.
    fn free_connection(&self) {
        if !self.slots.evict_one() {
            self.end_longest_silent();
        }
    }

    /// Ends the exchange whose client or server has been silent for longest, because what it holds is needed for
    /// others; nothing if no silence is long enough.
    pub fn end_longest_silent(&self) {
        let peers = self.driver.pool().silent_peers();
        let is_client = match (self.slots.longest_silent_since(), peers.longest_silent_since()) {
            (Some(client), Some(server)) => client <= server,
            (client, _) => client.is_some(),
        };
        let is_ended = if is_client { self.slots.close_longest_silent() } else { peers.give_up_longest() };
        if is_ended {
            self.driver.metrics().count(Count::SilentEnded);
        }
    }

    /// Ends up to `number` connections that hold the most memory.
    pub fn end_largest(&self, number: usize) {
        self.slots.end_largest(number);
    }

    /// The open connections, as far as the end of the process depends on them.
    pub fn connections(&self) -> OpenConnections {
        OpenConnections {
            open: self.open.count(),
            pending: self.slots.owed(),
            answer_moves: self.slots.any_answer_moves(),
        }
    }

    /// Ends the process with this permit. Answers that are owed at that moment are lost and recorded as a
    /// violation.
    pub fn end_process(&self, _permit: ExitPermit) {
        let unanswered = self.slots.unanswered();
        if unanswered > 0 {
            self.driver.violations().record(Violation::ExitOwing, &format!("{unanswered} answers"));
        }
    }

    /// Records a violation if the agent closed a connection that owed an answer, while its client was still
    /// connected and reading.
    fn check_close(&self, slot: &ConnectionSlot) {
        let is_allowed = slot.is_ended_by_silence() || slot.is_ended_by_overload();
        if slot.owes_answer() && !is_allowed && slot.client_is_connected() {
            self.driver.violations().record(Violation::ClosedOwing, &format!("connection {}", slot.number()));
        }
    }

    async fn serve_client(self: &Rc<Self>, slot: &Rc<ConnectionSlot>, wire: MeteredStream) {
        let service = service_fn(|request| {
            let (server, slot) = (Rc::clone(self), Rc::clone(slot));
            async move {
                slot.on_head_complete();
                let knows_chunks = request.version() >= Version::HTTP_11;
                let mut answer = server.handle(&slot, request).await;
                // Idle connections of clients that send a single request would use up the connections that
                // all clients share.
                if server.clients.closes_connections()
                    || server.open.count() > server.idle_eviction_limits.get().1
                {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let closes = answer.headers().contains_key(CONNECTION);
                answer.body_mut().begin(&slot, closes, knows_chunks);
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        // The sweep closes connections with partial requests; a timer for each head would cost more.
        builder.header_read_timeout(None).max_buf_size(HEAD_MAX).max_headers(HEADERS_MAX);
        let mut connection = pin!(builder.serve_connection(wire, service));
        let drive = async {
            tokio::select! {
                _ = connection.as_mut() => return,
                end = slot.wait_for_close() => if end == CloseManner::Immediate { return },
            }
            let gently = async {
                // A request that was received but not read yet, or part of one, must not be cut off by the
                // close. The sweep enforces the time limit for its head.
                while !slot.is_handling_request() && slot.has_partial_request() {
                    if timeout(Duration::from_millis(1), connection.as_mut()).await.is_ok() {
                        return;
                    }
                }
                // hyper would close a connection that has had no request yet. On shutdown or in a drain its
                // client has just connected and is about to send one, perhaps with no other listener
                // available: the connection stays open for that one answer.
                if slot.is_used() || !self.clients.closes_connections() {
                    connection.as_mut().graceful_shutdown();
                }
                // What remains is to write an answer that is owed or has been given. A client that does not
                // read, or that sends only part of a request, must not keep its connection slot.
                while timeout(CLOSE_TIMEOUT, connection.as_mut()).await.is_err()
                    && (slot.is_busy() || self.clients.closes_connections())
                {}
            };
            let at_once = async { while slot.wait_for_close().await != CloseManner::Immediate {} };
            tokio::select! {
                () = gently => {}
                () = at_once => {}
            }
        };
        drive.await;
        // The connection exists until it is dropped, and until then its client may be owed an answer.
        self.check_close(slot);
    }

    /// Handles one request and returns its only answer.
    async fn handle(&self, slot: &ConnectionSlot, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() == "/health/ready" && request.method() == Method::GET {
            let ready = self.clients.is_ready();
            return text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        self.record_taken();
        if self.is_memory_short() {
            events::request_rejected(slot.number(), MEMORY_SHORT.0.as_u16(), MEMORY_SHORT.1);
            self.driver.metrics().count(Count::Rejected);
            discard(request.into_body());
            return rejection_response(MEMORY_SHORT.0, MEMORY_SHORT.1);
        }
        let answer = match self.request_rules.receive(slot, request).await {
            Ok(valid_request) => {
                let (bytes, is_long) = (valid_request.bytes, valid_request.rest.is_some());
                let answer = self.forward(slot, valid_request).await;
                // A streamed request was checked before its last byte was forwarded.
                answer.and_then(|answer| {
                    if is_long {
                        Ok(answer)
                    } else {
                        check_no_excess(slot, bytes).map(|()| answer)
                    }
                })
            }
            Err(rejection) => Err(rejection),
        };
        answer.unwrap_or_else(|(status, why)| {
            self.driver.metrics().count(Count::Rejected);
            events::request_rejected(slot.number(), status.as_u16(), why);
            rejection_response(status, why)
        })
    }

    async fn forward(
        &self,
        slot: &ConnectionSlot,
        valid_request: ValidRequest,
    ) -> Result<Response<AnswerBody>, Rejection> {
        let ValidRequest { call, call_id, attributes, bytes, rest } = valid_request;
        let admission = match admit(Instant::now(), attributes.client_deadline, self.clients.answers_by()) {
            Ok(admission) => admission,
            Err(denied) => {
                events::request_denied(&call_id, denied.name());
                rest.into_iter().for_each(BodyRemainder::discard_rest);
                return Err(PROCESS_ENDS);
            }
        };
        let mut deadline = admission.deadline();
        let Some((id, answer)) = self.driver.submit(call, call_id, attributes, admission) else {
            rest.into_iter().for_each(BodyRemainder::discard_rest);
            return Err((StatusCode::CONFLICT, "X-Call-Id is in use"));
        };
        // hyper drops this future, and the guard with it, when it reads that the client has closed its
        // connection. It does not read beyond bytes that follow the request, nor while a server accepts
        // nothing of a streamed one.
        let _pending = Pending { driver: self.driver.clone(), id };
        let (mut answer, mut closed) = (pin!(answer), pin!(slot.view().closed()));
        if let Some(mut rest) = rest {
            let forwarded = tokio::select! {
                biased;
                answer = answer.as_mut() => Err(Ok(Some(answer))),
                forwarded = rest.forward_rest(slot, bytes) => match forwarded {
                    Ok(()) => Ok(()),
                    Err(ForwardError::Rejected(rejection)) => Err(Err(rejection)),
                    Err(ForwardError::Overdue) => {
                        self.driver.body_overdue(id);
                        Err(Ok(answer.try_recv().ok().map(Ok)))
                    }
                },
                () = closed.as_mut() => Err(Err(CLIENT_GONE)),
                () = self.driver.process_ends(ANSWER_RESERVE) => Err(Ok(None)),
            };
            if let Err(over) = forwarded {
                rest.discard_rest();
                let mut answer = to_response(over?);
                events::request_answered(id, answer.status().as_u16());
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(answer);
            }
            let answers_by = self.clients.answers_by();
            deadline = rest.finish(|deadline| answers_by.map_or(deadline, |end| end.min(deadline)));
            self.driver.body_complete(id, deadline);
        }
        slot.on_request_complete();
        let answer_by = deadline - ANSWER_RESERVE.min(deadline - Instant::now());
        let answer = tokio::select! {
            biased;
            answer = self.await_answer(id, answer, answer_by) => to_response(answer),
            () = closed => return Err(CLIENT_GONE),
            () = self.driver.process_ends(ANSWER_RESERVE) => to_response(None),
        };
        events::request_answered(id, answer.status().as_u16());
        Ok(answer)
    }

    /// Waits for the answer to a request until `answer_by`; beyond that only for one that is being forwarded.
    async fn await_answer(
        &self,
        id: RequestId,
        mut answer: Pin<&mut Receiver<Answer>>,
        answer_by: Instant,
    ) -> Option<Result<Answer, RecvError>> {
        match timeout_at(answer_by, answer.as_mut()).await {
            Ok(answer) => Some(answer),
            Err(_) if self.driver.answer_due(id) => Some(answer.await),
            Err(_) => None,
        }
    }
}

/// Accepts the next connection. Clears `blocked_since` when none is waiting, since the queue is empty then.
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

/// Whether an accept failed because of the one connection that it would have returned, or because of a
/// signal. The next connection may be ready already.
fn is_transient_accept_error(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

/// Whether an accept failed because the machine or the process lacks a resource that closing a connection
/// frees. On Linux: ENOMEM, ENFILE, EMFILE, ENOBUFS.
fn is_resource_shortage(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| matches!(number, 12 | 23 | 24 | 105))
}

/// A request that waits for its answer. Dropping it tells the driver that nobody waits any more.
struct Pending {
    driver: Driver,
    id: RequestId,
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.driver.abandon(self.id);
    }
}
