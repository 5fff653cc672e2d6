//! Attempts and probes: sends a request to a server and turns the answer into an outcome.

use super::answer_arrival::AnswerArrival;
use super::answer_end::AnswerEnd;
use super::attempt::{AttemptOwner, AttemptResult, Call, ForwardOrder, Progress, Served, ServedBody, Stage};
use super::body::{AnswerError, BODY_MAX, BUFFERED_ANSWER_MAX, STREAMING_MEMORY_MAX};
use super::framing::framing;
use super::live_answer::{CloseRecorder, LiveAnswer};
use super::load_report::LoadReports;
use super::pool::{Lease, Pool, ServerEndpoint};
use super::silent_peers::SilentPeer;
use super::streaming::{StreamEnd, StreamedAnswer};
use super::upload::RequestBody;
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::metered_stream::ConnectionView;
use crate::permits::attempt::AttemptPermit;
use crate::permits::silence::SILENCE_MAX;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use ryelead::{AnswerCloseReason, AnswerLength, Outcome, ServerId};
use std::future::{pending, poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Maximum number of bytes read for a buffered answer: a body in small chunks, its head, and any 1xx answers
/// before it.
const BUFFERED_READ_MAX: u64 = 4 * BUFFERED_ANSWER_MAX as u64;
/// Maximum number of bytes read for a streamed answer: a body in chunks of a few bytes takes several times
/// its length.
const STREAMED_READ_MAX: u64 = 8 * BODY_MAX;
/// Interval of the check whether a server has read nothing of a streamed request for too long.
const WRITE_STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A streamed answer waits no longer for memory: the decision module may have kept it back for
/// [`ryelead::ANSWER_HOLD_MAX`] before, and an answer is lost that is held back for 2 s.
const STREAMING_MEMORY_WAIT_MAX: Duration = Duration::from_millis(500);
/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// What the server has sent for an attempt.
enum ReceivedAnswer {
    /// A complete answer.
    Buffered(AttemptResult),
    /// A streamed answer of which the head has been received.
    Streamed(AnswerStart),
}

/// A streamed answer that has begun.
struct AnswerStart {
    content_type: Option<HeaderValue>,
    /// The bytes received so far, and the memory that they hold.
    first: Bytes,
    reservation: Option<MemoryReservation>,
    rest: Incoming,
    live: LiveAnswer,
}

/// How far an answer could be buffered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Buffered {
    /// To its end.
    Whole,
    /// To its limit.
    Full,
    /// Until it had to be forwarded.
    Forwarded,
}

/// Sends attempts and probes on the connections to all servers.
pub struct Backends {
    pool: Rc<Pool>,
    bodies: Rc<MemoryBudget>,
    reports: LoadReports,
}

impl Backends {
    /// `fields` are the names in a load report, empty if servers send none.
    pub fn new(pool: Rc<Pool>, bodies: Rc<MemoryBudget>, fields: Vec<String>, has_reports: bool) -> Rc<Self> {
        Rc::new(Backends { pool, bodies, reports: LoadReports::new(fields, has_reports) })
    }

    /// The connections.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Sends one attempt. Returns once its answer is complete or has been streamed, or none will arrive.
    pub async fn attempt(
        &self,
        server_endpoint: ServerEndpoint,
        call: &Call,
        until: Instant,
        progress: &Progress,
        owner: &impl AttemptOwner,
    ) -> AttemptResult {
        loop {
            let mut lease = match self.pool.lease(server_endpoint).await {
                Ok(lease) => lease,
                Err(outcome) => return outcome.into(),
            };
            let Some(permit) = owner.permit() else {
                self.pool.give_back(server_endpoint, lease);
                return Outcome::NotSent.into();
            };
            if call.upload.is_some() {
                owner.commit();
            }
            progress.set(Stage::Sent);
            let view = lease.view.clone();
            let (before, received) = (view.written(), view.received());
            let end = self.answer_end(server_endpoint.server, &view);
            let request = build_request(call, server_endpoint.address, until);
            let answer = self.exchange(&mut lease, permit, request, &end, (call, progress), owner).await;
            let (written, min_bytes) = (view.written() - before, call.min_bytes());
            let upload = call.upload.as_ref();
            if upload.is_some_and(|upload| upload.is_aborted()) {
                close_started(answer, AnswerCloseReason::ClientGone);
                return Outcome::NotSent.into();
            }
            let nothing_forwarded = upload.is_none_or(|upload| upload.nothing_forwarded());
            self.pool.record_use(&lease, answer.is_err() && view.received() == received);
            match answer {
                // A server may reject a streamed request, or fail, before it has received all of it.
                Ok(ReceivedAnswer::Buffered(ended))
                    if written < min_bytes && upload.is_some() && ended.served.is_none() =>
                {
                    return ended;
                }
                // An answer that arrived before the whole request was written does not belong to this
                // request.
                Ok(_) if written < min_bytes => {
                    close_started(answer, AnswerCloseReason::Unsound);
                    return Outcome::ConnectionReset.into();
                }
                Ok(ReceivedAnswer::Buffered(ended)) => {
                    self.pool.give_back(server_endpoint, lease);
                    return ended;
                }
                Ok(ReceivedAnswer::Streamed(AnswerStart {
                    content_type,
                    first,
                    reservation,
                    rest,
                    live,
                })) => {
                    let reservations = (reservation, self.streaming_memory(call, until).await);
                    progress.set(Stage::Streaming);
                    let began = Some(Instant::now());
                    let peer = self.pool.silent_peers().register();
                    view.limit_reads(STREAMED_READ_MAX);
                    let (streaming, stream_end) =
                        StreamedAnswer::new(first, rest, lease, (end, live), peer, until, reservations);
                    let body = ServedBody::Stream(Box::new(streaming));
                    let outcome = if !owner.start_answer(Served { body, content_type }) {
                        Outcome::Cancelled
                    } else {
                        match stream_end.await {
                            Ok(StreamEnd::Complete(lease)) => {
                                self.pool.give_back(server_endpoint, lease);
                                Outcome::Success
                            }
                            Ok(StreamEnd::Broken) => Outcome::ConnectionReset,
                            Err(_) => Outcome::Cancelled,
                        }
                    };
                    // The report is as old as the head of the answer, but the decision module would take it
                    // for a current one.
                    return AttemptResult { began, ..outcome.into() };
                }
                // A pooled connection that ended before anything was written to it says nothing about the
                // server, and no attempt was made: the next one is tried. A new connection that ends like
                // this does say something, and to retry would open connections without limit. A connection
                // whose permit had expired before its first byte was written is treated like a pooled one.
                Err(AnswerError::Connection)
                    if (!lease.is_new() || view.has_expired()) && written == 0 && nothing_forwarded =>
                {
                    progress.set(Stage::NotSent);
                }
                Err(error @ (AnswerError::Connection | AnswerError::RequestNotRead))
                    if written < min_bytes =>
                {
                    return AttemptResult::of_error(Outcome::ConnectFailed, error);
                }
                Err(error) => return AttemptResult::of_error(Outcome::ConnectionReset, error),
            }
        }
    }

    /// Sends one request and reads its answer.
    async fn exchange(
        &self,
        lease: &mut Lease,
        permit: AttemptPermit,
        mut request: Request<RequestBody>,
        end: &AnswerEnd,
        (call, progress): (&Call, &Progress),
        owner: &impl AttemptOwner,
    ) -> Result<ReceivedAnswer, AnswerError> {
        let view = lease.view.clone();
        let sender = lease.sender().ok_or(AnswerError::Connection)?;
        // 1xx answers come before the final answer, and are no part of it.
        let saw_informational = Arc::new(AtomicBool::new(false));
        let informational_flag = Arc::clone(&saw_informational);
        hyper::ext::on_informational(&mut request, move |_| {
            informational_flag.store(true, Ordering::Relaxed)
        });
        let received = view.received();
        let unread = async {
            match &call.upload {
                Some(upload) => {
                    let peer = self.pool.silent_peers().register();
                    write_stalled(&view, &peer, upload.budget()).await;
                }
                None => pending().await,
            }
        };
        view.arm(permit, BUFFERED_READ_MAX);
        let arrival = AnswerArrival::new();
        let complete = async {
            let answer = sender.try_send_request(request).await.map_err(|_| AnswerError::Connection)?;
            self.read(answer, end, &arrival, progress, owner).await
        };
        tokio::select! {
            biased;
            answer = complete => answer,
            never = arrival.watch(&view, received, &saw_informational, owner) => match never {},
            () = unread => {
                // What has come of an answer does not belong to a request that the server has not read.
                set_close_reason(owner.close_recorder(), AnswerCloseReason::Unsound);
                Err(AnswerError::RequestNotRead)
            }
        }
    }

    fn answer_end(&self, server: ServerId, view: &ConnectionView) -> AnswerEnd {
        AnswerEnd { server, view: view.clone(), metrics: self.pool.metrics().clone() }
    }

    /// The memory for a streamed answer. Without free memory it waits for earlier answers, but not until its
    /// request is lost: what it holds is within what is counted for its two connections.
    async fn streaming_memory(&self, call: &Call, until: Instant) -> Option<MemoryReservation> {
        tokio::select! {
            biased;
            reservation = self.bodies.take_when_free(STREAMING_MEMORY_MAX) => Some(reservation),
            () = call.time_up(until) => None,
            () = sleep(STREAMING_MEMORY_WAIT_MAX) => None,
        }
    }

    /// Reads an answer; stops early if it is to be streamed.
    async fn read(
        &self,
        answer: Response<Incoming>,
        end: &AnswerEnd,
        arrival: &AnswerArrival,
        progress: &Progress,
        owner: &impl AttemptOwner,
    ) -> Result<ReceivedAnswer, AnswerError> {
        let (head, mut body) = answer.into_parts();
        let framing = framing(head.status, &head.headers).ok_or(AnswerError::Invalid)?;
        let outcome = outcome_of(&head);
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        // Only an answer that would be served counts as sound.
        let live = (outcome == Outcome::Success).then(|| LiveAnswer::new(owner.close_recorder()));
        let mut first = BytesMut::new();
        let buffered = match &live {
            Some(_) => self.buffer_sound(&mut body, &mut first, framing, progress, owner).await,
            None => self.buffer_other(&mut body, &mut first, framing, outcome, arrival).await,
        };
        let (buffered, reservation) = match buffered {
            Ok(buffered) => buffered,
            Err(error) => {
                live.into_iter().for_each(|live| end.close_broken(live));
                return Err(error);
            }
        };
        let first = first.freeze();
        match live {
            Some(live) if buffered != Buffered::Whole => Ok(ReceivedAnswer::Streamed(AnswerStart {
                content_type,
                first,
                reservation,
                rest: body,
                live,
            })),
            // A refusal or an error with a body of this length is not read to its end.
            None if buffered != Buffered::Whole => Err(AnswerError::Invalid),
            live => {
                live.into_iter().for_each(LiveAnswer::end);
                // The raw bytes of a chunked body differ from its contents.
                let sent_body = if head.headers.contains_key(TRANSFER_ENCODING) { &[][..] } else { &first };
                let is_whole = match outcome {
                    Outcome::ServerError => end.is_whole(sent_body).await,
                    _ => end.is_whole_after_grace(sent_body).await,
                };
                if !is_whole {
                    return Err(AnswerError::InDoubt);
                }
                let report = head.headers.get("x-load-report");
                let report = report.and_then(|value| self.reports.parse(value.as_bytes()));
                let served = (outcome == Outcome::Success)
                    .then_some(Served { body: ServedBody::Complete(first, reservation), content_type });
                Ok(ReceivedAnswer::Buffered(AttemptResult { report, served, ..outcome.into() }))
            }
        }
    }

    /// Buffers an answer that is to be served, until it is whole or the decision module has it forwarded.
    async fn buffer_sound(
        &self,
        body: &mut Incoming,
        first: &mut BytesMut,
        framing: Option<u64>,
        progress: &Progress,
        owner: &impl AttemptOwner,
    ) -> Result<(Buffered, Option<MemoryReservation>), AnswerError> {
        let forward = owner.forward_order();
        let length = match framing {
            Some(length) if length > BUFFERED_ANSWER_MAX as u64 => {
                announce(AnswerLength::Long, progress, owner);
                forward.given().await;
                return Ok((Buffered::Forwarded, None));
            }
            Some(_) => AnswerLength::Short,
            None => AnswerLength::Open,
        };
        let buffer_max = framing.map_or(BUFFERED_ANSWER_MAX, |length| length as usize);
        let mut reserved = pin!(self.bodies.take_when_free(buffer_max));
        let Some(reservation) =
            unless_forwarded(reserved.as_mut(), forward, || announce(length, progress, owner)).await
        else {
            return Ok((Buffered::Forwarded, None));
        };
        first.reserve(framing.map_or(0, |_| buffer_max));
        let reading = pin!(buffer(body, first, buffer_max));
        let is_whole = unless_forwarded(reading, forward, || announce(length, progress, owner)).await;
        let buffered = match is_whole.transpose()? {
            Some(true) => Buffered::Whole,
            Some(false) => {
                announce(AnswerLength::Long, progress, owner);
                forward.given().await;
                Buffered::Full
            }
            None => Buffered::Forwarded,
        };
        Ok((buffered, Some(reservation)))
    }

    /// Buffers a refusal or an error, of which nothing is forwarded.
    async fn buffer_other(
        &self,
        body: &mut Incoming,
        first: &mut BytesMut,
        framing: Option<u64>,
        outcome: Outcome,
        arrival: &AnswerArrival,
    ) -> Result<(Buffered, Option<MemoryReservation>), AnswerError> {
        let buffer_max =
            framing.map_or(BUFFERED_ANSWER_MAX, |length| BUFFERED_ANSWER_MAX.min(length as usize));
        let reservation = self.bodies.take_when_free(buffer_max).await;
        let is_whole = tokio::select! {
            biased;
            is_whole = buffer(body, first, buffer_max) => is_whole?,
            // Its request may have been executed in any case.
            () = arrival.silence(), if outcome == Outcome::ServerError => return Err(AnswerError::Stalled),
        };
        Ok((if is_whole { Buffered::Whole } else { Buffered::Full }, Some(reservation)))
    }

    /// Sends a health check, or a request for a load report.
    pub async fn probe(&self, server_endpoint: ServerEndpoint) -> AttemptResult {
        let uri = Uri::from_static(if self.reports.are_sent() { "/stats" } else { "/health/live" });
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let call =
            Call { method: Method::GET, uri, headers, body, upload: None, client: None, _reservation: None };
        let until = Instant::now() + PROBE_TIMEOUT;
        let progress = Progress::default();
        let owner = ProbeOwner::default();
        let attempt = self.attempt(server_endpoint, &call, until, &progress, &owner);
        let Ok(mut ended) = timeout_at(until, attempt).await else { return Outcome::TimedOut.into() };
        if let Some(Served { body: ServedBody::Complete(text, _), .. }) = ended.served.take() {
            ended.report = ended.report.or_else(|| self.reports.parse(&text));
        }
        ended
    }
}

/// The owner of a probe: probes are always permitted, and a streamed answer to one is discarded.
#[derive(Default)]
struct ProbeOwner(ForwardOrder);

impl AttemptOwner for ProbeOwner {
    fn permit(&self) -> Option<AttemptPermit> {
        Some(AttemptPermit::for_probe(Instant::now()))
    }

    fn commit(&self) {}

    fn answer_begun(&self) {}

    fn answer_stalled(&self) {}

    fn answer_progressed(&self) {}

    fn answer_length(&self, length: AnswerLength) {
        if length == AnswerLength::Long {
            self.0.give();
        }
    }

    fn forward_order(&self) -> &ForwardOrder {
        &self.0
    }

    fn close_recorder(&self) -> Option<CloseRecorder> {
        None
    }

    fn start_answer(&self, _: Served) -> bool {
        false
    }
}

/// Waits for the end of `work`, or until the answer is to be forwarded: `None` then. `on_wait` is called if
/// the work can't be done at once.
async fn unless_forwarded<T>(
    mut work: Pin<&mut impl Future<Output = T>>,
    forward: &ForwardOrder,
    on_wait: impl FnOnce(),
) -> Option<T> {
    let at_once = poll_fn(|context| Poll::Ready(work.as_mut().poll(context))).await;
    if let Poll::Ready(done) = at_once {
        return Some(done);
    }
    on_wait();
    tokio::select! {
        biased;
        done = work => Some(done),
        () = forward.given() => None,
    }
}

/// Records and reports how long a sound answer is that is still arriving.
fn announce(length: AnswerLength, progress: &Progress, owner: &impl AttemptOwner) {
    let is_known = progress.stage() == Stage::Answering(length);
    progress.set(Stage::Answering(length));
    if !is_known {
        owner.answer_length(length);
    }
}

/// Sets why the answer of an attempt is closed.
fn set_close_reason(recorder: Option<CloseRecorder>, reason: AnswerCloseReason) {
    if let Some(recorder) = recorder {
        recorder.reason.set(Some(reason));
    }
}

/// Closes an answer that has begun, if the exchange has come to one.
fn close_started(answer: Result<ReceivedAnswer, AnswerError>, reason: AnswerCloseReason) {
    if let Ok(ReceivedAnswer::Streamed(start)) = answer {
        start.live.close(reason);
    }
}

/// The outcome that the head of an answer states.
fn outcome_of(head: &Parts) -> Outcome {
    let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Reads a body into `buffer` to its end; returns false as soon as it is longer than `length_max`.
async fn buffer(body: &mut Incoming, buffer: &mut BytesMut, length_max: usize) -> Result<bool, AnswerError> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| AnswerError::Invalid)?.into_data() else { continue };
        buffer.extend_from_slice(&data);
        if buffer.len() > length_max {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Waits until a server has read nothing of a streamed request for longer than a silence may last, or until the
/// attempt is given up for others. The client's `budget` passes in any case.
async fn write_stalled(view: &ConnectionView, peer: &SilentPeer, budget: Duration) {
    let limit = SILENCE_MAX.max(budget);
    while view.write_stalled_since().is_none_or(|since| since.elapsed() < limit) {
        peer.set_silent_since(view.write_stalled_since().map(|since| since + budget));
        if timeout(WRITE_STALL_CHECK_INTERVAL, peer.given_up()).await.is_ok() {
            return;
        }
    }
}

/// The message to a server: the client's request, with the remaining time of this attempt.
fn build_request(call: &Call, address: SocketAddr, until: Instant) -> Request<RequestBody> {
    let body = call.body.clone();
    let mut request = Request::new(match &call.upload {
        Some(upload) => RequestBody::Streamed(Some(body), Rc::clone(upload)),
        None => RequestBody::Buffered(Full::new(body)),
    });
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let left = until.saturating_duration_since(Instant::now());
    let left = call.upload.as_ref().map_or(left, |upload| upload.time_left()).as_millis() as u64;
    request.headers_mut().insert("x-budget-ms", HeaderValue::from(left));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    request
}

#[cfg(test)]
mod tests;
