//! Attempts and probes that the decision module has ordered. Each is a task that requests a permit, is waited
//! for no longer than its request and the process have time, and reports its outcome.

use super::Driver;
use crate::events;
use crate::metrics::Count;
use crate::permits::attempt::{
    attempt, AttemptDenied, AttemptFacts, AttemptPermit, AttemptState, EarlierAttempt, FirstByte, ServerFacts,
};
use crate::permits::violations::BegunAttempt;
use crate::requests::OrderedAttempt;
use crate::upstream::attempt::{
    AttemptOwner, AttemptResult, Call, ForwardOrder, Progress, Served, Stage, ATTEMPT_RESERVE,
};
use crate::upstream::live_answer::{CloseReasonCell, CloseRecorder};
use crate::upstream::pool::ServerEndpoint;
use ryelead::*;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl Driver {
    pub(super) fn send(&self, id: RequestId, server: ServerId, begin_by: Time, timeout_at: Time) {
        let now = Instant::now();
        let core = &mut *self.0.core.borrow_mut();
        let Some(ordered) = core.requests.register_attempt(id, self.0.max_attempts) else { return };
        let OrderedAttempt { attempt, call, deadline, may_send, cancelled, forward } = ordered;
        // Nothing is sent after the request's deadline either.
        let until = self.0.clock.instant(timeout_at).min(deadline - ATTEMPT_RESERVE);
        // A streamed request is sent only once, and its deadline starts when its last byte has arrived.
        let begin_by = call.upload.is_none().then(|| self.0.clock.instant(begin_by));
        let in_time = call.upload.is_some() || until > now;
        let server_endpoint = if may_send && in_time { core.servers.add_in_flight(server) } else { None };
        events::attempt_ordered(id, attempt, server, server_endpoint, until);
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            let ended = match server_endpoint {
                Some(server_endpoint) => {
                    let begun = RefCell::default();
                    let close_reason = CloseReasonCell::default();
                    let driver = &driver;
                    let owner = Sending {
                        driver,
                        id,
                        attempt,
                        server_endpoint,
                        begin_by,
                        begun,
                        forward,
                        close_reason,
                    };
                    let ended = driver.attempt(server_endpoint, &call, until, &owner, cancelled).await;
                    driver.check_begun(&owner);
                    driver.leave(server);
                    ended
                }
                None => Outcome::NotSent.into(),
            };
            driver.attempt_over(id, attempt, now, ended);
        });
    }

    async fn attempt(
        &self,
        server_endpoint: ServerEndpoint,
        call: &Call,
        until: Instant,
        owner: &Sending<'_>,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let progress = Progress::default();
        let mut exchange = pin!(self.0.backends.attempt(server_endpoint, call, until, &progress, owner));
        let (mut cancelled, mut is_due) = (pin!(cancelled), false);
        let (given_up, reason) = loop {
            tokio::select! {
                // An answer that is forwarded late begins at the moment at which its attempt would end.
                biased;
                ended = exchange.as_mut() => return ended,
                () = call.time_up(until), if !is_due => {
                    is_due = true;
                    let is_answering = matches!(progress.stage(), Stage::Answering(_));
                    if !(is_answering && self.answer_due(owner.id) && owner.forward.is_given()) {
                        break (Outcome::TimedOut, self.time_up_reason(owner, &progress));
                    }
                }
                () = self.process_ends(ATTEMPT_RESERVE) => {
                    break (Outcome::TimedOut, Some(AnswerCloseReason::ProcessEnds));
                }
                // A sound answer that began before the attempt could be cancelled is not given up for it.
                Ok(()) = cancelled.as_mut(), if !cancelled.is_terminated() => {
                    if let Some(reason) = self.request_over_reason(owner) {
                        break (Outcome::Cancelled, Some(reason));
                    }
                    if !matches!(progress.stage(), Stage::Answering(_)) {
                        break (Outcome::Cancelled, None);
                    }
                }
            }
        };
        owner.close_reason.set(reason);
        match (progress.stage(), given_up) {
            (Stage::Streaming, _) => exchange.await,
            // All of the time was spent waiting for a connection.
            (Stage::NotSent, Outcome::TimedOut) => Outcome::NotSent.into(),
            (Stage::NotSent | Stage::Sent | Stage::Answering(_), outcome) => outcome.into(),
        }
    }

    /// Why an answer is closed whose request needs none any more; `None` if it does.
    fn request_over_reason(&self, owner: &Sending<'_>) -> Option<AnswerCloseReason> {
        let core = self.0.core.borrow();
        let Some(request) = core.requests.facts(owner.id, owner.attempt) else {
            return Some(AnswerCloseReason::ClientGone);
        };
        if request.is_served {
            return Some(AnswerCloseReason::AnotherAnswerChosen);
        }
        request.client_gone.then_some(AnswerCloseReason::ClientGone)
    }

    /// Why an answer is closed that is not forwarded although the time of its attempt is over. `None` if
    /// nothing on the closed list applies.
    fn time_up_reason(&self, owner: &Sending<'_>, progress: &Progress) -> Option<AnswerCloseReason> {
        let is_ending = self.0.answers_by.borrow().is_some();
        let by_stage = match progress.stage() {
            Stage::Answering(AnswerLength::Short) => Some(AnswerCloseReason::ShortAnswerLate),
            _ if is_ending => Some(AnswerCloseReason::ProcessEnds),
            _ => None,
        };
        let is_forwarded = self.0.core.borrow().requests.is_answer_forwarded(owner.id);
        let of_another = is_forwarded.then_some(AnswerCloseReason::AnotherAnswerChosen);
        self.request_over_reason(owner).or(of_another).or(by_stage)
    }

    /// Requests the permit for the first byte of an attempt. The attempt may have waited for a connection
    /// since it was ordered: its server may be draining by now, its client may have disconnected or have its
    /// answer, and the deduplication window of its key may be over.
    fn permit(&self, sending: &Sending<'_>) -> Result<AttemptPermit, AttemptDenied> {
        let now = Instant::now();
        let ServerEndpoint { server, generation, .. } = sending.server_endpoint;
        let core = &mut *self.0.core.borrow_mut();
        let request = core.requests.facts(sending.id, sending.attempt).ok_or(AttemptDenied::NotOwed)?;
        let server = core.servers.facts(server, generation).ok_or(AttemptDenied::ServerLeft)?;
        let permit = attempt(&AttemptFacts {
            now,
            answer_pending: request.answer_pending,
            client_gone: request.client_gone,
            deadline: request.deadline,
            begin_by: sending.begin_by,
            server,
            effect: self.effect(request.class),
            hedging: self.0.hedging,
            earlier: &request.earlier,
        })?;
        let ServerFacts { zone, cell, .. } = server;
        let itself = EarlierAttempt { zone, cell, begun: now, state: AttemptState::InFlight };
        core.requests.begin_attempt(sending.id, sending.attempt, itself);
        let first_byte = permit.first_byte();
        *sending.begun.borrow_mut() = Some(Begun { first_byte, itself, before: request.earlier });
        Ok(permit)
    }

    pub(super) fn effect(&self, class: ClassId) -> Effect {
        self.0.effects.get(class.0).copied().unwrap_or(Effect::AtMostOnce)
    }

    /// Checks an attempt that has begun against the rules once more. Its request stays registered until the
    /// attempt has ended.
    fn check_begun(&self, sending: &Sending<'_>) {
        let Some(Begun { first_byte, itself, before }) = sending.begun.take() else { return };
        let Some(first_byte) = first_byte.written_at() else { return };
        let core = self.0.core.borrow();
        let Some(request) = core.requests.facts(sending.id, sending.attempt) else { return };
        let Sending { id, attempt, server_endpoint, .. } = sending;
        let begun = BegunAttempt {
            first_byte,
            answered_at: request.answered_at,
            deadline: request.deadline,
            server_drain_began_at: core.servers.drain_began_at(server_endpoint.server),
            drain_grace: core.servers.drain_grace(),
            effect: self.effect(request.class),
            itself,
            before,
        };
        let since = first_byte.elapsed().as_millis();
        let detail = format!(
            "request {}, attempt {attempt}, server {}, {since} ms ago",
            id.0, server_endpoint.server.0
        );
        self.0.violations.check_attempt(&begun, &detail);
    }

    /// Counts an attempt or a probe as ended.
    fn leave(&self, server: ServerId) {
        self.0.core.borrow_mut().servers.remove_in_flight(server);
    }

    pub(super) fn probe(&self, server: ServerId) {
        self.metrics().count(Count::Probe);
        let server_endpoint = self.0.core.borrow_mut().servers.add_in_flight(server);
        let (driver, sent) = (self.clone(), Instant::now());
        tokio::task::spawn_local(async move {
            let ended = match server_endpoint {
                Some(server_endpoint) => {
                    let ended = driver.0.backends.probe(server_endpoint).await;
                    driver.leave(server);
                    ended
                }
                // The module expects a result for each probe.
                None => Outcome::NotSent.into(),
            };
            let elapsed = Span(sent.elapsed().as_micros() as u64);
            if ended.outcome != Outcome::Success {
                driver.metrics().count(Count::ProbeFailed);
            }
            driver.dispatch(Event::ProbeResult {
                server,
                outcome: ended.outcome,
                elapsed,
                report: ended.report,
            });
        });
    }
}

/// An attempt that received its permit, and the state of its request at that time.
struct Begun {
    first_byte: FirstByte,
    itself: EarlierAttempt,
    before: Vec<EarlierAttempt>,
}

/// An attempt in flight, as the owner that the server side calls back.
struct Sending<'a> {
    driver: &'a Driver,
    id: RequestId,
    attempt: u32,
    server_endpoint: ServerEndpoint,
    begin_by: Option<Instant>,
    /// What belongs to the last permit that the attempt received.
    begun: RefCell<Option<Begun>>,
    /// The order to forward its answer.
    forward: Rc<ForwardOrder>,
    /// Why its answer is closed, if it is given up while that is under way.
    close_reason: CloseReasonCell,
}

impl AttemptOwner for Sending<'_> {
    fn permit(&self) -> Option<AttemptPermit> {
        match self.driver.permit(self) {
            Ok(permit) => {
                events::attempt_begun(self.id, self.attempt);
                Some(permit)
            }
            Err(denied) => {
                events::attempt_denied(self.id, self.attempt, denied.name());
                None
            }
        }
    }

    fn commit(&self) {
        let attempt = AttemptNo(self.attempt);
        self.driver.dispatch(Event::Committed { request: self.id, attempt });
    }

    fn answer_begun(&self) {
        events::answer_begun(self.id, self.attempt);
        let attempt = AttemptNo(self.attempt);
        self.driver.dispatch(Event::AnswerBegun { request: self.id, attempt });
    }

    fn answer_stalled(&self) {
        events::answer_stalled(self.id, self.attempt);
        self.driver.metrics().count(Count::AnswerStalled);
        let attempt = AttemptNo(self.attempt);
        self.driver.dispatch(Event::AnswerStalled { request: self.id, attempt });
    }

    fn answer_progressed(&self) {
        events::answer_progressed(self.id, self.attempt);
        let attempt = AttemptNo(self.attempt);
        self.driver.dispatch(Event::AnswerProgressed { request: self.id, attempt });
    }

    fn answer_length(&self, length: AnswerLength) {
        events::answer_length(self.id, self.attempt, length);
        let attempt = AttemptNo(self.attempt);
        self.driver.dispatch(Event::AnswerLength { request: self.id, attempt, length });
    }

    fn forward_order(&self) -> &ForwardOrder {
        &self.forward
    }

    fn close_recorder(&self) -> Option<CloseRecorder> {
        Some(CloseRecorder {
            request: self.id,
            attempt: self.attempt,
            metrics: self.driver.metrics().clone(),
            violations: self.driver.violations().clone(),
            reason: Rc::clone(&self.close_reason),
        })
    }

    fn start_answer(&self, served: Served) -> bool {
        // It holds until the client's connection takes the answer.
        let unless_taken = self.driver.request_over_reason(self).unwrap_or(AnswerCloseReason::ClientGone);
        self.close_reason.set(Some(unless_taken));
        let first = self.driver.0.core.borrow_mut().requests.begin_answer(self.id, served);
        if first {
            events::answer_forwarded(self.id, self.attempt);
            let attempt = AttemptNo(self.attempt);
            self.driver.dispatch(Event::FirstByte { request: self.id, attempt });
        }
        first
    }
}
