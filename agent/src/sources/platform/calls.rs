//! The calls to one source that are in flight. A call that has been overtaken by another one stays here and is
//! read on.

use super::connection::{CallProgress, ListAnswer, Source};
use crate::metrics::{Count, Metrics};
use crate::sources::freshness::patience::CallState;
use crate::sources::freshness::PollError;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// Identifies a call to one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallId(u64);

/// The result of a call's task, and which call it was.
type CallResult<Connection> = (CallId, Result<ListAnswer<Connection>, PollError>);

/// When a call was made, when its answer was due, and how its answer arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTiming {
    pub(super) sent_at: Instant,
    /// The end of its hold.
    pub(super) due_at: Instant,
    /// The longest time without a byte between the head and the end of the answer.
    pub(super) longest_pause: Duration,
}

struct CallInFlight {
    id: CallId,
    hold: Duration,
    /// The whole list was asked for.
    asks_all: bool,
    /// Another call's answer has been accepted since this one was made.
    is_overtaken: bool,
    progress: Rc<CallProgress>,
    task: AbortHandle,
}

/// A call that has ended.
pub(super) struct EndedCall<Connection> {
    pub(super) id: CallId,
    pub(super) asks_all: bool,
    pub(super) is_overtaken: bool,
    pub(super) timing: CallTiming,
    pub(super) result: Result<ListAnswer<Connection>, PollError>,
}

/// The calls to one source that are in flight, in the order in which they were made. Dropping it closes them.
pub(super) struct Calls<S: Source> {
    source: S,
    metrics: Metrics,
    tasks: JoinSet<CallResult<S::Connection>>,
    in_flight: Vec<CallInFlight>,
    answer_began: Rc<Notify>,
    next_id: u64,
}

impl<S: Source> Calls<S> {
    /// No calls to this source yet.
    pub(super) fn new(source: S, metrics: Metrics) -> Calls<S> {
        let (tasks, in_flight, answer_began) = Default::default();
        Calls { source, metrics, tasks, in_flight, answer_began, next_id: 0 }
    }

    /// Makes a call that the service may hold, on the kept connection if there is one.
    pub(super) fn start(
        &mut self,
        kept: Option<S::Connection>,
        path: String,
        asks_all: bool,
        hold: Duration,
    ) -> CallId {
        self.metrics.count(Count::ListCall);
        let id = CallId(self.next_id);
        self.next_id += 1;
        let progress = CallProgress::new(Rc::clone(&self.answer_began));
        let call = self.source.clone().call(kept, path, Rc::clone(&progress));
        let task = self.tasks.spawn_local(async move { (id, call.await) });
        self.in_flight.push(CallInFlight { id, hold, asks_all, is_overtaken: false, progress, task });
        id
    }

    /// Waits for the end of a call; for ever if none is in flight.
    pub(super) async fn next_ended(&mut self) -> EndedCall<S::Connection> {
        loop {
            // The task of a call that was closed ends with an error.
            let (id, result) = match self.tasks.join_next().await {
                Some(Ok(ended)) => ended,
                Some(Err(_)) => continue,
                None => pending().await,
            };
            let Some(index) = self.in_flight.iter().position(|call| call.id == id) else { continue };
            let CallInFlight { hold, asks_all, is_overtaken, progress, .. } = self.in_flight.remove(index);
            if result.is_err() {
                self.metrics.count(Count::ListFailed);
            }
            let sent_at = progress.state().sent_at;
            let longest_pause = progress.longest_pause();
            let timing = CallTiming { sent_at, due_at: sent_at + hold, longest_pause };
            return EndedCall { id, asks_all, is_overtaken, timing, result };
        }
    }

    /// Notified when the answer of a call begins.
    pub(super) fn answer_began(&self) -> Rc<Notify> {
        Rc::clone(&self.answer_began)
    }

    /// The state of each call, in the order in which they were made.
    pub(super) fn states(&self) -> Vec<CallState> {
        self.in_flight.iter().map(|call| call.progress.state()).collect()
    }

    /// The state of one call; `None` if it has ended.
    pub(super) fn state(&self, id: CallId) -> Option<CallState> {
        self.in_flight.iter().find(|call| call.id == id).map(|call| call.progress.state())
    }

    /// Whether a call is in flight.
    pub(super) fn is_in_flight(&self, id: CallId) -> bool {
        self.state(id).is_some()
    }

    /// The number of calls in flight.
    pub(super) fn count(&self) -> usize {
        self.in_flight.len()
    }

    /// Closes the call.
    pub(super) fn close(&mut self, id: CallId) {
        self.retain(|call| call.id != id);
    }

    /// Closes the calls at these indices of [`Calls::states`].
    pub(super) fn close_indices(&mut self, indices: &[usize]) {
        let closed: Vec<CallId> = indices.iter().map(|index| self.in_flight[*index].id).collect();
        self.retain(|call| !closed.contains(&call.id));
    }

    /// Closes all calls.
    pub(super) fn close_all(&mut self) {
        self.retain(|_| false);
    }

    /// Another call's answer has been accepted that told nothing new. An answer that has begun may tell more, and
    /// is read on; the other calls are closed.
    pub(super) fn overtake(&mut self) {
        self.in_flight.iter_mut().for_each(|call| call.is_overtaken = true);
        self.retain(|call| call.progress.state().answer_began_at.is_some());
    }

    fn retain(&mut self, keeps: impl Fn(&CallInFlight) -> bool) {
        self.in_flight.retain(|call| {
            let is_kept = keeps(call);
            if !is_kept {
                call.task.abort();
            }
            is_kept
        });
    }
}
