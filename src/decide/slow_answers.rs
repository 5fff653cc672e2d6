//! Answers that have begun and arrive slowly. Silence in the middle of an answer is not its end: the server
//! may still be writing, or the rest may never come, and nothing tells the two apart in time. The attempt
//! therefore goes on, and its request is hedged where its class allows a second attempt. The first complete
//! answer is served; a request that must not be repeated waits for its own time.

use super::{AllowedServers, AttemptStage, Balancer};
use crate::api::{Action, AttemptNo, RequestId, Time};

/// Cost of a hedged request, in retry tokens.
const HEDGE_COST: f64 = 1.0;

impl Balancer {
    /// Part of an answer has arrived: its server is not silent, and the attempt can't be overdue any more.
    pub(super) fn answer_begun(&mut self, now: Time, id: RequestId, attempt: AttemptNo) {
        let Some(in_flight) = self.in_flight_attempts.get_mut(&(id, attempt.0)) else { return };
        if in_flight.stage == AttemptStage::Processing {
            in_flight.stage = AttemptStage::ReceivingAnswer;
        }
        (in_flight.answer.begun_at, in_flight.answer.progressed_at) = (Some(now), now);
        let server = &mut self.servers[in_flight.server];
        if in_flight.incarnation == server.incarnation {
            server.last_answer_at = now;
        }
    }

    /// Nothing more of an answer has arrived for some time. Its attempt no longer counts against the limit of
    /// its server, and its request is hedged if it can be. Once that is answered, the attempt is cancelled.
    pub(super) fn answer_stalled(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptNo,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_flight) = self.in_flight_attempts.get_mut(&(id, attempt.0)) else { return };
        if in_flight.stage.is_receiving_answer() && !in_flight.stalled {
            in_flight.stalled = true;
            self.servers[in_flight.server].stalled += u32::from(in_flight.stage.holds_slot());
        }
        if !self.active_requests.contains_key(&id) {
            self.cancel_losers(id, actions);
        } else if self.all_answers_stalled(id) && self.may_hedge(now, id) && self.dispatch(now, id, actions) {
            self.retry_tokens -= HEDGE_COST;
        }
    }

    /// More of an answer has arrived: its server is still writing.
    pub(super) fn answer_progressed(&mut self, now: Time, id: RequestId, attempt: AttemptNo) {
        if let Some(in_flight) = self.in_flight_attempts.get_mut(&(id, attempt.0)) {
            in_flight.answer.progressed_at = now;
        }
    }

    /// Cancels the attempts of an answered request that are still in flight: what has not reached its server
    /// by now must not reach it later.
    pub(super) fn cancel_losers(&self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.cancel {
            return;
        }
        let attempts = self.in_flight_attempts.range((id, 0)..=(id, u32::MAX));
        let losers = attempts.filter(|(_, attempt)| attempt.stage != AttemptStage::StreamingAnswer);
        actions.extend(
            losers.map(|(&(request, number), _)| Action::Cancel { request, attempt: AttemptNo(number) }),
        );
    }

    fn all_answers_stalled(&self, id: RequestId) -> bool {
        self.in_flight_attempts.range((id, 0)..=(id, u32::MAX)).all(|(_, attempt)| attempt.stalled)
    }

    /// Whether a request may be sent once more while its attempts are in flight: not if its client has left.
    pub(super) fn may_hedge(&self, now: Time, id: RequestId) -> bool {
        let Some(active) = self.active_requests.get(&id) else { return false };
        self.attempt_rules(active, now).0 != AllowedServers::NoServer
            && !self.is_too_late(now, active)
            && self.retry_tokens >= HEDGE_COST
    }
}
