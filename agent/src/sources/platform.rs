//! Polls the platform's discovery service for the list of servers. [`Freshness`] decides which calls are made
//! and when, and which of them are closed; this module makes them.

mod calls;
mod connection;

use self::calls::{CallId, CallTiming, Calls, EndedCall};
use self::connection::Source;
use crate::driver::Driver;
use crate::list::{DiscoveryCommands, ListReply};
use crate::log::log;
use crate::sources::freshness::{Acceptance, FollowUp, Freshness, NextCall, PollError, PollPolicy};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// A call for the whole list that the decision module requested is reported as failed after this time, and read
/// on.
const FETCH_REPORT_TIME: Duration = Duration::from_secs(5);
/// Path of the whole list; with a version in the query it is a long poll for newer changes.
const LIST_PATH: &str = "/registry/instances";

/// The path and query of a call.
fn path(from: Option<i64>, hold: Duration) -> String {
    match from {
        Some(from) => format!("{LIST_PATH}?from={from}&hold_ms={}", hold.as_millis()),
        None => LIST_PATH.into(),
    }
}

/// Why a call or a series of calls is not waited for any longer.
enum Unanswered {
    /// It failed, or has been overtaken.
    Error(PollError),
    /// The decision module does not follow the list any more.
    Unfollowed,
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
        let mut calls = self.no_calls();
        let mut connection = None;
        loop {
            if self.freshness.borrow().version().is_some() {
                // Calls that have been overtaken are read on while the next one has to wait.
                tokio::select! {
                    biased;
                    ended = calls.next_ended() => {
                        // Its failure changes nothing: another call has been made since.
                        let _ = self.take_late_answer(&mut calls, ended);
                        continue;
                    }
                    active = following.wait_for(|active| *active) => if active.is_err() { return },
                }
            }
            match self.next_answer(&mut calls, connection.take(), &mut following).await {
                Ok(ended) => {
                    let (kept, pause) = self.take_answer(&mut calls, ended);
                    connection = kept;
                    sleep(pause).await;
                }
                Err(Unanswered::Unfollowed) => {}
                Err(Unanswered::Error(error)) => match self.on_failure(error) {
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

    /// Makes the next call, or a series of calls, and waits for an answer.
    async fn next_answer(
        &self,
        calls: &mut Calls<S>,
        kept: Option<S::Connection>,
        following: &mut watch::Receiver<bool>,
    ) -> Result<EndedCall<S::Connection>, Unanswered> {
        let next = self.freshness.borrow_mut().next_call();
        let NextCall::LongPoll { from, hold, give_up_after } = next else {
            return self.poll_until_answered(calls, next).await.map_err(Unanswered::Error);
        };
        let id = self.start(calls, kept, Some(from), hold);
        let begin_by = Instant::now() + give_up_after;
        tokio::select! {
            answer = self.long_poll(calls, id, begin_by) => return answer.map_err(Unanswered::Error),
            _ = following.wait_for(|active| !active) => {}
        }
        calls.close(id);
        Err(Unanswered::Unfollowed)
    }

    /// Fetches the whole list whenever the decision module requests it.
    async fn fetch(&self) {
        let mut calls = self.no_calls();
        let mut report_at = None;
        loop {
            let overdue = async {
                match report_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.commands.fetch_requested() => {
                    self.start(&mut calls, None, None, Duration::ZERO);
                    report_at = Some(Instant::now() + FETCH_REPORT_TIME);
                }
                ended = calls.next_ended() => {
                    if self.take_late_answer(&mut calls, ended).is_err() && report_at.take().is_some() {
                        self.driver.list_failed();
                    }
                    if calls.count() == 0 {
                        report_at = None;
                    }
                }
                () = overdue => {
                    report_at = None;
                    self.driver.list_failed();
                }
            }
        }
    }

    fn no_calls(&self) -> Calls<S> {
        Calls::new(self.address.clone(), self.driver.metrics().clone())
    }

    /// Makes a call, and closes others if there would be too many.
    fn start(
        &self,
        calls: &mut Calls<S>,
        kept: Option<S::Connection>,
        from: Option<i64>,
        hold: Duration,
    ) -> CallId {
        let closed = self.freshness.borrow_mut().patience().calls_to_close(Instant::now(), &calls.states());
        calls.close_indices(&closed);
        calls.start(kept, path(from, hold), from.is_none(), hold)
    }

    /// Waits for the answer of a long poll, or of an earlier call that tells something new, until the long poll
    /// has been overtaken.
    async fn long_poll(
        &self,
        calls: &mut Calls<S>,
        id: CallId,
        begin_by: Instant,
    ) -> Result<EndedCall<S::Connection>, PollError> {
        let answer_began = calls.answer_began();
        loop {
            let Some(state) = calls.state(id) else { return Err(PollError::Failed) };
            let overtaken_at = self.freshness.borrow_mut().patience().overtaken_at(state, begin_by);
            tokio::select! {
                biased;
                ended = calls.next_ended() => match &ended.result {
                    Err(error) if ended.id == id => return Err(*error),
                    Ok((list, _)) if ended.id == id || self.is_news(list) => return Ok(ended),
                    _ => {}
                },
                () = answer_began.notified() => {}
                () = sleep_until(overtaken_at) => return Err(PollError::TimedOut),
            }
        }
    }

    /// Returns the first answer of several overlapping calls, a new one each interval until one is answered.
    /// Each has its own connection, since the previous one may be silent.
    async fn poll_until_answered(
        &self,
        calls: &mut Calls<S>,
        next: NextCall,
    ) -> Result<EndedCall<S::Connection>, PollError> {
        let NextCall::Immediate { from, interval, call_timeout, max_calls } = next else {
            return Err(PollError::Failed);
        };
        let mut series = Vec::new();
        let is_last = |made: usize| max_calls.is_some_and(|max_calls| made >= max_calls as usize);
        let mut due = Instant::now();
        loop {
            let now = Instant::now();
            let arriving_until = self.freshness.borrow_mut().patience().arriving_until(now, &calls.states());
            if now >= due && arriving_until.is_none() {
                if is_last(series.len()) {
                    return Err(PollError::TimedOut);
                }
                series.push(self.start(calls, None, from, Duration::ZERO));
                let interval = self.freshness.borrow_mut().patience().interval(interval, calls.count());
                due = now + if is_last(series.len()) { call_timeout } else { interval };
            }
            let wait_until = arriving_until.map_or(due, |until| until.max(due));
            tokio::select! {
                biased;
                ended = calls.next_ended() => match &ended.result {
                    Ok((list, _)) if !ended.is_overtaken || self.is_news(list) => return Ok(ended),
                    Ok(_) => {}
                    Err(error) => {
                        let is_over = is_last(series.len()) && !series.iter().any(|id| calls.is_in_flight(*id));
                        if is_over && series.contains(&ended.id) {
                            return Err(*error);
                        }
                    }
                },
                () = sleep_until(wait_until) => {}
            }
        }
    }

    /// Whether a list is newer than the one that was accepted last.
    fn is_news(&self, list: &ListReply) -> bool {
        self.freshness.borrow().version().is_none_or(|known| list.rev > known)
    }

    /// Takes the answer of a call that is not waited for. One that tells nothing new confirms nothing: it may be
    /// as old as its call.
    fn take_late_answer(
        &self,
        calls: &mut Calls<S>,
        ended: EndedCall<S::Connection>,
    ) -> Result<(), PollError> {
        match &ended.result {
            Ok((list, _)) if !ended.is_overtaken || self.is_news(list) => {
                self.take_answer(calls, ended);
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(error) => Err(*error),
        }
    }

    /// Applies the list of an answer; returns its connection, and the pause before the next call.
    fn take_answer(
        &self,
        calls: &mut Calls<S>,
        ended: EndedCall<S::Connection>,
    ) -> (Option<S::Connection>, Duration) {
        let EndedCall { asks_all, timing, result: Ok((list, kept)), .. } = ended else {
            return (None, Duration::ZERO);
        };
        let list = ListReply { all: list.all || asks_all, ..list };
        let is_news = self.is_news(&list);
        let (acceptance, pause) = self.apply_list(list, timing);
        let counts_anew = self.freshness.borrow().version().is_none();
        if counts_anew || (is_news && acceptance == Acceptance::Accept) {
            // What the other calls have to tell is known, or means nothing any more.
            calls.close_all();
        } else if acceptance == Acceptance::Accept {
            calls.overtake();
        }
        (kept, pause)
    }

    /// Applies a list; returns whether it was accepted, and the pause before the next call.
    fn apply_list(&self, list: ListReply, timing: CallTiming) -> (Acceptance, Duration) {
        let (now, known) = (Instant::now(), self.freshness.borrow().version());
        let (acceptance, pause) = self.freshness.borrow_mut().on_answer(now, list.rev, now - timing.sent_at);
        match acceptance {
            Acceptance::Accept => {
                let lateness = now.saturating_duration_since(timing.due_at);
                self.freshness.borrow_mut().patience().on_accepted(timing.longest_pause, lateness);
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
        (acceptance, pause)
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
