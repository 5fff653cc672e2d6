//! The open requests: which of them still need an answer, which attempts are in flight for each, and until
//! when attempts may be sent. It has no sockets; deadlines come from the caller.

use crate::metered_stream::ConnectionView;
use crate::permits::admission::Admission;
use crate::permits::attempt::{AttemptState, EarlierAttempt};
use crate::recent_ids::RecentIds;
use crate::upstream::attempt::{Call, ForwardOrder, Served};
use hyper::header::HeaderValue;
use ryelead::{ClassId, KeyId, Outcome, RequestId, Span, TenantId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer to a client's request.
pub enum Answer {
    /// The answer of a server.
    Served(Served),
    /// Refused: the request did not run, or is harmless to repeat. Carries the time after which the client
    /// should retry, if the decision module gives one.
    Refused(Option<Span>),
    /// Failed: the request may or may not have run.
    Failed,
}

/// The attributes of a client's request that the decision module needs.
pub struct RequestAttributes {
    /// Class of the request.
    pub class: ClassId,
    /// Tenant of the request.
    pub tenant: Option<TenantId>,
    /// Affinity key of the request.
    pub key: Option<KeyId>,
    /// The client's estimate of the work that the request takes.
    pub cost_hint: Option<Span>,
    /// The client states that it repeats an earlier request.
    pub client_retry: bool,
    /// When the client stops waiting; while the body is incomplete, the deadline that it would have if it
    /// were complete now.
    pub client_deadline: Instant,
    /// The request body has not been received completely.
    pub body_incomplete: bool,
}

/// A request that has attempts in flight or is not answered yet.
struct Open {
    call: Rc<Call>,
    /// The `X-Call-Id` that the client gave it.
    call_id: HeaderValue,
    class: ClassId,
    deadline: Instant,
    /// The request must not run twice, and nothing but its call id tells that it is the same.
    runs_once: bool,
    /// A server's answer has become its final answer.
    is_served: bool,
    /// The body has not been received completely, so the deadline does not apply yet.
    body_incomplete: bool,
    /// `None` once the request has its final answer or its client has disconnected.
    reply: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    /// When it was answered or abandoned.
    answered_at: Option<Instant>,
    /// The attempts that received a permit, by their numbers.
    begun: Vec<(u32, EarlierAttempt)>,
    /// The attempts in flight, by their numbers.
    in_flight: HashMap<u32, InFlight>,
}

/// What an attempt in flight can be told.
struct InFlight {
    cancel: Option<oneshot::Sender<()>>,
    forward: Rc<ForwardOrder>,
}

impl Open {
    /// Whether the client may send the request once more although it may have run.
    fn may_come_again(&self) -> bool {
        let may_have_run = self.begun.iter().any(|(_, begun)| begun.state != AttemptState::NeverRan);
        self.runs_once && !self.is_served && may_have_run
    }

    /// Takes the reply channel; the request counts as answered or abandoned from here on.
    fn take_reply(&mut self) -> Option<oneshot::Sender<Answer>> {
        let reply = self.reply.take()?;
        self.answered_at = Some(Instant::now());
        Some(reply)
    }

    fn end_attempt(&mut self, attempt: u32, outcome: Outcome) {
        let begun = self.begun.iter_mut().find(|(number, _)| *number == attempt);
        if let Some((_, begun)) = begun {
            begun.state = if outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        }
    }
}

/// What of a request decides whether an attempt may begin.
pub struct RequestFacts {
    /// Class of the request.
    pub class: ClassId,
    /// The client is waiting, and no answer has been sent.
    pub answer_pending: bool,
    /// A server's answer has become its final answer.
    pub is_served: bool,
    /// The client has closed its connection, as far as the kernel has been told.
    pub client_gone: bool,
    /// When it was answered or abandoned; `None` if it was not.
    pub answered_at: Option<Instant>,
    /// The deadline of the request; `None` while its body is incomplete.
    pub deadline: Option<Instant>,
    /// The attempts that have begun, except the one in question.
    pub earlier: Vec<EarlierAttempt>,
}

/// An attempt that the decision module has ordered.
pub struct OrderedAttempt {
    /// Number of the attempt within its request.
    pub attempt: u32,
    /// The request to send.
    pub call: Rc<Call>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// False if nothing may be sent: the request is answered, or has used all its attempts.
    pub may_send: bool,
    /// Completes when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// The order to forward its answer.
    pub forward: Rc<ForwardOrder>,
}

/// All open requests.
#[derive(Default)]
pub struct Requests {
    open: HashMap<RequestId, Open>,
    call_ids: HashSet<HeaderValue>,
    /// Ids of ended requests that must not be forwarded again.
    recent_ids: RecentIds,
    next: u64,
}

impl Requests {
    /// Admits a request; the answer arrives on the receiver. Returns `None` if a request with the same
    /// `X-Call-Id`, or an attempt of one, is still open: servers could not tell the two apart.
    pub fn admit(
        &mut self,
        call: Call,
        call_id: HeaderValue,
        class: ClassId,
        runs_once: bool,
        body_incomplete: bool,
        admission: Admission,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        if runs_once && self.recent_ids.contains(call_id.as_bytes(), Instant::now()) {
            return None;
        }
        if !self.call_ids.insert(call_id.clone()) {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        let id = RequestId(self.next);
        self.next += 1;
        let (call, in_flight) = (Rc::new(call), HashMap::new());
        let open = Open {
            call,
            call_id,
            class,
            deadline: admission.deadline(),
            runs_once,
            is_served: false,
            body_incomplete,
            reply: Some(reply),
            attempts: 0,
            answered_at: None,
            begun: Vec::new(),
            in_flight,
        };
        self.open.insert(id, open);
        Some((id, answer))
    }

    /// Registers one more attempt, even if it must not be sent: the decision module expects the outcome of
    /// each.
    pub fn register_attempt(&mut self, id: RequestId, max_attempts: u32) -> Option<OrderedAttempt> {
        let open = self.open.get_mut(&id)?;
        let attempt = open.attempts;
        open.attempts += 1;
        let (cancel, cancelled) = oneshot::channel();
        let forward = Rc::<ForwardOrder>::default();
        open.in_flight.insert(attempt, InFlight { cancel: Some(cancel), forward: Rc::clone(&forward) });
        let may_send = open.reply.is_some() && attempt < max_attempts;
        Some(OrderedAttempt {
            attempt,
            call: Rc::clone(&open.call),
            deadline: open.deadline,
            may_send,
            cancelled,
            forward,
        })
    }

    /// Cancels an attempt. It stays registered as in flight, because its request must not be forgotten before
    /// the outcome is reported.
    pub fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let in_flight = self.open.get_mut(&id).and_then(|o| o.in_flight.get_mut(&attempt));
        if let Some(cancel) = in_flight.and_then(|in_flight| in_flight.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Tells an attempt to forward its answer while it arrives.
    pub fn forward_answer(&self, id: RequestId, attempt: u32) {
        let in_flight = self.open.get(&id).and_then(|open| open.in_flight.get(&attempt));
        if let Some(in_flight) = in_flight {
            in_flight.forward.give();
        }
    }

    /// Whether an attempt of a request has been told to forward its answer.
    pub fn is_answer_forwarded(&self, id: RequestId) -> bool {
        let open = self.open.get(&id);
        open.is_some_and(|open| open.in_flight.values().any(|in_flight| in_flight.forward.is_given()))
    }

    /// Records the end of an attempt; what it was served with becomes the answer if none was sent before.
    /// Returns whether the request needs no answer any more; `None` if there is no such request.
    pub fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        served: Option<Served>,
    ) -> Option<bool> {
        let open = self.open.get_mut(&id)?;
        open.in_flight.remove(&attempt);
        open.end_attempt(attempt, outcome);
        if let Some((served, reply)) = served.and_then(|s| Some((s, open.take_reply()?))) {
            open.is_served = reply.send(Answer::Served(served)).is_ok();
        }
        Some(open.reply.is_none())
    }

    /// What decides whether an attempt of a request may begin; `None` if there is no such request.
    pub fn facts(&self, id: RequestId, attempt: u32) -> Option<RequestFacts> {
        let open = self.open.get(&id)?;
        let others = open.begun.iter().filter(|(number, _)| *number != attempt);
        Some(RequestFacts {
            class: open.class,
            answer_pending: open.reply.is_some(),
            is_served: open.is_served,
            client_gone: open.call.client.as_ref().is_some_and(ConnectionView::has_closed),
            answered_at: open.answered_at,
            deadline: (!open.body_incomplete).then_some(open.deadline),
            earlier: others.map(|(_, earlier)| *earlier).collect(),
        })
    }

    /// Records that an attempt received its permit.
    pub fn begin_attempt(&mut self, id: RequestId, attempt: u32, begun: EarlierAttempt) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.begun.retain(|(number, _)| *number != attempt);
        open.begun.push((attempt, begun));
    }

    /// Limits the deadlines of all open requests to `answers_by`.
    pub fn cap_deadlines(&mut self, answers_by: Instant) {
        for open in self.open.values_mut() {
            open.deadline = open.deadline.min(answers_by);
        }
    }

    /// Records that the body of a request is complete; its deadline applies from now on.
    pub fn body_complete(&mut self, id: RequestId, deadline: Instant) {
        if let Some(open) = self.open.get_mut(&id) {
            (open.deadline, open.body_incomplete) = (deadline, false);
        }
    }

    /// Passes on an answer whose body is still arriving; returns false if the request was already answered or
    /// abandoned.
    pub fn begin_answer(&mut self, id: RequestId, served: Served) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(reply) = open.take_reply() else { return false };
        open.is_served = reply.send(Answer::Served(served)).is_ok();
        open.is_served
    }

    /// Sends the final answer, unless one was sent before.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.open.get_mut(&id).and_then(Open::take_reply) {
            let _ = reply.send(answer);
        }
        self.forget_ended(id);
    }

    /// Marks a request as needing no answer any more; returns whether one was pending.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        self.open.get_mut(&id).is_some_and(|open| open.take_reply().is_some())
    }

    /// Forgets a request that needs no answer and has no attempts in flight.
    pub fn forget_ended(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.reply.is_none() && o.in_flight.is_empty()) {
            if let Some(open) = self.open.remove(&id) {
                self.call_ids.remove(&open.call_id);
                if open.may_come_again() {
                    self.recent_ids.remember(open.call_id.as_bytes(), Instant::now());
                }
            }
        }
    }

    /// Whether the request is still registered.
    #[cfg(test)]
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }
}
