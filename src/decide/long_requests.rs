//! Requests and answers that are streamed through the client process. A request is bound to the attempt that
//! has received its bytes, and its time runs from its last byte.

use super::{AttemptStage, Balancer, InFlightAttempt};
use crate::api::{Action, AttemptNo, Outcome, Reason, RequestId, Time};

impl Balancer {
    /// Binds a request to an attempt. The bytes that it has sent or received can't be taken back, so no other
    /// attempt can replace this one.
    pub(super) fn bind(&mut self, id: RequestId, attempt: AttemptNo) {
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.bound = (attempt.0 as usize) < active.attempts.len();
        }
    }

    /// The whole body of a request has arrived: its time, and the time of its attempt, run from now.
    pub(super) fn body_received(&mut self, now: Time, id: RequestId) {
        let Some(active) = self.active_requests.get_mut(&id).filter(|a| a.request.body_incomplete) else {
            return;
        };
        let extension = (now + active.request.time_left).min(self.answers_by).since(active.deadline);
        active.request.body_incomplete = false;
        (active.deadline, active.full_worth_until) =
            (active.deadline + extension, active.full_worth_until + extension);
        let attempts =
            self.in_flight_attempts.range_mut((id, 0)..=(id, u32::MAX)).map(|(_, attempt)| attempt);
        for attempt in attempts.filter(|attempt| attempt.stage == AttemptStage::ReceivingBody) {
            (attempt.sent_at, attempt.stage) = (now, AttemptStage::Processing);
            self.servers[attempt.server].in_flight += 1;
        }
    }

    /// The time of a request may be over before its body could be read: it gets its final answer now.
    pub(super) fn body_overdue(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if self.active_requests.get(&id).is_some_and(|active| active.request.body_incomplete) {
            self.give_up(now, id, Reason::BodyOverdue, actions);
        }
    }

    /// A streamed answer has begun. The server's work is done and the attempt no longer counts against its
    /// limit; only the rest of the answer is outstanding.
    pub(super) fn answer_started(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptNo,
        actions: &mut Vec<Action>,
    ) {
        self.bind(id, attempt);
        let Some(mut in_flight_attempt) = self.in_flight_attempts.remove(&(id, attempt.0)) else { return };
        self.release_slot(&in_flight_attempt);
        let is_current = in_flight_attempt.incarnation == self.servers[in_flight_attempt.server].incarnation;
        let stage = std::mem::replace(&mut in_flight_attempt.stage, AttemptStage::StreamingAnswer);
        if is_current && stage != AttemptStage::StreamingAnswer {
            // The time for which the answer was kept back is not the server's.
            let begun_at = in_flight_attempt.answer.begun_at.unwrap_or(now);
            let elapsed = begun_at.since(in_flight_attempt.sent_at);
            self.record_outcome(now, &in_flight_attempt, Outcome::Success, elapsed, actions);
        }
        self.in_flight_attempts.insert(
            (id, attempt.0),
            InFlightAttempt { stalled: false, half_open_record: None, ..in_flight_attempt },
        );
        self.cancel_losers(id, actions);
    }
}
