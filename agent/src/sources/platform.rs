//! Asks the platform's discovery for the list of backends: a watch on changes, and the whole list once.

use crate::driver::Driver;
use crate::list::{Commands, ListReply};
use crate::tally::Count;
use crate::wire::{Gauge, Wire};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};

/// How long a watch waits for news.
const HOLD: Duration = Duration::from_secs(20);
/// How long a call may take besides that; the service gives up its own calls well before.
const ANSWER_WAIT: Duration = Duration::from_secs(5);
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// How long a new source may take for its first answer before it is asked again, and the pause before that: what it
/// has to tell must be known within 4 s.
const MOVED_WAIT: Duration = Duration::from_millis(2500);
const MOVED_PAUSE: Duration = Duration::from_millis(150);
/// The whole list; with a version it is a watch on what is newer.
const LIST_PATH: &str = "/registry/instances";
/// The largest list that is read.
const LIST_MOST: usize = 8 * 1024 * 1024;
/// Pause after an answer that came at once and brought nothing new, so that a discovery which does not wait is not
/// asked without end; well within the 200 ms that may lie between two watches.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a pushed list is asked for again; the source is on the same machine.
const PUSHED_PAUSE: Duration = Duration::from_millis(500);

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

async fn connect(address: SocketAddr) -> Option<Line> {
    let stream = timeout(CONNECT_WAIT, TcpStream::connect(address)).await.ok()?.ok()?;
    let (wire, _) = Wire::new(stream, Gauge::default().enter());
    let (sender, connection) = http1::handshake(wire).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(Line { sender, task: task.abort_handle() })
}

/// One call; `None` if it failed in whatever way.
async fn call(address: SocketAddr, line: &mut Option<Line>, path: &str) -> Option<ListReply> {
    // A line that discovery has closed between two calls is no failure of the next one.
    let mut kept = line.take().filter(|l| l.sender.is_ready());
    if kept.is_none() {
        kept = connect(address).await;
    }
    let mut kept = kept?;
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
    let answer = kept.sender.send_request(request).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(answer.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
    let list = serde_json::from_slice(&body).ok()?;
    if timeout(Duration::from_millis(50), kept.sender.ready()).await.is_ok_and(|r| r.is_ok()) {
        *line = Some(kept);
    }
    Some(list)
}

/// Asks discovery wherever it is for as long as the agent lives. `known` is the version of the list that the agent
/// started with; `pushed`: the list is sent by itself.
pub async fn run(driver: Driver, commands: Rc<Commands>, known: i64, pushed: bool) {
    let mut source = commands.source();
    if pushed {
        commands.follow(true);
    }
    // What the agent was told at its start came from the first source.
    let mut version = Some(known);
    loop {
        let address = *source.borrow_and_update();
        let asking = Asking { driver: &driver, commands: &commands, address, version: Cell::new(version) };
        tokio::select! {
            () = asking.watch(pushed) => return,
            () = asking.fetch() => return,
            // The calls that are out end here: what the old source still answers must not overwrite the new list.
            moved = source.changed() => if moved.is_err() { return },
        }
        version = None;
    }
}

/// The calls to one source.
struct Asking<'a> {
    driver: &'a Driver,
    commands: &'a Commands,
    address: SocketAddr,
    /// The version of the list that this source has told; another source's versions say nothing here.
    version: Cell<Option<i64>>,
}

impl Asking<'_> {
    fn listed(&self, list: ListReply) {
        self.version.set(Some(list.rev));
        self.driver.listed(list);
    }

    /// One call; `None` if it failed or took longer than `wait`.
    async fn call(&self, wait: Duration, line: &mut Option<Line>, path: &str) -> Option<ListReply> {
        self.driver.tally().count(Count::ListCall);
        let answer = timeout(wait, call(self.address, line, path)).await.ok().flatten();
        if answer.is_none() {
            self.driver.tally().count(Count::ListFailed);
        }
        answer
    }

    /// Watches as long as the module follows the list. Where lists are pushed the watch is the push: it runs at
    /// all times, and a failure is no news to the module, which has asked for nothing.
    async fn watch(&self, pushed: bool) {
        let mut following = self.commands.following();
        let mut line = None;
        // A new source owes nothing to the version of the old one: it is asked for the whole list first, whatever
        // the module is waiting for, until it has answered. What is known stands till then.
        while self.version.get().is_none() {
            match self.call(MOVED_WAIT, &mut line, LIST_PATH).await {
                Some(list) => self.listed(ListReply { all: true, ..list }),
                None => sleep(MOVED_PAUSE).await,
            }
        }
        loop {
            if following.wait_for(|active| *active).await.is_err() {
                return;
            }
            let version = self.version.get().unwrap_or_default();
            let path = format!("{LIST_PATH}?from={version}&hold_ms={}", HOLD.as_millis());
            let asked = Instant::now();
            let answer = tokio::select! {
                answer = self.call(HOLD + ANSWER_WAIT, &mut line, &path) => answer,
                _ = following.wait_for(|active| !active) => continue,
            };
            match answer {
                Some(list) => {
                    let empty = Some(list.rev) == self.version.get() && asked.elapsed() < EMPTY_PAUSE;
                    self.listed(list);
                    if empty {
                        sleep(EMPTY_PAUSE).await;
                    }
                }
                None if pushed => sleep(PUSHED_PAUSE).await,
                None => {
                    line = None;
                    self.commands.follow(false);
                    self.driver.list_failed();
                }
            }
        }
    }

    /// Fetches the whole list whenever the module asks for it.
    async fn fetch(&self) {
        loop {
            self.commands.fetch_wanted().await;
            match self.call(ANSWER_WAIT, &mut None, LIST_PATH).await {
                Some(list) if Some(list.rev) >= self.version.get() => self.listed(list),
                // The watch has brought something newer meanwhile.
                Some(_) => {}
                None => self.driver.list_failed(),
            }
        }
    }
}
