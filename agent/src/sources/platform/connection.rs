//! One call to the discovery service: its connection, and how its answer is read. Slowness ends no call here;
//! the poller is told of the progress and decides.

use crate::list::ListReply;
use crate::metered_stream::{Gauge, MeteredStream};
use crate::sources::freshness::patience::CallState;
use crate::sources::freshness::PollError;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// Largest list that is read, in bytes: some tens of thousands of entries.
const LIST_BYTES_MAX: usize = 8 * 1024 * 1024;
/// How long a connection may take to become ready for the next call; it is closed otherwise.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// The progress of a call, for the poller that waits for it.
pub(super) struct CallProgress {
    sent_at: Instant,
    answer_began_at: Cell<Option<Instant>>,
    last_progress_at: Cell<Instant>,
    longest_pause: Cell<Duration>,
    /// Notified when the answer of any call begins.
    answer_began: Rc<Notify>,
}

impl CallProgress {
    /// A call that is being made now.
    pub(super) fn new(answer_began: Rc<Notify>) -> Rc<CallProgress> {
        let now = Instant::now();
        Rc::new(CallProgress {
            sent_at: now,
            answer_began_at: Cell::new(None),
            last_progress_at: Cell::new(now),
            longest_pause: Cell::default(),
            answer_began,
        })
    }

    /// Records that the head of the answer has arrived.
    pub(super) fn on_head(&self) {
        let now = Instant::now();
        self.answer_began_at.set(Some(now));
        self.last_progress_at.set(now);
        self.answer_began.notify_one();
    }

    /// Records that part of the body has arrived, or its end.
    pub(super) fn on_data(&self) {
        let pause = self.last_progress_at.replace(Instant::now()).elapsed();
        self.longest_pause.set(self.longest_pause.get().max(pause));
    }

    /// What the polling policy needs to know of the call.
    pub(super) fn state(&self) -> CallState {
        CallState {
            sent_at: self.sent_at,
            answer_began_at: self.answer_began_at.get(),
            last_progress_at: self.last_progress_at.get(),
        }
    }

    /// The longest time without a byte between the head and the end of the answer.
    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause.get()
    }
}

/// A keep-alive connection to the discovery service, closed when dropped.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, PollError> {
    let stream = TcpStream::connect(address).await.map_err(|_| PollError::Failed)?;
    let (wire, _) = MeteredStream::new(stream, Gauge::default().enter());
    let (sender, connection) = http1::handshake(wire).await.map_err(|_| PollError::Failed)?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

/// A list, and its connection if that can be used again.
pub(super) type ListAnswer<Connection> = (ListReply, Option<Connection>);

/// A service that answers calls for the list.
pub(super) trait Source: Clone + 'static {
    /// A connection that is kept between two calls.
    type Connection: 'static;

    /// Makes one call and reads its answer to the end, however long that takes.
    async fn call(
        self,
        kept: Option<Self::Connection>,
        path: String,
        progress: Rc<CallProgress>,
    ) -> Result<ListAnswer<Self::Connection>, PollError>;
}

/// The discovery service at this address.
impl Source for SocketAddr {
    type Connection = Connection;

    async fn call(
        self,
        kept: Option<Connection>,
        path: String,
        progress: Rc<CallProgress>,
    ) -> Result<ListAnswer<Connection>, PollError> {
        // A connection that the service closed between two calls is no failure of the next call.
        let mut connection = match kept.filter(|connection| connection.sender.is_ready()) {
            Some(connection) => connection,
            None => connect(self).await?,
        };
        let request = Request::get(path).header(HOST, self.to_string()).body(Empty::new());
        let answer = connection.sender.send_request(request.map_err(|_| PollError::Failed)?).await;
        let answer =
            answer
                .map_err(|error| if error.is_parse() { PollError::Malformed } else { PollError::Failed })?;
        if answer.status() != StatusCode::OK {
            return Err(PollError::Failed);
        }
        progress.on_head();
        let body = read_body(answer.into_body(), &progress).await?;
        let list: ListReply = serde_json::from_slice(&body).map_err(|_| PollError::Malformed)?;
        if list.targets.none_readable() {
            return Err(PollError::Malformed);
        }
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await.is_ok_and(|ready| ready.is_ok());
        Ok((list, ready.then_some(connection)))
    }
}

/// Reads a body to its end, within [`LIST_BYTES_MAX`] bytes.
async fn read_body(mut body: Incoming, progress: &CallProgress) -> Result<Bytes, PollError> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| PollError::Malformed)?;
        progress.on_data();
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > LIST_BYTES_MAX {
            return Err(PollError::Malformed);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}
