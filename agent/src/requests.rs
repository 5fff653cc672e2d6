//! The open requests: who is owed an answer, what is out for each, and when nothing more may be sent for one. No socket
//! and no clock of its own.

use crate::upstream::attempt::{Call, Served};
use hyper::header::HeaderValue;
use ryelead::{ClassId, KeyId, RequestId, Span, TenantId};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer to a client.
pub enum Answer {
    /// A backend's answer.
    Served(Served),
    /// Not run, or harmless to repeat; with the time to come back after, if the module gives one.
    Refused(Option<Span>),
    /// No promise about the effect.
    Failed,
}

/// A client's request, as far as the module is concerned.
pub struct Arrival {
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// A guess at its work.
    pub cost_hint: Option<Span>,
    /// The client says that it repeats an earlier one.
    pub repeat: bool,
    /// When the client stops waiting; for a request that is still coming, if it were whole now.
    pub client_deadline: Instant,
    /// By when it must have its answer: that, or the end of the process.
    pub deadline: Instant,
    /// Not all of it has come.
    pub coming: bool,
}

/// A request that has attempts out or still owes its answer.
struct Open {
    call: Rc<Call>,
    /// The client's name for it.
    call_id: HeaderValue,
    deadline: Instant,
    /// Gone once the request has its final answer or its client has left.
    reply: Option<oneshot::Sender<Answer>>,
    attempts: u32,
    /// What calls off the attempts that are out.
    out: HashMap<u32, Option<oneshot::Sender<()>>>,
}

/// An attempt that the module has ordered.
pub struct Departure {
    /// Which one of its request.
    pub attempt: u32,
    /// What to send.
    pub call: Rc<Call>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// False if nothing may be sent: the request has its answer, or has had all its attempts.
    pub lawful: bool,
    /// Comes true when the attempt is called off.
    pub cancelled: oneshot::Receiver<()>,
}

/// All requests that are open.
#[derive(Default)]
pub struct Requests {
    open: HashMap<RequestId, Open>,
    call_ids: HashSet<HeaderValue>,
    next: u64,
}

impl Requests {
    /// Takes a request in; the answer comes on the receiver. `None` if one with this name is still open, or an
    /// attempt of it: backends could not tell the two apart.
    pub fn admit(
        &mut self,
        call: Call,
        call_id: HeaderValue,
        deadline: Instant,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        if !self.call_ids.insert(call_id.clone()) {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        let id = RequestId(self.next);
        self.next += 1;
        let (call, out) = (Rc::new(call), HashMap::new());
        self.open.insert(id, Open { call, call_id, deadline, reply: Some(reply), attempts: 0, out });
        Some((id, answer))
    }

    /// One more attempt is out, also if it must not go: the module waits for the outcome of each.
    pub fn depart(&mut self, id: RequestId, max_attempts: u32) -> Option<Departure> {
        let open = self.open.get_mut(&id)?;
        let attempt = open.attempts;
        open.attempts += 1;
        let (cancel, cancelled) = oneshot::channel();
        open.out.insert(attempt, Some(cancel));
        let lawful = open.reply.is_some() && attempt < max_attempts;
        Some(Departure { attempt, call: Rc::clone(&open.call), deadline: open.deadline, lawful, cancelled })
    }

    /// Calls an attempt off. It stays listed as out: its request must not be forgotten before its outcome is told.
    pub fn call_off(&mut self, id: RequestId, attempt: u32) {
        let out = self.open.get_mut(&id).and_then(|o| o.out.get_mut(&attempt));
        if let Some(cancel) = out.and_then(Option::take) {
            let _ = cancel.send(());
        }
    }

    /// An attempt is over; what it was served with is the answer if none was given before. True if the request owes
    /// nothing any more; `None` if there is no such request.
    pub fn arrive(&mut self, id: RequestId, attempt: u32, served: Option<Served>) -> Option<bool> {
        let open = self.open.get_mut(&id)?;
        open.out.remove(&attempt);
        if let Some((served, reply)) = served.and_then(|s| Some((s, open.reply.take()?))) {
            let _ = reply.send(Answer::Served(served));
        }
        Some(open.reply.is_none())
    }

    /// True while a request is owed its answer: its client waits, and nothing has been given.
    pub fn is_owed(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| open.reply.is_some())
    }

    /// All of a request has come that was still coming.
    pub fn whole(&mut self, id: RequestId, deadline: Instant) {
        if let Some(open) = self.open.get_mut(&id) {
            open.deadline = deadline;
        }
    }

    /// The answer to a request has begun to come; false if it has had one.
    pub fn begin(&mut self, id: RequestId, served: Served) -> bool {
        let reply = self.open.get_mut(&id).and_then(|open| open.reply.take());
        reply.is_some_and(|reply| reply.send(Answer::Served(served)).is_ok())
    }

    /// Gives the final answer, unless there has been one.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(reply) = self.open.get_mut(&id).and_then(|o| o.reply.take()) {
            let _ = reply.send(answer);
        }
        self.forget_ended(id);
    }

    /// Nothing is owed to a request any more; true if something was.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        self.open.get_mut(&id).is_some_and(|o| o.reply.take().is_some())
    }

    /// Forgets a request that owes nothing and has nothing out.
    pub fn forget_ended(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.reply.is_none() && o.out.is_empty()) {
            if let Some(open) = self.open.remove(&id) {
                self.call_ids.remove(&open.call_id);
            }
        }
    }

    /// True while anything is known of a request.
    #[cfg(test)]
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }
}
