//! Attempts and probes: a message out, what comes back told as an outcome.

use super::passing::{Passed, Passing, BODY_MOST, LONG_BYTES, SHORT_MOST};
use super::pool::{Lease, Place, Pool};
use super::upload::{Sending, Upload};
use crate::budget::{Budget, Portion};
use crate::wire::View;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use ryelead::Outcome;
use std::cell::Cell;
use std::collections::HashMap;
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
/// A figure of a load report beyond this is no figure.
const FIGURE_MOST: f64 = 1e5;

/// A client's request as it goes to a backend.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body, or what is kept of it.
    pub body: Bytes,
    /// The rest of it, if it is long.
    pub upload: Option<Rc<Upload>>,
    /// The memory that the body holds.
    pub _portion: Option<Portion>,
}

impl Call {
    /// Fewer bytes than this are certainly not the whole message; no number of them is if it has not all come.
    fn least_bytes(&self) -> u64 {
        let rest = match &self.upload {
            Some(upload) => upload.passed_whole(),
            None => Some(0),
        };
        let Some(rest) = rest else { return u64::MAX };
        let headers: usize = self.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
        rest + (self.method.as_str().len() + self.uri.path().len() + headers + self.body.len()) as u64
    }
}

/// A backend's 200, to be passed on unchanged.
pub struct Served {
    /// The body.
    pub body: ServedBody,
    /// What it is.
    pub content_type: Option<HeaderValue>,
}

/// The body of a backend's answer.
pub enum ServedBody {
    /// All of it, and the memory that it holds.
    Whole(Bytes, Portion),
    /// As it comes.
    Passing(Box<Passing>),
}

/// How an attempt or a probe ended.
pub struct Ended {
    /// In the module's terms.
    pub outcome: Outcome,
    /// The load report, if a readable one came.
    pub report: Option<Vec<f64>>,
    /// The answer, if the outcome is a success and it has not been passed on already.
    pub served: Option<Served>,
    /// When the answer began, if it was passed on as it came.
    pub began: Option<Instant>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, report: None, served: None, began: None }
    }
}

/// Why there is no answer, or not all of it.
#[derive(Debug, thiserror::Error)]
pub enum Spoilt {
    /// The connection ended, or what came could not be read.
    #[error("the connection to the server has ended")]
    Connection,
    /// It is none that may be believed.
    #[error("the server's answer is not whole, or none at all")]
    Answer,
}

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

/// How far an attempt has come.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// Nothing of it can have been written.
    #[default]
    Ahead,
    /// A byte of it may have been written.
    Sent,
    /// Its answer is being passed on: no time-out and no cancel of the attempt counts any more.
    Passing,
}

/// Shows how far an attempt has come to whoever stops waiting for it.
#[derive(Default)]
pub struct Progress(Cell<Stage>);

impl Progress {
    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.0.get()
    }
}

/// What an attempt asks of those who sent it.
pub trait Owner {
    /// Whether the first byte may go now: while the connection was on its way a server may have been told to drain, and a
    /// client may have gone.
    fn may_send(&self) -> bool;
    /// A long request is about to be sent with this attempt, and can't be sent with another.
    fn bind(&self);
    /// A long answer has begun; false if its request has had its answer.
    fn begin(&self, served: Served) -> bool;
}

/// Attempts and probes on the connections to all backends.
pub struct Backends {
    pool: Rc<Pool>,
    bodies: Rc<Budget>,
    fields: Vec<String>,
    has_reports: bool,
}

impl Backends {
    /// `fields` are the names in a load report, empty where there are none.
    pub fn new(pool: Rc<Pool>, bodies: Rc<Budget>, fields: Vec<String>, has_reports: bool) -> Rc<Self> {
        Rc::new(Backends { pool, bodies, fields, has_reports })
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
            if !owner.may_send() {
                self.pool.give_back(place, lease);
                return Outcome::NotSent.into();
            }
            if call.upload.is_some() {
                owner.bind();
            }
            progress.0.set(Stage::Sent);
            let view = lease.view.clone();
            let (before, received) = (view.written(), view.received());
            let answer = self.exchange(&mut lease, message(call, place.address, until)).await;
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
                    progress.0.set(Stage::Passing);
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
                Err(Spoilt::Connection) if !lease.is_fresh() && written == 0 && untouched => {
                    progress.0.set(Stage::Ahead);
                }
                Err(Spoilt::Connection) if written < least => return Outcome::ConnectFailed.into(),
                Err(_) => return Outcome::ConnectionReset.into(),
            }
        }
    }

    /// One request out and its answer in.
    async fn exchange(&self, lease: &mut Lease, mut request: Request<Sending>) -> Result<Reply, Spoilt> {
        let view = lease.view.clone();
        let sender = lease.sender().ok_or(Spoilt::Connection)?;
        // Answers 1xx come ahead of the one that counts, which may take its time after them.
        let informed = Arc::new(AtomicBool::new(false));
        let inform = Arc::clone(&informed);
        hyper::ext::on_informational(&mut request, move |_| inform.store(true, Ordering::Relaxed));
        let received = view.received();
        let is_long = matches!(request.body(), Sending::Coming(..));
        view.arm(ANSWER_MOST);
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
        let report = head.headers.get("x-load-report").and_then(|v| self.report(v.as_bytes()));
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
        let uri = Uri::from_static(if self.has_reports { "/stats" } else { "/health/live" });
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let call = Call { method: Method::GET, uri, headers, body, upload: None, _portion: None };
        let until = Instant::now() + PROBE_WAIT;
        let progress = Progress::default();
        let attempt = self.attempt(place, &call, until, &progress, &Probing);
        let Ok(mut ended) = timeout_at(until, attempt).await else { return Outcome::TimedOut.into() };
        if let Some(Served { body: ServedBody::Whole(text, _), .. }) = ended.served.take() {
            ended.report = ended.report.or_else(|| self.report(&text));
        }
        ended
    }

    /// A load report in the order of the settings; `None` if it can't be read, lacks a field or is absurd.
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

/// A probe goes whenever the module says so, and nobody waits for a long answer to it.
struct Probing;

impl Owner for Probing {
    fn may_send(&self) -> bool {
        true
    }

    fn bind(&self) {}

    fn begin(&self, _: Served) -> bool {
        false
    }
}

fn pair(text: &str) -> Option<(&str, f64)> {
    let (name, value) = text.split_once('=')?;
    let value: f64 = value.trim().parse().ok()?;
    (0.0..=FIGURE_MOST).contains(&value).then_some((name.trim(), value))
}

/// How long the body of an answer is by its head, `Some(None)` if its end will tell; `None` if the head says it twice, in
/// a way that nobody can read, or says more than any answer may hold: what is read behind such a head may be anything.
fn framing(status: StatusCode, headers: &HeaderMap) -> Option<Option<u64>> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if status == StatusCode::SWITCHING_PROTOCOLS {
        return None;
    }
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (Some(length), None, None, None) => {
            length.to_str().ok()?.parse().ok().filter(|length| *length <= BODY_MOST).map(Some)
        }
        (None, None, Some(coding), None) => {
            coding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(None)
        }
        // It lasts to the end of the connection.
        (None, None, None, None) => Some(None),
        _ => None,
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
mod tests {
    use super::*;
    use ryelead::ServerId;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    /// Says whether it may be sent, and takes no long answer.
    struct Asked(bool);

    impl Owner for Asked {
        fn may_send(&self) -> bool {
            self.0
        }

        fn bind(&self) {}

        fn begin(&self, _: Served) -> bool {
            false
        }
    }

    fn of(pool: Rc<Pool>, fields: &[&str]) -> Rc<Backends> {
        let fields: Vec<String> = fields.iter().map(|f| f.to_string()).collect();
        let has_reports = !fields.is_empty();
        Backends::new(pool, Budget::new(1 << 20), fields, has_reports)
    }

    fn backends() -> Rc<Backends> {
        of(Pool::new(4, Duration::from_secs(20), Duration::from_secs(60)), &[])
    }

    fn post(body: usize) -> Call {
        let (uri, headers) = (Uri::from_static("/x"), HeaderMap::new());
        Call { method: Method::POST, uri, headers, body: vec![7; body].into(), upload: None, _portion: None }
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
        backends.attempt(place, &post(body), until, &progress, &Asked(may_send)).await.outcome
    }

    /// Takes a long answer as a client does, whole.
    struct Reader;

    impl Owner for Reader {
        fn may_send(&self) -> bool {
            true
        }

        fn bind(&self) {}

        fn begin(&self, served: Served) -> bool {
            if let ServedBody::Passing(passing) = served.body {
                tokio::task::spawn_local(passing.collect());
            }
            true
        }
    }

    /// The report of a long answer is as old as its head when the answer ends, and would pass for news.
    #[tokio::test]
    async fn a_long_answer_brings_no_report() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let place = Place { server: ServerId(0), address, life: 0 };
        let until = Instant::now() + Duration::from_secs(60);
        for (length, report) in [(10, Some(vec![4.0])), (SHORT_MOST + 1, None)] {
            let second = Duration::from_secs(1);
            let backends = of(Pool::new(4, second, second), &["queue"]);
            let (call, progress) = (post(9), Progress::default());
            let peer = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut seen = 0;
                while seen < call.least_bytes() as usize {
                    seen += stream.read(&mut [0; 4096]).await.unwrap();
                }
                let head =
                    format!("HTTP/1.1 200 OK\r\nX-Load-Report: queue=4\r\nContent-Length: {length}\r\n\r\n");
                stream.write_all(&[head.as_bytes(), &vec![7; length]].concat()).await.unwrap();
                stream
            };
            let both =
                async { tokio::join!(backends.attempt(place, &call, until, &progress, &Reader), peer) };
            let (ended, _) = LocalSet::new().run_until(both).await;
            assert_eq!(
                (ended.outcome, ended.report, ended.began.is_some()),
                (Outcome::Success, report, length > 10)
            );
        }
    }

    /// The cap on connections: when all are at work nothing more is opened, and the server is not blamed.
    #[tokio::test]
    async fn past_the_cap_nothing_is_sent() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let second = Duration::from_secs(1);
        let backends = of(Pool::new(1, second, second), &[]);
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
        assert_eq!(backends.pool.count(), 0);
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

    /// What a given-up attempt has not got out must not arrive later, when its request has been answered: a plain close
    /// would leave it to the kernel, and the peer would read on to a proper end.
    #[tokio::test]
    async fn what_is_unsent_when_an_attempt_is_given_up_never_arrives() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let local = LocalSet::new();
        let mut peer = None;
        let given_up = async {
            tokio::select! {
                outcome = attempt(address, 64 << 20, true) => panic!("nobody read it, and it ended as {outcome:?}"),
                // Its first bytes are here, and the two sockets can't hold the rest.
                () = async {
                    let (stream, _) = listener.accept().await.unwrap();
                    stream.peek(&mut [0; 1]).await.unwrap();
                    peer = Some(stream);
                } => {}
            }
        };
        local.run_until(given_up).await;
        drop(local);
        let (mut peer, mut buffer) = (peer.unwrap(), vec![0; 1 << 20]);
        let end = loop {
            match peer.read(&mut buffer).await {
                Ok(0) => break None,
                Ok(_) => {}
                Err(e) => break Some(e.kind()),
            }
        };
        assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
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
        let second = Duration::from_secs(1);
        let backends = of(Pool::new(4, second, second), &["qps", "queue"]);
        assert_eq!(backends.report(b" queue=2, util=0.6,qps=7"), Some(vec![7.0, 2.0]));
        for bad in [
            "",
            "queue=2",
            "queue=2,qps",
            "queue=2,qps=x",
            "queue=2,qps=NaN",
            "queue=2,qps=-1",
            "queue=1e9,qps=1",
            "\u{ff}",
        ] {
            assert_eq!(backends.report(bad.as_bytes()), None, "{bad:?}");
        }
    }
}
