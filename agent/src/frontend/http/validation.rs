//! Reads a client's request and validates it before anything else is done for it.

use super::connection_slot::ConnectionSlot;
use super::server::ANSWER_RESERVE;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::requests::RequestAttributes;
use crate::upstream::attempt::Call;
use crate::upstream::body::{BODY_MAX, STREAMING_MEMORY_MAX};
use crate::upstream::upload::{upload, UploadSource};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use ryelead::{ClassId, Effect, KeyId, Span, TenantId};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// After `BODY_GRACE_TIME`, a body must arrive at this many bytes a second at least; a little under half of
/// the rate of the slowest clients.
const BODY_RATE_MIN: f64 = 28_000.0;
const BODY_GRACE_TIME: Duration = Duration::from_millis(2500);
/// Maximum part of a request that is buffered so that it can be sent again. Longer requests are streamed.
pub const BUFFERED_MAX: usize = 64 * 1024;
/// While a server takes nothing of a request, it is looked at this often whether the client has written more.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// A server that takes nothing of a request for this long blocks it.
const BLOCKED_TIME: Duration = Duration::from_millis(1);
/// The kernel moves bytes from a client's buffer to the agent's within this time once there is room.
const SETTLE_TIME: Duration = Duration::from_millis(3);
/// What a client sends after its request was rejected is read and discarded within these bounds. A close with
/// unread bytes would reset the connection, and the client would lose the answer.
const DISCARD_MAX: usize = 256 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of a call ID in bytes.
const CALL_ID_MAX: usize = 128;

const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request class, as far as the server side needs it.
pub struct Class {
    /// The name in `X-Call-Class`.
    pub name: String,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// Upper bound of the time that a client may ask for.
    pub deadline: Duration,
}

/// Settings that requests are validated against.
pub struct RequestRules {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The memory budget for bodies.
    pub bodies: Rc<MemoryBudget>,
}

/// A valid request that can be forwarded.
pub struct ValidRequest {
    /// The request as it is sent to a server.
    pub call: Call,
    /// The call ID of the client.
    pub call_id: HeaderValue,
    /// The request as it is passed to the decision module.
    pub attributes: RequestAttributes,
    /// Length of head and body in bytes, if the head states it.
    pub bytes: Option<u64>,
    /// The rest of the body, if the request is streamed.
    pub rest: Option<BodyRemainder>,
}

/// The part of a streamed request that has not been received yet.
pub struct BodyRemainder {
    body: Incoming,
    pace: BodyPace,
    source: UploadSource,
    /// The client may have written bytes that the agent has not read, since it was not reading for a while. They
    /// are on their way between the buffers of the kernel even if nothing can be read at the moment.
    may_be_unread: bool,
    last_piece_at: Instant,
    _reservation: Option<MemoryReservation>,
}

impl BodyRemainder {
    /// Forwards the rest of the body as it is received.
    pub async fn forward_rest(
        &mut self,
        slot: &ConnectionSlot,
        bytes: Option<u64>,
    ) -> Result<(), ForwardError> {
        while let Some(piece) = self.next_piece(slot, bytes).await? {
            // A server has the complete request with the last byte of a stated length, so excess bytes must
            // be detected before that byte is forwarded.
            if self.body.is_end_stream() {
                check_no_excess(slot, bytes)?;
                check_connected(slot)?;
            }
            self.push(piece, slot, bytes).await?;
        }
        check_connected(slot)?;
        Ok(check_no_excess(slot, bytes)?)
    }

    /// The next piece of the body, `None` at its end. Notes until when the client had certainly not sent its last
    /// byte.
    async fn next_piece(
        &mut self,
        slot: &ConnectionSlot,
        bytes: Option<u64>,
    ) -> Result<Option<Bytes>, Rejection> {
        while self.may_be_unread {
            if slot.misses_more_than_buffers_hold(bytes) {
                self.source.set_incomplete_at(Instant::now());
            }
            if let Ok(piece) = timeout(SETTLE_TIME, self.pace.next(&mut self.body, slot)).await {
                return piece;
            }
            self.pace.time_waited += SETTLE_TIME;
            if !slot.view().has_unread() {
                self.may_be_unread = false;
                self.source.set_incomplete_at(Instant::now());
            }
        }
        let piece = self.pace.next(&mut self.body, slot).await;
        let now = Instant::now();
        let has_waited = slot.view().drained_at().is_some_and(|drained_at| drained_at >= self.last_piece_at);
        if has_waited {
            self.source.set_incomplete_at(now);
        }
        self.last_piece_at = now;
        piece
    }

    /// Passes a piece on once the server takes it. Meanwhile nothing is read from the client, and what it has
    /// written lies in the buffers of the kernel: its last byte may be there already.
    async fn push(
        &mut self,
        piece: Bytes,
        slot: &ConnectionSlot,
        bytes: Option<u64>,
    ) -> Result<(), ForwardError> {
        let started = Instant::now();
        let mut pushed = pin!(self.source.push(piece));
        loop {
            let overdue_at = self.source.earliest_deadline() - ANSWER_RESERVE;
            let check_at = overdue_at.min(Instant::now() + UNREAD_CHECK_INTERVAL);
            if timeout_at(check_at, pushed.as_mut()).await.is_ok() {
                self.may_be_unread |= started.elapsed() >= BLOCKED_TIME;
                return Ok(());
            }
            if slot.nothing_unread_of_incomplete(bytes) || slot.misses_more_than_buffers_hold(bytes) {
                self.source.set_incomplete_at(Instant::now());
            }
            if self.source.earliest_deadline() - ANSWER_RESERVE <= Instant::now() {
                return Err(ForwardError::Overdue);
            }
        }
    }

    /// Marks the body as complete and returns the client's deadline: its budget starts when the body was last
    /// known to be incomplete, and `within` limits it to the remaining time of the process.
    pub fn finish(self, within: impl Fn(Instant) -> Instant) -> Instant {
        let deadline = within(self.source.earliest_deadline());
        self.source.finish(deadline);
        deadline
    }

    /// Discards the rest of the body.
    pub fn discard_rest(self) {
        discard(self.body);
    }
}

/// The status and text of the answer to an invalid request.
pub type Rejection = (StatusCode, &'static str);

/// Why the rest of a body was not forwarded.
#[derive(Debug, thiserror::Error)]
pub enum ForwardError {
    /// The request is invalid, or its client does not send the rest.
    #[error("the request is rejected: {0:?}")]
    Rejected(Rejection),
    /// The client's time may be over: what it has written could not be read in time, because the server does not
    /// take it.
    #[error("the client's time may be over before its request has been read")]
    Overdue,
}

impl From<Rejection> for ForwardError {
    fn from(rejection: Rejection) -> Self {
        ForwardError::Rejected(rejection)
    }
}

/// Never read by anyone, since the client has disconnected.
pub const CLIENT_GONE: Rejection = (StatusCode::BAD_REQUEST, "the client has gone");
const NO_MEMORY: Rejection = (StatusCode::SERVICE_UNAVAILABLE, "no memory for the body now");
const BODY_TOO_LARGE: Rejection = (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB");

fn bad_request(why: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, why)
}

/// Rejects a request that is followed by more bytes. Clients send one request at a time, so its length was
/// wrong, its chunks end early or it hides another request. `bytes` is its length, if the head states it.
pub fn check_no_excess(slot: &ConnectionSlot, bytes: Option<u64>) -> Result<(), Rejection> {
    let received = slot.view().head();
    if bytes.or_else(|| received.chunked_len()).is_some_and(|bytes| received.bytes_received() > bytes) {
        return Err(bad_request("more has come than the request"));
    }
    Ok(())
}

/// Rejects a request whose client has closed its connection, as far as that can be seen.
fn check_connected(slot: &ConnectionSlot) -> Result<(), Rejection> {
    if slot.view().has_closed() {
        return Err(CLIENT_GONE);
    }
    Ok(())
}

impl RequestRules {
    /// Reads and validates a request. Invalid requests are not forwarded.
    pub async fn receive(
        &self,
        slot: &ConnectionSlot,
        request: Request<Incoming>,
    ) -> Result<ValidRequest, Rejection> {
        let started = Instant::now();
        let (head, body) = request.into_parts();
        let checked = self.check_head(slot, &head, &body);
        let (class, call_id, budget, head_bytes) = match checked {
            Ok(checked) => checked,
            Err(rejection) => {
                discard(body);
                return Err(rejection);
            }
        };
        let stated_length = body.size_hint().exact();
        let Some(reservation) =
            self.bodies.take(stated_length.map_or(BUFFERED_MAX, |bytes| BUFFERED_MAX.min(bytes as usize)))
        else {
            discard(body);
            return Err(NO_MEMORY);
        };
        let capacity = stated_length.map_or(0, |bytes| BUFFERED_MAX.min(bytes as usize));
        let (mut body, mut pace, mut buffered) =
            (body, BodyPace::default(), BytesMut::with_capacity(capacity));
        let mut is_long = false;
        loop {
            let piece = match pace.next(&mut body, slot).await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(rejection) => {
                    discard(body);
                    return Err(rejection);
                }
            };
            buffered.extend_from_slice(&piece);
            is_long = buffered.len() >= BUFFERED_MAX && !body.is_end_stream();
            if is_long {
                break;
            }
        }
        let bytes = stated_length.map(|body| head_bytes + body);
        if !is_long {
            check_no_excess(slot, bytes)?;
        }
        let budget = budget.min(self.classes[class].deadline);
        let streaming_portion = is_long.then(|| self.bodies.take(STREAMING_MEMORY_MAX));
        if let Some(None) = streaming_portion {
            discard(body);
            return Err(NO_MEMORY);
        }
        let (source, upload) =
            is_long.then(|| upload(stated_length, budget, started, Rc::clone(&self.bodies))).unzip();
        let _reservation = streaming_portion.flatten();
        let rest = source.map(|source| BodyRemainder {
            body,
            pace,
            source,
            may_be_unread: true,
            last_piece_at: started,
            _reservation,
        });
        // The client's budget starts with the last byte of its request. That byte has just been received, or
        // will be, or had arrived before the connection was accepted.
        let queue_time = slot.take_queue_time();
        let deadline = Instant::now() + if is_long { budget } else { budget.saturating_sub(queue_time) };
        let cost = header_text(&head.headers, "x-call-cost").and_then(|t| t.parse::<f64>().ok());
        let tenant = header_text(&head.headers, "x-caller");
        let attributes = RequestAttributes {
            class: ClassId(class),
            tenant: tenant.and_then(|t| self.tenants.iter().position(|n| n == t)).map(TenantId),
            key: single_header(&head.headers, "x-route-hash").map(|key| KeyId(hash(key.as_bytes()))),
            cost_hint: cost.filter(|us| us.is_finite() && *us > 0.0).map(|us| Span::from_ms(us / 1e3)),
            client_retry: header_text(&head.headers, "x-again") == Some("1"),
            client_deadline: deadline,
            body_incomplete: is_long,
        };
        let mut headers = HeaderMap::with_capacity(6);
        for name in [CALL_ID, IDEMPOTENCY_KEY, HOST, CONTENT_TYPE] {
            if let Some(value) = head.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        let parts = head.uri.into_parts();
        let uri = parts.path_and_query.map(Into::into).unwrap_or_default();
        let (body, _reservation) = (buffered.freeze(), Some(reservation));
        let client = Some(slot.view().clone());
        let call = Call { method: head.method, uri, headers, body, upload, client, _reservation };
        Ok(ValidRequest { call, call_id, attributes, bytes, rest })
    }

    /// Validates the head; returns the index of the class, the call ID, the client's budget and the length of
    /// the head in bytes.
    fn check_head(
        &self,
        slot: &ConnectionSlot,
        head: &hyper::http::request::Parts,
        body: &Incoming,
    ) -> Result<(usize, HeaderValue, Duration, u64), Rejection> {
        // A head that was not seen from its first byte arrived together with the previous request.
        let raw = slot.view().head();
        let head_bytes = raw.len().ok_or(bad_request("one request at a time"))?;
        if !matches!(raw.framing_counts(), (0 | 1, 0) | (0, 1)) {
            return Err(bad_request("the length is stated twice"));
        }
        let name =
            header_text(&head.headers, "x-call-class").ok_or(bad_request("X-Call-Class is missing"))?;
        let first = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.classes.iter().position(|class| class.name == name);
        let class = class.filter(|_| first == name).ok_or(bad_request("no such class"))?;
        let has_idempotency_key = single_header(&head.headers, IDEMPOTENCY_KEY.as_str()).is_some();
        let fits = match self.classes[class].effect {
            Effect::Idempotent => head.method == Method::GET && body.is_end_stream(),
            Effect::Deduplicated { .. } => head.method == Method::POST && has_idempotency_key,
            Effect::AtMostOnce => head.method == Method::POST && !has_idempotency_key,
        };
        if !fits {
            return Err(bad_request("method, key or body do not fit the class"));
        }
        let call_id =
            single_header(&head.headers, CALL_ID.as_str()).filter(|id| is_valid_call_id(id.as_bytes()));
        let call_id = call_id.ok_or(bad_request("X-Call-Id is missing or malformed"))?.clone();
        let budget =
            header_text(&head.headers, "x-budget-ms").filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let budget =
            budget.and_then(|t| t.parse().ok()).ok_or(bad_request("X-Budget-Ms is no whole number"))?;
        if head.uri.path_and_query().is_none_or(|p| !p.as_str().starts_with('/')) {
            return Err(bad_request("no path"));
        }
        if body.size_hint().lower() > BODY_MAX {
            return Err(BODY_TOO_LARGE);
        }
        Ok((class, call_id, Duration::from_millis(budget), head_bytes))
    }
}

/// The time that was spent waiting for the client to send the body, and the bytes received in that time.
#[derive(Default)]
struct BodyPace {
    time_waited: Duration,
    bytes: u64,
}

impl BodyPace {
    /// The next piece of a body, `None` at its end.
    async fn next(&mut self, body: &mut Incoming, slot: &ConnectionSlot) -> Result<Option<Bytes>, Rejection> {
        loop {
            let time_allowed = BODY_GRACE_TIME + Duration::from_secs_f64(self.bytes as f64 / BODY_RATE_MIN);
            let started = Instant::now();
            let frame = timeout(time_allowed.saturating_sub(self.time_waited), body.frame()).await;
            self.time_waited += started.elapsed();
            match frame {
                Ok(None) => return Ok(None),
                // Trailers are not forwarded: servers do not use them.
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.bytes += data.len() as u64;
                        slot.on_body_data();
                        return if self.bytes > BODY_MAX { Err(BODY_TOO_LARGE) } else { Ok(Some(data)) };
                    }
                }
                Ok(Some(Err(_))) => return Err(bad_request("the body can't be read")),
                Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
            }
        }
    }
}

/// Reads and drops the rest of a body for a limited time.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(timeout(DISCARD_TIMEOUT, async move {
        let mut left = DISCARD_MAX;
        while let Some(Ok(frame)) = body.frame().await {
            match left.checked_sub(frame.data_ref().map_or(1, |data| data.len().max(1))) {
                Some(rest) => left = rest,
                None => return,
            }
        }
    }));
}

/// Whether it is a valid call ID: visible ASCII characters, 1 to 128 of them.
fn is_valid_call_id(id: &[u8]) -> bool {
    (1..=CALL_ID_MAX).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
}

/// A header that may occur once only. Two of them count as none, since it is unknown which one is meant.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    single_header(headers, name)?.to_str().ok().map(str::trim)
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
