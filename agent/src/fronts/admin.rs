//! The operators' door: a few calls that show and change the life of this process. It shares nothing with the clients'
//! front, so that a crowd there keeps nobody waiting here.

mod configuration;

use crate::clients::Clients;
use crate::log::log;
use crate::operators;
use crate::peers::Peers;
use crate::wire::{Gauge, Wire};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Where operators see whether anything was done against the rules.
const PERMITS: &str = "/permits";
/// Most callers at once; their descriptors come out of those that are kept back.
pub const CALLERS_MOST: usize = 16;
/// A caller who has not been answered by then says nothing, or only half a call.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// In a full house the oldest makes room once it has had this long to say its call.
const CALL_FAIR: Duration = Duration::from_millis(50);
/// The largest head of a call, and its lines.
const HEAD_MOST: usize = 8 * 1024;
const HEADERS_MOST: usize = 64;
/// What a caller sends besides is read up to here: a close with bytes unread would take the answer back.
const BODY_MOST: usize = 64 * 1024;
const BODY_WAIT: Duration = Duration::from_millis(500);
/// Pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// One who calls.
struct Caller {
    since: Instant,
    task: AbortHandle,
}

/// Answers calls until dropped.
pub async fn run(listener: TcpListener, clients: Rc<Clients>, peers: Option<Rc<Peers>>) {
    let mut callers: VecDeque<Caller> = VecDeque::new();
    loop {
        callers.retain(|caller| !caller.task.is_finished());
        if callers.len() >= CALLERS_MOST {
            make_room(&mut callers).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let call = timeout(CALL_WAIT, converse(stream, Rc::clone(&clients), peers.clone()));
                let task = spawn_local(async move {
                    let _ = call.await;
                });
                callers.push_back(Caller { since: Instant::now(), task: task.abort_handle() });
                // Whoever has spoken is answered before the next is let in.
                yield_now().await;
            }
            Err(e) => {
                log(&format!("cannot accept at the operators' address: {e}"));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The oldest goes, once it has had its time.
async fn make_room(callers: &mut VecDeque<Caller>) {
    let Some(oldest) = callers.pop_front() else { return };
    sleep_until(oldest.since + CALL_FAIR).await;
    oldest.task.abort();
    yield_now().await;
}

async fn converse(stream: TcpStream, clients: Rc<Clients>, peers: Option<Rc<Peers>>) {
    let service = service_fn(|request: Request<Incoming>| {
        let (clients, peers) = (Rc::clone(&clients), peers.clone());
        async move {
            let (head, body) = request.into_parts();
            let path = head.uri.path();
            let answer = match peers.as_deref() {
                Some(peers) if path == operators::configuration::PATH && head.method == Method::POST => {
                    configuration::publish(peers, read(body, configuration::REQUEST_MOST).await)
                }
                peers => {
                    let answer = answer(&clients, peers, &head.method, path);
                    read(body, 0).await;
                    answer
                }
            };
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.keep_alive(false).header_read_timeout(None).max_buf_size(HEAD_MOST).max_headers(HEADERS_MOST);
    let (wire, _) = Wire::new(stream, Gauge::default().enter());
    let _ = builder.serve_connection(wire, service).await;
}

/// The body of a call; `None` if it is larger than `kept_most`, or did not come whole in time. It is read up to
/// [`BODY_MOST`] whatever is kept of it.
async fn read(mut body: Incoming, kept_most: usize) -> Option<Bytes> {
    let (mut kept, mut length) = (BytesMut::new(), 0);
    let all = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            length += data.len();
            if length > BODY_MOST {
                return None;
            }
            if length <= kept_most {
                kept.extend_from_slice(&data);
            }
        }
        (length <= kept_most).then_some(())
    };
    timeout(BODY_WAIT, all).await.ok().flatten().map(|()| kept.freeze())
}

fn answer(clients: &Clients, peers: Option<&Peers>, method: &Method, path: &str) -> Response<Full<Bytes>> {
    let allowed = match path {
        "/healthcheck" | PERMITS => Method::GET,
        "/fleet" | operators::configuration::PATH if peers.is_none() => {
            return no_fleet();
        }
        // Publishing has been told apart before.
        "/fleet" | operators::configuration::PATH => Method::GET,
        "/healthcheck/fail" | "/healthcheck/ok" => Method::POST,
        _ => return text(StatusCode::NOT_FOUND, "no such call"),
    };
    if *method != allowed {
        let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "not with this method");
        let allowed = match (path, allowed) {
            (operators::configuration::PATH, _) => "GET, POST",
            (_, Method::GET) => "GET",
            _ => "POST",
        };
        answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        return answer;
    }
    match path {
        PERMITS => return json(&permits(clients)),
        "/fleet" => return peers.map_or_else(no_fleet, |peers| json(&peers.describe())),
        operators::configuration::PATH => return peers.map_or_else(no_fleet, configuration::show),
        "/healthcheck/fail" => clients.fail(),
        "/healthcheck/ok" if clients.ok().is_err() => return text(StatusCode::CONFLICT, "stopping"),
        _ => {}
    }
    let status = match path {
        "/healthcheck" if !clients.takes_clients() => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    text(status, clients.phase().name())
}

/// What was done against the rules, in all and by kind.
fn permits(clients: &Clients) -> serde_json::Value {
    let violations = clients.violations();
    serde_json::json!({"violations": violations.total(), "by_kind": violations.counts()})
}

fn no_fleet() -> Response<Full<Bytes>> {
    text(StatusCode::NOT_FOUND, "this agent keeps no view of the fleet: [fleet] is off")
}

fn json(value: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(value.to_string())));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn text(status: StatusCode, words: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(words.into()));
    *answer.status_mut() = status;
    answer
}
