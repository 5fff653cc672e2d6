//! When an answer that is still arriving is forwarded. From then on no other attempt can replace it; before,
//! its client gets nothing of it.
//!
//! A long answer is timed by its first byte and is forwarded at once. A short one is timed by its last byte
//! and is forwarded when it is whole. An answer without a stated length may turn out to be either. It is kept
//! back for a moment, so that another attempt can replace it if it breaks; if it stalls, for as long as
//! another attempt may still bring a whole one. When the time of its request is over it is forwarded, whether
//! or not bytes arrived just before: its server may be writing, and what it gives must not be cut off.

use super::{AttemptStage, Balancer, InFlightAttempt, FORWARD_TIMER};
use crate::answers::{AnswerLength, ANSWER_HOLD_MAX};
use crate::api::{Action, AttemptNo, RequestId, Span, Time};
use std::cmp::Reverse;

/// An answer without a stated length can be replaced for this long (150 ms).
const REPLACEABLE_TIME: Span = Span(150_000);
/// An answer of which nothing has arrived for this long (100 ms) may never end.
const SILENCE: Span = Span(100_000);

impl Balancer {
    /// The length of an answer has become known: a long one is forwarded, and one that states none is looked
    /// at again when it may have to be.
    pub(super) fn answer_length_known(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptNo,
        length: AnswerLength,
        actions: &mut Vec<Action>,
    ) {
        if !self.active_requests.contains_key(&id) {
            self.cancel_losers(id, actions);
            return;
        }
        match length {
            AnswerLength::Short => {}
            AnswerLength::Open => {
                let Some(in_flight) = self.in_flight_attempts.get_mut(&(id, attempt.0)) else { return };
                in_flight.answer.open_since = Some(now);
                // Its first byte may be reported after its head.
                if in_flight.stage.holds_slot() {
                    in_flight.stage = AttemptStage::ReceivingOpenAnswer;
                    let server = &mut self.servers[in_flight.server];
                    server.in_flight -= 1;
                    server.stalled -= u32::from(in_flight.stalled);
                }
                for hold in [REPLACEABLE_TIME, ANSWER_HOLD_MAX] {
                    actions.push(Action::SetTimer { at: now + hold, timer: FORWARD_TIMER });
                }
            }
            AnswerLength::Long => self.forward(id, attempt.0, actions),
        }
    }

    /// Forwards the answers that have been kept back for long enough. An attempt may outlive its
    /// request, whose client has left: its answer is forwarded to nobody.
    pub(super) fn forward_held_answers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let open = self.in_flight_attempts.iter().filter(|(_, in_flight)| is_held_back(in_flight));
        let mut ids: Vec<RequestId> = open.map(|(key, _)| key.0).collect();
        ids.dedup();
        ids.retain(|id| self.active_requests.contains_key(id));
        for id in ids {
            if let Some(attempt) = self.best_held_answer(id) {
                if self.has_been_held_for_long(now, id, attempt) {
                    self.forward(id, attempt, actions);
                }
            }
        }
    }

    /// The time of a request is over. Its best answer is forwarded as far as it has arrived, unless the
    /// process ends just then: nothing of the rest could be forwarded.
    pub(super) fn forward_due_answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(active) = self.active_requests.get(&id) else { return };
        if active.deadline >= self.answers_by {
            return;
        }
        if let Some(attempt) = self.best_held_answer(id) {
            self.forward(id, attempt, actions);
        }
    }

    /// The attempt whose answer has made progress last, of those that are kept back.
    fn best_held_answer(&self, id: RequestId) -> Option<u32> {
        let attempts = self.in_flight_attempts.range((id, 0)..=(id, u32::MAX));
        let held = attempts.filter(|(_, in_flight)| is_held_back(in_flight));
        let best = held.max_by_key(|(key, in_flight)| (in_flight.answer.progressed_at, Reverse(key.1)));
        best.map(|(key, _)| key.1)
    }

    fn has_been_held_for_long(&self, now: Time, id: RequestId, attempt: u32) -> bool {
        let in_flight = &self.in_flight_attempts[&(id, attempt)];
        let all = self.in_flight_attempts.range((id, 0)..=(id, u32::MAX));
        let held_for = |since: Option<Time>| since.map_or(Span::ZERO, |since| now.since(since));
        let client_has_waited = all.clone().map(|(_, other)| held_for(other.answer.open_since)).max();
        let is_only_one = all.count() == 1;
        let is_silent = now.since(in_flight.answer.progressed_at) >= SILENCE;
        let can_be_replaced = is_silent && (!is_only_one || self.may_hedge(now, id));
        client_has_waited >= Some(ANSWER_HOLD_MAX)
            || !can_be_replaced && held_for(in_flight.answer.open_since) >= REPLACEABLE_TIME
    }

    /// Has the answer of an attempt forwarded, unless another one of its request is.
    fn forward(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let mut all = self.in_flight_attempts.range((id, 0)..=(id, u32::MAX));
        if !self.active_requests.contains_key(&id) || all.any(|(_, in_flight)| in_flight.answer.is_forwarded)
        {
            return;
        }
        if let Some(in_flight) = self.in_flight_attempts.get_mut(&(id, attempt)) {
            in_flight.answer.is_forwarded = true;
            actions.push(Action::Forward { request: id, attempt: AttemptNo(attempt) });
        }
    }
}

/// Whether an answer without a stated length is arriving and has not been forwarded.
fn is_held_back(in_flight: &InFlightAttempt) -> bool {
    in_flight.answer.open_since.is_some() && in_flight.stage != AttemptStage::StreamingAnswer
}
