//! Attempts and probes: a message out, what comes back told as an outcome.

use super::attempt::{Call, Ended, Owner, Progress, Served, ServedBody, Stage};
use super::body::{Spoilt, BODY_MOST, LONG_BYTES, SHORT_MOST};
use super::framing::framing;
use super::load_report::LoadReports;
use super::passing::{Passed, Passing};
use super::pool::{Lease, Place, Pool};
use super::upload::Sending;
use crate::budget::{Budget, Portion};
use crate::permits::attempt::AttemptPermit;
use crate::wire::View;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};
use ryelead::Outcome;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The most that is read for a short answer: a body in small chunks, its head, and what may come ahead of it.
const ANSWER_MOST: u64 = 4 * SHORT_MOST as u64;
/// And for a long one; its body in chunks of a few bytes may come to several times its length.
const LONG_MOST: u64 = 8 * BODY_MOST;
/// A short answer that has begun and of which nothing more has come for this long is spoilt: whoever waits on would wait
/// to the end of the attempt's time.
const STALL: Duration = Duration::from_millis(100);
/// An answer that does not say how long it is and has not ended by then is passed on as it comes; one that comes no
/// further has stalled before.
const SHORT_WAIT: Duration = Duration::from_millis(150);
/// A backend that takes nothing of a long request for so long gets no more of it; looked for this often.
const STUCK_WAIT: Duration = Duration::from_secs(5);
const STUCK_EVERY: Duration = Duration::from_millis(500);
/// A probe that has not been answered by then has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// What has come back for an attempt.
enum Reply {
    /// All of it.
    Whole(Ended),
    /// The head of a long answer, what has come of it, and what is still to come.
    Long(Begun),
}

/// A long answer that has begun.
struct Begun {
    content_type: Option<HeaderValue>,
    /// What has come of it, and the memory for that.
    first: Bytes,
    portion: Option<Portion>,
    rest: Incoming,
}

/// Attempts and probes on the connections to all backends.
pub struct Backends {
    pool: Rc<Pool>,
    bodies: Rc<Budget>,
    reports: LoadReports,
}

impl Backends {
    /// `fields` are the names in a load report, empty where there are none.
    pub fn new(pool: Rc<Pool>, bodies: Rc<Budget>, fields: Vec<String>, has_reports: bool) -> Rc<Self> {
        Rc::new(Backends { pool, bodies, reports: LoadReports::new(fields, has_reports) })
    }

    /// The connections.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Sends one attempt; comes back once its answer is whole, passed on whole, or will not come.
    pub async fn attempt(
        &self,
        place: Place,
        call: &Call,
        until: Instant,
        progress: &Progress,
        owner: &impl Owner,
    ) -> Ended {
        loop {
            let mut lease = match self.pool.lease(place).await {
                Ok(lease) => lease,
                Err(outcome) => return outcome.into(),
            };
            let Some(permit) = owner.permit() else {
                self.pool.give_back(place, lease);
                return Outcome::NotSent.into();
            };
            if call.upload.is_some() {
                owner.bind();
            }
            progress.set(Stage::Sent);
            let view = lease.view.clone();
            let (before, received) = (view.written(), view.received());
            let answer = self.exchange(&mut lease, permit, message(call, place.address, until)).await;
            let (written, least) = (view.written() - before, call.least_bytes());
            let upload = call.upload.as_ref();
            if upload.is_some_and(|upload| upload.is_broken()) {
                return Outcome::NotSent.into();
            }
            let untouched = upload.is_none_or(|upload| upload.is_untouched());
            self.pool.note(&lease, answer.is_err() && view.received() == received);
            match answer {
                // A server may turn a long request away, or fail, before it has all of it.
                Ok(Reply::Whole(ended)) if written < least && upload.is_some() && ended.served.is_none() => {
                    return ended;
                }
                // An answer to what was not all there yet is none to this request.
                Ok(_) if written < least => return Outcome::ConnectionReset.into(),
                Ok(Reply::Whole(ended)) => {
                    self.pool.give_back(place, lease);
                    return ended;
                }
                Ok(Reply::Long(Begun { content_type, first, portion, rest })) => {
                    // With no memory left it waits for those before it, within its attempt's time.
                    let portions = (portion, self.bodies.take_when_free(LONG_BYTES).await);
                    progress.set(Stage::Passing);
                    let began = Some(Instant::now());
                    view.allow(LONG_MOST);
                    let (passing, passed) = Passing::new(first, rest, lease, portions);
                    let body = ServedBody::Passing(Box::new(passing));
                    let outcome = if !owner.begin(Served { body, content_type }) {
                        Outcome::Cancelled
                    } else {
                        match passed.await {
                            Ok(Passed::Whole(lease)) => {
                                self.pool.give_back(place, lease);
                                Outcome::Success
                            }
                            Ok(Passed::Broken) => Outcome::ConnectionReset,
                            Err(_) => Outcome::Cancelled,
                        }
                    };
                    // Its report is as old as its head: to the module it would look like news.
                    return Ended { outcome, report: None, served: None, began };
                }
                // A pooled connection that ended before anything was written to it says nothing of the server,
                // and no attempt was made: take the next one. A new one that ends so does say something, and
                // to go on would be a storm of connections.
                // So does one whose permit was too old by its first byte.
                Err(Spoilt::Connection)
                    if (!lease.is_fresh() || view.has_expired()) && written == 0 && untouched =>
                {
                    progress.set(Stage::Ahead);
                }
                Err(Spoilt::Connection) if written < least => return Outcome::ConnectFailed.into(),
                Err(_) => return Outcome::ConnectionReset.into(),
            }
        }
    }

    /// One request out and its answer in.
    async fn exchange(
        &self,
        lease: &mut Lease,
        permit: AttemptPermit,
        mut request: Request<Sending>,
    ) -> Result<Reply, Spoilt> {
        let view = lease.view.clone();
        let sender = lease.sender().ok_or(Spoilt::Connection)?;
        // Answers 1xx come ahead of the one that counts, which may take its time after them.
        let informed = Arc::new(AtomicBool::new(false));
        let inform = Arc::clone(&informed);
        hyper::ext::on_informational(&mut request, move |_| inform.store(true, Ordering::Relaxed));
        let received = view.received();
        let is_long = matches!(request.body(), Sending::Coming(..));
        view.arm(permit, ANSWER_MOST);
        let whole = async {
            let answer = sender.try_send_request(request).await.map_err(|_| Spoilt::Connection)?;
            self.read(answer).await
        };
        tokio::select! {
            biased;
            answer = whole => answer,
            () = stalled(&view, received, &informed) => Err(Spoilt::Answer),
            () = stuck(&view), if is_long => Err(Spoilt::Connection),
        }
    }

    /// Reads an answer, or as much of it as shows that it is long.
    async fn read(&self, answer: Response<Incoming>) -> Result<Reply, Spoilt> {
        let (head, mut body) = answer.into_parts();
        let framing = framing(head.status, &head.headers).ok_or(Spoilt::Answer)?;
        let report = head.headers.get("x-load-report").and_then(|v| self.reports.read(v.as_bytes()));
        let turned_away = head.headers.get("x-rejected").is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Success,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        let is_long = framing.is_some_and(|length| length > SHORT_MOST as u64);
        if is_long && outcome == Outcome::Success {
            let (first, portion) = (Bytes::new(), None);
            return Ok(Reply::Long(Begun { content_type, first, portion, rest: body }));
        }
        let short = framing.map_or(SHORT_MOST, |length| SHORT_MOST.min(length as usize));
        let portion = self.bodies.take(short).ok_or(Spoilt::Answer)?;
        let mut first = BytesMut::with_capacity(framing.map_or(0, |_| short));
        let whole = async {
            while let Some(frame) = body.frame().await {
                let Ok(data) = frame.map_err(|_| Spoilt::Answer)?.into_data() else { continue };
                first.extend_from_slice(&data);
                if first.len() > short {
                    return Ok(false);
                }
            }
            Ok(true)
        };
        let whole = match framing {
            Some(_) => whole.await?,
            None => timeout(SHORT_WAIT, whole).await.unwrap_or(Ok(false))?,
        };
        let first = first.freeze();
        match (whole, outcome) {
            (true, _) => {
                let served = (outcome == Outcome::Success)
                    .then_some(Served { body: ServedBody::Whole(first, portion), content_type });
                Ok(Reply::Whole(Ended { outcome, report, served, began: None }))
            }
            (false, Outcome::Success) => {
                Ok(Reply::Long(Begun { content_type, first, portion: Some(portion), rest: body }))
            }
            // What a refusal or an error has to say at such length is not waited for.
            (false, _) => Err(Spoilt::Answer),
        }
    }

    /// Asks a server how it is.
    pub async fn probe(&self, place: Place) -> Ended {
        let uri = Uri::from_static(if self.reports.are_sent() { "/stats" } else { "/health/live" });
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let call = Call { method: Method::GET, uri, headers, body, upload: None, _portion: None };
        let until = Instant::now() + PROBE_WAIT;
        let progress = Progress::default();
        let attempt = self.attempt(place, &call, until, &progress, &Probing);
        let Ok(mut ended) = timeout_at(until, attempt).await else { return Outcome::TimedOut.into() };
        if let Some(Served { body: ServedBody::Whole(text, _), .. }) = ended.served.take() {
            ended.report = ended.report.or_else(|| self.reports.read(&text));
        }
        ended
    }
}

/// A probe goes whenever the module says so, and nobody waits for a long answer to it.
struct Probing;

impl Owner for Probing {
    fn permit(&self) -> Option<AttemptPermit> {
        Some(AttemptPermit::for_probe(Instant::now()))
    }

    fn bind(&self) {}

    fn begin(&self, _: Served) -> bool {
        false
    }
}

/// Comes back when an answer has begun, has not been read whole, and nothing more of it has come for a while.
async fn stalled(view: &View, received: u64, informed: &AtomicBool) {
    loop {
        view.arrived().await;
        if view.received() == received {
            continue;
        }
        while timeout(STALL, view.arrived()).await.is_ok() {}
        if !informed.swap(false, Ordering::Relaxed) {
            return;
        }
    }
}

/// Comes back when a backend has taken nothing of a long request for a while.
async fn stuck(view: &View) {
    while view.stuck_since().is_none_or(|since| since.elapsed() < STUCK_WAIT) {
        sleep(STUCK_EVERY).await;
    }
}

/// The message to a backend: the client's own, with the time that this attempt has.
fn message(call: &Call, address: SocketAddr, until: Instant) -> Request<Sending> {
    let body = call.body.clone();
    let mut request = Request::new(match &call.upload {
        Some(upload) => Sending::Coming(Some(body), Rc::clone(upload)),
        None => Sending::Whole(Full::new(body)),
    });
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let left = until.saturating_duration_since(Instant::now());
    // The time of a request that is still coming has not begun.
    let left = call.upload.as_ref().map_or(left, |upload| upload.budget).as_millis() as u64;
    request.headers_mut().insert("x-budget-ms", HeaderValue::from(left));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
    request
}

#[cfg(test)]
mod tests;
