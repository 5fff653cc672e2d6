//! Polls the platform's discovery service for the list of servers. [`Freshness`] decides which calls are made
//! and when; this module makes them.

use crate::driver::Driver;
use crate::list::{DiscoveryCommands, ListReply};
use crate::log::log;
use crate::metered_stream::{Gauge, MeteredStream};
use crate::metrics::Count;
use crate::sources::freshness::{Acceptance, FollowUp, Freshness, NextCall, PollError, PollPolicy};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// Timeout of a TCP connect to the discovery service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call for the whole list that the decision module requested.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Path of the whole list; with a version in the query it is a long poll for newer changes.
const LIST_PATH: &str = "/registry/instances";
/// Largest list that is read, in bytes: some tens of thousands of entries.
const LIST_BYTES_MAX: usize = 8 * 1024 * 1024;
/// An answer whose body stalls for this long is given up; so is one that has not ended after `BODY_TIMEOUT`.
/// Its contents may count as known from its first byte.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may take to become ready for the next call.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// A keep-alive connection to the discovery service, closed when dropped.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, PollError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| PollError::TimedOut)?.map_err(|_| PollError::Failed)?;
    let (wire, _) = MeteredStream::new(stream, Gauge::default().enter());
    let (sender, connection) = http1::handshake(wire).await.map_err(|_| PollError::Failed)?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

/// A list, and its connection if that can be used again.
type ListAnswer<Connection> = (ListReply, Option<Connection>);

/// A service that answers calls for the list.
trait Source: Clone + 'static {
    /// A connection that is kept between two calls.
    type Connection;

    /// Makes one call, whose answer must begin within `call_timeout`.
    async fn call(
        self,
        kept: Option<Self::Connection>,
        path: String,
        call_timeout: Duration,
    ) -> Result<ListAnswer<Self::Connection>, PollError>;
}

/// The discovery service at this address.
impl Source for SocketAddr {
    type Connection = Connection;

    async fn call(
        self,
        kept: Option<Connection>,
        path: String,
        call_timeout: Duration,
    ) -> Result<ListAnswer<Connection>, PollError> {
        let answer = async {
            // A connection that the service closed between two calls is no failure of the next call.
            let mut connection = match kept.filter(|connection| connection.sender.is_ready()) {
                Some(connection) => connection,
                None => connect(self).await?,
            };
            let request = Request::get(path).header(HOST, self.to_string()).body(Empty::new());
            let answer = connection.sender.send_request(request.map_err(|_| PollError::Failed)?).await;
            Ok((
                connection,
                answer.map_err(
                    |error| if error.is_parse() { PollError::Malformed } else { PollError::Failed },
                )?,
            ))
        };
        let (mut connection, answer) =
            timeout(call_timeout, answer).await.map_err(|_| PollError::TimedOut)??;
        if answer.status() != StatusCode::OK {
            return Err(PollError::Failed);
        }
        let body = timeout(BODY_TIMEOUT, read_body(answer.into_body()))
            .await
            .map_err(|_| PollError::Unfinished)??;
        let list: ListReply = serde_json::from_slice(&body).map_err(|_| PollError::Malformed)?;
        if list.targets.none_readable() {
            return Err(PollError::Malformed);
        }
        let ready = timeout(READY_TIMEOUT, connection.sender.ready()).await.is_ok_and(|ready| ready.is_ok());
        Ok((list, ready.then_some(connection)))
    }
}

/// Reads a body to its end, within [`LIST_BYTES_MAX`] bytes and without a stall of [`STALL_TIMEOUT`].
async fn read_body(mut body: Incoming) -> Result<Bytes, PollError> {
    let mut read = BytesMut::new();
    loop {
        let frame = timeout(STALL_TIMEOUT, body.frame()).await;
        let Some(frame) = frame.map_err(|_| PollError::Stalled { received: read.len() })? else { break };
        let Ok(data) = frame.map_err(|_| PollError::Malformed)?.into_data() else { continue };
        if read.len() + data.len() > LIST_BYTES_MAX {
            return Err(PollError::Malformed);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

/// The path and query of a call.
fn path(from: Option<i64>, hold: Duration) -> String {
    match from {
        Some(from) => format!("{LIST_PATH}?from={from}&hold_ms={}", hold.as_millis()),
        None => LIST_PATH.into(),
    }
}

/// Polls the discovery service for as long as the agent lives, also after it has moved. `known` is the
/// version of the list in the agent's configuration.
pub async fn run(driver: Driver, commands: Rc<DiscoveryCommands>, known: i64, policy: PollPolicy, seed: u64) {
    let mut source = commands.source();
    if policy.pushed {
        commands.set_watching(true);
    }
    // The list in the configuration came from the first source.
    let mut version = Some(known);
    loop {
        let address = *source.borrow_and_update();
        let freshness = RefCell::new(Freshness::new(policy, version, seed));
        let poller = Poller {
            driver: &driver,
            commands: &commands,
            address,
            freshness,
            failure_logged: Cell::new(false),
            unreadable_logged: Cell::new(false),
        };
        tokio::select! {
            () = poller.follow() => return,
            () = poller.fetch() => return,
            // Cancels the calls in flight: a late answer of the old source must not overwrite the new list.
            moved = source.changed() => if moved.is_err() { return },
        }
        // Versions of the old source mean nothing to a new one: its whole list is polled until it answers,
        // whatever the decision module waits for. The known list stays in use until then.
        version = None;
    }
}

/// The calls to one source.
struct Poller<'a, S: Source> {
    driver: &'a Driver,
    commands: &'a DiscoveryCommands,
    address: S,
    freshness: RefCell<Freshness>,
    /// A failure has been logged, and no list has been accepted since.
    failure_logged: Cell<bool>,
    /// Unreadable entries have been logged, and no list without any has come since.
    unreadable_logged: Cell<bool>,
}

impl<S: Source + std::fmt::Display> Poller<'_, S> {
    /// Polls as long as the decision module follows the list. Where lists are pushed it runs at all times,
    /// since the long poll carries the push.
    async fn follow(&self) {
        let mut following = self.commands.watching();
        let mut connection = None;
        loop {
            if self.freshness.borrow().version().is_some()
                && following.wait_for(|active| *active).await.is_err()
            {
                return;
            }
            let next = self.freshness.borrow_mut().next_call();
            let sent_at = Instant::now();
            let answer = match next {
                NextCall::LongPoll { from, hold, give_up_after } => tokio::select! {
                    answer = self.call(connection.take(), path(Some(from), hold), give_up_after) => answer,
                    _ = following.wait_for(|active| !active) => continue,
                },
                NextCall::Immediate { from, interval, call_timeout, max_calls } => {
                    connection = None;
                    self.poll_until_answered(path(from, Duration::ZERO), interval, call_timeout, max_calls)
                        .await
                }
            };
            match answer {
                Ok((list, kept)) => {
                    connection = kept;
                    let list = ListReply {
                        all: list.all || matches!(next, NextCall::Immediate { from: None, .. }),
                        ..list
                    };
                    sleep(self.apply_list(list, sent_at)).await;
                }
                Err(error) => match self.on_failure(error) {
                    FollowUp::PollAgain => {}
                    FollowUp::Pause(pause) => sleep(pause).await,
                    FollowUp::ReportFailure => {
                        self.commands.set_watching(false);
                        self.driver.list_failed();
                    }
                },
            }
        }
    }

    /// Fetches the whole list whenever the decision module requests it.
    async fn fetch(&self) {
        loop {
            self.commands.fetch_requested().await;
            let sent_at = Instant::now();
            match self.call(None, path(None, Duration::ZERO), FETCH_TIMEOUT).await {
                Ok((list, _)) => drop(self.apply_list(list, sent_at)),
                Err(_) => self.driver.list_failed(),
            }
        }
    }

    async fn call(
        &self,
        kept: Option<S::Connection>,
        path: String,
        call_timeout: Duration,
    ) -> Result<ListAnswer<S::Connection>, PollError> {
        self.driver.metrics().count(Count::ListCall);
        let answer = self.address.clone().call(kept, path, call_timeout).await;
        if answer.is_err() {
            self.driver.metrics().count(Count::ListFailed);
        }
        answer
    }

    /// Returns the first answer of several overlapping calls, a new one each `interval` until one is
    /// answered. Each has its own connection, since the previous one may be silent.
    async fn poll_until_answered(
        &self,
        path: String,
        interval: Duration,
        call_timeout: Duration,
        max_calls: Option<u32>,
    ) -> Result<ListAnswer<S::Connection>, PollError> {
        let mut calls = JoinSet::new();
        let mut calls_made = 0;
        loop {
            let may_call = max_calls.is_none_or(|max_calls| calls_made < max_calls);
            if may_call {
                self.driver.metrics().count(Count::ListCall);
                calls.spawn_local(self.address.clone().call(None, path.clone(), call_timeout));
                calls_made += 1;
            }
            let pause = sleep(if may_call { interval } else { call_timeout });
            tokio::pin!(pause);
            loop {
                let ended = tokio::select! {
                    () = pause.as_mut() => break,
                    Some(ended) = calls.join_next() => ended.unwrap_or(Err(PollError::Failed)),
                };
                match ended {
                    Ok(listed) => return Ok(listed),
                    Err(error) => {
                        self.driver.metrics().count(Count::ListFailed);
                        if calls.is_empty() && max_calls.is_some_and(|max_calls| calls_made >= max_calls) {
                            return Err(error);
                        }
                    }
                }
            }
        }
    }

    /// Applies a list; returns the pause before the next call.
    fn apply_list(&self, list: ListReply, sent_at: Instant) -> Duration {
        let (now, known) = (Instant::now(), self.freshness.borrow().version());
        let (acceptance, pause) = self.freshness.borrow_mut().on_answer(now, list.rev, now - sent_at);
        match acceptance {
            Acceptance::Accept => {
                if self.failure_logged.replace(false) {
                    log(&format!("discovery at {}: lists are received again", self.address));
                }
                let unreadable = list.targets.unreadable_count();
                if !self.unreadable_logged.replace(unreadable > 0) && unreadable > 0 {
                    log(&format!(
                        "discovery at {}: {unreadable} list entries cannot be read: the known ones are kept",
                        self.address
                    ));
                }
                self.driver.apply_list(list);
            }
            Acceptance::Stale => {
                self.log_failure(&format!(
                    "received version {} after {}",
                    list.rev,
                    known.unwrap_or_default()
                ));
            }
        }
        pause
    }

    fn on_failure(&self, error: PollError) -> FollowUp {
        self.log_failure(&error.to_string());
        self.freshness.borrow_mut().on_failure(error)
    }

    /// Logs a failure once, until a list has come again.
    fn log_failure(&self, reason: &str) {
        if !self.failure_logged.replace(true) {
            log(&format!("discovery at {}: the list is no longer refreshed: {reason}", self.address));
        }
    }
}

#[cfg(test)]
mod tests;
