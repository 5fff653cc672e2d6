//! Asks the platform's discovery for the list of backends. What is asked, and when, is decided by [`Freshness`]; here are the
//! calls.

use crate::driver::Driver;
use crate::list::{Commands, ListReply};
use crate::log::log;
use crate::sources::freshness::{Ask, Fault, Freshness, News, Terms, Then};
use crate::tally::Count;
use crate::wire::{Gauge, Wire};
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

const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// How long a call of the module's for the whole list may take.
const FETCH_WAIT: Duration = Duration::from_secs(5);
/// The whole list; with a version it is a watch on what is newer.
const LIST_PATH: &str = "/registry/instances";
/// The largest list that is read: some tens of thousands of lines.
const LIST_MOST: usize = 8 * 1024 * 1024;
/// An answer that has begun and of which nothing more has come for this long will not be whole; nor one that has not
/// ended after the longer one. What it tells may count as told from its first byte.
const STALL: Duration = Duration::from_millis(250);
const BODY_WAIT: Duration = Duration::from_secs(2);
/// How long a connection may take to be ready for the next call.
const SETTLE_WAIT: Duration = Duration::from_millis(50);

/// A kept connection to discovery; it is closed when this is dropped.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connect(address: SocketAddr) -> Result<Line, Fault> {
    let stream = timeout(CONNECT_WAIT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Fault::Silent)?.map_err(|_| Fault::Failed)?;
    let (wire, _) = Wire::new(stream, Gauge::default().enter());
    let (sender, connection) = http1::handshake(wire).await.map_err(|_| Fault::Failed)?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Line { sender, task: task.abort_handle() })
}

/// A list, and the connection that it came on if that can be used again.
type Listed<Line> = (ListReply, Option<Line>);

/// Where calls go to.
trait Source: Clone + 'static {
    /// A connection that is kept between two calls.
    type Line;

    /// One call, whose answer begins within `wait`.
    async fn call(
        self,
        kept: Option<Self::Line>,
        path: String,
        wait: Duration,
    ) -> Result<Listed<Self::Line>, Fault>;
}

/// Discovery at this address.
impl Source for SocketAddr {
    type Line = Line;

    async fn call(self, kept: Option<Line>, path: String, wait: Duration) -> Result<Listed<Line>, Fault> {
        let answer = async {
            // A line that discovery has closed between two calls is no failure of the next one.
            let mut line = match kept.filter(|line| line.sender.is_ready()) {
                Some(line) => line,
                None => connect(self).await?,
            };
            let request = Request::get(path).header(HOST, self.to_string()).body(Empty::new());
            let answer = line.sender.send_request(request.map_err(|_| Fault::Failed)?).await;
            Ok((line, answer.map_err(|fault| if fault.is_parse() { Fault::Garbled } else { Fault::Failed })?))
        };
        let (mut line, answer) = timeout(wait, answer).await.map_err(|_| Fault::Silent)??;
        if answer.status() != StatusCode::OK {
            return Err(Fault::Failed);
        }
        let body = timeout(BODY_WAIT, whole(answer.into_body())).await.map_err(|_| Fault::Garbled)??;
        let list: ListReply = serde_json::from_slice(&body).map_err(|_| Fault::Garbled)?;
        if list.targets.are_garbled() {
            return Err(Fault::Garbled);
        }
        let ready = timeout(SETTLE_WAIT, line.sender.ready()).await.is_ok_and(|ready| ready.is_ok());
        Ok((list, ready.then_some(line)))
    }
}

async fn whole(mut body: Incoming) -> Result<Bytes, Fault> {
    let mut read = BytesMut::new();
    while let Some(frame) = timeout(STALL, body.frame()).await.map_err(|_| Fault::Garbled)? {
        let Ok(data) = frame.map_err(|_| Fault::Garbled)?.into_data() else { continue };
        if read.len() + data.len() > LIST_MOST {
            return Err(Fault::Garbled);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

fn path(from: Option<i64>, hold: Duration) -> String {
    match from {
        Some(from) => format!("{LIST_PATH}?from={from}&hold_ms={}", hold.as_millis()),
        None => LIST_PATH.into(),
    }
}

/// Asks discovery wherever it is for as long as the agent lives. `known` is the version of the list that the agent
/// started with.
pub async fn run(driver: Driver, commands: Rc<Commands>, known: i64, terms: Terms, seed: u64) {
    let mut source = commands.source();
    if terms.pushed {
        commands.follow(true);
    }
    // What the agent was told at its start came from the first source.
    let mut version = Some(known);
    loop {
        let address = *source.borrow_and_update();
        let freshness = RefCell::new(Freshness::new(terms, version, seed));
        let asking = Asking {
            driver: &driver,
            commands: &commands,
            address,
            freshness,
            doubted: Cell::new(false),
            odd: Cell::new(false),
        };
        tokio::select! {
            () = asking.follow() => return,
            () = asking.fetch() => return,
            // The calls that are out end here: what the old source still answers must not overwrite the new list.
            moved = source.changed() => if moved.is_err() { return },
        }
        // A new source owes nothing to the version of the old one: it is asked for the whole list first, whatever the
        // module is waiting for, until it has answered. What is known stands till then.
        version = None;
    }
}

/// The calls to one source.
struct Asking<'a, S: Source> {
    driver: &'a Driver,
    commands: &'a Commands,
    address: S,
    freshness: RefCell<Freshness>,
    /// It has been said that something is wrong with this source, and nothing has been right since.
    doubted: Cell<bool>,
    /// It has been said that lines of its lists can't be read, and all could be since.
    odd: Cell<bool>,
}

impl<S: Source + std::fmt::Display> Asking<'_, S> {
    /// Watches as long as the module follows the list. Where lists are pushed the watch is the push: it runs at all times.
    async fn follow(&self) {
        let mut following = self.commands.following();
        let mut line = None;
        loop {
            if self.freshness.borrow().version().is_some()
                && following.wait_for(|active| *active).await.is_err()
            {
                return;
            }
            let ask = self.freshness.borrow_mut().ask();
            let asked = Instant::now();
            let answer = match ask {
                Ask::Watch { from, hold, give_up } => tokio::select! {
                    answer = self.call(line.take(), path(Some(from), hold), give_up) => answer,
                    _ = following.wait_for(|active| !active) => continue,
                },
                Ask::AtOnce { from, every, wait, most } => {
                    line = None;
                    self.at_once(path(from, Duration::ZERO), every, wait, most).await
                }
            };
            match answer {
                Ok((list, kept)) => {
                    line = kept;
                    let list =
                        ListReply { all: list.all || matches!(ask, Ask::AtOnce { from: None, .. }), ..list };
                    sleep(self.listed(list, asked)).await;
                }
                Err(fault) => match self.missed(fault) {
                    Then::Ask => {}
                    Then::Pause(pause) => sleep(pause).await,
                    Then::TellModule => {
                        self.commands.follow(false);
                        self.driver.list_failed();
                    }
                },
            }
        }
    }

    /// Fetches the whole list whenever the module asks for it.
    async fn fetch(&self) {
        loop {
            self.commands.fetch_wanted().await;
            let asked = Instant::now();
            match self.call(None, path(None, Duration::ZERO), FETCH_WAIT).await {
                Ok((list, _)) => drop(self.listed(list, asked)),
                Err(_) => self.driver.list_failed(),
            }
        }
    }

    async fn call(
        &self,
        kept: Option<S::Line>,
        path: String,
        wait: Duration,
    ) -> Result<Listed<S::Line>, Fault> {
        self.driver.tally().count(Count::ListCall);
        let answer = self.address.clone().call(kept, path, wait).await;
        if answer.is_err() {
            self.driver.tally().count(Count::ListFailed);
        }
        answer
    }

    /// The first answer of several calls that are made one after the other while none has come: each has a connection
    /// of its own, of which the one before may be the silent one.
    async fn at_once(
        &self,
        path: String,
        every: Duration,
        wait: Duration,
        most: Option<u32>,
    ) -> Result<Listed<S::Line>, Fault> {
        let mut calls = JoinSet::new();
        let mut made = 0;
        loop {
            let may = most.is_none_or(|most| made < most);
            if may {
                self.driver.tally().count(Count::ListCall);
                calls.spawn_local(self.address.clone().call(None, path.clone(), wait));
                made += 1;
            }
            let pause = sleep(if may { every } else { wait });
            tokio::pin!(pause);
            loop {
                let ended = tokio::select! {
                    () = pause.as_mut() => break,
                    Some(ended) = calls.join_next() => ended.unwrap_or(Err(Fault::Failed)),
                };
                match ended {
                    Ok(listed) => return Ok(listed),
                    Err(fault) => {
                        self.driver.tally().count(Count::ListFailed);
                        if calls.is_empty() && most.is_some_and(|most| made >= most) {
                            return Err(fault);
                        }
                    }
                }
            }
        }
    }

    /// A list has come; how long to pause then.
    fn listed(&self, list: ListReply, asked: Instant) -> Duration {
        let (now, known) = (Instant::now(), self.freshness.borrow().version());
        let (news, pause) = self.freshness.borrow_mut().answered(now, list.rev, now - asked);
        match news {
            News::Take => {
                if self.doubted.replace(false) {
                    log(&format!("the list of {} is heard again", self.address));
                }
                let odd = list.targets.odd();
                if !self.odd.replace(odd > 0) && odd > 0 {
                    log(&format!(
                        "{odd} lines of the list of {} can't be read: what is known stands",
                        self.address
                    ));
                }
                self.driver.listed(list);
            }
            News::Older => {
                self.doubt(&format!("it tells version {} after {}", list.rev, known.unwrap_or_default()));
            }
        }
        pause
    }

    fn missed(&self, fault: Fault) -> Then {
        self.doubt(&fault.to_string());
        self.freshness.borrow_mut().missed(fault)
    }

    /// Said once, until a list has come again.
    fn doubt(&self, what: &str) {
        if !self.doubted.replace(true) {
            log(&format!("the list of {} is as old as it is: {what}", self.address));
        }
    }
}

#[cfg(test)]
mod tests;
