//! The admin listener: a few calls that show and change the state of this process. It shares nothing with the
//! listener for clients, so that many client connections delay nobody here.

mod configuration;

use crate::admin_client;
use crate::clients::Clients;
use crate::log::log;
use crate::metered_stream::{Gauge, MeteredStream};
use crate::peers::Peers;
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

/// Shows the number of permit violations.
const PERMITS: &str = "/permits";
/// Maximum number of connections; their descriptors are part of the reserve.
pub const CONNECTIONS_MAX: usize = 16;
/// Time limit of a connection; a client that has no answer by then has sent no call or part of one.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// With all connections in use, the oldest is closed once it has had this long to send its call.
const EVICTION_AGE: Duration = Duration::from_millis(50);
/// Maximum size of the head of a call, and number of its header lines.
const HEAD_MAX: usize = 8 * 1024;
const HEADERS_MAX: usize = 64;
/// A body is read up to this size: a close with unread bytes would reset the connection, and the client would
/// lose the answer.
const BODY_MAX: usize = 64 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept, which mostly means a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A connection to the admin listener.
struct AdminConnection {
    since: Instant,
    task: AbortHandle,
}

/// Serves calls until dropped.
pub async fn run(listener: TcpListener, clients: Rc<Clients>, peers: Option<Rc<Peers>>) {
    let mut connections: VecDeque<AdminConnection> = VecDeque::new();
    loop {
        connections.retain(|connection| !connection.task.is_finished());
        if connections.len() >= CONNECTIONS_MAX {
            evict_oldest(&mut connections).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let call = timeout(CALL_TIMEOUT, serve_stream(stream, Rc::clone(&clients), peers.clone()));
                let task = spawn_local(async move {
                    let _ = call.await;
                });
                connections.push_back(AdminConnection { since: Instant::now(), task: task.abort_handle() });
                // Lets connections whose call has arrived be answered before the next one is accepted.
                yield_now().await;
            }
            Err(e) => {
                log(&format!("cannot accept a connection to the admin listener: {e}"));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Closes the oldest connection once it has had its minimum time.
async fn evict_oldest(connections: &mut VecDeque<AdminConnection>) {
    let Some(oldest) = connections.pop_front() else { return };
    sleep_until(oldest.since + EVICTION_AGE).await;
    oldest.task.abort();
    yield_now().await;
}

async fn serve_stream(stream: TcpStream, clients: Rc<Clients>, peers: Option<Rc<Peers>>) {
    let service = service_fn(|request: Request<Incoming>| {
        let (clients, peers) = (Rc::clone(&clients), peers.clone());
        async move {
            let (head, body) = request.into_parts();
            let path = head.uri.path();
            let answer = match peers.as_deref() {
                Some(peers) if path == admin_client::configuration::PATH && head.method == Method::POST => {
                    configuration::publish(peers, read(body, configuration::REQUEST_MAX).await)
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
    builder.keep_alive(false).header_read_timeout(None).max_buf_size(HEAD_MAX).max_headers(HEADERS_MAX);
    let (wire, _) = MeteredStream::new(stream, Gauge::default().enter());
    let _ = builder.serve_connection(wire, service).await;
}

/// The body of a call; `None` if it is larger than `kept_max` or did not arrive in time. It is read up to
/// [`BODY_MAX`] in any case.
async fn read(mut body: Incoming, kept_max: usize) -> Option<Bytes> {
    let (mut kept, mut length) = (BytesMut::new(), 0);
    let all = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            length += data.len();
            if length > BODY_MAX {
                return None;
            }
            if length <= kept_max {
                kept.extend_from_slice(&data);
            }
        }
        (length <= kept_max).then_some(())
    };
    timeout(BODY_TIMEOUT, all).await.ok().flatten().map(|()| kept.freeze())
}

fn answer(clients: &Clients, peers: Option<&Peers>, method: &Method, path: &str) -> Response<Full<Bytes>> {
    let allowed = match path {
        "/healthcheck" | PERMITS => Method::GET,
        "/fleet" | admin_client::configuration::PATH if peers.is_none() => {
            return no_fleet_response();
        }
        // POST of a configuration has been handled before.
        "/fleet" | admin_client::configuration::PATH => Method::GET,
        "/healthcheck/fail" | "/healthcheck/ok" => Method::POST,
        _ => return text(StatusCode::NOT_FOUND, "no such call"),
    };
    if *method != allowed {
        let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "not with this method");
        let allowed = match (path, allowed) {
            (admin_client::configuration::PATH, _) => "GET, POST",
            (_, Method::GET) => "GET",
            _ => "POST",
        };
        answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        return answer;
    }
    match path {
        PERMITS => return json(&permits(clients)),
        "/fleet" => return peers.map_or_else(no_fleet_response, |peers| json(&peers.describe())),
        admin_client::configuration::PATH => {
            return peers.map_or_else(no_fleet_response, configuration::show)
        }
        "/healthcheck/fail" => clients.fail(),
        "/healthcheck/ok" if clients.ok().is_err() => return text(StatusCode::CONFLICT, "stopping"),
        _ => {}
    }
    let status = match path {
        "/healthcheck" if !clients.is_in_service() => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::OK,
    };
    text(status, clients.phase().name())
}

/// The number of permit violations, in total and by kind.
fn permits(clients: &Clients) -> serde_json::Value {
    let violations = clients.violations();
    serde_json::json!({"violations": violations.total(), "by_kind": violations.counts()})
}

fn no_fleet_response() -> Response<Full<Bytes>> {
    text(StatusCode::NOT_FOUND, "this agent keeps no view of the fleet: [fleet] is off")
}

fn json(value: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(value.to_string())));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}
